package placement

import (
	"container/heap"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// WaitReason says what a job waits for.
type WaitReason string

// The reasons to wait.
const (
	WaitNothing     WaitReason = ""
	WaitTurn        WaitReason = "turn"
	WaitRoom        WaitReason = "room"
	WaitReserved    WaitReason = "reserved-room"
	WaitQuota       WaitReason = "quota"
	WaitOverQuota   WaitReason = "above-quota"
	WaitBackoff     WaitReason = "backoff"
	WaitAnswer      WaitReason = "answer"
	WaitPredecessor WaitReason = "predecessor"
	WaitGangStops   WaitReason = "gang-stops"
	WaitLog         WaitReason = "log"
)

const noIndex = -1

// classKey is what decides whether and when tasks can start: jobs of one class
// wait for the same thing, so one look decides for all of them.
type classKey struct {
	urgent   bool
	priority int
	need     infra.Resources
	// gang is the number of tasks that start together; zero for others.
	gang int
	kind JobKind
}

// class is a queue of like jobs of one team, oldest first.
type class struct {
	key         classKey
	team        *homeTeam
	first, last *homeJob
	jobs        int
	// blocked is what the whole class waits for; an active class is in its
	// team's heap.
	blocked WaitReason
	index   int
	// refused holds the version of each shard's digest that proved wrong.
	refused map[int]uint64
	// wait is how long the class waits for news of room before it looks again.
	wait    time.Duration
	retryAt time.Duration
}

// queue is the jobs with tasks to place. Urgent work goes first; among teams the
// one that uses the smallest share of its quota; within a team the higher
// priority, then the older job.
type queue struct {
	teams teamHeap
	// blocked are the classes that wait for room, in no particular order.
	blocked []*class
}

func newQueue() queue { return queue{} }

// maxIdleClasses bounds the classes without jobs that a team keeps for what they
// know of refusals.
const maxIdleClasses = 64

func keyOf(job *homeJob) classKey {
	key := classKey{urgent: job.Spec.Urgent, priority: job.policy().Priority, need: job.need, kind: job.Spec.Kind}
	if key.kind == Gang {
		key.gang = len(job.tasks)
	}
	return key
}

func classOf(job *homeJob) *class {
	t, key := job.team, keyOf(job)
	c, ok := t.all[key]
	if ok {
		return c
	}
	if t.all == nil || len(t.all) >= maxIdleClasses {
		t.all = withJobs(t.all)
	}
	c = &class{key: key, team: t, index: noIndex}
	t.all[key] = c
	return c
}

func withJobs(all map[classKey]*class) map[classKey]*class {
	kept := map[classKey]*class{}
	for k, c := range all {
		if c.jobs > 0 {
			kept[k] = c
		}
	}
	return kept
}

// enqueue makes a job's queued tasks ready to be placed.
func (h *Home) enqueue(now time.Duration, job *homeJob) {
	if !h.mayPlace(job) || job.over || job.end != nil || job.class != nil || len(job.queued) == 0 {
		return
	}
	if now < job.readyAt {
		h.timers.add(timer{at: job.readyAt, kind: timerReady, job: job})
		return
	}
	c := classOf(job)
	c.insert(job)
	h.queue.activate(c)
}

// insert keeps the class in order of age. Jobs come mostly in that order, so the
// search from the end is short.
func (c *class) insert(job *homeJob) {
	after := c.last
	for after != nil && after.Accepted > job.Accepted {
		after = after.prev
	}
	job.class, job.prev = c, after
	if after == nil {
		job.next, c.first = c.first, job
	} else {
		job.next, after.next = after.next, job
	}
	if job.next == nil {
		c.last = job
	} else {
		job.next.prev = job
	}
	c.jobs++
}

// remove takes a job out of its class in constant time, however many wait.
func (q *queue) remove(job *homeJob) {
	c := job.class
	if c == nil {
		return
	}
	if job.prev == nil {
		c.first = job.next
	} else {
		job.prev.next = job.next
	}
	if job.next == nil {
		c.last = job.prev
	} else {
		job.next.prev = job.prev
	}
	job.class, job.prev, job.next = nil, nil, nil
	c.jobs--
	if c.jobs == 0 {
		q.deactivate(c)
		q.clear(c)
	} else if c.index != noIndex {
		heap.Fix(&c.team.classes, c.index)
		q.fixTeam(c.team)
	}
}

// clear ends a class's wait.
func (q *queue) clear(c *class) {
	if c.blocked == WaitRoom {
		q.unlist(c)
	}
	c.blocked = WaitNothing
}

func (q *queue) unlist(c *class) {
	for i, b := range q.blocked {
		if b == c {
			last := len(q.blocked) - 1
			q.blocked[i], q.blocked[last] = q.blocked[last], nil
			q.blocked = q.blocked[:last]
			return
		}
	}
}

// activate puts a class back among those that may start.
func (q *queue) activate(c *class) {
	if c.blocked != WaitNothing || c.jobs == 0 {
		return
	}
	if c.index == noIndex {
		heap.Push(&c.team.classes, c)
	} else {
		heap.Fix(&c.team.classes, c.index)
	}
	q.fixTeam(c.team)
}

func (q *queue) deactivate(c *class) {
	if c.index == noIndex {
		return
	}
	heap.Remove(&c.team.classes, c.index)
	q.fixTeam(c.team)
}

func (q *queue) fixTeam(t *homeTeam) {
	switch {
	case len(t.classes) == 0 && t.index != noIndex:
		heap.Remove(&q.teams, t.index)
	case len(t.classes) > 0 && t.index == noIndex:
		heap.Push(&q.teams, t)
	case t.index != noIndex:
		heap.Fix(&q.teams, t.index)
	}
}

// block makes a class wait for room or quota.
func (q *queue) block(c *class, reason WaitReason) {
	q.deactivate(c)
	c.blocked = reason
	if reason == WaitRoom {
		q.blocked = append(q.blocked, c)
	}
}

func (q *queue) unblock(c *class) {
	if c.blocked == WaitNothing {
		return
	}
	q.clear(c)
	q.activate(c)
}

// roomGrew wakes the classes that could use a shard's new room. A class that was
// woken in vain is left alone for a growing while: the sum of a shard's room
// says little of one worker's.
func (q *queue) roomGrew(now time.Duration, free infra.Resources) {
	for i := 0; i < len(q.blocked); {
		c := q.blocked[i]
		if now >= c.retryAt && c.key.need.Fits(free) {
			q.unblock(c)
			continue
		}
		i++
	}
}

// wakeTeam wakes the classes that wait for their team's quota.
func (q *queue) wakeTeam(t *homeTeam) {
	for _, c := range t.all {
		if c.blocked == WaitQuota || c.blocked == WaitOverQuota {
			q.unblock(c)
		}
	}
}

// next returns the class to serve, or nil.
func (q *queue) next() *class {
	if len(q.teams) == 0 {
		return nil
	}
	return q.teams[0].classes[0]
}

// reorder puts a team in its place after its use has changed.
func (q *queue) reorder(t *homeTeam, total infra.Resources) {
	t.share = dominantShare(t.used, t.quota, total)
	if t.index != noIndex {
		heap.Fix(&q.teams, t.index)
	}
}

// dominantShare is the largest part that a use is of its quota, or of the whole
// cell where there is no quota.
func dominantShare(used, quota, total infra.Resources) float64 {
	return max(part(used.MilliCPU, quota.MilliCPU, total.MilliCPU),
		part(used.MemoryMiB, quota.MemoryMiB, total.MemoryMiB),
		part(used.Accelerators, quota.Accelerators, total.Accelerators))
}

func part(used, quota, total int64) float64 {
	if quota > 0 {
		return float64(used) / float64(quota)
	}
	return share(used, total)
}

// teamHeap is the teams with something that may start.
type teamHeap = indexHeap[*homeTeam]

func (a *homeTeam) heapIndex() *int { return &a.index }

func (a *homeTeam) before(b *homeTeam) bool {
	if au, bu := a.classes[0].key.urgent, b.classes[0].key.urgent; au != bu {
		return au
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.name < b.name
}

// classHeap is one team's classes that may start.
type classHeap = indexHeap[*class]

func (a *class) heapIndex() *int { return &a.index }

func (a *class) before(b *class) bool {
	if a.key.urgent != b.key.urgent {
		return a.key.urgent
	}
	if a.key.priority != b.key.priority {
		return a.key.priority > b.key.priority
	}
	return a.first.Accepted < b.first.Accepted
}
