package pool

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashRig drives a core whose workers crash and start again with other IDs.
type crashRig struct {
	*rig
	workers []string
	started int
	logged  []LogEntry
}

func newCrashRig(t *testing.T, workers int) *crashRig {
	c := &crashRig{}
	var infos []WorkerInfo
	for range workers {
		infos = append(infos, c.nextWorker())
	}
	c.rig = newRig(t, infos...)
	c.settle(100 * time.Millisecond)
	return c
}

func (c *crashRig) nextWorker() WorkerInfo {
	c.started++
	info := newWorkerInfo(fmt.Sprintf("w%d", c.started))
	info.Rack = fmt.Sprintf("r%d", c.started%10)
	c.workers = append(c.workers, info.ID)
	return info
}

// settle answers holds for a while: each worker runs what the core started on it.
func (c *crashRig) settle(d time.Duration) {
	c.t.Helper()
	for end := c.now + d; c.now < end; {
		c.advance(50 * time.Millisecond)
		c.confirmSaves()
		c.acceptStarts()
		c.logged = append(c.logged, takeActions[LogEntry](c.rig)...)
		for _, id := range c.workers {
			if c.core.workers[id].holdPending {
				c.answerHold(id, c.active(id))
			}
		}
	}
}

func (c *crashRig) active(id string) []ActiveRun {
	var list []ActiveRun
	for _, r := range c.core.workers[id].sortedRuns() {
		if r.phase == running {
			list = append(list, ActiveRun{Task: r.task.id(), Run: r.number, Percent: 1})
		}
	}
	return list
}

// crash replaces a worker: its calls are answered by another incarnation.
func (c *crashRig) crash(id string) {
	c.t.Helper()
	c.failHolds(id)
	c.workers = slices.DeleteFunc(c.workers, func(o string) bool { return o == id })
	c.nextWorker()
	var infos []WorkerInfo
	for _, w := range c.workers {
		info := newWorkerInfo(w)
		info.Rack = "r" + w[len(w)-1:]
		infos = append(infos, info)
	}
	c.step(WorkersListed{Workers: infos})
	c.step(HoldAnswered{Worker: id, Outcome: WrongIncarnation})
}

// workerOf returns the worker that runs a task, after waiting for its start.
func (c *crashRig) workerOf(id TaskID) string {
	c.t.Helper()
	for range 200 {
		if t := c.core.task(id); t != nil && t.run != nil && t.run.phase == running {
			return t.run.worker.ID
		}
		c.settle(50 * time.Millisecond)
	}
	c.t.Fatalf("%v doesn't run", id)
	return ""
}

// Guards against a task that is started again although three workers have crashed right after its
// start, the last one in isolation.
func TestTaskIsGivenUpAfterACrashInIsolation(t *testing.T) {
	c := newCrashRig(t, 6)
	c.submitJob("sound", smallStep(6))
	c.submitJob("j", smallStep(1))
	var crashed []string
	for range 3 {
		w := c.workerOf(taskID("j", 0))
		crashed = append(crashed, w)
		c.crash(w)
	}
	c.settle(2 * outageWindow)
	assert.Equal(t, c.core.jobs["j"].state, Failed)
	assert.Equal(t, len(c.core.jobs["j"].givenUp.Crashes), 3)
	for i, x := range c.core.jobs["j"].givenUp.Crashes {
		assert.Equal(t, x.Worker, crashed[i])
	}
	assert.Assert(t, !c.core.jobs["sound"].state.Ended())
	i := slices.IndexFunc(c.logged, func(e LogEntry) bool { return e.Event == "task.given_up" })
	assert.Assert(t, i >= 0 && strings.Contains(c.logged[i].Reason, crashed[2]), "%+v", c.logged)
}

// Guards against other tasks beside a quarantined one, which would be lost with it.
func TestQuarantinedTaskRunsOnASettledWorker(t *testing.T) {
	c := newCrashRig(t, 3)
	c.submitJob("j", smallStep(1))
	for range 2 {
		c.crash(c.workerOf(taskID("j", 0)))
	}
	c.submitJob("sound", smallStep(2))
	isolated := c.workerOf(taskID("j", 0))
	c.submitJob("more", smallStep(3))
	c.settle(time.Second)
	for _, r := range c.core.workers[isolated].runs {
		assert.Assert(t, r.task.step.job.ID == "j" || c.now-r.startedAt > settleTime, "%v runs beside it", r.task.id())
	}
	assert.Assert(t, c.core.jobs["more"].started)
	c.settle(10 * time.Second)
	assert.Equal(t, len(c.core.task(taskID("j", 0)).crashes), 0, "its run has proven itself")
}

