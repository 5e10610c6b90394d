package pool

import (
	"fmt"
	"math"
	"time"
)

// What runs on a worker holds a lease on the worker's own clock, and has certainly ended once the lease is over by any
// call that may have reached the worker: of this owner, or of a predecessor.

const (
	// leaseDuration is how long the leases last that owners grant, unless workers grant less. It is long enough to
	// survive the restart of all processes.
	leaseDuration = 5 * time.Second
	// confirmationTTL is how long a confirmation of an ownership lets the owner grant leases.
	confirmationTTL = 1500 * time.Millisecond
	// clockDriftFactor allows for a worker's clock that runs up to 2 % slower than ours, and
	// for up to 1 % by which our estimate of it may be ahead.
	clockDriftFactor = 1.03
	// leaseExpiryMargin covers the network delay and the accuracy of the worker's timer.
	leaseExpiryMargin = 250 * time.Millisecond
)

// ownLease returns the length of the leases that owners grant by the clock of the worker's present incarnation.
func (c *Core) ownLease() time.Duration { return min(leaseDuration, c.settings.MaxLease) }

// leaseBound returns how long after a call at the latest a lease of a length is over.
func leaseBound(length time.Duration) time.Duration {
	return time.Duration(float64(length)*clockDriftFactor) + leaseExpiryMargin
}

// noteFormerClock notes that calls by the clock of a former incarnation may have reached the worker until now. The reason
// says how that is known.
//
// A call that was meant for a former incarnation may reach the next one, until that has had a call with a raised token. Its
// deadline is a time of the former clock, far ahead of the new one, so that the worker takes its longest lease, whatever the
// caller granted. An owner that has the first answer of an incarnation stores that this may be so before it starts anything
// there, until less is left than a successor allows for anyway.
func (c *Core) noteFormerClock(w *worker, reason string) {
	isNew := w.longestLeaseEnd < c.now
	c.extendLease(w, c.settings.MaxLease)
	w.longestLeaseEnd = max(w.longestLeaseEnd, c.now+leaseBound(c.settings.MaxLease))
	if isNew && c.mayHaveLongestLease(w) {
		c.emit(LogEntry{Event: "lease.longest", Worker: w.ID, Incarnation: w.incarnation, Runs: len(w.runs),
			Reason: fmt.Sprintf("%s; for %v", reason, leaseBound(c.settings.MaxLease))})
	}
}

// mayHaveLongestLease reports whether the worker may have a lease that lasts longer than a successor would allow for if it
// knew only what owners grant.
func (c *Core) mayHaveLongestLease(w *worker) bool {
	allowed := c.now + leaseBound(c.ownLease()+confirmationTTL)
	return allowed < w.longestLeaseEnd || w.inheritsLongestLease && allowed < c.inheritedEnd(w)
}

// mayHaveFormerCalls reports whether calls may be on their way to the worker that were meant for another incarnation than
// the one that has just answered for the first time: of this owner, or of a predecessor.
func (c *Core) mayHaveFormerCalls(w *worker, born int64) bool {
	if w.incarnation != 0 {
		return w.incarnation != born
	}
	fromPredecessor := c.settings.Generation > 1 && (!c.predecessorsOver || c.now-c.predecessorsOverAt < confirmationTTL+lateCallPeriod)
	return w.wasRemoved || fromPredecessor
}

// never is the end of leases that predecessors may renew.
const never = time.Duration(math.MaxInt64)

// boundsInheritedLeases reports whether it is known until when predecessors grant leases: none of them can be confirmed
// any more, and a worker has answered, without which owners of older versions may renew the leases of all.
func (c *Core) boundsInheritedLeases() bool { return c.predecessorsOver && c.firstAnswered }

// boundInheritedLeases bounds the leases of predecessors as soon as that is possible. Those on workers that have left the
// list don't wait for a worker's answer, unless they are listed again.
func (c *Core) boundInheritedLeases() {
	for _, w := range c.workerList {
		switch {
		case w.hostDown:
		case c.boundsInheritedLeases(), c.predecessorsOver && !w.listed:
			c.boundInheritedLease(w)
		case w.fenced: // see holdAnswered
		default:
			w.inheritedFrom = never
		}
	}
}

