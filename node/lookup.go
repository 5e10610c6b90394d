package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// maxOwnerQueries is how many instances are asked for a pool's owner: the presumed one, its
	// successor, and two others if that one has failed.
	maxOwnerQueries = 4
	// ownerQueryTimeout bounds a query to a pool's owner.
	ownerQueryTimeout = 500 * time.Millisecond
	// absenceTimeout bounds the read that is required before a job is reported as nonexistent; the
	// store answers in 4 ms, and in 0.24 s when it is slow. Callers wait for 3 s, of which queries
	// to other instances may take 2 s.
	absenceTimeout = 1200 * time.Millisecond
	// maxCopyAge is the age of a copy up to which one read of the store may complete it, to prove
	// that a job doesn't exist.
	maxCopyAge = 4 * time.Second
)

// State returns a job's state from the pool's owner, else from what this instance has read, else
// from what the store holds now. Only the last can show that a job doesn't exist.
func (n *Node) State(ctx context.Context, service, job string) (pool.State, Verdict) {
	f, v := n.find(ctx, service, job)
	return f.state, v
}

// StateFor returns a job's state to a caller of an organisation; empty: a caller without a key. A job
// of another organisation doesn't exist for it.
func (n *Node) StateFor(ctx context.Context, organisation, service, job string) (pool.State, Verdict) {
	f, v := n.find(ctx, service, job)
	if v == Accepted && !mayAccess(organisation, f.organisation) {
		return "", NoSuchJob
	}
	return f.state, v
}

// mayAccess reports whether callers of an organisation may see and cancel the jobs of another one. Jobs
// whose organisation isn't known are accessible to all callers: their route needs no key, or an older
// version of this program has stored them.
func mayAccess(caller, owner string) bool { return owner == "" || caller == owner }

// foundJob is a job that was found, and the part of the pool in which it is stored.
type foundJob struct {
	part         int
	state        pool.State
	organisation string
}

// find looks for a job and returns the part of the pool in which it is stored. This is the pool of
// its queue's service, or another one, as a job stays where it is when a new configuration moves
// its queue to another service. When only the new service's pool was searched, a running job was
// reported as nonexistent. The answer that a job doesn't exist needs a read of each pool in use,
// see poolsInUse.
func (n *Node) find(ctx context.Context, service, job string) (foundJob, Verdict) {
	home := partOf(service, n.opts.Parts)
	controllers := n.controllersStartingWith(home)
	if len(controllers) == 0 || controllers[0].topic.Part != home {
		return foundJob{part: home}, CantTell
	}
	lookups := make([]lookup, len(controllers))
	for i, pc := range controllers {
		var err error
		if lookups[i], err = pc.lookUp(ctx, job); err != nil {
			return foundJob{part: home}, CantTell
		}
		if lookups[i].found {
			state := pc.ownerState(ctx, &lookups[i])
			return foundJob{pc.topic.Part, state, lookups[i].organisation}, Accepted
		}
	}
	if lookups[0].copied {
		if state := controllers[0].ownerState(ctx, &lookups[0]); state != "" {
			return foundJob{home, state, lookups[0].organisation}, Accepted
		}
	}
	for i, pc := range controllers {
		if state, v := pc.findUnread(ctx, &lookups[i]); v != NoSuchJob {
			return foundJob{pc.topic.Part, state, lookups[i].organisation}, v
		}
	}
	if !n.coversPoolsInUse(ctx, controllers) {
		return foundJob{part: home}, CantTell
	}
	return foundJob{part: home}, NoSuchJob
}

// findUnread looks for a job that this instance hasn't read of, in the store or through instances
// with a copy.
func (pc *poolController) findUnread(ctx context.Context, l *lookup) (pool.State, Verdict) {
	if l.copied {
		return pc.readState(ctx, l)
	}
	r, answered := pc.findRemotely(ctx, l)
	l.organisation = r.Organisation
	if !answered || r.Verdict != Accepted {
		pc.node.log.Info().Str("job", l.job).Int("pool", pc.topic.Part).Stringer("verdict", r.Verdict).Strs("asked", l.asked).Msg("job.unknown")
	}
	return r.State, r.Verdict
}