// Guards against a worker that stays isolated although it has survived the quarantined run, while other
// quarantined tasks wait for one.
func TestIsolationEndsWithItsRun(t *testing.T) {
	c := newCrashRig(t, 3)
	c.submitJob("j", smallStep(1))
	for range 2 {
		c.crash(c.workerOf(taskID("j", 0)))
	}
	id := c.workerOf(taskID("j", 0))
	run := c.core.task(taskID("j", 0)).lastRun
	c.submitJob("more", smallStep(12))
	c.settle(200 * time.Millisecond)
	assert.Equal(t, len(c.core.workers[id].runs), 1)
	for !c.core.workers[id].holdPending {
		c.advance(10 * time.Millisecond)
	}
	c.answerHold(id, nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: run, How: Done})
	c.settle(100 * time.Millisecond)
	assert.Equal(t, len(c.core.workers[id].runs), 4)
}

// Guards against a successor that doesn't know the crashes that its predecessor has counted.
func TestSuccessorKnowsCrashes(t *testing.T) {
	c := newCrashRig(t, 4)
	c.submitJob("j", smallStep(1))
	for range 2 {
		c.crash(c.workerOf(taskID("j", 0)))
	}
	data := Encode(c.core.jobs["j"].progress())
	var progress Progress
	assert.NilError(t, json.Unmarshal(data, &progress))

	next := newRig(t)
	next.step(JobStored{Job: c.core.jobs["j"].Job, Inherited: true})
	next.step(ProgressStored{Job: "j", Progress: progress})
	assert.Assert(t, next.core.task(taskID("j", 0)).isQuarantined())
	assert.DeepEqual(t, next.core.task(taskID("j", 0)).crashes, c.core.task(taskID("j", 0)).crashes)
}

// Guards against a crash that isn't counted because the pool's owner changed while the worker was
// silent.
func TestSuccessorCountsTheCrashOfASilentWorker(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 1)}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w2")}})
	r.step(HoldAnswered{Worker: "w1", Outcome: WrongIncarnation})
	assert.Equal(t, len(r.core.task(taskID("j", 0)).crashes), 0)
	assert.DeepEqual(t, r.core.task(taskID("j", 1)).crashes, []Crash{{Worker: "w1", LivedMs: unknownLife.Milliseconds()}})
}

// Guards against a crash that a successor counts twice: from the silence record, and from the stored run
// once a list that is out of date names the worker again.
func TestSuccessorCountsACrashOnce(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
		Crashes: map[int][]Crash{0: {{Worker: "w9", Born: 50, Run: 1}}}, Suspected: map[int]Crash{0: {Worker: "w1", Run: 2}}}}}})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 0)}}})
	for range 2 {
		r.step(HoldAnswered{Worker: "w1", Outcome: WrongIncarnation})
		r.advance(50 * time.Millisecond)
		r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100)}})
	}
	assert.Equal(t, len(r.core.task(taskID("j", 0)).crashes), 2)
}

// Guards against a crash that counts although the worker was only unreachable.
func TestCrashOfAReachableWorkerIsRetracted(t *testing.T) {
	c := newCrashRig(t, 2)
	c.submitJob("j", smallStep(1))
	id := c.workerOf(taskID("j", 0))
	c.loseContact(id)
	assert.Equal(t, len(c.core.task(taskID("j", 0)).crashes), 1)
	c.listAgain(id)
	assert.Equal(t, len(c.core.task(taskID("j", 0)).crashes), 0)
}

// Guards against a task that never runs again, as its crash was retracted before it was stored.
func TestTaskRunsAfterAnUnstoredCrashIsRetracted(t *testing.T) {
	c := newCrashRig(t, 2)
	c.submitJob("j", smallStep(1))
	id := c.workerOf(taskID("j", 0))
	c.storeAway = true
	c.loseContact(id)
	assert.Equal(t, len(c.core.task(taskID("j", 0)).crashes), 1)
	c.listAgain(id)
	c.storeAway = false
	c.workerOf(taskID("j", 0))
}

