package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// adviceSlack is how much longer than its price a question may take.
	adviceSlack = 800 * time.Millisecond
	// callerPause keeps an instance that failed to ask out for a while.
	callerPause = 2 * time.Second
	// adviceTries is how many instances are tried for one question.
	adviceTries = 3
	// busyPause is when an instance that was asking is tried again.
	busyPause = 60 * time.Millisecond
	// cheapQuestion divides the questions: quotes cost 30 ms, all others from
	// 180 ms on.
	cheapQuestion = 100 * time.Millisecond
	// keptForCheap is the part of the instances that is left to cheap questions.
	// With 10 s of dear questions a second, at 0.7 s and more each, those of small
	// jobs waited until one of 32 instances had done with such a question: 4 s.
	keptForCheap = 3
	// thisInstance stands for this instance among the callers.
	thisInstance = ""
)

// askQueue spreads an owner's questions over the instances: the advice service
// serves one call of each machine at a time, and a call takes up to a second.
type askQueue struct {
	own     *ownership
	waiting []question
	callers map[string]*caller // by address
}

type question struct {
	pool.Advise
	tries int
}

type caller struct {
	busy  bool
	dear  bool          // the question under way is
	until time.Duration // not used before
}

func newAskQueue(o *ownership) *askQueue {
	return &askQueue{own: o, callers: map[string]*caller{}}
}

// add queues a question: those first whose jobs can still be in time, urgent ones
// before others, cheap ones before dear ones, so that a quote doesn't wait behind
// three questions of half a second each.
func (q *askQueue) add(a pool.Advise) {
	q.waiting = append(q.waiting, question{Advise: a})
	slices.SortStableFunc(q.waiting, func(x, y question) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Cost, y.Cost))
	})
	q.send()
}

// send puts as many questions as there are instances that could ask.
func (q *askQueue) send() {
	for i := 0; i < len(q.waiting); {
		next := q.waiting[i]
		addr, ok := q.idle(next.dear())
		if !ok && !next.dear() {
			return
		}
		if !ok {
			i++ // a cheap one behind it may still find an instance
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		c := q.callers[addr]
		c.busy, c.dear = true, next.dear()
		go q.put(addr, next)
	}
}

func (q question) dear() bool { return q.Cost > cheapQuestion }

// idle returns an instance that isn't asking for this owner now. This instance's
// own turn at the service is kept for cheap questions: half a second's question
// ahead of them was what most quotes waited for (0.54 s at most, 0.33 s for one
// in ten). Pools go round the peers from different ends.
func (q *askQueue) idle(dear bool) (string, bool) {
	now := q.own.unit.node.now()
	peers := q.own.unit.node.peers.addrs()
	if q.own.unit.topic.Part%2 == 1 {
		slices.Reverse(peers)
	}
	order := append([]string{thisInstance}, peers...)
	if dear && len(peers) > 0 {
		if q.dearUnderWay() >= len(peers)-len(peers)/keptForCheap {
			return "", false
		}
		order = peers
	}
	for _, addr := range order {
		c := q.callers[addr]
		if c == nil {
			c = &caller{}
			q.callers[addr] = c
		}
		if !c.busy && now >= c.until {
			return addr, true
		}
	}
	return "", false
}

func (q *askQueue) dearUnderWay() int {
	n := 0
	for _, c := range q.callers {
		if c.busy && c.dear {
			n++
		}
	}
	return n
}

func (q *askQueue) put(addr string, a question) {
	n := q.own.unit.node
	var r AdviseReply
	if addr == thisInstance {
		r.Answer = n.advise(q.own.ctx, a.Advise)
	} else {
		r = n.peers.advise(q.own.ctx, addr, a.Advise)
	}
	r.Answer.Step, r.Answer.Asked = a.Step, a.Workers
	q.own.unit.send(q.own.ctx, func() { q.done(addr, a, r) })
}

func (q *askQueue) done(addr string, a question, r AdviseReply) {
	c := q.callers[addr]
	c.busy = false
	now := q.own.unit.node.now()
	if r.Busy {
		c.until = now + busyPause
		q.again(a)
		return
	}
	if r.Answer.Failed {
		c.until = now + callerPause
		if a.tries++; a.tries < adviceTries {
			q.again(a)
			return
		}
	}
	q.send()
	if q.own.unit.own == q.own {
		q.own.handle(r.Answer)
	}
}

// again puts a question first that was not answered.
func (q *askQueue) again(a question) {
	q.waiting = append([]question{a}, q.waiting...)
	q.send()
}
