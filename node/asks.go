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
)

// askQueue spreads an owner's questions over the instances: the advice service
// serves one call of each machine at a time, and a call takes up to a second.
type askQueue struct {
	own     *ownership
	waiting []question
	callers map[string]*caller // by address; "" is this instance
}

type question struct {
	pool.Advise
	tries int
}

type caller struct {
	busy  bool
	until time.Duration // not used before
}

func newAskQueue(o *ownership) *askQueue {
	return &askQueue{own: o, callers: map[string]*caller{"": {}}}
}

// add queues a question: urgent ones first, cheap ones before dear ones, so that
// a quote doesn't wait behind three questions of half a second each.
func (q *askQueue) add(a pool.Advise) {
	q.waiting = append(q.waiting, question{Advise: a})
	slices.SortStableFunc(q.waiting, func(x, y question) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Cost, y.Cost))
	})
	q.send()
}

func (q *askQueue) answered() { q.send() }

func (q *askQueue) send() {
	for len(q.waiting) > 0 {
		addr, ok := q.idle()
		if !ok {
			return
		}
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.callers[addr].busy = true
		go q.put(addr, next)
	}
}

// idle returns an instance that isn't asking for this owner now.
func (q *askQueue) idle() (string, bool) {
	now := q.own.unit.node.now()
	for _, addr := range append([]string{""}, q.own.unit.node.peers.addrs()...) {
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

func (q *askQueue) put(addr string, a question) {
	n := q.own.unit.node
	var answer pool.Advised
	if addr == "" {
		answer = n.advise(q.own.ctx, a.Advise)
	} else {
		answer = n.peers.advise(q.own.ctx, addr, a.Advise)
	}
	answer.Step, answer.Asked = a.Step, a.Workers
	q.own.unit.send(q.own.ctx, func() { q.done(addr, a, answer) })
}

func (q *askQueue) done(addr string, a question, answer pool.Advised) {
	c := q.callers[addr]
	c.busy = false
	if answer.Failed {
		c.until = q.own.unit.node.now() + callerPause
		if a.tries++; a.tries < adviceTries {
			q.waiting = append([]question{a}, q.waiting...)
			q.send()
			return
		}
	}
	if q.own.unit.own == q.own {
		q.own.handle(answer)
	}
}
