package pool

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// occurrenceInterval is the time between two occurrences of the jobs in these tests.
const occurrenceInterval = time.Second

// repeatingJob returns a job whose occurrence 1 becomes due one interval from now.
func (r *rig) repeatingJob(id string, occurrences int, steps ...StepSpec) Job {
	return Job{ID: id, Queue: "q", Service: "s", Payload: "p", Steps: steps, AcceptedMs: r.unixMs(),
		Repeat: occurrences, FirstRunMs: r.unixMs(), IntervalMs: occurrenceInterval.Milliseconds()}
}

func occurrenceTask(job string, k int) TaskID { return TaskID{Job: job, K: k} }

// newOwnerBehindItsPredecessor returns a new owner whose clock is behind that of its predecessor: occurrence 0
// of the job is due, and occurrence 1 isn't yet.
func newOwnerBehindItsPredecessor(t *testing.T, stored ...Event) *rig {
	r := newRig(t)
	r.step(JobStored{Inherited: true, Job: r.repeatingJob("j", 3, smallStep(1))})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}, {ID: "w2", Addr: "w2:1", Service: "s"}}})
	for _, ev := range stored {
		r.step(ev)
	}
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}})
	return r
}

// advanceAnswering advances the clock while the workers answer. They list the given runs and those that are
// started meanwhile. It returns the occurrences of which a task is started.
func (r *rig) advanceAnswering(d time.Duration, active map[string][]ActiveRun) (started []int) {
	for end := r.now + d; r.now < end; {
		r.advance(100 * time.Millisecond)
		r.confirmSaves()
		for _, h := range takeActions[Hold](r) {
			r.step(HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, ClockMs: r.now.Milliseconds(), Active: active[h.Worker]})
		}
		for _, s := range r.acceptStarts() {
			started = append(started, s.Task.K)
			active[s.Worker] = append(active[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
	}
	return started
}

// startedOccurrences returns the occurrences of which a task has been started.
func (r *rig) startedOccurrences() []int {
	var list []int
	for _, s := range r.acceptStarts() {
		list = append(list, s.Task.K)
	}
	return list
}

// Guards against a run of a predecessor that is stopped and started again, since its occurrence isn't due yet
// by the new owner's clock.
func TestRunOfAnOccurrenceNotYetDueIsAdopted(t *testing.T) {
	r := newOwnerBehindItsPredecessor(t)
	early := ActiveRun{Task: occurrenceTask("j", 1), Run: 2001}
	r.answerHold("w2", nil)
	r.answerHold("w1", []ActiveRun{early})
	assert.DeepEqual(t, r.advanceAnswering(2*occurrenceInterval+100*time.Millisecond, map[string][]ActiveRun{"w1": {early}}), []int{0, 2})
	assert.Equal(t, len(takeActions[Stop](r)), 0)
}

// Guards against the end of a predecessor's run that is acknowledged and lost, since its occurrence isn't due
// yet by the new owner's clock.
func TestEndOfAnOccurrenceNotYetDueIsStored(t *testing.T) {
	r := newOwnerBehindItsPredecessor(t)
	r.answerHold("w2", nil)
	r.storeAway = true
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: occurrenceTask("j", 1), Run: 2001, How: Done})
	r.advance(200 * time.Millisecond)
	for _, a := range r.actions {
		if h, ok := a.(Hold); ok {
			assert.Equal(t, h.Ack, uint64(0), "the end isn't stored yet")
		}
	}
	r.storeAway = false
	assert.DeepEqual(t, r.savedProgress("j").Steps, []StepProgress{{K: 1, All: true}})
	assert.DeepEqual(t, r.advanceAnswering(2*occurrenceInterval+100*time.Millisecond, map[string][]ActiveRun{}), []int{0, 2})
}

