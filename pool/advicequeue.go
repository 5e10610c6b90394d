package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/fairshare"
)

const (
	// maxCheapCost separates cheap requests from expensive ones. Price quotes cost 30 ms, all
	// other requests 180 ms or more.
	maxCheapCost = 100 * time.Millisecond
	// maxOvertakingFactor limits the cost of newer requests that are sent before an older one,
	// relative to the cost of the requests that waited when it was added. Ordered strictly by
	// urgency, requests of late jobs waited as long as others arrived: a gang's last request was
	// held up for 34 s on a busy day while its capacity was free. A limit in terms of cost works
	// at any load and with any number of instances. A request that would be answered by its
	// job's objective in first-in, first-out order is answered before the job is worth nothing.
	// At two, four and eight times the load that seven instances can handle, 0.935, 0.819 and
	// 0.521 of all requests are answered in time; the alternative, an eighth of the work for the
	// oldest request, reached 0.938, 0.833 and 0.526 (TestAdviceQueueInOverload, in both cases
	// with reserved instances used for late requests).
	maxOvertakingFactor = worthlessFactor - 1
	// minOvertakingWork is the cost per instance that may be sent before a request even if
	// nothing waited when it was added. It is the largest number of seconds at which late
	// requests get the share that TestAdviceQueueInOverload requires. With 8 s in total,
	// independent of the number of instances, jobs earned 0.699 of the value offered at three
	// times the usual load, and 0.723 without a limit (pool/experiment, one simulation).
	minOvertakingWork = 6 * time.Second
	// maxSentKept is how many sent requests the lists may hold in addition to as many as wait.
	// Removing them one at a time would scan all requests each time.
	maxSentKept = 64
	// maxUrgencyLists is the number of lists from which on empty ones are dropped, since organisations come
	// and go. Twenty organisations with requests of two priorities, early and late ones, have 80.
	maxUrgencyLists = 100
)

// AdviceRequest is a request to the advice service that waits for an instance to send it.
type AdviceRequest struct {
	Advise
	// Tries is the number of instances that failed to send it.
	Tries int
	// limit is the value of limitList.sentCost from which on it is sent before all newer
	// requests; 0: it hasn't been added before.
	limit time.Duration
	// class is the class in which it was last sent.
	class SendClass
}

// NewAdviceRequest returns a request that hasn't been sent.
func NewAdviceRequest(a Advise) AdviceRequest { return AdviceRequest{Advise: a} }

// IsExpensive reports whether a request would delay cheap ones behind it.
func (q AdviceRequest) IsExpensive() bool { return q.Cost > maxCheapCost }

// AdviceQueue holds an owner's waiting advice requests. They are sent in the order in which
// their steps are placed (see urgency): in another order, tickets go to steps that get no
// capacity while the tickets are valid, and the requests have to be repeated. The order depends
// on what a job can still earn when the answer arrives, not when the request was added. In
// overload, most waiting requests were in time when they were added, and if they were sent
// first, each answer would arrive for a job that is late by then. In a burst of eight times the
// load that seven instances can handle, 0.52 of all requests are answered in time, and 0.07 if
// instead all are sorted by age, with 4 s added for each property that makes a request more
// urgent (TestAdviceQueueInOverload). The jobs of such a load earn 0.44 of the value offered, and
// 0.33 otherwise.
//
// Times are on the owner's clock. The zero value is ready to use.
type AdviceQueue struct {
	// Instances is the number of instances that can send requests; 0 counts as one.
	Instances int

	lists []*urgencyList // sorted by tier and priority
	// cheap and expensive hold all waiting requests, and some that were sent since.
	cheap, expensive limitList
	count            int
	pendingCost      time.Duration // total cost of all waiting requests
	// clock ranks the organisations by the service that their requests got.
	clock fairshare.Clock
}

// limitList holds requests of one kind sorted by their limits.
type limitList struct {
	list []*queuedRequest
	// sentCost is the total cost of all requests, of either kind, that were sent in classes
	// that include this kind.
	sentCost time.Duration
}

// SendClass determines which requests the free instances may send.
type SendClass int

