package pool

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newestProgress confirms the pending saves and returns the newest progress of a job in them.
func (r *rig) newestProgress(job string) (p Progress, found bool) {
	r.t.Helper()
	for _, s := range takeActions[Save](r) {
		for _, rec := range s.Records {
			if rec.Key == ProgressKey(job) && len(rec.Value) > 0 {
				p, found = Progress{}, true
				assert.NilError(r.t, json.Unmarshal(rec.Value, &p))
			}
		}
		r.step(Saved{Seq: s.Seq})
	}
	return p, found
}

// Guards against a progress record that is stored for a job that waits, and is read as that of one that runs.
func TestProgressOfAWaitingJobSaysThatItHasNotBegun(t *testing.T) {
	r := newRig(t)
	r.step(JobStored{Inherited: true, Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{{Count: 1, Need: Resources{CPU: 9000}}}}})
	r.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "gone", Addr: "gone:1", Service: "s"}}})
	r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1")}})
	r.answerHold("w1", nil)
	for range 10 * int(time.Second/saveInterval) {
		r.failHolds("gone")
		r.advance(saveInterval)
		if p, found := r.newestProgress("j"); found {
			assert.DeepEqual(t, p.Steps[0].Uncounted, []int{0})
			assert.Equal(t, p.HasBegun(), NotBegun)
			state, _ := r.core.JobState("j")
			assert.Equal(t, state, Queued)
			assert.Equal(t, r.core.Pending("q"), 1)
			return
		}
	}
	t.Fatal("no progress was stored")
}

// Guards against copies that count a job as waiting whose task runs, as nothing has been stored of it.
func TestProgressSaysThatAJobHasBegun(t *testing.T) {
	r, _ := newBornRig(t, 0)
	r.submitJob("k", smallStep(1))
	assert.Equal(t, len(r.acceptStarts()), 1)
	began := r.now
	for r.now < began+time.Second {
		r.advance(saveInterval)
		if p, found := r.newestProgress("k"); found {
			assert.Equal(t, p.HasBegun(), HasBegun)
			assert.Assert(t, r.now <= began+begunSaveDelay+saveInterval)
			return
		}
	}
	t.Fatal("no progress was stored")
}

// Guards against a new owner that takes a job for running because of a record that is stored before its start leaves.
func TestInheritedProgressShowsWhetherTheJobHasBegun(t *testing.T) {
	crash := Crash{Worker: "w", Run: 1}
	doubtful := crash
	doubtful.Doubtful = true
	for name, test := range map[string]struct {
		progress Progress
		begun    Begun
	}{
		"it says that it hasn't":       {Progress{Begun: NotBegun, Steps: []StepProgress{{Crashes: map[int][]Crash{0: {crash}}}}}, NotBegun},
		"it says that it has":          {Progress{Begun: HasBegun}, HasBegun},
		"older, uncounted":             {Progress{Steps: []StepProgress{{Uncounted: []int{0}}}}, BegunUnknown},
		"older, a planned run":         {Progress{Steps: []StepProgress{{Uncounted: []int{0}, Suspected: map[int]Crash{0: doubtful}}}}, BegunUnknown},
		"older, a crash in doubt":      {Progress{Steps: []StepProgress{{Crashes: map[int][]Crash{0: {doubtful}}}}}, BegunUnknown},
		"older, a crash":               {Progress{Steps: []StepProgress{{Crashes: map[int][]Crash{0: {crash}}}}}, HasBegun},
		"older, a failed run":          {Progress{Steps: []StepProgress{{Failed: map[int][]int{0: {1}}}}}, HasBegun},
		"older, a finished occurrence": {Progress{FinishedBefore: 1}, HasBegun},
	} {
		t.Run(name, func(t *testing.T) {
			test.progress.State = Queued
			assert.Equal(t, test.progress.HasBegun(), test.begun)
			r := newRig(t)
			r.step(JobStored{Inherited: true, Job: Job{ID: "j", Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}, Repeat: 3, IntervalMs: 1000}})
			r.step(ProgressStored{Job: "j", Progress: test.progress})
			state, _ := r.core.JobState("j")
			assert.Equal(t, state == Running, test.begun == HasBegun)
		})
	}
}

// Guards against a job that is shown as running because its cancellation isn't stored yet, though no task of it has started.
func TestCancelledJobThatHasNotBegunIsNotShownAsRunning(t *testing.T) {
	r := newRig(t)
	r.submitJob("j", smallStep(1))
	r.step(CancelStored{Job: "j"})
	state, _ := r.core.JobState("j")
	assert.Equal(t, state, Queued)
}

// Guards against an owner that counts waiting jobs though it may have been replaced, or its predecessor hasn't recorded which
// jobs have begun.
func TestOwnerKnowsWhichJobsHaveBegun(t *testing.T) {
	r := newRig(t)
	r.core.settings.NeedsConfirmation = true
	assert.Assert(t, !r.core.KnowsBegun(r.now))
	r.core.Confirm(r.now, r.now)
	assert.Assert(t, r.core.KnowsBegun(r.now))
	r.now += confirmationTTL
	assert.Assert(t, !r.core.KnowsBegun(r.now))
	r.core.Confirm(r.now, r.now)
	r.core.settings.UnrecordedStarts = true
	assert.Assert(t, !r.core.KnowsBegun(r.now))
	r.step(WorkersListed{})
	assert.Assert(t, r.core.KnowsBegun(r.now))
}
