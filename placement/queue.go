package placement

import (
	"container/heap"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// WaitReason identifies what a job waits for.
type WaitReason string

// The reasons why a job waits.
const (
	WaitNone        WaitReason = ""
	WaitQueue       WaitReason = "turn"
	WaitCapacity    WaitReason = "room"
	WaitReservation WaitReason = "reserved-room"
	WaitQuota       WaitReason = "quota"
	WaitOverQuota   WaitReason = "above-quota"
	WaitBackoff     WaitReason = "backoff"
	WaitAnswer      WaitReason = "answer"
	WaitPredecessor WaitReason = "predecessor"
	WaitGangStops   WaitReason = "gang-stops"
	WaitLog         WaitReason = "log"
)

const noIndex = -1

// classKey holds what decides whether and when tasks can start: the jobs of one
// class wait for the same thing, so one check decides for all of them.
type classKey struct {
	urgent   bool
	priority int
	need     infra.Resources
	// gang is the number of tasks that start together; zero for others.
	gang int
	kind JobKind
}

// class is a queue of jobs of one team with equal keys, oldest first.
type class struct {
	key         classKey
	team        *homeTeam
	first, last *homeJob
	jobs        int
	// blocked is what the whole class waits for; a class that is not blocked is
	// in its team's heap.
	blocked WaitReason
	index   int
	// refused holds, by shard index, the version of the digest with which the
	// shard refused a task of this class.
	refused map[int]uint64
	// retryAt is when a digest or a timer may unblock the class after an
	// unsuccessful attempt. retryDelay is the delay after the next one; it
	// doubles up to HomeConfig.CapacityRetryInterval.
	retryDelay time.Duration
	retryAt    time.Duration
}

// queue holds the jobs with tasks to place. Urgent work comes first; among
// teams the one with the smallest dominant share of its quota; within a team
// the higher priority, then the older job.
type queue struct {
	teams teamHeap
	// blocked are the classes that wait for capacity, in no particular order.
	blocked []*class
}

func newQueue() queue { return queue{} }

// maxIdleClasses limits the classes without jobs that a team keeps for their
// record of refusals.
const maxIdleClasses = 64

func classKeyOf(job *homeJob) classKey {
	key := classKey{urgent: job.Spec.Urgent, priority: job.policy().Priority, need: job.need, kind: job.Spec.Kind}
	if key.kind == Gang {
		key.gang = len(job.tasks)
	}
	return key
}

func classOf(job *homeJob) *class {
	t, key := job.team, classKeyOf(job)
	c, ok := t.allClasses[key]
	if ok {
		return c
	}
	if t.allClasses == nil || len(t.allClasses) >= maxIdleClasses {
		t.allClasses = nonEmptyClasses(t.allClasses)
	}
	c = &class{key: key, team: t, index: noIndex}
	t.allClasses[key] = c
	return c
}

func nonEmptyClasses(all map[classKey]*class) map[classKey]*class {
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
	if !h.canPlace(job) || job.closed || job.end != nil || job.class != nil || len(job.queued) == 0 {
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

// insert adds a job in order of acceptance. Jobs mostly arrive in that order,
// so the search from the end is short.
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

// remove takes a job out of its class in constant time.
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
		q.clearBlocked(c)
	} else if c.index != noIndex {
		heap.Fix(&c.team.classes, c.index)
		q.fixTeam(c.team)
	}
}

// clearBlocked ends a class's wait.
func (q *queue) clearBlocked(c *class) {
	if c.blocked == WaitCapacity {
		q.removeBlocked(c)
	}
	c.blocked = WaitNone
}

func (q *queue) removeBlocked(c *class) {
	for i, b := range q.blocked {
		if b == c {
			last := len(q.blocked) - 1
			q.blocked[i], q.blocked[last] = q.blocked[last], nil
			q.blocked = q.blocked[:last]
			return
		}
	}
}

// activate adds a class to those that may start.
func (q *queue) activate(c *class) {
	if c.blocked != WaitNone || c.jobs == 0 {
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

// block makes a class wait for capacity or quota.
func (q *queue) block(c *class, reason WaitReason) {
	q.deactivate(c)
	c.blocked = reason
	if reason == WaitCapacity {
		q.blocked = append(q.blocked, c)
	}
}

func (q *queue) unblock(c *class) {
	if c.blocked == WaitNone {
		return
	}
	q.clearBlocked(c)
	q.activate(c)
}

// capacityGrew unblocks the classes that could use a shard's new free capacity.
// After an unsuccessful attempt a class is skipped for a growing time, because
// the sum over a shard says little about a single worker.
func (q *queue) capacityGrew(now time.Duration, free infra.Resources) {
	for i := 0; i < len(q.blocked); {
		c := q.blocked[i]
		if now >= c.retryAt && c.key.need.Fits(free) {
			q.unblock(c)
			continue
		}
		i++
	}
}

// unblockTeam unblocks the classes that wait for their team's quota.
func (q *queue) unblockTeam(t *homeTeam) {
	for _, c := range t.allClasses {
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

// updateShare updates a team's dominant share and its position after its usage
// has changed.
func (q *queue) updateShare(t *homeTeam, total infra.Resources) {
	t.share = dominantShare(t.used, t.quota, total)
	if t.index != noIndex {
		heap.Fix(&q.teams, t.index)
	}
}

// dominantShare is the highest usage of a resource relative to its quota, or to
// the whole cell if there is no quota.
func dominantShare(used, quota, total infra.Resources) float64 {
	return max(usedShare(used.MilliCPU, quota.MilliCPU, total.MilliCPU),
		usedShare(used.MemoryMiB, quota.MemoryMiB, total.MemoryMiB),
		usedShare(used.Accelerators, quota.Accelerators, total.Accelerators))
}

func usedShare(used, quota, total int64) float64 {
	if quota > 0 {
		return float64(used) / float64(quota)
	}
	return share(used, total)
}

// teamHeap holds the teams with classes that may start.
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

// classHeap holds the classes of one team that may start.
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
