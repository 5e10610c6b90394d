package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainRig is a rig whose workers answer by themselves, and some of them drain.
type drainRig struct {
	*waveRig
	draining map[string]bool
	capacity Resources
}

// newDrainRig returns a rig with so many workers, which have answered.
func newDrainRig(t *testing.T, n int, capacity Resources) *drainRig {
	d := &drainRig{waveRig: newWaveRig(t, n), draining: map[string]bool{}, capacity: capacity}
	d.announce()
	d.pass(300*time.Millisecond, func() {})
	return d
}

// announce lists the workers as they are now.
func (d *drainRig) announce() {
	var list []WorkerInfo
	for _, m := range d.machines {
		info := box(m.Worker)
		info.Capacity, info.Draining = d.capacity, d.draining[m.Worker]
		list = append(list, info)
	}
	d.step(WorkersListed{Workers: list})
}

// drain has all workers drain on which something runs, and returns how many.
func (d *drainRig) drain() int {
	for id, runs := range d.lasting {
		if len(runs) > 0 {
			d.draining[id] = true
		}
	}
	d.announce()
	return len(d.draining)
}

// runsElsewhere counts the runs on workers that don't drain.
func (d *drainRig) runsElsewhere() int {
	n := 0
	for id, runs := range d.lasting {
		if !d.draining[id] {
			n += len(runs)
		}
	}
	return n
}

// runsOf counts the runs of a task that the workers have not ended.
func (d *drainRig) runsOf(id TaskID) int {
	n := 0
	for _, runs := range d.lasting {
		for _, a := range runs {
			if a.Task == id {
				n++
			}
		}
	}
	return n
}

func lasting(n int) StepSpec {
	s := small(n)
	s.LongRunning, s.MaxUnavailable, s.PerWorker = true, 1, 1
	return s
}

// The workers of three lasting tasks drain, and others have room. Left there, the tasks
// end when their workers leave, and since nobody tells of that they begin elsewhere only
// when their leases are over, 6 s later. Their users wait for them all that time. They
// have to be at work elsewhere while the workers still drain: one after the other, as
// only one may be away, and none while its last run goes on.
func TestLastingTasksLeaveWorkersThatDrain(t *testing.T) {
	d := newDrainRig(t, 6, Resources{CPU: 4000, Mem: 8000})
	d.submit("j", lasting(3))
	d.pass(2*time.Second, func() {})
	assert.Equal(t, d.drain(), 3)
	d.pass(6*time.Second, func() {
		away := 0
		for n := range 3 {
			runs := d.runsOf(taskOf("j", n))
			assert.Assert(t, runs <= 1, "task %d runs twice", n)
			away += 1 - runs
		}
		assert.Assert(t, away <= 1, "%d tasks are away", away)
	})
	assert.Equal(t, d.runsElsewhere(), 3)
}
