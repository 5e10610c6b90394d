package node

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/node/advicelane"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// adviceTimeoutMargin is added to the expected duration of a request to the advice service.
	adviceTimeoutMargin = 800 * time.Millisecond
	// failedCallerPause is how long an instance whose request failed is not used.
	failedCallerPause = 2 * time.Second
	// maxAdviceTries is the maximum number of instances that are tried for one request.
	maxAdviceTries = 3
	// busyCallerPause is how long an instance that was busy with another request is not used.
	busyCallerPause = 60 * time.Millisecond
	// peerAddrsTTL is how long the cached list of peer addresses is used.
	peerAddrsTTL = 50 * time.Millisecond
	// thisInstance stands for this instance in the list of callers.
	thisInstance = ""
)

// adviceQueue distributes an owner's requests to the advice service over the instances: the service
// serves one call of each machine at a time, and a call takes up to a second.
type adviceQueue struct {
	own     *ownership
	waiting pool.AdviceQueue
	callers map[string]*adviceCaller // by address
	// peerAddrs caches the addresses of the other instances, read at peerAddrsAt. With many
	// instances, listing them for each request takes longer than the request itself.
	peerAddrs   []string
	peerAddrsAt time.Duration
	// lanes holds peerAddrs by lane.
	lanes [advicelane.Lanes][]string
}

type adviceCaller struct {
	busy  bool
	until time.Duration // the instance isn't used before this time
	// failed is set if the newest request through the instance failed.
	failed bool
}

func newAdviceQueue(o *ownership) *adviceQueue {
	return &adviceQueue{own: o, callers: map[string]*adviceCaller{}}
}

// peers returns the addresses of the other instances in the order in which they are tried. The
// list may be out of date by up to peerAddrsTTL.
func (q *adviceQueue) peers() []string {
	if now := q.own.pc.node.now(); q.peerAddrs == nil || now-q.peerAddrsAt > peerAddrsTTL {
		q.peerAddrs, q.peerAddrsAt = q.own.pc.node.peers.addrs(), now
		if q.own.pc.topic.Part%2 == 1 {
			slices.Reverse(q.peerAddrs) // spreads the pools' requests over the instances
		}
		q.assignLanes()
	}
	return q.peerAddrs
}

func (q *adviceQueue) assignLanes() {
	q.lanes = [advicelane.Lanes][]string{}
	lanes := advicelane.Assign(q.peerAddrs)
	for _, addr := range q.peerAddrs {
		l := lanes[addr]
		q.lanes[l] = append(q.lanes[l], addr)
	}
}

func (q *adviceQueue) add(a pool.Advise) {
	q.enqueue(pool.NewAdviceRequest(a))
}

func (q *adviceQueue) enqueue(a pool.AdviceRequest) {
	q.waiting.Add(a, q.own.pc.node.now())
	q.send()
}

// send sends as many requests as there are idle instances.
func (q *adviceQueue) send() {
	q.waiting.Instances = 1 + len(q.peers())
	for q.waiting.Len() > 0 {
		cheapAddr, free := q.firstIdle(q.callersOf(pool.CheapOnly))
		if !free {
			return
		}
		class, expensiveAddr := q.expensiveClass()
		next, found := q.waiting.Next(q.own.pc.node.now(), class)
		if !found {
			return
		}
		addr := cheapAddr
		if next.IsExpensive() {
			addr = expensiveAddr
		}
		q.callers[addr].busy = true
		go q.request(addr, next)
	}
}

// expensiveClass returns which expensive requests may be sent now, and through which instance.
func (q *adviceQueue) expensiveClass() (pool.SendClass, string) {
	for _, class := range [...]pool.SendClass{pool.AnyRequest, pool.CheapOrLate} {
		if addr, free := q.firstIdle(q.callersOf(class)); free {
			return class, addr
		}
	}
	return pool.CheapOnly, ""
}

// callersOf returns the instances that may send the requests of a class, in the order in which they
// are tried. This instance's own slot at the service is reserved for cheap requests: waiting for an
// expensive one of half a second was the largest part of the delay of quotes (0.54 s at most, and
// 0.33 s for one in ten).
func (q *adviceQueue) callersOf(class pool.SendClass) []string {
	peers := q.peers()
	switch {
	case class == pool.CheapOnly:
		return slices.Concat([]string{thisInstance}, q.lanes[advicelane.CheapOnly], q.lanes[advicelane.CheapOrLate], q.lanes[advicelane.Any])
	case !slices.ContainsFunc(peers, q.reachesService):
		return append([]string{thisInstance}, peers...)
	case !slices.ContainsFunc(q.lanes[advicelane.Any], q.reachesService):
		return peers
	case class == pool.CheapOrLate:
		return q.lanes[advicelane.CheapOrLate]
	}
	return q.lanes[advicelane.Any]
}

// isUsable reports whether the last request through an instance has neither failed nor found it
// busy just now.
func (q *adviceQueue) isUsable(addr string) bool { return q.own.pc.node.now() >= q.caller(addr).until }

// reachesService reports whether the last request through an instance hasn't failed just now. If only
// this instance can reach the advice service, callersOf must include it: expensive requests failed at all
// others for as long as that lasted, and the gangs that needed them never began.
func (q *adviceQueue) reachesService(addr string) bool {
	return !q.caller(addr).failed || q.isUsable(addr)
}

// firstIdle returns the first usable instance that has no request of this owner in flight.
func (q *adviceQueue) firstIdle(order []string) (string, bool) {
	for _, addr := range order {
		if !q.caller(addr).busy && q.isUsable(addr) {
			return addr, true
		}
	}
	return "", false
}

func (q *adviceQueue) caller(addr string) *adviceCaller {
	c := q.callers[addr]
	if c == nil {
		c = &adviceCaller{}
		q.callers[addr] = c
	}
	return c
}

// request sends a request to the advice service through an instance.
func (q *adviceQueue) request(addr string, a pool.AdviceRequest) {
	n := q.own.pc.node
	var r AdviseReply
	if addr == thisInstance {
		r.Answer = n.advise(q.own.ctx, a.Advise)
	} else {
		r = n.peers.advise(q.own.ctx, addr, a.Advise)
	}
	r.Answer.Step, r.Answer.Asked = a.Step, a.Workers
	q.own.pc.send(q.own.ctx, func() { q.handleAnswer(addr, a, r) })
}

func (q *adviceQueue) handleAnswer(addr string, a pool.AdviceRequest, r AdviseReply) {
	c := q.callers[addr]
	c.busy, c.failed = false, r.Answer.Failed && !r.Busy
	now := q.own.pc.node.now()
	if r.Busy {
		c.until = now + busyCallerPause
		q.enqueue(a)
		return
	}
	if r.Answer.Failed {
		c.until = now + failedCallerPause
		if a.Tries++; a.Tries < maxAdviceTries {
			q.enqueue(a)
			return
		}
	}
	q.send()
	if q.own.pc.own == q.own {
		q.own.handle(r.Answer)
	}
}