// The classes. Each includes those before it.
const (
	// CheapOnly includes only cheap requests.
	CheapOnly SendClass = iota
	// CheapOrLate also includes expensive requests of late jobs if no cheap one waits or these
	// are beyond their limit. It uses the instances that are reserved for cheap requests,
	// which are idle most of the time. With two of seven instances used in this way, late
	// requests waited for 29, 72 and 121 s at two, four and eight times the load instead of
	// 60, 102 and 160 s, and no fewer of the others were in time (TestAdviceQueueInOverload).
	CheapOrLate
	// AnyRequest includes all requests.
	AnyRequest
)

// urgencyKey tells which list a request is in.
type urgencyKey struct {
	tier         Tier
	priority     int
	expensive    bool
	organisation string
	overdue      bool
}

// urgencyList holds the waiting requests of one tier, priority, kind and organisation: those of
// started jobs past their objectives sorted by remaining work, all others by due time.
type urgencyList struct {
	urgencyKey
	list []*queuedRequest
}

type queuedRequest struct {
	AdviceRequest
	sent bool
}

// Len returns the number of waiting requests.
func (q *AdviceQueue) Len() int { return q.count }

// Add adds a request, or adds one again that failed to be sent. The cost of a failed attempt
// isn't counted as sent.
func (q *AdviceQueue) Add(a AdviceRequest, now time.Duration) {
	w := &queuedRequest{AdviceRequest: a}
	l := q.limitListOf(w)
	if w.limit == 0 {
		w.limit = l.sentCost + (1+maxOvertakingFactor)*q.pendingCost + time.Duration(max(1, q.Instances))*minOvertakingWork
	} else {
		q.addSentCost(w.class, -w.Cost)
		q.clock.Refund(w.Organisation, w.Cost.Seconds())
	}
	q.clock.Wait(w.Organisation, w.Weight)
	q.count++
	q.pendingCost += w.Cost
	at, _ := slices.BinarySearchFunc(l.list, w, func(x, y *queuedRequest) int { return compareEqualBefore(x.limit, y.limit) })
	l.list = slices.Insert(l.list, at, w)
	if len(q.lists) >= maxUrgencyLists {
		q.lists = slices.DeleteFunc(q.lists, func(l *urgencyList) bool { return len(l.list) == 0 })
	}
	q.enqueue(w, now)
}

func (q *AdviceQueue) limitListOf(w *queuedRequest) *limitList {
	if w.IsExpensive() {
		return &q.expensive
	}
	return &q.cheap
}

// compareEqualBefore compares two times and treats equal ones as earlier, so that an element is
// inserted behind its equals.
func compareEqualBefore(x, y time.Duration) int {
	if x <= y {
		return -1
	}
	return 1
}

// enqueue adds a request to the list of its job's current tier.
func (q *AdviceQueue) enqueue(w *queuedRequest, now time.Duration) {
	l := q.urgencyListFor(w.keyAt(now))
	at, _ := slices.BinarySearchFunc(l.list, w, func(x, y *queuedRequest) int {
		if l.compare(x, y) <= 0 {
			return -1
		}
		return 1
	})
	l.list = slices.Insert(l.list, at, w)
}

// keyAt returns the key of the list that a request belongs to now.
func (w *queuedRequest) keyAt(now time.Duration) urgencyKey {
	tier := w.TierAt(now + w.Cost)
	return urgencyKey{tier: tier, priority: w.Priority, expensive: w.IsExpensive(), organisation: w.Organisation,
		overdue: w.Started && !w.isOnTimeAt(now+w.Cost) && tier != Worthless}
}

// compare orders two requests that belong to the list, or to others with equal overdue.
func (l *urgencyList) compare(a, b *queuedRequest) int {
	if l.overdue && a.Work != b.Work {
		return cmp.Compare(a.Work, b.Work)
	}
	return cmp.Compare(a.InTimeUntil, b.InTimeUntil)
}

func (q *AdviceQueue) urgencyListFor(key urgencyKey) *urgencyList {
	for _, l := range q.lists {
		if l.urgencyKey == key {
			return l
		}
	}
	l := &urgencyList{urgencyKey: key}
	at, _ := slices.BinarySearchFunc(q.lists, l, func(a, b *urgencyList) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), -1)
	})
	q.lists = slices.Insert(q.lists, at, l)
	return l
}

// Next removes and returns the request to be sent now.
func (q *AdviceQueue) Next(now time.Duration, class SendClass) (AdviceRequest, bool) {
	q.reclassify(now)
	w := q.mostOverdue(class)
	if w == nil {
		w = q.mostUrgent(class == AnyRequest)
	}
	if w == nil && class == CheapOrLate {
		w = q.firstLate(now)
	}
	if w == nil {
		return AdviceRequest{}, false
	}
	q.markSent(w, class)
	return w.AdviceRequest, true
}

