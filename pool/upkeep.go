package pool

import (
	"time"
)

const (
	// emptyFor is how long tasks on a machine that is to go down may run on.
	// Waves give some 20 s for 3 rounds of machines.
	emptyFor = 2500 * time.Millisecond
	// emptyMost is how long a machine is kept empty or emptied for its turn,
	// and giveBackFor how long it then works before it is tried again.
	emptyMost   = 8 * time.Second
	giveBackFor = 2 * time.Second
	// showsAfter is when a taken order certainly shows in the list of machines;
	// it does so at once.
	showsAfter = 1500 * time.Millisecond
	// upkeepRetry is the pause after an order that was not taken.
	upkeepRetry = 500 * time.Millisecond
)

type machinePhase int

const (
	machineWaits machinePhase = iota
	machineEmpties
	machineOrdered // an upkeep was ordered, and may be on
	machineDone
)

type waveMachine struct {
	id     string
	phase  machinePhase
	since  time.Duration
	worker string // the worker that goes down with it
	asking bool
	taken  bool // the order was taken
	doubt  bool // an order had no answer: it may be on, or come later
	next   time.Duration
}

// watchMachine notes that a machine is back from its upkeep, or has left.
func (c *Core) watchMachine(wv *wave, m *waveMachine) {
	info, listed := c.waves.machines[m.id]
	switch {
	case m.phase == machineDone:
	case !listed:
		c.machineDone(wv, m)
	case m.phase == machineOrdered && m.taken && c.isBack(m, info):
		c.machineDone(wv, m)
	case m.phase < machineOrdered:
		m.worker = info.Worker
	}
}

// isBack reports whether a machine whose order was taken is up again. A taken order
// shows at once, so one that is up with the same worker well after it was done
// before, for a predecessor.
func (c *Core) isBack(m *waveMachine, info seenMachine) bool {
	if !info.Up || info.asked <= m.since {
		return false
	}
	return info.Worker != m.worker || info.asked > m.since+showsAfter
}

func (c *Core) machineDone(wv *wave, m *waveMachine) {
	m.phase = machineDone
	c.reopen(m)
	var done []string
	for _, x := range wv.machines {
		if x.phase == machineDone {
			done = append(done, x.id)
		}
	}
	c.drop = append(c.drop, Record{Key: WaveKey(wv.Number), Value: Encode(done)})
}

// empty empties a machine's worker, and reports whether nothing runs on it.
func (c *Core) empty(m *waveMachine) bool {
	w := c.workers[m.worker]
	if w == nil {
		return true
	}
	w.leaving = true
	if len(w.runs) == 0 {
		return true
	}
	for _, r := range w.sortedRuns() {
		switch {
		case r.stopping:
		case r.task.step.spec.LongRunning:
			if r.task.step.mayMiss() {
				c.stop(r, "its machine goes down for upkeep")
			}
		case c.now-m.since >= emptyFor:
			c.stop(r, "its machine goes down for upkeep")
		}
	}
	return false
}

// mayMiss reports whether one more lasting task of a step may be away by our doing.
func (s *step) mayMiss() bool {
	return s.spec.MaxUnavailable == 0 || s.away() < s.spec.MaxUnavailable
}

// away counts the tasks of a lasting step that are not seen at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		if t.run == nil || !t.run.atWork() {
			n++
		}
	}
	return n
}

// atWork reports whether a lasting task's run is seen at work.
func (r *run) atWork() bool { return r.phase == running && !r.stopping && r.percent >= atWork }

func (c *Core) upkeepAnswered(e UpkeepAnswered) {
	wv := c.waves.active[e.Wave]
	if wv == nil {
		return
	}
	for _, m := range wv.machines {
		if m.id != e.Machine || !m.asking {
			continue
		}
		m.asking = false
		switch e.Outcome {
		case OK:
			m.taken, m.since = true, c.now
			if w := c.workers[m.worker]; w != nil {
				c.loseRuns(w, "its machine is down for upkeep")
			}
		case Old:
			c.machineDone(wv, m)
		case NoAnswer:
			// It counts as down until an answer comes; asking again does no harm.
			m.doubt = true
			m.next = c.now + upkeepRetry
		default:
			m.next = c.now + upkeepRetry
			if !m.doubt {
				c.giveBack(m)
			}
		}
	}
}

// giveBack lets a machine take tasks again that can't go down now. Machines that
// were kept empty for a wave that had got stuck left large tasks without a worker
// for half a minute.
func (c *Core) giveBack(m *waveMachine) {
	m.phase, m.since = machineWaits, c.now
	m.next = c.now + giveBackFor
	c.reopen(m)
}

// reopen lets the worker of a machine that was emptied take tasks again. It lives on if the
// upkeep can't be had now, or was done before for a predecessor.
func (c *Core) reopen(m *waveMachine) {
	if w := c.workers[m.worker]; w != nil {
		w.leaving = false
	}
	c.replan, c.lookAtAll = true, true
}
