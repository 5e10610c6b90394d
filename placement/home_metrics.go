package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// StartWait is how long a job waited before it started: before the start of its
// first task, or of all tasks of a gang.
type StartWait struct {
	Team   string
	Urgent bool
	Waited time.Duration
}

// maxStartWaits limits the entries kept until the next TakeStarts.
const maxStartWaits = 4096

func (h *Home) recordStart(now time.Duration, job *homeJob) {
	if len(h.startWaits) < maxStartWaits {
		h.startWaits = append(h.startWaits, StartWait{Team: job.Spec.Team, Urgent: job.Spec.Urgent, Waited: now - job.addedAt})
	}
}

// TakeStarts returns the jobs that have started since the last call.
func (h *Home) TakeStarts() []StartWait {
	starts := h.startWaits
	h.startWaits = nil
	return starts
}

// TeamTotals sums up a team's tasks.
type TeamTotals struct {
	Waiting, Running int
	// LongestWait is the age of the oldest job that has not started.
	LongestWait time.Duration
	// Used is the resources requested for the running tasks.
	Used infra.Resources
}

// AddTotals adds the home's jobs to the totals of their teams.
func (h *Home) AddTotals(now time.Duration, totals map[string]TeamTotals) {
	for _, job := range h.jobs {
		if job.closed {
			continue
		}
		t := totals[job.Spec.Team]
		running := job.counts[taskRunning]
		t.Running += running
		t.Waiting += len(job.tasks) - running - job.counts[taskDone]
		t.Used = t.Used.Add(job.need.Times(int64(running)))
		if job.startedAt == 0 {
			t.LongestWait = max(t.LongestWait, now-job.addedAt)
		}
		totals[job.Spec.Team] = t
	}
}
