package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// StartWait is how long a job waited before it started: its first task, or all
// tasks of a gang.
type StartWait struct {
	Team   string
	Urgent bool
	Waited time.Duration
}

// maxStartWaits bounds what is kept for somebody to take.
const maxStartWaits = 4096

func (h *Home) noteStart(now time.Duration, job *homeJob) {
	if len(h.starts) < maxStartWaits {
		h.starts = append(h.starts, StartWait{Team: job.Spec.Team, Urgent: job.Spec.Urgent, Waited: now - job.since})
	}
}

// TakeStarts returns the jobs that have started since it was last called.
func (h *Home) TakeStarts() []StartWait {
	starts := h.starts
	h.starts = nil
	return starts
}

// TeamTotals is what a team's jobs do and wait for.
type TeamTotals struct {
	Waiting, Running int
	// LongestWait is the age of the oldest job that has not started.
	LongestWait time.Duration
	// Used is what the running tasks were given.
	Used infra.Resources
}

// AddTotals adds the home's jobs to the totals of their teams.
func (h *Home) AddTotals(now time.Duration, totals map[string]TeamTotals) {
	for _, job := range h.jobs {
		if job.over {
			continue
		}
		t := totals[job.Spec.Team]
		running := job.counts[taskRunning]
		t.Running += running
		t.Waiting += len(job.tasks) - running - job.counts[taskDone]
		t.Used = t.Used.Add(job.need.Times(int64(running)))
		if job.started == 0 {
			t.LongestWait = max(t.LongestWait, now-job.since)
		}
		totals[job.Spec.Team] = t
	}
}