// Guards against a task of a predecessor's silence record that is started elsewhere, and against other tasks
// that wait for its worker, since its occurrence isn't due yet by the new owner's clock.
func TestSilenceRecordNamesAnOccurrenceNotYetDue(t *testing.T) {
	r := newOwnerBehindItsPredecessor(t, SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: occurrenceTask("j", 1)}}})
	r.answerHold("w2", nil)
	assert.DeepEqual(t, r.startedOccurrences(), []int{0})
	r.advance(occurrenceInterval + 500*time.Millisecond)
	assert.Equal(t, len(r.startedOccurrences()), 0, "the silent worker may run the task")
	r.answerHold("w1", nil)
	assert.DeepEqual(t, r.startedOccurrences(), []int{1})
}

// Guards against a task that is started before its time, since a predecessor whose clock is ahead had started it.
func TestLostRunIsNotStartedAgainBeforeItsOccurrenceIsDue(t *testing.T) {
	r := newOwnerBehindItsPredecessor(t)
	r.answerHold("w2", nil)
	r.answerHold("w1", nil, EndedRun{Number: 1, Task: occurrenceTask("j", 1), Run: 2001, How: LeaseExpired})
	active := map[string][]ActiveRun{}
	assert.DeepEqual(t, r.advanceAnswering(occurrenceInterval-100*time.Millisecond, active), []int{0})
	assert.DeepEqual(t, r.advanceAnswering(200*time.Millisecond, active), []int{1})
}

// openWeight returns the weight of the open occurrences of all jobs.
func (c *Core) openWeight() (sum int) {
	for _, j := range c.activeJobs {
		sum += len(j.occurrences) * j.occurrenceWeight
	}
	return sum
}

// Guards against memory that grows with the number of times for which repeated jobs are due: one large job, many
// middling ones, and wide occurrences.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	manySteps := make([]StepSpec, 300)
	for i := range manySteps {
		manySteps[i] = smallStep(1)
	}
	for _, tt := range []struct {
		name              string
		jobs, occurrences int
		steps             []StepSpec
	}{
		{"one of very many times", 1, MaxOccurrences, []StepSpec{smallStep(1)}},
		{"many middling ones", 2000, 2000, []StepSpec{smallStep(1)}},
		{"wide ones", 20, 1000, []StepSpec{smallStep(MaxTasks)}},
		{"of many steps", 50, 1000, manySteps},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Settings{MaxRecord: 256 << 10}, time.Hour)
			c.Step(time.Hour, Tick{UnixMs: int64(tt.occurrences) * 1000})
			for n := range tt.jobs {
				c.Step(time.Hour, JobStored{Job: Job{ID: fmt.Sprint(n), Queue: "q", Service: "s", Steps: tt.steps, Repeat: tt.occurrences, IntervalMs: 1000}})
			}
			c.Step(time.Hour+time.Second, Tick{UnixMs: int64(tt.occurrences) * 1000})
			oneEach := 0
			for _, j := range c.activeJobs {
				assert.Assert(t, len(j.occurrences) > 0, "nothing of a job is open")
				oneEach += j.occurrenceWeight
			}
			assert.Assert(t, c.openWeight() <= oneEach+maxPoolWindow, "%d open", c.openWeight())
		})
	}
}

// Guards against an owner that exceeds its memory, since an accepted job is due very often.
func TestRepeatedJobTakesLittleMemory(t *testing.T) {
	heapSize := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapSize()
	c := New(Settings{MaxRecord: 256 << 10}, time.Hour)
	c.Step(time.Hour, Tick{UnixMs: 1_000_000_000_000})
	c.Step(time.Hour, JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}, Repeat: 100_000, IntervalMs: 1}})
	taken := int64(heapSize()) - int64(before)
	runtime.KeepAlive(c)
	assert.Assert(t, taken < 16<<20, "%d bytes", taken)
}

// runner answers for one worker of a rig: it runs what is started there for some time.
type runner struct {
	r       *rig
	worker  string
	takes   func(TaskID) time.Duration
	runs    []activeRunner
	ends    []EndedRun
	number  uint64
	started map[TaskID]int // number of starts
	done    map[TaskID]int // number of ends as done
}

type activeRunner struct {
	ActiveRun
	until time.Duration
}