// ownerState returns a job's state from the pool's owner, else the one that was found here; empty:
// the job is unknown to both.
func (pc *poolController) ownerState(ctx context.Context, l *lookup) pool.State {
	if !l.owner && !l.state.Ended() {
		if r, answered := pc.askOwnerState(ctx, l); answered && r.Found {
			l.organisation = cmp.Or(l.organisation, r.Organisation)
			return r.State
		}
	}
	return l.state
}

// controllersStartingWith returns the pools that this instance follows, beginning with that of the
// given part.
func (n *Node) controllersStartingWith(part int) []*poolController {
	controllers := n.allControllers()
	if i := slices.IndexFunc(controllers, func(pc *poolController) bool { return pc.topic.Part == part }); i > 0 {
		home := controllers[i]
		controllers = slices.Insert(slices.Delete(controllers, i, i+1), 0, home)
	}
	return controllers
}

// lookup is the result of looking for a job, with what has been tried.
type lookup struct {
	job   string
	state pool.State
	found bool
	// organisation submitted the job; empty: it isn't known.
	organisation string
	owner        bool   // this instance owns the pool
	addr         string // address of the owner, as far as this instance knows
	// ownerLost means that the owner is unreachable.
	ownerLost     bool
	copied        bool // there is a copy that holds everything stored before next
	outdated      bool // the copy lacks so much that one read is unlikely to complete it
	unreadable    bool // a record under one of the job's keys can't be read
	next          int64
	asked         []string // the instances asked for the owner's answer, in this order
	ownerAnswered bool     // the last of them is the owner
}

// lookUp looks for a job in what this instance has read.
func (pc *poolController) lookUp(ctx context.Context, job string) (lookup, error) {
	l := lookup{job: job}
	err := pc.do(ctx, func() {
		l.state, l.found, l.owner = pc.jobState(job)
		l.organisation = pc.organisationOf(job)
		l.addr, l.ownerLost = pc.ownerAddr(), pc.copyState.ownerLostSince != 0
		l.outdated = pc.node.now()-pc.completeAsOf > maxCopyAge
		l.copied, l.next, l.unreadable = pc.copyLoaded, pc.replica.next, pc.replica.mayContain(job)
	})
	return l, err
}

func (pc *poolController) askOwnerState(ctx context.Context, l *lookup) (StateReply, bool) {
	var answer StateReply
	l.ownerAnswered = pc.askOwner(l.addr, func(at string) (string, error) {
		l.asked = append(l.asked, at)
		r := new(StateReply) // not shared: a call that has timed out may still write to it
		err := pc.node.peers.call(ctx, at, "State", StateArgs{Part: pc.topic.Part, Job: l.job}, r, ownerQueryTimeout)
		if err != nil {
			return "", err
		}
		answer = *r
		return r.Owner, nil
	})
	return answer, l.ownerAnswered
}

// readState looks for an unknown job in the records stored since this instance last read. Only such
// a read proves that there is no such job: what an instance has read dates from before the request,
// and so does the owner's knowledge of what others have stored. A caller whose cancellation is
// answered from either with "no such job" assumes that the job is gone, while the job runs. The
// proof costs one read; callers seldom ask for jobs that don't exist.
func (pc *poolController) readState(ctx context.Context, l *lookup) (pool.State, Verdict) {
	state, verdict := pool.State(""), CantTell
	if again, err := pc.lookUp(ctx, l.job); err == nil && again.copied {
		l.next, l.unreadable, l.outdated, l.organisation = again.next, again.unreadable, again.outdated, again.organisation
		state, verdict = again.state, Accepted
		if !again.found {
			state, verdict = pc.readSince(ctx, l)
		}
	}
	if verdict != Accepted {
		pc.node.log.Info().Str("job", l.job).Int("pool", pc.topic.Part).Stringer("verdict", verdict).Int64("next", l.next).
			Bool("owner", l.owner).Strs("asked", l.asked).Bool("owner_answered", l.ownerAnswered).Msg("job.unknown")
	}
	return state, verdict
}

