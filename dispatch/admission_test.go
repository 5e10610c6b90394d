package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

const second = time.Second

// oneRunner returns a core with one runner of the given slots, all its own.
func oneRunner(slots int) *Core {
	c := New(Config{Self: "a", SlotsPerRunner: slots, RetryShare: 0.1, MaxQueue: 100})
	c.SetRoster(0, Roster{Version: 1, Entries: []string{"a"}, First: true})
	c.SetRunners(0, []infra.Instance{{ID: "r1", Service: "desk", State: infra.InstanceLive}})
	return c
}

func quote(id uint64, worth float64, deadline time.Duration) Request {
	return Request{ID: id, Team: fmt.Sprintf("worth-%v", worth), Service: "desk", Worth: worth, Idempotent: true, Deadline: deadline}
}

// teach lets the core learn that requests of this worth take a second each.
func teach(c *Core, worth float64) {
	for range 20 {
		c.estimates.of(fmt.Sprintf("worth-%v", worth), "desk").learn(second)
		c.service("desk").run.learn(second)
	}
}

func only[A any](t *testing.T, actions []Action) A {
	t.Helper()
	var found []A
	for _, a := range actions {
		if m, ok := a.(A); ok {
			found = append(found, m)
		}
	}
	assert.Equal(t, len(found), 1, "%v", actions)
	return found[0]
}

// Too much is asked for, and a buyer with a worthy quote comes last. Served in turn
// it would end too late. The least worthy that waits makes room, and its caller
// is told in the same step, with a time to come back.
func TestWorthierRequestDisplacesTheLeastWorthy(t *testing.T) {
	c := oneRunner(1)
	teach(c, 1)
	teach(c, 5)
	c.Arrive(0, quote(1, 1, 20*second))
	c.Arrive(0, quote(2, 1, 6*second))
	c.Arrive(0, quote(3, 1, 7*second))
	c.Arrive(0, quote(4, 1, 7*second+second/2))
	actions := c.Arrive(0, quote(5, 5, 6*second))
	f := only[Finished](t, actions)
	assert.Equal(t, f.Outcome, NotRun)
	assert.Assert(t, f.Request != 5 && f.RetryAfter >= second, "%v", f)
	sent := only[Send](t, c.Answered(second, 1, second, false))
	assert.Assert(t, sent.Request == 2 || sent.Request == 5, "%v", sent)
}

// A request that would start too late behind worthier ones used to wait until its
// deadline, only to hear "not run" then. It is refused in the step that takes it
// in, and told to stay away the longer, the more work lies before it.
func TestRefusedAtOnceWithATimeFromTheLoad(t *testing.T) {
	retryAfter := func(waiting int) time.Duration {
		c := oneRunner(1)
		teach(c, 1)
		teach(c, 5)
		for n := range waiting + 1 {
			c.Arrive(0, quote(uint64(n+1), 5, 100*second))
		}
		f := only[Finished](t, c.Arrive(0, quote(50, 1, 1*second+200*time.Millisecond)))
		assert.Equal(t, f.Request, uint64(50))
		assert.Equal(t, f.Outcome, NotRun)
		return f.RetryAfter
	}
	few, many := retryAfter(1), retryAfter(6)
	assert.Assert(t, many > 2*few, "%v after 1 waiting, %v after 6", few, many)
}

// The only runners of a service are leaving. A request used to wait for its whole
// deadline; now its caller hears at once that nobody takes it.
func TestNoRunnerIsToldAtOnce(t *testing.T) {
	c := oneRunner(1)
	c.SetRunners(0, []infra.Instance{{ID: "r1", Service: "desk", State: infra.InstanceLeaving}})
	f := only[Finished](t, c.Arrive(0, quote(1, 1, second)))
	assert.Equal(t, f.Outcome, NotRun)
	assert.Assert(t, f.RetryAfter > 0)
}

// Every team name in a caller's path makes a class to learn. Ten thousand of them
// must not fill the memory of a small instance.
func TestEstimatesAreBounded(t *testing.T) {
	m := estimates{}
	for n := range 10 * maxClasses {
		m.of(fmt.Sprint(n), "desk").learn(second)
	}
	assert.Assert(t, len(m) <= maxClasses+1)
}
