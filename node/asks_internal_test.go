package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
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

// No other instance reaches the advice service, and this one does. Dear questions are put by
// others, to leave this one's turn to cheap ones: each fails three times and is asked anew, and
// the gangs that they are about never begin.
func TestDearQuestionsAreAskedHereIfNobodyElseCan(t *testing.T) {
	q := newTestQueue(t)
	now := q.own.unit.node.now()
	for addr, c := range q.callers {
		c.busy = false
		if addr != thisInstance {
			c.until = now + callerPause // as after a question that failed
		}
	}
	addr, ok := q.idle(true)
	assert.Assert(t, ok && addr == thisInstance, "%q, %v", addr, ok)
}