// Guards against a task that never runs again, as the worker that had seemed to crash under it lists
// the run as failed before the crash is stored.
func TestTaskRunsAfterAnUnstoredCrashIsDisproved(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}})
	r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{{TaskID: taskID("j", 0)}}})
	r.step(WorkersListed{})
	r.storeAway = true
	for range 200 {
		r.failHolds("w1")
		r.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(r.core.task(taskID("j", 0)).crashes), 1)
	assert.Assert(t, r.core.task(taskID("j", 0)).isWaiting(r.now))
	r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100)}})
	r.answerAs(100, nil, EndedRun{Number: 1, Task: taskID("j", 0), Run: 1, How: RunFailed})
	r.storeAway = false
	r.advance(time.Second)
	r.answerAs(100, nil)
	r.confirmSaves()
	assert.Equal(t, len(r.acceptStarts()), 1)
}

// loseContact makes a worker neither report nor answer for 10 s.
func (c *crashRig) loseContact(id string) {
	c.workers = slices.DeleteFunc(c.workers, func(o string) bool { return o == id })
	c.listWorkers()
	for range 200 {
		c.failHolds(id)
		c.settle(50 * time.Millisecond)
	}
}

// listAgain makes a worker report again.
func (c *crashRig) listAgain(id string) {
	c.workers = append(c.workers, id)
	c.listWorkers()
}

func (c *crashRig) listWorkers() {
	var infos []WorkerInfo
	for _, w := range c.workers {
		infos = append(infos, newWorkerInfo(w))
	}
	c.step(WorkersListed{Workers: infos})
}

// Guards against the loss of all workers of a rack that counts against the tasks on them.
func TestOutageOfARackIsExcused(t *testing.T) {
	r := newRig(t)
	var infos []WorkerInfo
	for n := range 4 {
		infos = append(infos, newWorkerInfo(fmt.Sprintf("w%d", n)))
		infos[n].Rack = []string{"r1", "r1", "r1", "r2"}[n]
	}
	c := &crashRig{rig: r, workers: []string{"w0", "w1", "w2", "w3"}}
	r.step(WorkersListed{Workers: infos})
	c.settle(100 * time.Millisecond)
	c.submitJob("j", StepSpec{Count: 3, Need: Resources{CPU: 3000, Mem: 100}, EstimateMs: 500})
	c.settle(2 * time.Second)
	for _, id := range c.workers[:3] {
		c.failHolds(id)
	}
	for _, id := range c.workers[:3] {
		c.step(HoldAnswered{Worker: id, Outcome: WrongIncarnation})
	}
	for _, task := range c.core.jobs["j"].occurrences[0].steps[0].tasks {
		for _, x := range task.crashes {
			assert.Assert(t, x.Outage, "%+v", x)
		}
		assert.Equal(t, task.blame(), 0)
	}
}

// Guards against a sound job that is given up because its worker crashed while the owner was cut off from
// all workers, and the others have answered again by the time the crash is noticed.
func TestCrashDuringAPartitionGivesNothingUp(t *testing.T) {
	c := newCrashRig(t, 6)
	c.submitJob("j", smallStep(1))
	for range 2 {
		c.crash(c.workerOf(taskID("j", 0)))
	}
	id := c.workerOf(taskID("j", 0))
	c.settle(time.Second)
	for _, w := range c.workers {
		for !c.core.workers[w].holdPending {
			c.advance(50 * time.Millisecond)
		}
		c.failHolds(w)
	}
	for _, w := range c.workers {
		if w != id {
			c.advance(50 * time.Millisecond)
			c.answerHold(w, c.active(w))
		}
	}
	c.crash(id)
	c.settle(2 * outageWindow)
	crashes := c.core.task(taskID("j", 0)).crashes
	assert.Equal(t, len(crashes), 3)
	assert.Assert(t, crashes[2].Outage && !crashes[2].Isolated, "%+v", crashes[2])
	assert.Assert(t, !c.core.jobs["j"].state.Ended())
}