// step answers all calls to the worker, and ends the runs that are due.
func (x *runner) step() {
	for _, s := range x.r.acceptStarts() {
		x.started[s.Task]++
		x.runs = append(x.runs, activeRunner{ActiveRun{Task: s.Task, Run: s.Run}, x.r.now + x.takes(s.Task)})
	}
	x.runs = slices.DeleteFunc(x.runs, func(a activeRunner) bool {
		if x.r.now < a.until {
			return false
		}
		x.number++
		x.done[a.Task]++
		x.ends = append(x.ends, EndedRun{Number: x.number, Task: a.Task, Run: a.Run, How: Done})
		return true
	})
	for _, h := range takeActions[Hold](x.r) {
		x.ends = slices.DeleteFunc(x.ends, func(e EndedRun) bool { return e.Number <= h.Ack })
		answer := HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, ClockMs: x.r.now.Milliseconds(), Ended: slices.Clone(x.ends)}
		for _, a := range x.runs {
			answer.Active = append(answer.Active, a.ActiveRun)
		}
		x.r.step(answer)
	}
}

// Guards against a repeated job whose records grow with its finished occurrences, of which an occurrence is run twice
// or not at all after its owner is replaced again and again, or that keeps other jobs waiting.
func TestRepeatedJobCompletesUnderChangingOwners(t *testing.T) {
	const occurrences = 600
	info := newWorkerInfo("w1")
	info.Capacity = Resources{CPU: 40000, Mem: 80000}
	x := &runner{worker: "w1", started: map[TaskID]int{}, done: map[TaskID]int{}}
	x.takes = func(id TaskID) time.Duration {
		if id.K%100 == 7 {
			return 5 * time.Second // the others finish first
		}
		return time.Duration(100+id.K%5*100) * time.Millisecond
	}
	stored := storedJob{}
	second := smallStep(1)
	second.After = []int{0}
	x.r = newRig(t)
	due := x.r.unixMs()
	job := Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1), second}, AcceptedMs: due, Repeat: occurrences, IntervalMs: 10}
	other := Job{ID: "other", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1)}, AcceptedMs: due}
	stored.apply([]Record{{Key: JobKey("j"), Value: Encode(job)}, {Key: JobKey("other"), Value: Encode(other)}})
	largest := 0
	for owner := 0; stored["p/j"] == "" || !strings.Contains(stored["p/j"], string(Completed)); owner++ {
		assert.Assert(t, owner < 200, "the job doesn't complete")
		now := x.r.now
		x.r = newRig(t)
		x.r.now, x.r.keepStarts = now, true
		x.r.core.settings.MaxRecord, x.r.core.settings.Generation = 16<<10, owner
		x.r.step(Tick{UnixMs: x.r.unixMs()})
		x.r.restore(stored)
		x.r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
		x.r.step(WorkersListed{Workers: []WorkerInfo{info}, AsOf: 0})
		for range 20 {
			x.step()
			x.r.advance(50 * time.Millisecond)
			for _, s := range takeActions[Save](x.r) {
				stored.apply(s.Records)
				x.r.step(Saved{Seq: s.Seq})
			}
		}
		size := 0
		for key, value := range stored {
			size += len(key) + len(value)
		}
		largest = max(largest, size)
		if owner == 5 {
			assert.Equal(t, x.done[taskID("other", 0)], 1, "another job waits")
		}
	}
	assert.Assert(t, largest <= 16<<10, "%d bytes are stored", largest)
	for k := range occurrences {
		for step := range job.Steps {
			id := TaskID{Job: "j", K: k, Step: step}
			assert.Assert(t, x.started[id] == 1 && x.done[id] == 1, "%v: %d starts, %d ends", id, x.started[id], x.done[id])
		}
	}
}

