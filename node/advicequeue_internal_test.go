package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node/advicelane"
	"github.com/knapweedweir/knapweedweir/pool"
)

// newTestQueue returns the advice queue of an owner that knows six other instances, all of which
// are busy with a request.
func newTestQueue(t *testing.T) *adviceQueue {
	n := New(Settings{Name: "self", PeerAddr: "self", Now: func() time.Duration { return time.Hour }}, zerolog.Nop(), nil, nil, nil, nil)
	for i := range 6 {
		name := fmt.Sprintf("p%d", i)
		n.peers.byKey[name] = peerEntry{name: name, Addr: name}
	}
	q := newAdviceQueue(&ownership{ctx: t.Context(), pc: newPoolController(context.Background(), n, 0)})
	for _, addr := range append(n.peers.addrs(), thisInstance) {
		q.callers[addr] = &adviceCaller{busy: true}
	}
	return q
}

// Advice requests that take 0.5 s and more arrive faster than the instances can send them. If they
// may occupy every instance, the requests of small jobs wait for one of those to complete, each
// behind the other, and these jobs start seconds late.
func TestExpensiveRequestsLeaveInstancesForCheapOnes(t *testing.T) {
	q := newTestQueue(t)
	for _, c := range q.callers {
		c.busy = false
	}
	expensive := 0
	for {
		class, addr := q.expensiveClass()
		if class != pool.AnyRequest {
			break
		}
		assert.Assert(t, addr != thisInstance)
		q.callers[addr].busy = true
		expensive++
	}
	assert.Equal(t, expensive, 4)
	for range 3 {
		addr, ok := q.firstIdle(q.callersOf(pool.CheapOnly))
		assert.Assert(t, ok, "no instance is left for cheap requests")
		q.callers[addr].busy = true
	}
}

// No other instance reaches the advice service, but this one does. Usually others send the
// expensive requests, to keep this instance free for cheap ones. If that rule held here, each
// request would fail three times and be sent again, and the gangs that need the advice would never
// start.
func TestExpensiveRequestsAreSentHereIfNoOtherInstanceCan(t *testing.T) {
	q := newTestQueue(t)
	now := q.own.pc.node.now()
	for addr, c := range q.callers {
		c.busy = false
		if addr != thisInstance {
			c.until, c.failed = now+failedCallerPause, true // as after a failed request
		}
	}
	class, addr := q.expensiveClass()
	assert.Assert(t, class != pool.CheapOnly && addr == thisInstance, "%v, %q", class, addr)
}

// Four of six peers send expensive requests, and no cheap request waits. If requests of late jobs
// wait until all others are done, the two peers reserved for cheap requests stay idle, and callers
// see jobs wait beside free capacity and idle instances. The late requests must get these two
// peers. This instance stays reserved for cheap requests.
func TestLateRequestsUseInstancesReservedForCheapOnes(t *testing.T) {
	q := newTestQueue(t)
	for _, c := range q.callers {
		c.busy = false
	}
	for range 4 {
		_, addr := q.expensiveClass()
		q.callers[addr].busy = true
	}
	for range 2 {
		class, addr := q.expensiveClass()
		assert.Equal(t, class, pool.CheapOrLate)
		assert.Assert(t, addr != thisInstance)
		q.callers[addr].busy = true
	}
	class, _ := q.expensiveClass()
	assert.Equal(t, class, pool.CheapOnly)
	addr, ok := q.firstIdle(q.callersOf(pool.CheapOnly))
	assert.Assert(t, ok)
	assert.Equal(t, addr, thisInstance)
}

// Guards against head-of-line blocking across pools: an owner with more expensive requests than
// instances, late ones included, must leave those alone that another owner uses for cheap ones.
func TestExpensiveRequestsNeverUseTheCheapLane(t *testing.T) {
	n := New(Settings{Name: "self", PeerAddr: "self", Now: func() time.Duration { return time.Hour }}, zerolog.Nop(), nil, nil, nil, nil)
	for i := range 43 {
		name := fmt.Sprintf("p%d", i)
		n.peers.byKey[name] = peerEntry{name: name, Addr: name}
	}
	q := newAdviceQueue(&ownership{ctx: t.Context(), pc: newPoolController(context.Background(), n, 0)})
	q.caller("p7").until = time.Hour + busyCallerPause // found busy just now, which is no failure
	used := map[string]bool{}
	for {
		class, addr := q.expensiveClass()
		if class == pool.CheapOnly {
			break
		}
		used[addr] = true
		q.callers[addr].busy = true
	}
	for _, addr := range q.lanes[advicelane.CheapOnly] {
		assert.Assert(t, !used[addr], addr)
	}
	assert.Assert(t, len(q.lanes[advicelane.CheapOnly]) >= 10)
}
