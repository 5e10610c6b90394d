package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// end tells the home of an attempt's end.
func (b *bench) end(p Place, worker string, m Changed) {
	m.Home, m.Shard, m.Attempt, m.Worker = p.Home, p.Shard, p.Attempt, worker
	b.handle(m)
}

// nextPlaces lets time pass until the home asks a shard.
func (b *bench) nextPlaces() []Place {
	for end := b.now + time.Minute; b.now < end; b.wait(50 * time.Millisecond) {
		if places := take[Place](b); len(places) > 0 {
			return places
		}
	}
	return nil
}

// A team declares ten times the run time that its tasks take, or a tenth. What is
// sent to the shards for backfill must follow what the tasks of the name have shown.
func TestExpectedRunIsLearned(t *testing.T) {
	b := newBench(t, 1, huge)
	for i := range 12 {
		b.submit(JobSpec{ID: fmt.Sprintf("j%d", i), Name: "plan", Kind: Batch, Tasks: 1, ExpectedRun: jsonc.Duration(10 * time.Minute)})
		p := take[Place](b)[0]
		if i == 0 {
			assert.Equal(t, p.ExpectedRun, 10*time.Minute)
		}
		if i == 11 {
			assert.Assert(t, p.ExpectedRun > 50*time.Second && p.ExpectedRun < 70*time.Second, "%s", p.ExpectedRun)
		}
		b.hold(p, "w")
		b.end(p, "w", Changed{State: AttemptDone, RunTime: time.Minute})
		b.home.JobEnded(b.now, fmt.Sprintf("j%d", i))
	}
}

// Names come and go for years; what is kept of them must stay bounded.
func TestLearnerForgetsTheNameUnusedForLongest(t *testing.T) {
	l := newLearner()
	for i := range 3 * maxLearned {
		for _, name := range []string{"kept", fmt.Sprint(i)} {
			l.observe(JobSpec{Team: "a", Name: name, Kind: Batch}, Changed{State: AttemptDone, RunTime: time.Second})
		}
	}
	assert.Equal(t, len(l.names), maxLearned)
	assert.Assert(t, l.names[learnedKey{"a", "kept"}] != nil)
}

// A task uses more memory than it declares and is stopped for it. Tried again at
// the same size it would be stopped again until the job fails.
func TestTaskStoppedForItsMemoryIsTriedLarger(t *testing.T) {
	b := newBench(t, 1, huge)
	b.submit(JobSpec{ID: "j", Name: "render", Kind: Batch, Tasks: 1})
	p := take[Place](b)[0]
	b.hold(p, "w")
	b.end(p, "w", Changed{State: AttemptFailed, Cause: CauseMemory, Usage: infra.Resources{MemoryMiB: 2000}})
	b.wait(time.Second)
	p = take[Place](b)[0]
	assert.Assert(t, p.Need.MemoryMiB >= 1500, "%s", p.Need)
	assert.Equal(t, len(p.Avoid), 0, "the worker is not to blame")
	// The next job of the name starts with what was found to be needed.
	b.submit(JobSpec{ID: "next", Name: "render", Kind: Batch, Tasks: 1})
	assert.Equal(t, take[Place](b)[0].Need, p.Need)
}

// No worker can hold the size that would be tried next. The job must fail with the
// reason, not wait for ever.
func TestTaskTooLargeForAnyWorkerFails(t *testing.T) {
	b := newBench(t, 1, huge)
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1, Need: infra.Resources{MilliCPU: 1, MemoryMiB: 60000}})
	p := take[Place](b)[0]
	b.hold(p, "w")
	b.end(p, "w", Changed{State: AttemptFailed, Cause: CauseMemory})
	assert.Equal(t, len(b.ends), 1)
	assert.Equal(t, b.ends[0].State, JobFailed)
	assert.Equal(t, b.ends[0].Reason, "task 0 was stopped for its memory at 1m cpu, 60000 MiB, 0 accelerators, and no worker can hold 1m cpu, 90000 MiB, 0 accelerators")
}