// Guards against a limit that leaves no room for a crash that wasn't counted, and against sound tasks
// that are given up for outages.
func TestNumberOfCrashesAfterWhichATaskIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		single, outages    int
		uncounted, givenUp bool
	}{
		{4, 0, false, false}, {5, 0, false, true}, {3, 2, false, true}, {3, 1, false, false}, {2, 9, false, false},
		{3, 0, true, false}, {4, 0, true, true}, {3, 1, true, true}, {2, 9, true, false},
	} {
		crashing := &task{uncounted: test.uncounted, crashes: make([]Crash, test.single+test.outages)}
		for n := range test.outages {
			crashing.crashes[n].Outage = true
		}
		assert.Equal(t, crashing.hasCrashedTooOften(), test.givenUp, "%+v", test)
	}
}

// Guards against a task that is started again since its owner ended before it could give it up.
func TestSuccessorGivesUpATaskWithTooManyCrashes(t *testing.T) {
	var crashes []Crash
	for n := range maxCrashes {
		crashes = append(crashes, Crash{Worker: fmt.Sprintf("w%d", n), Run: n + 1, LivedMs: 7000})
	}
	r := newRig(t)
	r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
	r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: crashes}}}}})
	assert.Equal(t, r.core.jobs["j"].state, Failed)
	report := r.core.CrashReport()
	assert.Equal(t, len(report), 1)
	assert.Equal(t, report[0].State, taskGivenUp)
}

// Guards against a report that loses the task that was given up when the pool's owner changes.
func TestSuccessorReportsTasksGivenUp(t *testing.T) {
	r := newRig(t)
	givenUp := &GivenUp{Step: 1, Ordinal: 2, Crashes: []Crash{{Worker: "w1", Born: 5, Run: 3}}}
	r.step(ProgressStored{Job: "j", Progress: Progress{State: Failed, GivenUp: givenUp}})
	report := r.core.CrashReport()
	assert.Equal(t, len(report), 1)
	assert.Equal(t, report[0].Task, 2)
	assert.DeepEqual(t, report[0].Workers, []CrashedWorker{{Worker: "w1", Incarnation: 5, Run: 3}})
}

// Guards against a store of an older build that can't be read.
func TestRecordsOfOlderBuildsAreRead(t *testing.T) {
	var p Progress
	assert.NilError(t, json.Unmarshal([]byte(`{"s":"running","t":[{"i":0,"d":"01","f":{"0":[1]},"c":{"0":"x"}}]}`), &p))
	assert.NilError(t, p.Check())
	assert.Equal(t, len(p.Steps[0].Crashes), 0)
	var tracked []TrackedWorker
	assert.NilError(t, json.Unmarshal([]byte(`[{"id":"i-1","a":"10.0.0.1:1","s":"s"}]`), &tracked))
	assert.DeepEqual(t, tracked, []TrackedWorker{{ID: "i-1", Addr: "10.0.0.1:1", Service: "s"}})
}

// Guards against a run whose crash no successor can count, as the store doesn't hold it.
func TestSuspectsWaitUntilTheStoreAnswers(t *testing.T) {
	lasting := smallStep(1)
	lasting.LongRunning = true
	for crashes := range 3 { // two: quarantined
		r := newRig(t, bornWorker(100))
		r.advance(5 * time.Second)
		r.storeAway = true
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{lasting}}, Inherited: true})
		r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: make([]Crash, crashes)}}}}})
		r.answerAs(100, nil)
		r.advance(50 * time.Millisecond)
		started := len(r.acceptStarts())
		assert.Equal(t, started, map[bool]int{true: 1, false: 0}[crashes == 0], "%d crashes", crashes)
		r.storeAway = false
		r.confirmSaves()
		started += len(r.acceptStarts())
		assert.Equal(t, started, 1, "%d crashes", crashes)
	}
}

