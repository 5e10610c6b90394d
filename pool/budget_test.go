package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failedRuns gives an owner that doesn't know the queues yet a job whose only task has failed so
// often, by what a predecessor stored or by what a worker lists.
func failedRuns(t *testing.T, stored bool, runs int) *rig {
	r := newRig(t)
	r.step(QueuesChanged{})
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{small(1)}}, Inherited: true})
	numbers := make([]int, runs)
	for n := range runs {
		numbers[n] = n + 1
	}
	if stored {
		r.step(ProgressStored{Job: "j", Progress: Progress{State: Queued, Steps: []StepProgress{{Step: 0, Failed: map[int][]int{0: numbers}}}}})
	}
	r.step(WorkersListed{Workers: []WorkerInfo{box("w1"), box("w2")}})
	var ended []EndedRun
	for _, n := range numbers {
		ended = append(ended, EndedRun{Number: uint64(n), Task: taskOf("j", 0), Run: n, How: RunFailed})
	}
	if stored {
		ended = nil
	}
	r.hold("w1", nil, ended...)
	r.hold("w2", nil)
	r.pass(time.Second)
	return r
}

// Guards against starts beyond a queue's attempts after failures counted before its policy was known.
func TestFailuresBeforeThePolicyIsKnownCount(t *testing.T) {
	for name, stored := range map[string]bool{"listed by a worker": false, "stored by a predecessor": true} {
		t.Run(name, func(t *testing.T) {
			r := failedRuns(t, stored, 3)
			r.step(QueuesChanged{Queues: map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
			r.pass(2 * time.Second)
			assert.Equal(t, len(r.starts()), 0)
			assert.Equal(t, r.core.jobs["j"].state, Failed)
		})
	}
}

// Guards against a job that fails before its queue's attempts are used up.
func TestFewerFailuresBeforeThePolicyIsKnownLeaveAttempts(t *testing.T) {
	for name, stored := range map[string]bool{"listed by a worker": false, "stored by a predecessor": true} {
		t.Run(name, func(t *testing.T) {
			r := failedRuns(t, stored, 2)
			r.step(QueuesChanged{Queues: map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
			r.pass(2 * time.Second)
			assert.Equal(t, len(r.starts()), 1)
		})
	}
}