// mostOverdue returns the request that is furthest beyond its limit.
func (q *AdviceQueue) mostOverdue(class SendClass) *queuedRequest {
	var most *queuedRequest
	var by time.Duration
	for _, l := range q.limitListsFor(class) {
		if w := l.first(); w != nil && l.sentCost >= w.limit && (most == nil || l.sentCost-w.limit > by) {
			most, by = w, l.sentCost-w.limit
		}
	}
	return most
}

// limitListsFor returns the lists of the kinds that a class includes.
func (q *AdviceQueue) limitListsFor(class SendClass) []*limitList {
	if class == CheapOnly {
		return []*limitList{&q.cheap}
	}
	return []*limitList{&q.cheap, &q.expensive}
}

// firstLate returns the expensive request that is nearest to its limit, if its job is late.
func (q *AdviceQueue) firstLate(now time.Duration) *queuedRequest {
	w := q.expensive.first()
	if w == nil || w.TierAt(now+w.Cost) == OnTime && w.isOnTimeAt(now+w.Cost) {
		return nil
	}
	return w
}

func (q *AdviceQueue) markSent(w *queuedRequest, class SendClass) {
	w.sent = true
	q.clock.Serve(w.Organisation, w.Cost.Seconds())
	q.count--
	q.pendingCost -= w.Cost
	if class == CheapOrLate && !w.IsExpensive() {
		class = CheapOnly // an instance reserved for cheap requests sent it: no expensive one was overtaken
	}
	w.class = class
	q.addSentCost(class, w.Cost)
	q.compact()
}

// addSentCost adds to the cost that was sent in a class.
func (q *AdviceQueue) addSentCost(class SendClass, cost time.Duration) {
	for _, l := range q.limitListsFor(class) {
		l.sentCost += cost
	}
}

// compact removes sent requests from the lists.
func (q *AdviceQueue) compact() {
	if len(q.cheap.list)+len(q.expensive.list) <= 2*q.count+maxSentKept {
		return
	}
	isSent := func(w *queuedRequest) bool { return w.sent }
	for _, l := range q.limitListsFor(AnyRequest) {
		l.list = slices.DeleteFunc(l.list, isSent)
	}
	for _, l := range q.lists {
		l.list = slices.DeleteFunc(l.list, isSent)
	}
}

func (l *limitList) first() *queuedRequest {
	for len(l.list) > 0 && l.list[0].sent {
		l.list = popFront(l.list)
	}
	if len(l.list) == 0 {
		return nil
	}
	return l.list[0]
}

// popFront returns a list without its first element, without moving the others: thousands of
// requests wait in overload.
func popFront(list []*queuedRequest) []*queuedRequest {
	list[0] = nil
	return list[1:]
}

// reclassify moves requests whose job can earn less by now to the lists of their new tiers. It
// checks only the first of each list, since the others are checked when they become first.
func (q *AdviceQueue) reclassify(now time.Duration) {
	for i := 0; i < len(q.lists); i++ {
		l := q.lists[i]
		for len(l.list) > 0 {
			w := l.list[0]
			if !w.sent && w.keyAt(now) == l.urgencyKey {
				break
			}
			l.list = popFront(l.list)
			if !w.sent {
				q.enqueue(w, now)
			}
		}
	}
}

func (q *AdviceQueue) mostUrgent(expensive bool) *queuedRequest {
	var first *urgencyList
	var firstExcess float64
	for _, l := range q.lists {
		if len(l.list) == 0 || l.expensive && !expensive {
			continue
		}
		if first != nil && (l.tier != first.tier || l.priority != first.priority) {
			break
		}
		if excess := q.clock.Excess(l.organisation); first == nil || compareHeads(l, first, excess, firstExcess) < 0 {
			first, firstExcess = l, excess
		}
	}
	if first == nil {
		return nil
	}
	return first.list[0]
}

// compareHeads orders the first requests of two lists of equal tier and priority: by the shares of their
// organisations, then those of overdue jobs, then as within a list.
func compareHeads(a, b *urgencyList, excessA, excessB float64) int {
	return cmp.Or(cmp.Compare(excessA, excessB), compareTrueFirst(a.overdue, b.overdue), a.compare(a.list[0], b.list[0]))
}