// Guards against a run that no successor knows of, as the owner lost the store right after its start:
// if its worker crashes, nobody counts that.
func TestSuspectStartsOnceItsRunIsStored(t *testing.T) {
	for crashes := range 3 { // two: quarantined
		r := newRig(t, bornWorker(100))
		r.keepStarts = true
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: make([]Crash, crashes)}}}}})
		var stored []Record
		started := 0
		for range 200 {
			for _, h := range takeActions[Hold](r) {
				r.step(HoldAnswered{Worker: h.Worker, Born: 100, SentAt: h.SentAt, ClockMs: r.now.Milliseconds()})
			}
			for _, s := range takeActions[Start](r) {
				started++
				if crashes == 0 {
					continue
				}
				i := slices.IndexFunc(stored, func(rec Record) bool {
					return rec.Key == ProgressKey("j") && strings.Contains(string(rec.Value), fmt.Sprintf(`"r":%d`, s.Run))
				})
				assert.Assert(t, i >= 0, "%d crashes: the store doesn't hold run %d", crashes, s.Run)
			}
			for _, s := range takeActions[Save](r) {
				stored = append(stored, s.Records...)
				r.step(Saved{Seq: s.Seq})
			}
			r.advance(50 * time.Millisecond)
		}
		assert.Equal(t, started, 1, "%d crashes", crashes)
	}
}

// Guards against crashes that no owner has counted, as each owner ended right after the start: those of
// workers that were gone at the takeover without a silence record.
func TestTasksThatAPredecessorMayHaveStartedAreSuspects(t *testing.T) {
	for _, test := range []struct {
		name      string
		event     Event
		uncounted bool
	}{
		{"answers", HoldAnswered{Worker: "w1", Born: 100}, false},
		{"restarted", HoldAnswered{Worker: "w1", Born: 200}, true},
		{"replaced", HoldAnswered{Worker: "w1", Outcome: WrongIncarnation}, true},
		{"silent", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
			r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Done: "10"}}}})
			r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
			r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w2")}})
			if test.event != nil {
				r.step(test.event)
			}
			for range 200 {
				r.failHolds("w1")
				if r.core.workers["w2"].holdPending {
					r.answerHold("w2", nil)
				}
				r.advance(50 * time.Millisecond)
				r.confirmSaves()
			}
			r.step(JobStored{Job: Job{ID: "k", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}})
			assert.Assert(t, !r.core.task(taskID("j", 0)).uncounted, "it was done")
			assert.Equal(t, r.core.task(taskID("j", 1)).uncounted, test.uncounted)
			assert.Assert(t, !r.core.task(taskID("k", 0)).uncounted, "no predecessor knew it")

			next := newRig(t)
			next.step(JobStored{Job: r.core.jobs["j"].Job, Inherited: true})
			next.step(ProgressStored{Job: "j", Progress: r.core.jobs["j"].progress()})
			assert.Equal(t, next.core.task(taskID("j", 1)).uncounted, test.uncounted, "after a second takeover")
		})
	}
}

// Guards against a run that is blamed for a crash although its worker may never have got the start, and
// against one that isn't counted at all: by the owner, and by a successor that knows it from a silence
// record or from the stored run.
func TestCrashUnderAnUnconfirmedRunIsDoubtful(t *testing.T) {
	for _, outcome := range []Outcome{NoAnswer, OK} {
		r := newRig(t, bornWorker(100))
		r.answerAs(100, nil)
		r.submitJob("j", smallStep(1))
		for starts := takeActions[Start](r); len(starts) > 0; starts = takeActions[Start](r) {
			r.step(StartAnswered{Worker: "w1", Task: starts[0].Task, Run: starts[0].Run, Outcome: outcome})
		}
		r.advance(time.Second)
		var silence []SilentTask
		for range 2 {
			r.failHolds("w1")
			for _, s := range takeActions[Save](r) {
				for _, rec := range s.Records {
					if rec.Key == SilentKey("w1") {
						assert.NilError(t, json.Unmarshal(rec.Value, &silence))
					}
				}
				r.step(Saved{Seq: s.Seq})
			}
			r.advance(300 * time.Millisecond)
		}
		assert.Equal(t, len(silence), 1)
		r.step(HoldAnswered{Worker: "w1", Outcome: WrongIncarnation})

		// A successor learns it from the silence record, or from the progress if workers had crashed before.
		fromSilence, fromProgress := newRig(t), newRig(t)
		fromSilence.step(JobStored{Job: r.core.jobs["j"].Job, Inherited: true})
		fromSilence.step(SilenceStored{Worker: "w1", Tasks: silence})
		fromProgress.step(JobStored{Job: r.core.jobs["j"].Job, Inherited: true})
		fromProgress.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
			Crashes: map[int][]Crash{0: {{Worker: "w0"}}}, Suspected: map[int]Crash{0: {Worker: "w1", Run: 1, Doubtful: outcome != OK}}}}}})
		for _, next := range []*rig{fromSilence, fromProgress} {
			next.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
			next.step(HoldAnswered{Worker: "w1", Outcome: WrongIncarnation})
		}
		for name, core := range map[string]*Core{"owner": r.core, "silence record": fromSilence.core, "progress": fromProgress.core} {
			crashes := core.task(taskID("j", 0)).crashes
			assert.Equal(t, crashes[len(crashes)-1].Worker, "w1", name)
			assert.Equal(t, crashes[len(crashes)-1].Doubtful, outcome != OK, name)
		}
		assert.Equal(t, r.core.task(taskID("j", 0)).blame(), map[Outcome]int{NoAnswer: 0, OK: 1}[outcome])
	}
}