// restore passes the records of jobs to the core as an owner does that loads them.
func (r *rig) restore(stored storedJob) {
	for _, prefix := range []string{jobPrefix, progressPrefix, progressPartPrefix} {
		for _, key := range slices.Sorted(maps.Keys(stored)) {
			suffix, ok := strings.CutPrefix(key, prefix)
			if !ok {
				continue
			}
			switch prefix {
			case jobPrefix:
				j, err := DecodeJob([]byte(stored[key]))
				assert.NilError(r.t, err)
				assert.NilError(r.t, j.Check())
				r.step(JobStored{Job: j, Inherited: true})
			case progressPrefix:
				e := ProgressStored{Job: suffix}
				assert.NilError(r.t, json.Unmarshal([]byte(stored[key]), &e.Progress))
				assert.NilError(r.t, e.Progress.Check())
				r.step(e)
			default:
				e := ProgressPartStored{}
				e.Job, e.ID, _ = ParseProgressPart(suffix)
				assert.NilError(r.t, json.Unmarshal([]byte(stored[key]), &e.ProgressPart))
				r.step(e)
			}
		}
	}
}

// Guards against a job that can't be served: it is refused, and doesn't stop the pool that accepts it.
func TestJobsThatCantBeServedAreRefused(t *testing.T) {
	const maxRecord, maxMemory = 256 << 10, 64 << 20
	wide := make([]StepSpec, 20)
	for i := range wide {
		wide[i] = smallStep(MaxTasks)
	}
	for name, j := range map[string]Job{
		"too many occurrences":        {Steps: []StepSpec{smallStep(1)}, Repeat: MaxOccurrences + 1},
		"a time beyond all times":     {Steps: []StepSpec{smallStep(1)}, Repeat: 1000, FirstRunMs: math.MaxInt64 - 10, IntervalMs: 1},
		"an occurrence beyond memory": {Steps: wide},
	} {
		assert.Assert(t, j.CheckSize(1000, maxRecord, maxMemory) != nil, name)
	}
	fits := Job{Steps: []StepSpec{smallStep(MaxTasks)}, Repeat: MaxOccurrences, IntervalMs: 1000}
	assert.NilError(t, fits.CheckSize(1000, maxRecord, maxMemory))

	c := New(Settings{MaxMemory: maxMemory}, time.Hour)
	accepted := 0
	for n := range 1000 {
		j := Job{ID: fmt.Sprint(n), Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1000)}, Repeat: n % 2 * 10}
		a := c.Admit(time.Hour, j)
		if a.Refused {
			assert.Equal(t, a.Bottleneck, MemoryBottleneck)
			assert.Assert(t, a.RetryAfter > 0)
			break
		}
		accepted++
		c.Step(time.Hour, JobStored{Job: j})
	}
	assert.Assert(t, accepted > 10 && accepted*1000*taskMemory <= maxMemory/poolMemoryFraction, "%d accepted", accepted)
	c.Step(time.Hour, CancelStored{Job: "0"})
	assert.Assert(t, !c.Admit(time.Hour, Job{ID: "again", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(1000)}}).Refused, "a job has ended")
}

// Guards against a set of finished occurrences that differs from what was added.
func TestSpansMatchASet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		var s, part Spans
		model, inPart := map[int]bool{}, map[int]bool{}
		for range 40 {
			from := rng.IntN(60)
			before := from + rng.IntN(5)
			s = s.add(from, before)
			for n := from; n < before; n++ {
				model[n] = true
			}
			if rng.IntN(4) == 0 {
				part, inPart = slices.Clone(s), maps.Clone(model)
			}
			assert.NilError(t, s.check())
			assert.Equal(t, s.count(), len(model))
			for n := range 66 {
				assert.Equal(t, s.contains(n), model[n])
				missing := n
				for model[missing] {
					missing++
				}
				assert.Equal(t, s.nextMissing(n), missing)
			}
			var rest []int
			s.without(part, func(n int) { rest = append(rest, n) })
			assert.Equal(t, len(rest), len(model)-len(inPart))
			for _, n := range rest {
				assert.Assert(t, model[n] && !inPart[n])
			}
			assert.DeepEqual(t, slices.Clone(part).union(s), s)
		}
	}
}
