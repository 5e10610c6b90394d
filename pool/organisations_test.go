package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
)

// setCap gives organisation o a cap in cores; the pool holds all of it.
func (r *rig) setCap(cores int64) {
	r.step(OrganisationsChanged{Organisations: map[string]organisation.Organisation{
		"o": {Name: "o", Cap: organisation.Amounts{organisation.CPU: 1000 * cores}}}})
	r.step(CapShareRootKnown{Pool: 0})
}

func (r *rig) submitFor(org, id string, steps ...StepSpec) {
	r.step(JobStored{Job: Job{ID: id, Organisation: org, Queue: "q", Service: "s", Payload: "p", Steps: steps, AcceptedMs: r.unixMs()}})
}

// newOwnerRig returns a rig with three workers of 4 cores that have answered.
func newOwnerRig(t *testing.T) *rig {
	r := newRig(t, newWorkerInfo("w1"), newWorkerInfo("w2"), newWorkerInfo("w3"))
	r.confirmSaves()
	for _, w := range []string{"w1", "w2", "w3"} {
		r.answerHold(w, nil)
	}
	return r
}

// end reports that a run has ended as done, and confirms the save of that.
func (r *rig) end(s Start, number uint64) {
	r.answerHold(s.Worker, nil, EndedRun{Number: number, Task: s.Task, Run: s.Run, How: Done})
	r.advance(100 * time.Millisecond)
	r.confirmSaves()
}

func TestStartsStayWithinTheCap(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(5)
	r.submitFor("o", "j1", smallStep(4))
	r.submitFor("o", "j2", smallStep(4))
	r.submitFor("other", "j3", smallStep(2))
	r.submitJob("j4", smallStep(2))
	starts := r.acceptStarts()
	byJob := map[string]int{}
	for _, s := range starts {
		byJob[s.Task.Job]++
	}
	assert.DeepEqual(t, byJob, map[string]int{"j1": 4, "j2": 1, "j3": 2, "j4": 2})
	for _, s := range starts {
		if s.Task == taskID("j1", 0) {
			r.end(s, 1)
		}
	}
	assert.Equal(t, len(r.acceptStarts()), 1, "the end of a task frees the cap for one")
}

// Guards against a start without an answer that isn't counted: it may be carried out late, beside the one
// that takes its place under the cap.
func TestStartsWithoutAnAnswerCountTowardsTheCap(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(2)
	r.submitFor("o", "j1", smallStep(2))
	first := takeActions[Start](r)
	assert.Equal(t, len(first), 2)
	for _, s := range first {
		r.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: NoAnswer})
	}
	r.submitFor("o", "j2", smallStep(1))
	r.advance(300 * time.Millisecond)
	for _, s := range takeActions[Start](r) {
		assert.Equal(t, s.Task.Job, "j1", "the cap of two cores is used up by what may run")
	}
	assert.DeepEqual(t, r.core.usedBy("o"), organisation.Amounts{organisation.CPU: 2000, organisation.Mem: 200})
}

// Guards against a start before it is known which share of the caps the pool holds.
func TestNothingStartsBeforeTheSharesAreKnown(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(5)
	next := newOwnerRig(t)
	next.step(OrganisationsChanged{Organisations: r.core.orgs.byName})
	next.submitFor("o", "j", smallStep(4))
	assert.Equal(t, len(next.acceptStarts()), 0)
	next.step(CapShareRootKnown{Pool: 9})
	assert.Equal(t, len(next.acceptStarts()), 0, "another pool is the root")
	next.step(CapShareOffered{Offer: capshare.Offer{From: 9, Accounts: map[string]capshare.Account{
		"o": {Given: capshare.Shares{organisation.CPU: capshare.Whole / 5 * 2}}}}})
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.acceptStarts()), 2)
}

// Guards against a gang that starts in part because of a cap.
func TestGangStartsWithinTheCapAsAWholeOrNotAtAll(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(5)
	r.submitFor("o", "j1", smallStep(3))
	first := r.acceptStarts()
	assert.Equal(t, len(first), 3)
	gang := smallStep(4)
	gang.Gang = true
	r.submitFor("o", "j2", gang)
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 0)
	r.answerHold(first[0].Worker, nil, EndedRun{Number: 1, Task: first[0].Task, Run: 1, How: Done}, EndedRun{Number: 2, Task: first[1].Task, Run: 1, How: Done},
		EndedRun{Number: 3, Task: first[2].Task, Run: 1, How: Done})
	assert.Equal(t, len(r.acceptStarts()), 4)
}

