package pool

import (
	"slices"
	"time"
)

// A rack or an availability zone that loses power crashes many workers at once. No task is the cause
// of such an outage, so it has to be told from a task that crashes its workers.
const (
	// outageWindow is how far apart the crashes of one outage are noticed at most.
	outageWindow = 1500 * time.Millisecond
	// outageWorkers is the number of other workers that have to crash at about the same time for an
	// outage if they aren't all workers of a rack. In a large pool, outageShare of the workers have
	// to.
	outageWorkers = 3
	outageShare   = 0.1
)

// crashedWorker is a worker that crashed recently.
type crashedWorker struct {
	id, rack string
	born     int64
	at       time.Duration
	// explained is set if a quarantined task ran there, which probably caused the crash.
	explained bool
	// confirmed is set if another incarnation has answered. Otherwise the worker only stopped
	// reporting and answering, as it also does behind a network partition.
	confirmed bool
}

// isOutage reports whether so many other workers fell silent when this one did that no single task
// can be the cause: all others of its rack, or many anywhere. They may have answered again since.
//
// Quarantined tasks may crash several workers at the same time, but only isolated ones. So an outage
// also needs a crash of a worker that wasn't isolated. Before the last crash under a task is excused,
// more than one of a rack has to be such a worker.
func (c *Core) isOutage(w crashedWorker, isLast bool) bool {
	others := c.crashesBeside(w)
	mates, anywhere := crashGroup{}, crashGroup{}
	for _, x := range others {
		anywhere.add(x)
		if x.rack != "" && x.rack == w.rack {
			mates.add(x)
		}
	}
	listed, survivors := 0, 0
	for _, o := range c.workerList {
		if o.listed {
			listed++
		}
		_, crashed := others[o.ID]
		if o.ID != w.id && o.Rack != "" && o.Rack == w.rack && o.firstSeenAt <= w.at-outageWindow && !crashed {
			survivors++
		}
	}
	minMates := 1
	if isLast {
		minMates = 2
	}
	wholeRack := mates.unexplained >= minMates && survivors == 0
	return wholeRack || (anywhere.unexplained > 0 && anywhere.workers >= max(outageWorkers, int(outageShare*float64(listed))))
}

// crashGroup counts workers that crashed, and those of them that weren't isolated.
type crashGroup struct{ workers, unexplained int }

func (g *crashGroup) add(x crashedWorker) {
	g.workers++
	if !x.explained {
		g.unexplained++
	}
}

// crashesBeside returns the other workers, by ID, that fell silent at about the same time.
func (c *Core) crashesBeside(w crashedWorker) map[string]crashedWorker {
	others := map[string]crashedWorker{}
	for _, x := range c.recentCrashes() {
		if x.id != w.id && (x.at-w.at).Abs() <= outageWindow {
			others[x.id] = x
		}
	}
	for _, o := range c.workerList {
		if _, known := others[o.ID]; !known && o.ID != w.id && o.recoveredSilence() && (o.silentSince-w.at).Abs() <= outageWindow {
			others[o.ID] = crashedWorker{id: o.ID, rack: o.Rack, at: o.silentSince}
		}
	}
	return others
}

// recentCrashes returns the workers that crashed recently or are silent.
func (c *Core) recentCrashes() []crashedWorker {
	list := slices.Clone(c.crashedWorkers)
	known := map[string]int64{} // the newest incarnation that crashed
	for _, x := range c.crashedWorkers {
		known[x.id] = x.born
	}
	for _, o := range c.workerList {
		if born, crashed := known[o.ID]; crashed && born == o.incarnation {
			continue
		}
		if o.silent && o.hasKnownSilence() {
			list = append(list, crashedWorker{id: o.ID, rack: o.Rack, at: o.silentSince, explained: o.fellSilentInIsolation()})
		}
	}
	return list
}

// hasKnownSilence reports whether it is known when the worker fell silent.
func (w *worker) hasKnownSilence() bool { return w.fenced || w.silence.stored }

// recoveredSilence reports whether the worker has answered again since it fell silent. If many did at the
// same time, this instance was cut off, and doesn't know what happened meanwhile.
func (w *worker) recoveredSilence() bool { return !w.silent && w.silentSince != 0 }

// calmFor reports whether no worker fell silent for the given time, but for those on which a
// quarantined task is the probable cause.
func (c *Core) calmFor(d time.Duration) bool {
	return !slices.ContainsFunc(c.recentCrashes(), func(x crashedWorker) bool { return !x.explained && c.now-x.at < d })
}

// fellSilentInIsolation reports whether the worker fell silent while it was isolated for a quarantined
// task, which is the probable cause.
func (w *worker) fellSilentInIsolation() bool { return w.isolation.isActive(w.silentSince) }
