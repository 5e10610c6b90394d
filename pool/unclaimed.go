package pool

import "time"

// A worker may report runs and ends of a job that this owner doesn't know: its record can't be read. Its
// runs are stopped, and its ends acknowledged. If the caller repeats its request, the job is stored again,
// and what its tasks have done must still count.

const (
	// unclaimedPeriod is how long the ends of an unknown job are kept. Callers repeat a request within
	// seconds.
	unclaimedPeriod = time.Minute
	// maxUnclaimedEnds limits how many are kept.
	maxUnclaimedEnds = 10000
)

// unclaimedEnds are the ends of runs as done, of jobs that aren't known.
type unclaimedEnds struct {
	byJob map[string][]EndedRun
	order []unclaimedEnd // oldest first
}

type unclaimedEnd struct {
	job   string
	heard time.Duration
}

// keepUnclaimedEnd keeps an end of an unknown job.
func (c *Core) keepUnclaimedEnd(x EndedRun) {
	if x.How != Done || c.jobs[x.Task.Job] != nil {
		return
	}
	u := &c.unclaimed
	if u.byJob == nil {
		u.byJob = map[string][]EndedRun{}
	}
	u.byJob[x.Task.Job] = append(u.byJob[x.Task.Job], x)
	u.order = append(u.order, unclaimedEnd{x.Task.Job, c.now})
	u.drop(c.now)
}

// drop drops the ends that are too old or too many.
func (u *unclaimedEnds) drop(now time.Duration) {
	for len(u.order) > 0 && (len(u.order) > maxUnclaimedEnds || now-u.order[0].heard >= unclaimedPeriod) {
		job := u.order[0].job
		if u.order = u.order[1:]; len(u.byJob[job]) > 1 {
			u.byJob[job] = u.byJob[job][1:]
		} else {
			delete(u.byJob, job)
		}
	}
}

// claim links the runs and ends that workers have reported to a job that has become known.
func (c *Core) claim(j *job) {
	if c.orphans > 0 {
		for _, w := range c.workerList {
			for _, r := range w.sortedRuns() {
				if r.isOrphan() && r.task.step.id.Job == j.ID {
					c.claimRun(r)
				}
			}
		}
	}
	c.unclaimed.drop(c.now)
	for _, x := range c.unclaimed.byJob[j.ID] {
		if t := c.reportedTask(x.Task); t != nil && !t.done {
			t.lastRun = max(t.lastRun, x.Run)
			c.taskDone(t, x.Run)
			c.markDirty(j)
		}
	}
}

// claimRun links a run to its task. A stop that was sent holds: the task waits until the run has ended.
func (c *Core) claimRun(r *run) {
	c.removeRun(r)
	n := c.adopt(r.worker, ActiveRun{Task: r.task.id(), Run: r.number})
	n.listedIn, n.answeredAt = r.listedIn, r.answeredAt
	n.stopping, n.stopSentAt, n.stopConfirmedAt = r.stopping, r.stopSentAt, r.stopConfirmedAt
}
