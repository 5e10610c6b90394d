package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

const milli = time.Millisecond

// threeZones returns a core with runners of two slots: r1 and r2 in one rack of zone-1, r3
// in another rack there, r4 in zone-2. All run times are known to be 10 ms.
func threeZones() *Core {
	c := New(Config{Self: "a", SlotsPerRunner: 2, RetryShare: 0.1, MaxQueue: 100})
	c.SetRoster(0, Roster{Version: 1, Entries: []string{"a"}, First: true})
	var list []infra.Instance
	for n, at := range []struct{ zone, rack string }{{"zone-1", "k1"}, {"zone-1", "k1"}, {"zone-1", "k2"}, {"zone-2", "k3"}} {
		list = append(list, infra.Instance{ID: fmt.Sprint("r", n+1), Service: "desk", State: infra.InstanceLive, Zone: at.zone, Rack: at.rack})
	}
	c.SetRunners(0, list)
	for range 2 * knownSamples {
		c.estimates.of("worth-1", "desk").learn(10 * milli)
		c.service("desk").run.learn(10 * milli)
	}
	return c
}

// A runner that fails everything at once always has an idle slot. Without a guard it
// gets nearly every request, and callers see errors while its neighbours idle.
func TestFastFailingRunnerDoesNotAttractLoad(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(c *Core, now time.Duration, id uint64) []Action
		most int
	}{
		{"refuses", func(c *Core, now time.Duration, id uint64) []Action { return c.Failed(now, id, Refused, "refused") }, 8},
		{"can't be reached", func(c *Core, now time.Duration, id uint64) []Action { return c.Failed(now, id, NeverSent, "refused") }, 8},
		{"answers with errors", func(c *Core, now time.Duration, id uint64) []Action { return c.Answered(now, id, milli, true) }, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := threeZones()
			toBad := 0
			var handle func(now time.Duration, actions []Action)
			handle = func(now time.Duration, actions []Action) {
				for _, a := range actions {
					s, ok := a.(Send)
					switch {
					case ok && s.Runner.ID == "r1":
						toBad++
						handle(now, tc.fail(c, now, s.Request))
					case ok:
						handle(now, c.Answered(now, s.Request, 10*milli, false))
					}
				}
			}
			for id := range uint64(1000) {
				now := time.Duration(id) * 5 * milli
				handle(now, c.Expire(now))
				handle(now, c.Arrive(now, quote(id+1, 1, now+second)))
			}
			assert.Assert(t, toBad <= tc.most, "%d of 1000 requests went to the failing runner", toBad)
			assert.Equal(t, c.Status(5 * second).Runners[0].Health != Healthy, true)
			assert.Assert(t, c.Status(5 * second).Runners[0].Why != "")
		})
	}
}

// A runner that was avoided is well again. It gets one request at a time until three
// have succeeded, and only then its share: a relapse costs one caller, not many.
func TestProbationLetsOneInAtATime(t *testing.T) {
	c := threeZones()
	r1 := c.runners["r1"]
	for range failuresToAvoid {
		r1.health.fail(0, "refused")
	}
	assert.Equal(t, r1.open(), false)
	c.Expire(firstAvoidance)
	assert.Equal(t, r1.health.state, Probation)
	assert.Equal(t, r1.open(), true)
	r1.busy++
	assert.Equal(t, r1.open(), false, "a second one at a time")
	r1.busy--
	for range successesToTrust {
		r1.health.succeed(firstAvoidance, 1)
	}
	assert.Equal(t, r1.health.state, Healthy)
	for range failuresToAvoid {
		r1.health.fail(2*second, "refused")
	}
	c.Expire(4 * second)
	r1.health.fail(4*second, "refused")
	assert.Equal(t, r1.health.until, 4*second+2*firstAvoidance, "a relapse is avoided twice as long")
}