// Guards against a gang that waits for ever since small tasks take each gap under the cap.
func TestLessUrgentStepsLeaveTheCapToAGang(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(6)
	r.submitFor("o", "j1", smallStep(4))
	first := r.acceptStarts()
	gang := smallStep(4)
	gang.Gang = true
	r.submitFor("o", "j2", gang)
	r.advance(holdBackAfter + 100*time.Millisecond)
	r.submitFor("o", "j3", smallStep(6))
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 0, "two cores are left for the gang")
	var ends []EndedRun
	for i, s := range first {
		ends = append(ends, EndedRun{Number: uint64(i + 1), Task: s.Task, Run: s.Run, How: Done})
	}
	r.answerHold(first[0].Worker, nil, ends...)
	byJob := map[string]int{}
	for _, s := range r.acceptStarts() {
		byJob[s.Task.Job]++
	}
	assert.DeepEqual(t, byJob, map[string]int{"j2": 4, "j3": 2})
}

// Guards against tasks that wait beside a gang that can't start while most of the cap is unused.
func TestStepsRunBesideAGangThatWaitsForMostOfTheCap(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(8)
	lasting := smallStep(1)
	lasting.LongRunning = true
	r.submitFor("o", "j1", lasting)
	assert.Equal(t, len(r.acceptStarts()), 1)
	gang := smallStep(8)
	gang.Gang = true
	r.submitFor("o", "j2", gang)
	r.advance(holdBackAfter + 100*time.Millisecond)
	r.submitFor("o", "j3", smallStep(2))
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 2)
}

// Guards against runs that are stopped, or new starts, when an operator lowers a cap far below what runs.
func TestLoweredCapStopsNothingAndStartsNothing(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(8)
	r.submitFor("o", "j1", smallStep(8))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 8)
	r.setCap(1)
	r.submitFor("o", "j2", smallStep(2))
	r.advance(2 * time.Second)
	assert.Equal(t, len(takeActions[Stop](r)), 0)
	assert.Equal(t, len(r.acceptStarts()), 0)
}

// Guards against a cap exceeded after a takeover: until a predecessor's workers have answered, what it
// may have started there counts.
func TestRunsOfAPredecessorCountBeforeTheyAreKnown(t *testing.T) {
	r := newRig(t)
	r.setCap(6)
	old := Job{ID: "j1", Organisation: "o", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(9)}}
	r.step(JobStored{Job: old, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}, {ID: "w2", Addr: "w2:1", Service: "s"}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}})
	r.confirmSaves()
	r.answerHold("w1", []ActiveRun{{Task: taskID("j1", 0), Run: 1}, {Task: taskID("j1", 1), Run: 1}})
	r.submitFor("o", "j2", smallStep(4))
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 0, "two cores are known to be in use, and four may be on w2")
	r.answerHold("w2", nil)
	r.advance(100 * time.Millisecond)
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 4, "all workers have answered")
}

// Guards against a new owner that gives away the share that its predecessor's runs use.
func TestShareOfAPredecessorsRunsIsNotGivenAway(t *testing.T) {
	r := newRig(t)
	r.setCap(6)
	old := Job{ID: "j1", Organisation: "o", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(4)}}
	r.core.Step(r.now, JobStored{Job: old, Inherited: true})
	r.core.Step(r.now, CapShareOffered{Offer: capshare.Offer{From: 9, Accounts: map[string]capshare.Account{
		"o": {Demand: capshare.Demand{Want: organisation.Amounts{organisation.CPU: 6000}}}}}})
	assert.Equal(t, r.core.orgs.ledger.Level("o")[organisation.CPU], int64(4000))
}

