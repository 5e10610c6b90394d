package api

import (
	"encoding/gob"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// MaxJobsPage bounds the jobs of one page, and so how long making a page keeps
// the scheduler from its decisions.
const MaxJobsPage = 500

// ListJobs asks for a page of jobs, in the order of their IDs. Empty fields
// match every job.
type ListJobs struct {
	Team  string
	Kind  placement.JobKind
	State placement.JobState
	// After is the last ID of the page before.
	After string
	// Max bounds the page; it is at most MaxJobsPage.
	Max int
}

// JobRow is one job of a page, as the log knows it.
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
	// More says that there are jobs after the last one.
	More bool `json:"more"`
}

func init() { gob.Register(ListJobs{}) }
