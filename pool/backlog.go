package pool

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
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
	c.refreshCapLoads()
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
	h.ages = map[waitClass]*ages{}
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
	var work, ready demand
	var unit organisation.Amounts
	started := false
	for _, s := range occ.steps {
		started = started || s.anyStarted()
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
		var tasks demand
		tasks.addTasks(s.spec.Reserved(), waiting, c.expectedRuntime(s))
		tasks.starts = float64(waiting)
		unit = largestAmounts(unit, s.unitOfCap())
		if q := c.policy(s); q.Advice != nil && !s.advice.requested {
			tasks.advice = c.adviceCost(q.Queue)
		}
		work.add(tasks)
		if s.ready {
			ready.add(tasks)
		}
	}
	if first == nil || work == (demand{}) {
		return
	}
	u := c.urgencyOf(first)
	switch {
	case first.ready && c.waitsForCap(first):
		first.delayRecorded = true // other organisations' jobs don't wait for this cap
		class := capWaitClass{j.Organisation, j.Queue}
		c.admission.capWaits[class] = max(c.admission.capWaits[class], c.now-first.readySince)
	case u.tier != OnTime:
		c.recordDelay(first)
	case first.ready:
		c.admission.ageOf(j.Queue, j.beyondWeight).count(c.now - first.readySince)
	}
	if u.tier == Worthless || (u.tier == PastDue && !(started && j.Organisation != "")) {
		return
	}
	c.admission.backlog = append(c.admission.backlog, backlogEntry{service: j.Service, queue: j.Queue, organisation: j.Organisation, priority: u.priority, due: u.due,
		started: started, beyondWeight: j.beyondWeight, late: u.tier == PastDue || (u.tier == BeyondWeight && c.unixMs+first.remainingPathMs > u.due),
		demand: work.scaled(c.runsPerTask()), ready: ready.scaled(c.runsPerTask()), unit: unit,
		unusableShare: c.shareLeftToOthers(first.spec, j.Queue)})
}

// workBefore returns the part of a job's work that is processed before another job. A started job that comes
// first although it is due later, or is late, delays the other one only by its steps that are ready: while it
// waits for their ends, the other one runs.
func (x *backlogEntry) workBefore(o *backlogEntry) demand {
	if x.started && x.organisation != "" && x.organisation == o.organisation && x.queue == o.queue && (x.late || x.due > o.due) {
		return x.ready
	}
	return x.demand
}

// anyStarted reports whether a task of the step runs or is done. A planned run may not start.
func (s *step) anyStarted() bool {
	return s.remaining < len(s.tasks) || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil && t.run.phase != planned })
}

// comesBefore reports whether a job's work uses the pool's resources before another job's.
func (x *backlogEntry) comesBefore(o *backlogEntry) bool {
	return x.service == o.service && x.goesBefore(o)
}

// goesBefore reports whether a job comes before another one, both of which can still earn something: by
// priority, by the organisations' shares, started jobs of an organisation and queue before its new ones,
// and by due time. Without an organisation, started jobs aren't counted first: with it, a pool without
// organisations earned 0.60 in place of 0.64 of what was offered at three times the usual jobs.
func (x *backlogEntry) goesBefore(o *backlogEntry) bool {
	own := x.organisation != "" && x.organisation == o.organisation && x.queue == o.queue
	switch {
	case x.late && !own:
		return false // late jobs delay only new ones beside which they were started
	case x.priority != o.priority:
		return x.priority < o.priority
	case x.organisation != o.organisation && x.beyondWeight != o.beyondWeight:
		return o.beyondWeight
	case own && x.started != o.started:
		return x.started
	}
	return x.due <= o.due
}

// fitsAnyWorker reports whether some worker is large enough for a step. Jobs that no worker can
// ever run wait forever and don't delay other jobs.
func (h *admissionState) fitsAnyWorker(service string, s *StepSpec) bool {
	r := h.profiles[service]
	return r != nil && s.Reserved().Within(r.largestWorker)
}
