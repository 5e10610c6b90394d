package experiment

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// maxTries is how often a caller submits a job at most. After each try but the last it pauses
	// for retryDelay, or up to half as long again, or until the time that it was given.
	maxTries   = 5
	retryDelay = 700 * time.Millisecond
	// outageHoldTime is how long a submission blocks before it fails while the store accepts no
	// writes.
	outageHoldTime = 1200 * time.Millisecond
	// callerTimeout is how long a caller tries in total.
	callerTimeout = 3 * time.Second
)

// submit is one try of a caller to submit its job. The objective counts from the first try.
func (sim *simulation) submit(j *plannedJob, try int) {
	j.AcceptedMs = sim.unixMs()
	switch {
	case sim.workload.Outage.down(sim.now - simulationStart):
		sim.schedule(outageHoldTime, func() { sim.retry(j, try, 0) })
	default:
		if refused, after := sim.refuses(j); refused {
			sim.retry(j, try, after)
			return
		}
		sim.schedule(appendDelay, func() { sim.send(pool.JobStored{Job: j.Job}) })
	}
}

// refuses reports whether a job is refused, and when its caller is told to return, if it is told.
func (sim *simulation) refuses(j *plannedJob) (refused bool, after time.Duration) {
	a := sim.workload.Admission
	if a.MinDensity > 0 && sim.workload.inBurst(j.at) && j.density() < a.MinDensity {
		return true, 0
	}
	if !a.ByEstimate {
		return false, 0
	}
	started := time.Now()
	answer := sim.core.Admit(sim.now, j.Job)
	sim.result.CoreTime += time.Since(started)
	return answer.Refused, answer.RetryAfter
}

// retry schedules the next try of a refused caller, while tries and time are left.
func (sim *simulation) retry(j *plannedJob, try int, after time.Duration) {
	pause := retryDelay + time.Duration(sim.random("pause", j.ID, try)*float64(retryDelay)/2)
	last := j.at + callerTimeout
	if sim.workload.ObeysRetryAfter && after > 0 {
		pause = (after + time.Second - 1).Truncate(time.Second) // the wire has whole seconds
		last = j.at + lateLimitFactor*j.objective
	}
	if try == maxTries || sim.now+pause > simulationStart+last {
		sim.result.Queues[j.kind.Name].Refused++
		sim.result.JobOutcomes[j.ID] = Refused
		return
	}
	sim.schedule(pause, func() { sim.submit(j, try+1) })
}

// loseWorkers removes a share of the workers with all their runs, and starts a new worker in
// the slot of each.
func (sim *simulation) loseWorkers(share float64) {
	sim.generations++
	for slot, info := range sim.listedWorkers {
		if sim.random("lost", slot, sim.generations) >= share {
			continue
		}
		w := sim.workers[info.ID]
		w.lost = true
		if w.pendingHold != nil {
			sim.answerHold(w, *w.pendingHold)
		}
		sim.listedWorkers[slot] = sim.newWorker(slot, sim.generations)
	}
	sim.send(pool.WorkersListed{Workers: slices.Clone(sim.listedWorkers)})
}

// confirmSave confirms a save, after the end of an outage if the store accepts no writes.
func (sim *simulation) confirmSave(seq uint64) {
	after := appendDelay
	if o := sim.workload.Outage; o.down(sim.now - simulationStart) {
		after += o.At + o.Duration - (sim.now - simulationStart)
	}
	sim.schedule(after, func() { sim.send(pool.Saved{Seq: seq}) })
}

// outcome returns the outcome of any call to the worker.
func (w *worker) outcome() pool.Outcome {
	if w.lost {
		return pool.WrongIncarnation
	}
	return pool.OK
}
