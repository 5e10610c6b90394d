package pool

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// planWithin plans with the given start budget in bytes, and returns the number of started
// tasks by job.
func (r *rig) planWithin(startBudget int) map[string]int {
	r.now += 50 * time.Millisecond
	r.actions = append(r.actions, r.core.Step(r.now, Tick{UnixMs: r.unixMs()})...)
	r.actions = append(r.actions, r.core.PlanWithin(r.now, startBudget)...)
	for _, s := range takeActions[Save](r) {
		r.actions = append(r.actions, r.core.Step(r.now, Saved{Seq: s.Seq})...)
	}
	started := map[string]int{}
	for _, s := range takeActions[Start](r) {
		started[s.Task.Job]++
		r.actions = append(r.actions, r.core.Step(r.now, StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run})...)
	}
	return started
}

// newIdleRig returns a rig whose workers have answered their holds and have no runs.
func newIdleRig(t *testing.T, workers ...string) *rig {
	var list []WorkerInfo
	for _, id := range workers {
		list = append(list, newWorkerInfo(id))
	}
	r := newRig(t, list...)
	for _, id := range workers {
		r.answerHold(id, nil)
	}
	return r
}

// storeJob adds a job without planning.
func (r *rig) storeJob(id string, payload int, steps ...StepSpec) {
	job := Job{ID: id, Queue: "q", Service: "s", Payload: strings.Repeat("p", payload), Steps: steps, AcceptedMs: r.unixMs()}
	r.actions = append(r.actions, r.core.Step(r.now, JobStored{Job: job})...)
}

// Guards against planning beyond the start budget, which queues urgent starts behind others on
// the link.
func TestPlanStaysWithinItsStartBudget(t *testing.T) {
	r := newIdleRig(t, "w1", "w2", "w3")
	r.storeJob("wide", 500, smallStep(8))
	const startBytes = 1000 // including startOverhead
	assert.DeepEqual(t, r.planWithin(3*startBytes-1), map[string]int{"wide": 3})
	r.storeJob("urgent", 500, StepSpec{Count: 1, Need: Resources{CPU: 1000, Mem: 100}, EstimateMs: 1})
	assert.DeepEqual(t, r.planWithin(startBytes), map[string]int{"urgent": 1})
	assert.DeepEqual(t, r.planWithin(0), map[string]int{})
	assert.DeepEqual(t, r.planWithin(100*startBytes), map[string]int{"wide": 5})
}

// Guards against starting only some members of a gang, which then wait for the others.
func TestPlanStartsAGangWholeOverItsBudget(t *testing.T) {
	r := newIdleRig(t, "w1", "w2")
	r.storeJob("gang", 4000, gangStep(4, 1000, time.Second))
	assert.DeepEqual(t, r.planWithin(1), map[string]int{"gang": 4})
}
