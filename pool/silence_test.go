package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// savedSilences returns the silence records in the pending saves by worker; nil stands for a
// record that is deleted.
func (r *rig) savedSilences() map[string][]TaskID {
	r.t.Helper()
	found := map[string][]TaskID{}
	for _, a := range r.actions {
		save, ok := a.(Save)
		if !ok {
			continue
		}
		for _, rec := range save.Records {
			if kind, worker := ParseKey(rec.Key); kind == SilentRecord {
				var tasks []TaskID
				if len(rec.Value) > 0 {
					assert.NilError(r.t, json.Unmarshal(rec.Value, &tasks))
				}
				found[worker] = tasks
			}
		}
	}
	return found
}

// A worker stops answering while it runs a task. The owner stores which tasks it may run.
// Guards against starts there before that silence record is deleted from the store: a successor
// that trusts the record would run such a task a second time.
func TestNothingStartsOnAWorkerWhileItsSilenceIsStored(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.answerHold("w1", nil)
	r.submitJob("a", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 1)
	r.advance(time.Second)
	r.confirmSaves()
	r.failHolds("w1")
	r.advance(100 * time.Millisecond)
	assert.DeepEqual(t, r.savedSilences(), map[string][]TaskID{"w1": {taskID("a", 0)}})
	r.confirmSaves()

	running := ActiveRun{Task: taskID("a", 0), Run: 1}
	r.advance(time.Second)
	r.answerHold("w1", []ActiveRun{running})
	r.submitJob("b", smallStep(1))
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 0, "the silence record is still stored")
	assert.DeepEqual(t, r.savedSilences(), map[string][]TaskID{"w1": nil})
	r.confirmSaves()
	assert.Equal(t, len(r.acceptStarts()), 1)
}

// The owner dies while a worker does not answer, having stored that it may run one task. The
// successor starts all other tasks as soon as the other workers have answered, and this one
// only when it cannot run on the silent worker any more.
func TestSuccessorWaitsOnlyForWhatASilentWorkerMayRun(t *testing.T) {
	inherit := func() *rig {
		r := newRig(t)
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
		r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "dark", Addr: "dark:1", Service: "s"}, {ID: "w1", Addr: "w1:1", Service: "s"}}})
		r.step(SilenceStored{Worker: "dark", Tasks: []SilentTask{{TaskID: taskID("j", 0)}}})
		r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
		r.advance(50 * time.Millisecond)
		r.answerHold("w1", nil)
		r.advance(50 * time.Millisecond)
		return r
	}
	r := inherit()
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, taskID("j", 1))
	for r.now < time.Hour+8*time.Second {
		r.advance(500 * time.Millisecond)
		r.answerHold("w1", []ActiveRun{{Task: taskID("j", 1), Run: starts[0].Run, Percent: int(r.now / time.Second)}})
		r.confirmSaves() // the crash of the silent worker is stored before its task runs again
		for _, s := range r.acceptStarts() {
			assert.Equal(t, s.Task, taskID("j", 0))
			assert.Assert(t, r.now-time.Hour > 6*time.Second, "started after %v", r.now-time.Hour)
			return
		}
	}
	t.Fatal("the task never ran again")
}

// Without a silence record any inherited task may run on the silent worker, so all of them
// wait.
func TestSuccessorWaitsForAllTasksWithoutASilenceRecord(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "dark", Addr: "dark:1", Service: "s"}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	r.advance(50 * time.Millisecond)
	r.answerHold("w1", nil)
	r.advance(5 * time.Second)
	assert.Equal(t, len(r.acceptStarts()), 0)
}

// Two workers have left, or their machines went down for maintenance, just before a handover.
// The directory still lists them for seconds, and they never answer. Guards against inherited
// jobs that wait for the longest lease of such workers: long-running tasks were unavailable for
// 14 s while workers were replaced and instances restarted. The machine list of the platform
// shows which incarnations have ended.
func TestInheritedJobsDoNotWaitForEndedIncarnations(t *testing.T) {
	takeOver := func(lists int, machines ...MachineInfo) *rig {
		r := newRig(t)
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "left", Addr: "left:1", Service: "s"}}})
		r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("upkept")}})
		r.advance(50 * time.Millisecond)
		r.answerHold("w1", nil)
		r.advance(300 * time.Millisecond)
		assert.Equal(t, len(r.acceptStarts()), 0, "while it is unknown what these workers run")
		for range lists {
			assert.Equal(t, len(takeActions[ListMachines](r)), 1)
			r.step(MachinesListed{Machines: machines})
			r.advance(750 * time.Millisecond)
			r.confirmSaves() // the task may have run on a worker that has left, so its run is stored first
		}
		return r
	}
	living := MachineInfo{ID: "m1", Service: "s", Up: true, Worker: "w1"}

	down := MachineInfo{ID: "m2", Service: "s", Worker: "upkept"}
	assert.Equal(t, len(takeOver(2, living, down).acceptStarts()), 1, "one machine is down, one has left")
	next := MachineInfo{ID: "m2", Service: "s", Up: true, Worker: "upkept-2"}
	assert.Equal(t, len(takeOver(2, living, next).acceptStarts()), 1, "another incarnation on the machine")

	// The list is read in pages and can miss a machine when others leave meanwhile.
	assert.Equal(t, len(takeOver(1, living, down).acceptStarts()), 0, "missing from one list only")
	silent := MachineInfo{ID: "m2", Service: "s", Up: true, Worker: "upkept"}
	assert.Equal(t, len(takeOver(3, living, silent).acceptStarts()), 0, "it may be partitioned and still run tasks")
	assert.Equal(t, len(takeOver(3).acceptStarts()), 0, "empty machine list")
	other := MachineInfo{ID: "m9", Service: "other", Up: true, Worker: "x"}
	assert.Equal(t, len(takeOver(3, other).acceptStarts()), 0, "the list has no machine of this service")
	unnamed := MachineInfo{ID: "m2", Service: "s", Up: true}
	assert.Equal(t, len(takeOver(2, living, down, unnamed).acceptStarts()), 0, "a machine that is up may host any worker")
	assert.Equal(t, len(takeOver(2, living, silent, MachineInfo{ID: "m3", Service: "s", Worker: "upkept"}).acceptStarts()), 0, "listed twice")
}

// Guards against the use of a machine list that was requested before the workers were known. It
// may be older than the incarnation of a worker and does not tell whether that has ended.
func TestMachinesAreListedOnlyOnceTheWorkersAreKnown(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(WavesRequested{Waves: []Wave{{Number: 1, Machines: []string{"m1"}, Cap: 1}}})
	r.advance(time.Second)
	assert.Equal(t, len(takeActions[ListMachines](r)), 0)
}

// The owner has stored that a worker which left may run a task, and hands over. Guards against
// a successor that waits another whole lease for that task: each takeover restarted the wait,
// and a long-running task was unavailable for 12 s after its worker had left.
func TestTasksOfASilenceRecordDoNotWaitForEndedIncarnations(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "left", Addr: "left:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "left", Tasks: []SilentTask{{TaskID: taskID("j", 0)}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	r.advance(50 * time.Millisecond)
	r.answerHold("w1", nil)
	for range requiredAbsentLists {
		r.advance(750 * time.Millisecond)
		assert.Equal(t, len(r.acceptStarts()), 0, "while the task may run on the worker that left")
		assert.Equal(t, len(takeActions[ListMachines](r)), 1)
		r.step(MachinesListed{Machines: []MachineInfo{{ID: "m1", Service: "s", Up: true, Worker: "w1"}}})
	}
	r.advance(50 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 1)
}
