package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// newTestQueue returns the questions of an owner that knows six other instances,
// all of which are asking for it.
func newTestQueue(t *testing.T) *askQueue {
	n := New(Settings{Name: "self", PeerAddr: "self", Now: func() time.Duration { return time.Hour }}, zerolog.Nop(), nil, nil, nil, nil)
	for i := range 6 {
		name := fmt.Sprintf("p%d", i)
		n.peers.byKey[name] = peerEntry{name: name, Addr: name}
	}
	q := newAskQueue(&ownership{ctx: t.Context(), unit: newUnit(context.Background(), n, 0)})
	for _, addr := range append(n.peers.addrs(), thisInstance) {
		q.callers[addr] = &caller{busy: true}
	}
	return q
}

// Questions of half a second and more come faster than the instances can put them.
// If they may use every instance, those of small jobs wait until one has done with
// such a question, in turn behind each other: their jobs begin seconds late.
func TestDearQuestionsLeaveInstancesToCheapOnes(t *testing.T) {
	q := newTestQueue(t)
	for _, c := range q.callers {
		c.busy = false
	}
	dear := 0
	for {
		addr, ok := q.idle(true)
		if !ok {
			break
		}
		assert.Assert(t, addr != thisInstance)
		q.callers[addr].busy, q.callers[addr].dear = true, true
		dear++
	}
	assert.Equal(t, dear, 4)
	for range 3 {
		addr, ok := q.idle(false)
		assert.Assert(t, ok, "nobody is left for cheap questions")
		q.callers[addr].busy = true
	}
}

// After seconds without an owner hundreds of jobs wait that are late already. New
// ones can still be in time, but not if their questions queue behind all others.
func TestQuestionsOfJobsInTimeComeFirst(t *testing.T) {
	q := newTestQueue(t)
	for i, tier := range []pool.Tier{pool.Worthless, pool.LateAlready, pool.InTime, pool.LateAlready, pool.InTime} {
		q.add(pool.Advise{Step: pool.StepID{Step: i}, Tier: tier, Cost: 40 * time.Millisecond})
	}
	var order []int
	for _, w := range q.waiting {
		order = append(order, w.Step.Step)
	}
	assert.DeepEqual(t, order, []int{2, 4, 1, 3, 0})
}

// A gang's question stands behind twenty of jobs that can still be in time, and
// another of those comes whenever one is put. Its job is late by now, so each of
// them goes first: its caller waits for as long as they come, with room for all of
// the gang. It must be put soon after all that makes others more urgent is over.
func TestQuestionOfALateJobIsPutWhileOthersCome(t *testing.T) {
	q := newTestQueue(t)
	now := time.Hour
	q.own.unit.node.set.Now = func() time.Duration { return now }
	q.add(pool.Advise{Step: pool.StepID{Job: "late"}, Tier: pool.Worthless, Priority: 1, Cost: 900 * time.Millisecond})
	fresh := pool.Advise{Step: pool.StepID{Job: "fresh"}, Cost: 40 * time.Millisecond}
	for range 20 {
		q.add(fresh)
	}
	for now < time.Hour+2*tierDelay+priorityDelay+costDelayMost+20*50*time.Millisecond {
		now += 50 * time.Millisecond
		q.add(fresh)
		q.waiting = q.waiting[1:]
		if !slices.ContainsFunc(q.waiting, func(w question) bool { return w.Step.Job == "late" }) {
			return
		}
	}
	t.Fatal("the question of the late job still waits")
}
