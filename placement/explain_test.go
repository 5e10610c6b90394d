package placement

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// An operator asks why a job does not start. The answer must name the one thing
// that it waits for, as a reason to filter by and as a sentence.
func TestWaitReasons(t *testing.T) {
	batch := JobSpec{ID: "j", Kind: Batch, Tasks: 1}
	for _, c := range []struct {
		name   string
		make   func(t *testing.T) *bench
		reason WaitReason
		text   string
	}{
		{"no room", func(t *testing.T) *bench {
			b := newBench(t, 1, nothing)
			b.submit(batch)
			return b
		}, WaitRoom, "no worker has room for 1000m cpu, 1000 MiB, 0 accelerators now"},
		{"asked", func(t *testing.T) *bench {
			b := newBench(t, 1, huge)
			b.submit(batch)
			return b
		}, WaitAnswer, "shards were asked"},
		{"backoff", func(t *testing.T) *bench {
			b := newBench(t, 1, huge)
			b.submit(batch)
			p := take[Place](b)[0]
			b.hold(p, "w1")
			b.end(p, "w1", Changed{State: AttemptFailed, Cause: CauseExit, Reason: "exit status 1"})
			return b
		}, WaitBackoff, "pausing after task 0 ended as failed on w1: exit exit status 1"},
		{"quota", func(t *testing.T) *bench {
			b := newBench(t, 1, huge)
			b.team("workshop", settings.Team{Quota: times(small, 4)})
			b.submit(batch)
			return b
		}, WaitQuota, "the team's quota is used up here"},
		{"above quota", func(t *testing.T) *bench {
			b := newBench(t, 1, huge)
			b.team("workshop", settings.Team{Quota: times(small, 1)})
			b.submit(JobSpec{ID: "j", Kind: Gang, Tasks: 2})
			return b
		}, WaitOverQuota, "more at once than the team's whole quota"},
		{"gang stops", func(t *testing.T) *bench {
			b := newBench(t, 3, roomy)
			b.submit(JobSpec{ID: "j", Kind: Gang, Tasks: 2})
			places := take[Place](b)
			for _, p := range places {
				b.hold(p, "w")
			}
			b.end(places[0], "w", Changed{State: AttemptLost, Cause: CauseWorkerLost})
			return b
		}, WaitGangStops, "the whole gang is brought back"},
		{"predecessor", func(t *testing.T) *bench {
			b := &bench{t: t, home: NewHome("home/001", benchEpoch, DefaultHomeConfig), now: time.Second}
			b.home.SetShards([]ownership.Unit{"shard/a", "shard/b"})
			b.home.AddJob(b.now, Job{Spec: JobSpec{ID: "j", Kind: Batch, Tasks: 1, Need: small}, Accepted: benchEpoch - 1, State: JobOpen})
			b.step()
			return b
		}, WaitPredecessor, "waiting to hear from 2 shards"},
		{"log", func(t *testing.T) *bench {
			b := newBench(t, 1, huge)
			b.submit(batch)
			p := take[Place](b)[0]
			b.hold(p, "w")
			b.end(p, "w", Changed{State: AttemptDone})
			return b
		}, WaitLog, "its end waits for the log"},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := c.make(t).status("j")
			assert.Assert(t, st.Wait != nil, "%s", st.Explanation)
			assert.Equal(t, st.Wait.Reason, c.reason)
			assert.Assert(t, strings.Contains(st.Explanation, c.text), "%s", st.Explanation)
		})
	}
}

// A task has failed on two workers, and its job displaced others. Each attempt's
// end, the workers that are avoided and who gave way must be told.
func TestStatusTellsAttemptsAndWhoGaveWay(t *testing.T) {
	b := newBench(t, 1, huge)
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 1, Urgent: true})
	for _, w := range []string{"w1", "w2"} {
		p := b.nextPlaces()[0]
		b.handle(Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, OK: true, Worker: w, Best: []Candidate{{w, 0.5}},
			Displaced: []Displaced{{Attempt: Attempt{Job: "low", Epoch: 1, Number: 1}, Why: "it is cheap to run again"}}})
		b.end(p, w, Changed{State: AttemptFailed, Cause: CauseExit, Reason: "exit status 1", RunTime: time.Second})
	}
	st := b.status("j")
	assert.DeepEqual(t, st.Tasks[0].Avoid, []string{"w1", "w2"})
	assert.Equal(t, len(st.Tasks[0].Ended), 2)
	assert.Equal(t, st.Tasks[0].Ended[0].Worker, "w1")
	assert.Equal(t, st.Displaced[0], DisplacedTask{"low/0/1.1", "it is cheap to run again"})
	assert.DeepEqual(t, st.Best, []Candidate{{"w2", 0.5}})
}
