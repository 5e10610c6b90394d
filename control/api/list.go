package api

import (
	"encoding/gob"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// MaxJobsPage bounds the jobs of one page, and so the time for which building a page blocks the
// scheduler's decisions.
const MaxJobsPage = 500

// ListJobs requests a page of jobs, ordered by ID. Empty fields match every job.
type ListJobs struct {
	Team  string
	Kind  placement.JobKind
	State placement.JobState
	// After is the last ID of the previous page.
	After string
	// Max bounds the page; at most MaxJobsPage is used.
	Max int
}

// JobRow is one job of a page, as recorded in the log.
type JobRow struct {
	ID       string             `json:"id"`
	Team     string             `json:"team"`
	Name     string             `json:"name"`
	Kind     placement.JobKind  `json:"kind"`
	Tasks    int                `json:"tasks"`
	Urgent   bool               `json:"urgent"`
	State    placement.JobState `json:"state"`
	Reason   string             `json:"reason,omitempty"`
	Accepted infra.Offset       `json:"accepted"`
}

// JobsPage is a page of jobs.
type JobsPage struct {
	Jobs []JobRow `json:"jobs"`
	// More is set if there are jobs after the last one.
	More bool `json:"more"`
}

func init() { gob.Register(ListJobs{}) }