// The first try fails. A runner in the same rack often shares the fault (its switch, its
// zone), so the second goes to another availability zone, or another rack at least.
func TestRetryGoesElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name string
		gone []string
		want string
	}{
		{"another availability zone", nil, "r4"},
		{"another rack", []string{"r4"}, "r3"},
		{"the same rack at last", []string{"r3", "r4"}, "r2"},
		{"none is left that isn't leaving", []string{"r2", "r3", "r4"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := threeZones()
			assert.Equal(t, only[Send](t, c.Arrive(0, quote(1, 1, second))).Runner.ID, "r1")
			for _, id := range tc.gone {
				c.runners[id].State = infra.InstanceLeaving
			}
			actions := c.Failed(milli, 1, MayHaveRun, "broken")
			if tc.want == "" {
				assert.Equal(t, only[Finished](t, actions).Outcome, Unknown)
				return
			}
			assert.Equal(t, only[Send](t, actions).Runner.ID, tc.want)
		})
	}
}

// A runner is paused with requests on it. Their callers would wait out their whole
// deadlines; but a run time this long is no chance any more, so the attempt is broken off and goes
// to another runner. A non-idempotent request must not run again: it waits.
func TestStuckAttemptCostsOneShortTry(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		cancels    int
	}{{"idempotent", true, 1}, {"not idempotent", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := threeZones()
			r := quote(1, 1, 5*second)
			r.Idempotent = tc.idempotent
			c.Arrive(0, r)
			if !tc.idempotent {
				c.Claimed(0, 1, nil, false)
			}
			cancels := 0
			for now := time.Duration(0); now < second; now += 20 * milli {
				for _, a := range c.Expire(now) {
					if _, ok := a.(Cancel); ok {
						cancels++
					}
				}
			}
			assert.Equal(t, cancels, tc.cancels)
			if tc.idempotent {
				assert.Equal(t, only[Send](t, c.Failed(second, 1, MayHaveRun, "cancelled")).Runner.ID, "r4")
			}
		})
	}
}

// The entry is paused for two seconds with requests at all runners. When it goes on, all attempts
// look stuck, though their answers only wait to be read. No runner may be avoided for it,
// and none of the attempts broken off.
func TestPausedEntryDoesNotBlameItsRunners(t *testing.T) {
	c := threeZones()
	for id := range uint64(8) {
		c.Arrive(0, quote(id+1, 1, 9*second))
	}
	c.Expire(20 * milli)
	assert.Equal(t, len(c.Expire(2*second)), 0)
	for _, r := range c.Status(2 * second).Runners {
		assert.Equal(t, r.Health, Healthy, r.ID)
	}
}

// Every runner is silent: the network or a database behind them is slow. Half of them may be
// avoided for it, but not all, or each caller would be refused until the avoidance ends.
func TestSilenceOfAllDoesNotAvoidAll(t *testing.T) {
	c := threeZones()
	for id := range uint64(8) {
		c.Arrive(0, quote(id+1, 1, 9*second))
	}
	for round := range 3 {
		for _, r := range c.requests {
			c.suspect(time.Duration(round)*milli, r, "silent")
		}
	}
	avoided := 0
	for _, r := range c.Status(5 * milli).Runners {
		if r.Health == Avoided {
			avoided++
		}
	}
	assert.Equal(t, avoided, 2)
}

// Every fourth attempt fails after it may have run, too few for a runner to be avoided. If each
// were tried again, a service in trouble would get a third more load. Retries stay within what was saved up and a tenth of the fresh requests.
func TestRetriesAreNoStorm(t *testing.T) {
	c := threeZones()
	sends := 0
	for id := range uint64(2000) {
		now := time.Duration(id) * 10 * milli
		actions := append(c.Expire(now), c.Arrive(now, quote(id+1, 1, now+second))...)
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if s, ok := a.(Send); ok {
				sends++
				if sends%4 == 0 {
					actions = append(actions, c.Failed(now, s.Request, BadAnswer, "cut off")...)
				} else {
					actions = append(actions, c.Answered(now, s.Request, 10*milli, false)...)
				}
			}
		}
	}
	assert.Assert(t, sends <= 2000+maxRetryBudget+200, "%d sends for 2000 requests", sends)
}
