package pool

import (
	"strconv"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/returns"
)

// refusedWork is the work of a refused job, as the return schedule keeps it.
type refusedWork struct {
	backlogEntry
	// forWantOfPool is set if the pool couldn't serve it in time.
	forWantOfPool bool
}

// returnRequest returns the request for a turn of a refused job's caller.
func (c *Core) returnRequest(j *Job, entry *backlogEntry, a Admission) returns.Request[refusedWork] {
	return returns.Request[refusedWork]{
		Job: j.ID, Line: a.line(entry), Wait: c.waitForTurn(j, a), Takes: a.Takes, WorthFor: worthlessFactor * a.Limit,
		Work: refusedWork{backlogEntry: *entry, forWantOfPool: a.isForWantOfPool()},
	}
}

// line names the bottleneck whose turns a refused job's caller gets: an organisation's own, or the pool's
// at a priority.
func (a *Admission) line(entry *backlogEntry) string {
	if a.isForWantOfPool() {
		return string(a.Bottleneck) + "/" + entry.service + "/" + strconv.Itoa(entry.priority)
	}
	return string(a.Bottleneck) + "//" + entry.organisation
}

// waitForTurn returns when the bottleneck has processed so much of what is ahead of a refused job that a job
// like it can be in time.
func (c *Core) waitForTurn(j *Job, a Admission) time.Duration {
	if bucket := c.orgs.weights[j.Organisation]; a.Bottleneck == WeightBottleneck && bucket != nil {
		return max(a.Wait, bucket.Recovery(c.orgs.byName[j.Organisation].Weight))
	}
	return a.Excess
}

// promisedWork returns the work of refused jobs whose callers have a place before a job's caller: those within
// their organisations' weights whose turn has come. It counts by the share of callers that came back
// at their turns of late. With later turns, and with jobs beyond a weight, up to two thirds of the work ahead of
// a job was that of callers who were refused again themselves, and free capacity stayed unused. Jobs without an organisation
// are admitted without regard to it: with it, a pool without organisations earned 0.55 in place of 0.64 of what was
// offered at three times the usual jobs.
func (c *Core) promisedWork(job string, entry *backlogEntry) (list []backlogEntry) {
	if entry.organisation == "" {
		return nil
	}
	share := c.admission.returns.ReturnShare()
	c.admission.returns.Promised(c.now, job, 0, func(w *refusedWork) {
		if !w.forWantOfPool || w.beyondWeight {
			return // neither a weight nor a cap keeps the pool's capacity for it
		}
		x := w.backlogEntry
		x.due = min(x.due, entry.due) // among equals the order of first tries holds
		if x.comesBefore(entry) {
			x.demand = x.demand.scaled(share)
			list = append(list, x)
		}
	})
	return list
}

// returningTo counts the callers of a queue's refused jobs that hold a place.
func (c *Core) returningTo(queue string) (n int) {
	c.admission.returns.Promised(c.now, "", unbounded, func(w *refusedWork) {
		if w.queue == queue {
			n++
		}
	})
	return n
}

func coreSecondsOf(list []backlogEntry) (sum float64) {
	for i := range list {
		sum += list[i].demand.cpu / 1000
	}
	return sum
}

// timeAt returns the time that the work takes at a rate, by the resource that takes longest.
func (d demand) timeAt(rate demand) time.Duration {
	longest := 0.0
	works, rates := d.resources(), rate.resources()
	for i := range works {
		if rates[i] > 0 {
			longest = max(longest, works[i]/rates[i])
		}
	}
	return time.Duration(min(longest, unbounded.Seconds()) * float64(time.Second))
}