// A job fails wherever it runs. Its pauses must grow up to a bound, each attempt
// must avoid the workers before it, and after the team's number of attempts the
// job must fail with the reason; that end is proposed until the log has it.
func TestJobThatFailsEverywhereBacksOffAndStops(t *testing.T) {
	b := newBench(t, 1, huge)
	b.team("workshop", settings.Team{Policies: map[string]settings.Policy{"batch": {MaxAttempts: 8}}})
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1})
	var pauses []time.Duration
	for i := range 8 {
		before := b.now
		places := b.nextPlaces()
		pauses = append(pauses, b.now-before)
		assert.Equal(t, len(places[0].Avoid), i)
		b.hold(places[0], fmt.Sprintf("w%d", i))
		b.end(places[0], fmt.Sprintf("w%d", i), Changed{State: AttemptFailed, Cause: CauseExit, Reason: "exit status 1"})
	}
	for i := 2; i < len(pauses); i++ {
		assert.Assert(t, pauses[i] > pauses[i-1] || pauses[i] >= DefaultHomeConfig.MaxBackoff, "%v", pauses)
		assert.Assert(t, pauses[i] <= DefaultHomeConfig.MaxBackoff+100*time.Millisecond, "%v", pauses)
	}
	assert.Equal(t, b.ends[0].Reason, "task 0 failed 8 times, last on w7: exit status 1")
	b.wait(5 * time.Second)
	assert.Assert(t, len(b.ends) >= 2, "the end is proposed again")
	assert.Equal(t, len(take[Place](b)), 0)
}

// Losing a worker, giving way or being stopped is not the task's fault and must
// not use up its attempts.
func TestLostAttemptsAreNotCounted(t *testing.T) {
	b := newBench(t, 1, huge)
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1})
	for _, cause := range []Cause{CauseWorkerLost, CausePreempted, CauseStopped, CauseWorkerLost, CausePreempted} {
		b.wait(time.Second)
		p := take[Place](b)[0]
		b.hold(p, "w")
		b.end(p, "w", Changed{State: AttemptLost, Cause: cause})
	}
	assert.Equal(t, len(b.ends), 0)
	assert.Equal(t, b.status("j").Tasks[0].Failures, 0)
}

// A service's task ends by itself, with success or not. It must be replaced and
// the service never be called done; after a long run old failures don't count.
func TestServiceIsReplacedAndNeverDone(t *testing.T) {
	b := newBench(t, 1, huge)
	b.submit(JobSpec{ID: "s", Kind: Service, Tasks: 1})
	for i := range 10 {
		p := b.nextPlaces()
		assert.Equal(t, len(p), 1, "round %d", i)
		b.hold(p[0], fmt.Sprintf("w%d", i))
		state, cause := AttemptDone, Cause("")
		if i%2 == 1 {
			state, cause = AttemptFailed, CauseExit
		}
		b.end(p[0], fmt.Sprintf("w%d", i), Changed{State: state, Cause: cause, RunTime: time.Minute})
	}
	assert.Equal(t, len(b.ends), 0)
}

// A replaced home must not take the grants of its predecessor, nor those of a
// replaced ledger, for its own: the sum would exceed the quota. And it must not
// report before it knows what its predecessor's tasks use.
func TestHomeTakesOnlyItsOwnGrants(t *testing.T) {
	b := newBench(t, 1, huge)
	b.team("workshop", settings.Team{Quota: times(small, 4)})
	ledger := LedgerOf("workshop")
	b.handle(QuotaAsk{Home: b.home.unit, Ledger: ledger, LedgerEpoch: 70})
	for _, g := range []QuotaGrant{
		{HomeEpoch: benchEpoch - 10, LedgerEpoch: 70, Sequence: 1},
		{HomeEpoch: benchEpoch, LedgerEpoch: 60, Sequence: 2},
	} {
		g.Home, g.Ledger, g.Team, g.Level = b.home.unit, ledger, "workshop", times(small, 4)
		b.handle(g)
		assert.Equal(t, b.home.teams["workshop"].level, nothing)
	}
	b.handle(QuotaGrant{Home: b.home.unit, Ledger: ledger, Team: "workshop", HomeEpoch: benchEpoch, LedgerEpoch: 70, Sequence: 3, Level: small})
	assert.Equal(t, b.home.teams["workshop"].level, small)

	fresh := NewHome(b.home.unit, benchEpoch+10, DefaultHomeConfig)
	fresh.SetShards(b.units)
	fresh.Handle(b.now, QuotaAsk{Home: b.home.unit, Ledger: ledger, LedgerEpoch: 70})
	out, _ := fresh.Step(b.now)
	for _, m := range out {
		_, early := m.(QuotaReport)
		assert.Assert(t, !early, "reported before the collect is whole")
	}
}