// Guards against a crash that counts against a task which had to stop anyway, or that stays doubtful although
// a second record shows that the worker had the run.
func TestCrashesFromSeveralRecords(t *testing.T) {
	for _, test := range []struct {
		silent   SilentTask
		run      Crash
		doubtful bool
	}{
		{SilentTask{Unconfirmed: true}, Crash{Worker: "w1", Run: 2}, false},
		{SilentTask{}, Crash{Worker: "w1", Run: 2, Doubtful: true}, false},
		{SilentTask{Unconfirmed: true}, Crash{Worker: "w1", Run: 2, Doubtful: true}, true},
	} {
		r := newRig(t)
		test.silent.TaskID = taskID("j", 0)
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
		r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
			Crashes: map[int][]Crash{0: {{Worker: "w0"}}}, Suspected: map[int]Crash{0: test.run}}}}})
		r.step(SilenceStored{Worker: "w1", Tasks: []SilentTask{test.silent, {TaskID: taskID("j", 1), Stopping: true}}})
		r.step(HoldAnswered{Worker: "w1", Outcome: WrongIncarnation})
		crashes := r.core.task(taskID("j", 0)).crashes
		assert.Equal(t, len(crashes), 2)
		assert.Equal(t, crashes[1].Doubtful, test.doubtful, "%+v", test)
		assert.Equal(t, r.core.task(taskID("j", 0)).isQuarantined(), !test.doubtful, "%+v", test)
		assert.Equal(t, len(r.core.task(taskID("j", 1)).crashes), 0)
	}
}

// Guards against a sound task that is given up because one unconfirmed run counts for each incarnation of
// its worker, until that confirms a stop.
func TestUnconfirmedRunCountsOnce(t *testing.T) {
	r := newRig(t, bornWorker(100))
	r.answerAs(100, nil)
	r.submitJob("j", smallStep(1))
	for starts := takeActions[Start](r); len(starts) > 0; starts = takeActions[Start](r) {
		r.step(StartAnswered{Worker: "w1", Task: starts[0].Task, Run: starts[0].Run, Outcome: NoAnswer})
	}
	for born := int64(200); born <= 600; born += 100 {
		r.restart(born)
	}
	assert.Equal(t, len(r.core.task(taskID("j", 0)).crashes), 1)
}

// Guards against tasks that are started once more after their crash in isolation, as several of them
// crashed their isolated workers at the same time: that was taken for an outage.
func TestSimultaneousCrashesInIsolationAreNoOutage(t *testing.T) {
	const tasks = outageWorkers + 1
	for _, withOther := range []bool{false, true} { // a worker that wasn't isolated crashes too
		c := newCrashRig(t, 3*tasks)
		c.settle(time.Second)
		var jobs []string
		for n := range tasks {
			jobs = append(jobs, fmt.Sprint("j", n))
			c.core.Step(c.now, JobStored{Job: Job{ID: jobs[n], Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
			c.step(ProgressStored{Job: jobs[n], Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: {{Worker: "a"}, {Worker: "b"}}}}}}})
		}
		var crash []string
		for _, id := range jobs {
			crash = append(crash, c.workerOf(taskID(id, 0)))
		}
		if withOther {
			i := slices.IndexFunc(c.workers, func(w string) bool { return !slices.Contains(crash, w) })
			crash = append(crash, c.workers[i])
		}
		c.settle(time.Second)
		for _, w := range crash {
			c.crash(w)
		}
		c.settle(2 * outageWindow)
		for _, id := range jobs {
			assert.Equal(t, c.core.jobs[id].state == Failed, !withOther, "%s, with other %t", id, withOther)
		}
	}
}

