package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// bench drives one home by hand: the test plays the shards.
type bench struct {
	t     *testing.T
	home  *Home
	now   time.Duration
	sent  []Message
	ends  []End
	units []ownership.Unit
}

const benchEpoch = infra.Offset(100)

var small = infra.Resources{MilliCPU: 1000, MemoryMiB: 1000}

// newBench returns a home that has collected from shards with room for tasks.
func newBench(t *testing.T, shards int, room infra.Resources) *bench {
	t.Helper()
	b := &bench{t: t, home: NewHome(ownership.HomeUnit(1), benchEpoch, DefaultHomeConfig), now: time.Second}
	for i := range shards {
		b.units = append(b.units, ownership.ShardUnit(fmt.Sprintf("r%d", i)))
	}
	b.home.SetShards(b.units)
	b.step()
	for _, u := range b.units {
		b.digest(u, room)
		b.handle(Collected{Home: b.home.unit, Shard: u, HomeEpoch: benchEpoch})
	}
	b.step()
	b.sent = nil
	return b
}

func (b *bench) digest(u ownership.Unit, free infra.Resources) {
	total := infra.Resources{MilliCPU: 64000, MemoryMiB: 64000, Accelerators: 8}
	b.home.SetDigest(b.now, Digest{Shard: u, Epoch: 50, Workers: 4, Total: times(total, 4), Free: free, Largest: total})
}

func (b *bench) step() {
	out, ends := b.home.Step(b.now)
	b.sent, b.ends = append(b.sent, out...), append(b.ends, ends...)
}

func (b *bench) handle(m Message) {
	b.sent = append(b.sent, b.home.Handle(b.now, m)...)
	b.step()
}

// wait lets time pass in small steps.
func (b *bench) wait(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 50 * time.Millisecond
		b.step()
	}
}

func (b *bench) submit(spec JobSpec) {
	if spec.Need == nothing {
		spec.Need = small
	}
	if spec.Team == "" {
		spec.Team = "workshop"
	}
	b.home.AddJob(b.now, Job{Spec: spec, Accepted: benchEpoch + infra.Offset(len(b.home.jobs)) + 1, State: JobOpen})
	b.step()
}

func (b *bench) team(name string, s settings.Team) { b.home.SetTeam(b.now, name, s) }

// take returns the messages of one type sent since the last call.
func take[M Message](b *bench) []M {
	var found []M
	var rest []Message
	for _, m := range b.sent {
		if x, ok := m.(M); ok {
			found = append(found, x)
		} else {
			rest = append(rest, m)
		}
	}
	b.sent = rest
	return found
}

func (b *bench) hold(p Place, worker string) {
	b.handle(Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, OK: true, Held: p.Hold, Worker: worker})
}

func (b *bench) refuse(p Place) {
	b.handle(Placed{Home: p.Home, Shard: p.Shard, Attempt: p.Attempt, Sequence: p.Sequence, Reason: "full", Workers: 4,
		Removed: []Removed{{FilterRoom, 3}, {FilterSilent, 1}}})
}

func (b *bench) news(shard ownership.Unit, a Attempt, state AttemptState, cause Cause) {
	b.handle(Changed{Home: b.home.unit, Shard: shard, Attempt: a, State: state, Cause: cause, Worker: "w-" + string(shard), RunTime: 10 * time.Millisecond})
}

func (b *bench) status(id string) JobStatus {
	b.t.Helper()
	st, ok := b.home.Status(b.now, id)
	assert.Assert(b.t, ok, "no job %s", id)
	return st
}

func (b *bench) states(id string) []string {
	var s []string
	for _, t := range b.status(id).Tasks {
		s = append(s, t.State)
	}
	return s
}