// isNotStored reports whether a read that is sent now proves that nothing of a job is stored. The
// owner refuses jobs by what it has read: if another instance has stored the job since and the
// caller repeats its request, the owner alone would answer that the job never runs, while it runs.
func (n *Node) isNotStored(ctx context.Context, in intake) bool {
	_, id := pool.ParseKey(in.record.Key)
	controllers := n.controllersStartingWith(in.part)
	if len(controllers) == 0 || controllers[0].topic.Part != in.part {
		return false
	}
	for _, pc := range controllers { // a job stays in the pool of its queue's former service, see find
		l, err := pc.lookUp(ctx, id)
		if err != nil || l.found {
			return false
		}
		if !l.copied {
			if r, answered := pc.findRemotely(ctx, &l); !answered || r.Verdict != NoSuchJob {
				return false
			}
			continue
		}
		if _, verdict := pc.readSince(ctx, &l); verdict != NoSuchJob {
			return false
		}
	}
	return true
}

// readSince looks for a job in the records from an offset on.
//
// It doesn't complete an outdated copy: after an outage, megabytes for each lookup would leave no
// read bandwidth for the followers, which then never catch up.
func (pc *poolController) readSince(ctx context.Context, l *lookup) (pool.State, Verdict) {
	if l.outdated {
		return "", CantTell
	}
	page, end, err := pc.node.store.Read(withTimeout(ctx, absenceTimeout), pc.topic, l.next, 0)
	if err != nil {
		return "", CantTell
	}
	since := newReplica()
	unreadable := false
	since.apply(batch{records: page}, func(rec Stored, err error) {
		_, id := pool.ParseKey(rec.Key)
		unreadable = unreadable || id == l.job || rec.Key == ""
		pc.reportBadRecord(rec, err)
	})
	if state, found := since.state(l.job); found {
		l.organisation = since.organisation(l.job)
		return state, Accepted
	}
	if unreadable || l.unreadable || l.next+int64(len(page)) < end {
		return "", CantTell // the job may be in a record that can't be read, or beyond what one response holds
	}
	return "", NoSuchJob
}

// Pending counts a queue's jobs that have not started, and reports whether the count is known. Some
// may wait in another pool than that of the queue's service, see find.
func (n *Node) Pending(ctx context.Context, q pool.Queue) (int, bool) {
	home := partOf(q.Service, n.opts.Parts)
	controllers := n.controllersStartingWith(home)
	if len(controllers) == 0 || controllers[0].topic.Part != home {
		return 0, false
	}
	if !n.coversCachedPoolsInUse(ctx, controllers) {
		return 0, false
	}
	sum := 0
	for _, pc := range controllers {
		count, sure := pc.countPending(ctx, q.Name)
		if !sure {
			return 0, false
		}
		sum += count
	}
	return sum, true
}

// countPending counts a queue's jobs in one pool that have not started.
func (pc *poolController) countPending(ctx context.Context, queue string) (int, bool) {
	var count int
	var owner, sure bool
	var addr string
	if err := pc.do(ctx, func() { count, owner, sure = pc.pending(queue); addr = pc.ownerAddr() }); err != nil {
		return 0, false
	}
	if owner {
		return count, sure
	}
	var ownerCount int
	if pc.askOwner(addr, func(at string) (string, error) {
		r := new(PendingReply) // not shared: a call that has timed out may still write to it
		err := pc.node.peers.call(ctx, at, "Pending", PendingArgs{Part: pc.topic.Part, Queue: queue}, r, ownerQueryTimeout)
		if err != nil {
			return "", err
		}
		ownerCount = r.Count
		return r.Owner, nil
	}) {
		return ownerCount, true
	}
	return count, sure
}