// Guards against a task of a predecessor's silence record that isn't counted.
func TestTasksOfASilenceRecordCount(t *testing.T) {
	r := newRig(t)
	r.setCap(2)
	old := Job{ID: "j1", Organisation: "o", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}
	r.step(JobStored{Job: old, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}, {ID: "w2", Addr: "w2:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j1", 0)}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}})
	r.confirmSaves()
	r.answerHold("w2", nil)
	r.submitFor("o", "j2", smallStep(4))
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.acceptStarts()), 1)
}

// Guards against runs of a cancelled job that a successor doesn't count, because the specification of
// the job was removed while they were being stopped.
func TestCancelledJobKeepsItsSpecificationWhileItHasRuns(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(6)
	r.submitFor("o", "j1", smallStep(2))
	starts := r.acceptStarts()
	assert.Equal(t, len(starts), 2)
	r.step(CancelStored{Job: "j1"})
	r.advance(200 * time.Millisecond)
	dropped := func() bool {
		for _, rec := range r.savedRecords() {
			if rec.Key == JobKey("j1") && len(rec.Value) == 0 {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !dropped())
	for i, s := range starts {
		r.answerHold(s.Worker, nil, EndedRun{Number: uint64(i + 1), Task: s.Task, Run: s.Run, How: Stopped})
	}
	r.advance(200 * time.Millisecond)
	assert.Assert(t, dropped())
	assert.Equal(t, r.core.usedBy("o"), organisation.Amounts{})

	next := newRig(t)
	next.setCap(2)
	next.step(JobStored{Job: Job{ID: "j1", Organisation: "o", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	next.step(ProgressStored{Job: "j1", Progress: Progress{State: Cancelled, Organisation: "o"}})
	next.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
	next.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	next.confirmSaves()
	next.answerHold("w1", []ActiveRun{{Task: taskID("j1", 0), Run: 1}, {Task: taskID("j1", 1), Run: 1}})
	next.submitFor("o", "j2", smallStep(2))
	next.advance(100 * time.Millisecond)
	assert.Equal(t, len(next.acceptStarts()), 0)
	assert.Equal(t, next.core.usedBy("o")[organisation.CPU], int64(2000))
}

// Guards against runs of a cancelled job that nobody counts after two takeovers in a row, because the
// first new owner removed the specification before the workers had answered.
func TestNewOwnerKeepsTheSpecificationOfACancelledJobUntilWorkersHaveAnswered(t *testing.T) {
	r := newRig(t)
	r.setCap(2)
	r.step(JobStored{Job: Job{ID: "j1", Organisation: "o", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	r.step(CancelStored{Job: "j1"})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	r.advance(200 * time.Millisecond)
	r.confirmSaves()
	j := r.core.jobs["j1"]
	assert.Assert(t, j.storedState == Cancelled && !j.recordsDropped)
	r.answerHold("w1", nil)
	r.advance(200 * time.Millisecond)
	assert.Assert(t, j.recordsDropped)
}

// Guards against a wait for a cap that looks like one for free workers.
func TestWaitForACapIsNamed(t *testing.T) {
	r := newOwnerRig(t)
	r.setCap(1)
	r.submitFor("o", "j1", smallStep(3))
	assert.Equal(t, len(r.acceptStarts()), 1)
	r.advance(8 * time.Second)
	found := false
	for _, e := range takeActions[LogEntry](r) {
		found = found || e.Event == "steps.waiting" && e.Reason == waitCap
	}
	assert.Assert(t, found)
}

func TestJobThatExceedsACapIsNamed(t *testing.T) {
	o := organisation.Organisation{Name: "o", Cap: organisation.Amounts{organisation.CPU: 4000, organisation.GPU: 0}}
	gang := smallStep(5)
	gang.Gang = true
	for _, c := range []struct {
		steps []StepSpec
		step  int
	}{
		{[]StepSpec{smallStep(50)}, -1},
		{[]StepSpec{smallStep(1), gang}, 1},
		{[]StepSpec{{Count: 1, Need: Resources{CPU: 4001}}}, 0},
		{[]StepSpec{{Count: 1, Need: Resources{CPU: 4000, Mem: 1 << 40, GPU: 99}}}, -1},
	} {
		j := Job{Steps: c.steps}
		step, _ := j.ExceededCap(&o)
		assert.Equal(t, step, c.step)
	}
}