// Guards against a last start before a task is given up that proves nothing, as others run beside it.
func TestWhichTasksAreQuarantined(t *testing.T) {
	single, outage, doubtful := Crash{}, Crash{Outage: true}, Crash{Doubtful: true}
	for _, test := range []struct {
		crashes     []Crash
		uncounted   bool
		quarantined bool
	}{
		{[]Crash{single}, false, false},
		{[]Crash{single, single}, false, true},
		{[]Crash{single, outage}, false, false},
		{[]Crash{single, outage, outage}, false, true},
		{[]Crash{single, doubtful, doubtful}, false, false},
		{[]Crash{single, outage, doubtful}, true, true},
		{[]Crash{outage, doubtful, doubtful, doubtful}, false, true},
	} {
		x := &task{crashes: test.crashes, uncounted: test.uncounted}
		assert.Equal(t, x.isQuarantined(), test.quarantined, "%+v", test)
	}
}

// Guards against a crash that isn't counted after two changes of the owner: the first successor stores the
// job's progress before it knows what has become of its predecessor's run.
func TestInheritedRunStaysStoredUntilItsWorkerIsKnown(t *testing.T) {
	for _, test := range []struct {
		name      string
		event     Event // nil: the worker stays silent until nothing can run there any more
		suspected string
		crashes   int
		uncounted bool
	}{
		{"unknown", Tick{}, "w1", 1, false},
		{"answers", HoldAnswered{Worker: "w1", Born: 100}, "w1", 1, false},
		{"crashed", HoldAnswered{Worker: "w1", Outcome: WrongIncarnation}, "w2", 2, false},
		{"silent", nil, "w2", 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
			r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
				Crashes: map[int][]Crash{0: {{Worker: "w0"}}}, Suspected: map[int]Crash{0: {Worker: "w1", Born: 100, Run: 2}}}}}})
			r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
			r.step(WorkersListed{Workers: []WorkerInfo{bornWorker(100), newWorkerInfo("w2")}})
			r.answerHold("w2", nil, EndedRun{Number: 1, Task: taskID("j", 1), Run: 1, How: Done})
			if tick, ok := test.event.(Tick); ok {
				tick.UnixMs = r.unixMs()
				test.event = tick
			}
			if test.event != nil {
				r.step(test.event)
			} else {
				for range 160 {
					r.failHolds("w1")
					if r.core.workers["w2"].holdPending {
						r.answerHold("w2", nil)
					}
					r.advance(50 * time.Millisecond)
					r.confirmSaves()
				}
			}
			progress := r.core.jobs["j"].progress().Steps[0]
			assert.Equal(t, progress.Suspected[0].Worker, test.suspected)
			assert.Equal(t, len(progress.Crashes[0]), test.crashes)
			assert.Equal(t, len(progress.Uncounted) > 0, test.uncounted)
		})
	}
}

// Guards against a last start before a task is given up that comes while workers crash, as another task of
// its step doesn't have to wait for a calm time.
func TestEachQuarantinedTaskWaitsForItsOwnCalm(t *testing.T) {
	c := newCrashRig(t, 8)
	c.settle(longCalm)
	c.crash(c.workers[7])
	c.settle(2 * outageWindow)
	c.core.Step(c.now, JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}}, Inherited: true})
	c.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
		Crashes: map[int][]Crash{0: make([]Crash, quarantineAfter), 1: {{}, {}, {Outage: true}, {Outage: true}}}}}}})
	c.settle(time.Second)
	assert.Assert(t, c.core.task(taskID("j", 0)).run != nil)
	assert.Assert(t, c.core.task(taskID("j", 1)).run == nil)
	c.settle(longCalm)
	assert.Assert(t, c.core.task(taskID("j", 1)).run != nil)
}