// askOwner sends a query to the pool's owner, first to the address where this instance presumes it.
// An instance that doesn't own the pool replies with the owner that it knows; if the queried
// instance doesn't answer, a few others are tried. It reports whether the owner answered.
//
// An instance whose reads the store rejects doesn't learn of a new owner. Without asking other
// instances, its callers were shown states that were 10 s old, of jobs that had long finished.
func (pc *poolController) askOwner(addr string, ask func(addr string) (owner string, err error)) bool {
	tried := map[string]bool{"": true, pc.node.opts.PeerAddr: true}
	var others []string
	for range maxOwnerQueries {
		if tried[addr] {
			if others == nil {
				others = pc.ownerCandidates()
			}
			others = slices.DeleteFunc(others, func(a string) bool { return tried[a] })
			if len(others) == 0 {
				return false
			}
			addr = others[0]
		}
		tried[addr] = true
		owner, err := ask(addr)
		if err == nil && owner == "" {
			pc.send(pc.ctx, func() { pc.answeredAsOwner = addr })
			return true
		}
		addr = owner
	}
	return false
}

// ownerCandidates returns the instances to ask for the owner if no untried address is known.
// Without a copy here, only those that should have a copy are asked, as they learn of a new owner
// first.
func (pc *poolController) ownerCandidates() []string {
	if pc.followed.Load() {
		return pc.node.peers.addrs()
	}
	return pc.copyHolders(withTimeout(pc.ctx, aliveTimeout))
}

// owns reports whether this instance's core is authoritative for the pool. Once a worker has seen a
// newer owner, the core accepts no more events. Until the ownership is dropped, callers would be
// given its last state, and be told that jobs stored since don't exist.
func (pc *poolController) owns() bool {
	return pc.own != nil && pc.own.loaded && !pc.own.core.IsDeposed()
}

// jobState answers from the core if this instance owns the pool, and otherwise or for jobs unknown
// to the core from the copy. A job that is stored before the copy's end and isn't found here is
// reported as nonexistent, so an owner must know no less than other instances have read: an owner
// reported a job as nonexistent whose record had been overwritten with an unreadable one, which its
// core skips. A job that isn't found may still exist, see readState.
func (pc *poolController) jobState(job string) (state pool.State, found, owner bool) {
	if owner = pc.owns(); owner {
		if state, found = pc.own.core.JobState(job); found {
			return state, found, owner
		}
	}
	state, found = pc.replica.state(job)
	return state, found, owner
}

// organisationOf returns the organisation that submitted a job; empty: it isn't known here.
func (pc *poolController) organisationOf(job string) string {
	if pc.owns() {
		if org := pc.own.core.OrganisationOf(job); org != "" {
			return org
		}
	}
	return pc.replica.organisation(job)
}

// holds reports whether a job need not be stored again. An owner whose core doesn't know the job
// stores it again, so a repeated request repairs a job record that can't be read.
func (pc *poolController) holds(job string) bool {
	if pc.owns() {
		_, known := pc.own.core.JobState(job)
		return known
	}
	_, known := pc.replica.state(job)
	return known
}

// fresh reports whether the copy holds everything stored until just now.
func (pc *poolController) fresh() bool {
	return pc.completeAsOf != 0 && pc.node.now()-pc.completeAsOf < pc.node.maxAge()
}

// pending counts a queue's jobs that have not started; sure means that it is known which have, and that the count lacks at
// most those that were accepted just now.
func (pc *poolController) pending(queue string) (count int, owner, sure bool) {
	if pc.owns() {
		pc.own.core.Confirm(pc.own.confirmed.time(), pc.own.confirmed.acceptedAt())
		return pc.own.core.Pending(queue), true, pc.own.core.KnowsBegun(pc.node.now())
	}
	count, known := pc.replica.pending(queue)
	return count, false, known && pc.fresh()
}