// boundInheritedLease notes that predecessors renew the worker's leases no more.
func (c *Core) boundInheritedLease(w *worker) {
	w.inheritedFrom = min(w.inheritedFrom, c.now)
}

// maxInheritedLease returns how long a predecessor's leases on a worker may last once it can't be confirmed any more. The
// longest lease counts only on workers that may have it: the inherited jobs all wait for a worker that doesn't answer.
func (c *Core) maxInheritedLease(w *worker) time.Duration {
	if w.inheritsLongestLease {
		return leaseBound(c.settings.MaxLease + confirmationTTL)
	}
	return leaseBound(c.ownLease() + confirmationTTL)
}

// inheritedEnd returns when the leases are over that predecessors have granted; never: they may still renew them.
func (c *Core) inheritedEnd(w *worker) time.Duration {
	if w.inheritedFrom == never {
		return never
	}
	return w.inheritedFrom + c.maxInheritedLease(w)
}

// leaseOver reports whether all runs that were ever sent to the worker are certainly over. An owner that
// was stopped meanwhile asks first: they may have ended as done before. One that the store doesn't confirm
// may have a successor that renews the leases, and one with an old list of workers doesn't know whether the worker has
// started again, which makes its lease longer.
func (c *Core) leaseOver(w *worker) bool {
	end := c.leaseEnd(w)
	if c.now < max(end, c.resumedAt+resumeGrace) {
		return false
	}
	return w.hostDown || c.wasOwnerAt(end) && (c.listedAsOf == 0 || c.listedAsOf >= end-maxListAge)
}

// leaseEnd returns when the leases are over that any owner has granted.
func (c *Core) leaseEnd(w *worker) time.Duration {
	if w.hostDown {
		return w.hostDownAt
	}
	return max(c.inheritedEnd(w), w.grantedEnd)
}

// logLeaseOver logs by which calls the leases of a worker whose runs are taken for over were counted, and from when.
func (c *Core) logLeaseOver(w *worker, runs int) {
	since := func(t time.Duration) time.Duration { return (c.now - t).Round(time.Millisecond) }
	reason := fmt.Sprintf("this owner's calls: over for %v; predecessors' calls: over for %v, %v after the last; last answer %v ago",
		since(w.grantedEnd), since(c.inheritedEnd(w)), c.maxInheritedLease(w), since(w.answeredAt))
	switch {
	case w.hostDown:
		reason = "no running machine hosts the worker"
	case w.inheritsLongestLease || w.longestLeaseEnd != 0 && w.longestLeaseEnd >= w.grantedEnd:
		reason += "; counted as its longest lease, by the clock of a former incarnation"
	}
	c.emit(LogEntry{Event: "lease.over", Worker: w.ID, Incarnation: w.incarnation, Runs: runs, Reason: reason})
}

// clock returns the estimated current time of the worker's clock.
func (c *Core) clock(w *worker) int64 {
	return w.clockMs + (c.now - w.clockReadAt).Milliseconds()
}

// lease returns the end of a lease that starts now, on the worker's clock.
func (c *Core) lease(w *worker) int64 {
	length := c.ownLease()
	c.extendLease(w, length)
	return c.clock(w) + length.Milliseconds()
}

// extendLease notes that the worker may have a lease of a length from now on.
func (c *Core) extendLease(w *worker, length time.Duration) {
	w.grantedEnd = max(w.grantedEnd, c.now+leaseBound(length))
}

// mayRenew reports whether calls may renew the worker's leases. A worker that has been silent for long gets no
// new lease: each would delay the time at which its runs are certainly over, so that the tasks of a dead worker
// would never run again. Nor does one of an incarnation whose clock isn't known.
func (c *Core) mayRenew(w *worker) bool {
	return c.IsConfirmed() && c.now-w.answeredAt < silentAfter && !w.hasUnmetIncarnation()
}
