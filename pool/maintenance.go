package pool

import (
	"time"
)

const (
	// evacuationGrace is how long tasks may go on running on a machine that is about to go
	// down. Waves allow about 20 s for 3 rounds of machines.
	evacuationGrace = 2500 * time.Millisecond
	// maxEvacuation is how long a machine that is being evacuated or waits for its turn is
	// kept without new tasks. After that it accepts tasks for evacuationRetryDelay before it
	// is tried again.
	maxEvacuation        = 8 * time.Second
	evacuationRetryDelay = 2 * time.Second
	// listingDelay is when an accepted order is certainly visible in the list of machines. The
	// platform shows it at once.
	listingDelay = 1500 * time.Millisecond
	// maintenanceRetryDelay is the delay after an order that wasn't accepted.
	maintenanceRetryDelay = 500 * time.Millisecond
)

type machinePhase int

const (
	machineWaiting machinePhase = iota
	machineEvacuating
	machineOrdered // maintenance was ordered, and may have begun
	machineDone
)

type waveMachine struct {
	id           string
	phase        machinePhase
	since        time.Duration
	worker       string // the worker that goes down with it
	orderPending bool
	accepted     bool // the order was accepted
	unconfirmed  bool // an order had no answer: maintenance may have begun, or begin later
	nextAttempt  time.Duration
}

// updateMachine detects that a machine is back from its maintenance, or has left.
func (c *Core) updateMachine(wv *wave, m *waveMachine) {
	info, listed := c.waves.machines[m.id]
	switch {
	case m.phase == machineDone:
	case !listed:
		c.machineDone(wv, m)
	case m.phase == machineOrdered && m.accepted && c.isBack(m, info):
		c.machineDone(wv, m)
	case m.phase < machineOrdered:
		m.worker = info.Worker
	}
}

// isBack reports whether a machine whose order was accepted is up again. An accepted order is
// visible at once, so a machine that is up with the same worker long afterwards had its
// maintenance before, ordered by a predecessor.
func (c *Core) isBack(m *waveMachine, info knownMachine) bool {
	if !info.Up || info.requestedAt <= m.since {
		return false
	}
	return info.Worker != m.worker || info.requestedAt > m.since+listingDelay
}

func (c *Core) machineDone(wv *wave, m *waveMachine) {
	m.phase = machineDone
	c.resumePlacement(m)
	var done []string
	for _, x := range wv.machines {
		if x.phase == machineDone {
			done = append(done, x.id)
		}
	}
	c.otherRecords = append(c.otherRecords, Record{Key: WaveKey(wv.Number), Value: Encode(done)})
}

// evacuate stops the runs on a machine's worker as far as permitted, and reports whether none
// are left.
func (c *Core) evacuate(m *waveMachine) bool {
	w := c.workers[m.worker]
	if w == nil {
		return true
	}
	w.inMaintenance = true
	c.workersChanged()
	if len(w.runs) == 0 {
		return true
	}
	for _, r := range w.sortedRuns() {
		switch {
		case r.stopping:
		case r.task.step.spec.LongRunning:
			if r.task.step.canDisrupt() {
				c.stop(r, "its machine goes down for maintenance")
			}
		case c.now-m.since >= evacuationGrace:
			c.stop(r, "its machine goes down for maintenance")
		}
	}
	return false
}

// canDisrupt reports whether one more task of a long-running step may be made unavailable.
func (s *step) canDisrupt() bool {
	return s.spec.MaxUnavailable == 0 || s.unavailable() < s.spec.MaxUnavailable
}

// unavailable returns the number of tasks of a long-running step that aren't available.
func (s *step) unavailable() int {
	n := 0
	for _, t := range s.tasks {
		if t.run == nil || !t.run.available() {
			n++
		}
	}
	return n
}

// available reports whether a long-running task's run is known to be fully up.
func (r *run) available() bool { return r.phase == running && !r.stopping && r.percent >= readyPercent }

func (c *Core) maintenanceAnswered(e MaintenanceAnswered) {
	wv := c.waves.active[e.Wave]
	if wv == nil {
		return
	}
	for _, m := range wv.machines {
		if m.id != e.Machine || !m.orderPending {
			continue
		}
		m.orderPending = false
		switch e.Outcome {
		case OK:
			m.accepted, m.since = true, c.now
			if w := c.workers[m.worker]; w != nil {
				c.loseRuns(w, w.sortedRuns(), "its machine is down for maintenance")
			}
		case Stale:
			c.machineDone(wv, m)
		case NoAnswer:
			// The machine counts as down until an answer comes. Repeating the order is
			// harmless.
			m.unconfirmed = true
			m.nextAttempt = c.now + maintenanceRetryDelay
		default:
			m.nextAttempt = c.now + maintenanceRetryDelay
			if !m.unconfirmed {
				c.suspendEvacuation(m)
			}
		}
	}
}

// suspendEvacuation lets a machine that can't go down now accept tasks again. Machines that
// were kept empty for a stuck wave left large tasks without a worker for half a minute.
func (c *Core) suspendEvacuation(m *waveMachine) {
	m.phase, m.since = machineWaiting, c.now
	m.nextAttempt = c.now + evacuationRetryDelay
	c.resumePlacement(m)
}

// resumePlacement lets the worker of an evacuated machine accept tasks again. The worker is
// still up if the maintenance isn't possible now, or was already done for a predecessor.
func (c *Core) resumePlacement(m *waveMachine) {
	if w := c.workers[m.worker]; w != nil {
		w.inMaintenance = false
		c.workersChanged()
	}
	c.replan, c.retryAllSteps = true, true
}
