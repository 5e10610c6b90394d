package pool

import (
	"slices"
	"time"
)

const (
	// maxBacklogAge is how old the summary of the backlog may be. Jobs accepted in the meantime are
	// added at once.
	maxBacklogAge = 200 * time.Millisecond
	// estimateDelay is how long an owner accepts jobs without an estimate after a takeover: it
	// hasn't seen all workers or measured any rates yet.
	estimateDelay = 1500 * time.Millisecond
	// minRespondingShare is the share of the pool's capacity that must be on workers that respond
	// for an estimate: what runs on the others is unknown.
	minRespondingShare = 0.5
	// minRunSamples is the number of runs needed to tell the share that fails, and maxRunsPerTask
	// the largest number of runs planned for a task.
	minRunSamples  = 20
	maxRunsPerTask = 2
	// unstoredRetention is how long an accepted job counts without being seen stored.
	unstoredRetention = 3 * time.Second
)

// refreshBacklog recomputes the work ahead and the capacity if the last summary is too old.
func (c *Core) refreshBacklog() {
	h := &c.admission
	if h.updated && c.now-h.updatedAt < maxBacklogAge {
		return
	}
	h.updated, h.updatedAt = true, c.now
	h.admitted = slices.DeleteFunc(h.admitted, func(x admittedJob) bool { return x.stored || c.now-x.admittedAt > unstoredRetention })
	c.refreshCapacity()
	c.refreshEntries()
}

func (c *Core) refreshCapacity() {
	h := &c.admission
	h.profiles = map[string]*capacityProfile{}
	estimable := c.takeoverComplete() && c.now-c.startedAt > estimateDelay
	for _, w := range c.workerList {
		if !w.listed || w.Draining || w.inMaintenance {
			continue
		}
		r := h.profiles[w.Service]
		if r == nil {
			r = &capacityProfile{}
			h.profiles[w.Service] = r
		}
		r.listedCPU += w.Capacity.CPU
		if w.silent || !w.fenced {
			continue
		}
		r.respondingCPU += w.Capacity.CPU
		r.largestWorker = r.largestWorker.largest(w.Capacity)
		r.addWorker(w.Capacity, c.speed(w))
		for _, run := range w.runs {
			r.addRun(run.need, c.speed(w), c.expectedRemaining(run))
		}
	}
	for _, r := range h.profiles {
		r.estimable = estimable && float64(r.respondingCPU) >= minRespondingShare*float64(r.listedCPU)
		if c.laggedAt != 0 && c.now-c.laggedAt < caughtUpAfter {
			r.fullRate.starts = h.starts.rate(c.now)
		}
		r.accumulate()
	}
}

func (c *Core) refreshEntries() {
	h := &c.admission
	h.backlog = h.backlog[:0]
	h.ages = map[string]*ages{}
	h.requestsLate, h.pendingRequestCost = map[int]bool{}, map[int]float64{}
	for _, j := range c.activeJobs {
		for _, occ := range j.occurrences {
			if occ.remaining > 0 {
				c.addOccurrence(j, occ)
			}
		}
	}
}

func (c *Core) addOccurrence(j *job, occ *occurrence) {
	var first *step
	var work demand
	for _, s := range occ.steps {
		if s.remaining == 0 || s.spec.LongRunning || s.spec.Fills || !c.admission.fitsAnyWorker(j.Service, s.spec) {
			continue
		}
		if s.advice.pending {
			c.addPendingAdvice(s)
		}
		if first == nil {
			first = s
		}
		waiting := 0
		for _, t := range s.tasks {
			if t.run == nil && !t.done {
				waiting++
			}
		}
		if waiting == 0 {
			continue
		}
		work.addTasks(s.spec.Reserved(), waiting, c.expectedRuntime(s))
		work.starts += float64(waiting)
		if q := c.policy(s); q.Advice != nil && !s.advice.requested {
			work.advice += c.adviceCost(q.Queue)
		}
	}
	if first == nil || work == (demand{}) {
		return
	}
	u := c.urgencyOf(first)
	if u.tier != OnTime {
		c.recordDelay(first)
		return
	}
	if first.ready {
		c.admission.ageOf(j.Queue).count(c.now - first.readySince)
	}
	c.admission.backlog = append(c.admission.backlog, backlogEntry{service: j.Service, priority: u.priority, due: u.due, demand: work.scaled(c.runsPerTask()),
		unusableShare: c.shareLeftToOthers(first.spec, j.Queue)})
}

// fitsAnyWorker reports whether some worker is large enough for a step. Jobs that no worker can
// ever run wait forever and don't delay other jobs.
func (h *admissionState) fitsAnyWorker(service string, s *StepSpec) bool {
	r := h.profiles[service]
	return r != nil && s.Reserved().Within(r.largestWorker)
}
