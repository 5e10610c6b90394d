package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lookUntil has the core look at its timers as often as an entry does, and returns what it asks
// for.
func lookUntil(c *Core, from, to time.Duration) []Action {
	var actions []Action
	for now := from; now <= to; now += 10 * milli {
		actions = append(actions, c.Expire(now)...)
	}
	return actions
}

// Guards against two stuck attempts that are broken off for the only retry that the budget has left.
func TestNoMoreAttemptsAreBrokenOffThanMayBeRetried(t *testing.T) {
	c := threeZones()
	c.budget = 1
	for id := range uint64(2) {
		only[Send](t, c.Arrive(0, quote(id+1, 1, 5*second)))
	}
	broken := only[Cancel](t, lookUntil(c, 0, second))
	retried := only[Send](t, c.Failed(second, broken.Request, MayHaveRun, "canceled"))
	assert.Equal(t, retried.Request, broken.Request)
	other := 3 - broken.Request
	assert.Equal(t, only[Finished](t, c.Answered(second, other, second, false)).Outcome, Done)
}

// Guards against a stuck attempt that is broken off though no slot elsewhere is free for its retry.
func TestStuckAttemptIsKeptWhileNoSlotIsFreeElsewhere(t *testing.T) {
	c := threeZones()
	const slots = 8
	for id := range uint64(slots) {
		only[Send](t, c.Arrive(0, quote(id+1, 1, 5*second)))
	}
	for _, a := range lookUntil(c, 0, second) {
		if broken, is := a.(Cancel); is {
			t.Fatalf("the attempt of request %d was broken off, and no slot is free", broken.Request)
		}
	}
	for id := range uint64(slots) {
		assert.Equal(t, only[Finished](t, c.Answered(second, id+1, second, false)).Outcome, Done)
	}
}

// Guards against an attempt that stays stuck until its deadline though a slot elsewhere came free.
func TestStuckAttemptIsBrokenOffWhenASlotComesFree(t *testing.T) {
	c := threeZones()
	const slots = 8
	for id := range uint64(slots) {
		only[Send](t, c.Arrive(0, quote(id+1, 1, 5*second)))
	}
	lookUntil(c, 0, second)
	for id := range uint64(slots - 1) {
		only[Finished](t, c.Answered(second, id+2, second, false))
	}
	assert.Equal(t, only[Cancel](t, lookUntil(c, second, 2*second)).Request, uint64(1))
	only[Send](t, c.Failed(2*second, 1, MayHaveRun, "canceled"))
}