// Guards against a task that is started more often than allowed because the last crash under it is excused
// by that of a single other worker in its rack.
func TestOneRackMateDoesNotExcuseTheLastCrash(t *testing.T) {
	for _, before := range []int{maxCrashes - 2, maxCrashes - 1} {
		c := newCrashRig(t, 6)
		c.settle(longCalm)
		c.core.Step(c.now, JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		c.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: make([]Crash, before)}}}}})
		id := c.workerOf(taskID("j", 0))
		c.settle(time.Second)
		mate := c.workers[slices.IndexFunc(c.workers, func(w string) bool { return w != id })]
		c.core.workers[mate].Rack = c.core.workers[id].Rack
		for _, w := range []string{mate, id} {
			c.workers = slices.DeleteFunc(c.workers, func(o string) bool { return o == w })
			c.failHolds(w)
			c.step(HoldAnswered{Worker: w, Outcome: WrongIncarnation})
		}
		c.settle(2 * outageWindow)
		assert.Equal(t, c.core.jobs["j"].state == Failed, before == maxCrashes-1, "%d crashes before", before)
	}
}

// Guards against a crash that isn't counted because the owner ended after the worker's leases, and before it
// was known whether the worker had crashed: the silence record named no task any more.
func TestSilenceRecordKeepsLostRuns(t *testing.T) {
	r := newRig(t, bornWorker(100))
	r.answerAs(100, nil)
	r.submitJob("j", smallStep(1))
	r.acceptStarts()
	var record []byte
	for range 200 {
		r.failHolds("w1")
		r.advance(50 * time.Millisecond)
		for _, s := range takeActions[Save](r) {
			for _, rec := range s.Records {
				if rec.Key == SilentKey("w1") {
					record = rec.Value
				}
			}
			r.step(Saved{Seq: s.Seq})
		}
	}
	assert.Equal(t, len(r.core.workers["w1"].runs), 0, "its leases have expired")

	next := newRig(t)
	silence := SilenceStored{Worker: "w1"}
	assert.NilError(t, json.Unmarshal(record, &silence.Tasks))
	next.step(JobStored{Job: r.core.jobs["j"].Job, Inherited: true})
	next.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s", Born: 100}}})
	next.step(silence)
	assert.Assert(t, next.core.task(taskID("j", 0)).blockedBy == nil, "nothing runs there any more")
	next.step(HoldAnswered{Worker: "w1", Born: 200})
	assert.Equal(t, len(next.core.task(taskID("j", 0)).crashes), 1)
}

// Guards against a task that is started again because its owner ended between the crash in isolation and
// the verdict.
func TestSuccessorReachesThePendingVerdict(t *testing.T) {
	for _, lost := range []int{0, 1, 2} { // other workers that were lost with the owner
		r := newRig(t)
		r.step(JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		r.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{
			Crashes: map[int][]Crash{0: {{Worker: "a"}, {Worker: "b"}, {Worker: "c", Isolated: true}}}}}}})
		tracked := []TrackedWorker{{ID: "w1", Addr: "w1:1", Service: "s"}}
		for n := range lost {
			tracked = append(tracked, TrackedWorker{ID: fmt.Sprint("lost", n), Addr: "lost:1", Service: "s"})
		}
		r.step(TrackedWorkersStored{Workers: tracked})
		r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
		for n := range lost {
			r.step(HoldAnswered{Worker: fmt.Sprint("lost", n), Outcome: WrongIncarnation})
		}
		r.answerHold("w1", nil)
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
		assert.Equal(t, len(r.acceptStarts()), 0)
		r.advance(outageWindow)
		assert.Equal(t, r.core.jobs["j"].state == Failed, lost < 2, "%d lost", lost)
	}
}

// Guards against a task that is started more often than allowed because its last isolated worker never came
// back, so that nobody confirmed the crash.
func TestLastCrashNeedsNoConfirmation(t *testing.T) {
	for _, before := range []int{maxCrashes - 2, maxCrashes - 1} {
		c := newCrashRig(t, 6)
		c.settle(longCalm)
		crashes := make([]Crash, before)
		for i := range crashes {
			crashes[i].Outage = i > 0
		}
		c.core.Step(c.now, JobStored{Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}}, Inherited: true})
		c.step(ProgressStored{Job: "j", Progress: Progress{State: Running, Steps: []StepProgress{{Crashes: map[int][]Crash{0: crashes}}}}})
		c.loseContact(c.workerOf(taskID("j", 0)))
		assert.Equal(t, c.core.jobs["j"].state == Failed, before == maxCrashes-1, "%d crashes before", before)
	}
}
