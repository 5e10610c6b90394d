package node

import (
	"context"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// defaultCopies is the number of instances that keep a copy of a pool, its owner included,
	// unless the settings specify it.
	defaultCopies = 8
	// checkOwnerInterval is how often an instance without a copy checks that it can reach the
	// pool's owner.
	checkOwnerInterval = 2 * time.Second
	// ownerLostTimeout is how long the owner must be unreachable before instances beyond the
	// configured number of copies follow the pool; copyStagger is the extra delay per rank.
	ownerLostTimeout = 2 * time.Second
	copyStagger      = 250 * time.Millisecond
	// copyDropDelay is how long a copy must be unneeded before it is dropped.
	copyDropDelay = 5 * time.Second
	// onDemandCopyTTL is how long a copy that was read to answer one query is kept.
	onDemandCopyTTL = 10 * time.Second
)

// copyState is the state of this instance's copy of the pool. Each copy reads every stored record,
// so the store's read bandwidth bounds the product of starts and copies. If each of hundreds of
// instances kept a copy, all readers would starve, including those of the configuration.
type copyState struct {
	stop   context.CancelFunc // nil: the pool isn't followed
	number int                // identifies the copy; batches read for earlier copies are ignored
	// neededUntil is until when a copy that was read on demand is kept.
	neededUntil time.Duration
	// unneededSince is since when the copy has not been needed; 0: it is needed.
	unneededSince time.Duration
	// ownerLostSince is since when the owner has been unreachable from here; 0: it is reachable.
	ownerLostSince time.Duration
	ownerCheckedAt time.Duration
}

// follows reports whether this instance reads the pool's stream.
func (pc *poolController) follows() bool { return pc.copyState.stop != nil }

// updateCopy starts or stops following the pool. It is followed by the instances that rank first
// as its next owners, and, in order of rank, by others that can't reach its owner.
func (pc *poolController) updateCopy(ctx context.Context) {
	now := pc.node.now()
	if pc.own != nil || !pc.node.peers.loaded.Load() || pc.rankedAt != 0 && now-pc.rankedAt <= rankInterval {
		return
	}
	pc.rankedAt = now
	rank := pc.rank()
	pc.readsInfrequently.Store(rank >= standbyCount)
	switch owner := pc.replica.claim; {
	case owner.Addr == "" && pc.copyState.ownerLostSince == 0:
		pc.copyState.ownerLostSince = now
	case owner.Addr != "" && pc.copyLoaded && !pc.node.isGone(owner):
		pc.copyState.ownerLostSince = 0 // its failure is detected through the copy
	}
	switch wanted := pc.wantsCopy(now, rank); {
	case wanted:
		pc.copyState.unneededSince = 0
		pc.follow(ctx)
	case !pc.follows():
		pc.markCaughtUp()
	case pc.copyState.unneededSince == 0:
		pc.copyState.unneededSince = now
	case now-pc.copyState.unneededSince > copyDropDelay:
		pc.unfollow()
	}
}

// wantsCopy reports whether this instance, of the given rank among the next owners, should follow
// the pool.
func (pc *poolController) wantsCopy(now time.Duration, rank int) bool {
	excess := rank - (pc.node.opts.Copies - 1)
	switch c := &pc.copyState; {
	case excess < 0, pc.claiming, now < c.neededUntil:
		return true
	case pc.replica.claim.Node == pc.node.opts.Name:
		return true // it owned the pool before its restart
	default:
		return c.ownerLostSince != 0 && now-c.ownerLostSince > ownerLostTimeout+time.Duration(excess)*copyStagger
	}
}

// follow starts reading the pool's stream.
func (pc *poolController) follow(ctx context.Context) {
	if pc.follows() {
		return
	}
	ctx, pc.copyState.stop = context.WithCancel(ctx)
	pc.followed.Store(true)
	pc.copyState.number++
	number := pc.copyState.number
	f := &follower{store: pc.node.store, topic: pc.topic, now: pc.node.now, wait: poolReadWait, pause: pc.pause, wake: pc.readNow, largeTopic: true,
		readers: &pc.node.readers, log: pc.node.log}
	go f.run(ctx, func(b batch) {
		b.copyNumber = number
		pc.send(ctx, b)
	})
}

// followOnDemand follows the pool for onDemandCopyTTL to answer a query that needs a copy.
func (pc *poolController) followOnDemand() {
	pc.copyState.neededUntil = pc.node.now() + onDemandCopyTTL
	pc.follow(pc.ctx)
}

// unfollow stops reading the pool's stream and drops the copy.
func (pc *poolController) unfollow() {
	pc.copyState.stop()
	pc.copyState.stop, pc.copyState.unneededSince = nil, 0
	pc.copyState.number++
	owner := pc.replica.claim
	pc.replica = newReplica()
	pc.replica.claim = owner
	pc.copyLoaded, pc.caughtUp, pc.completeAsOf = false, false, 0
	pc.readableSince, pc.lastReadAt, pc.storeProvenSince, pc.claimAt = 0, 0, 0, 0
	pc.storeReadable.Store(false)
	pc.followed.Store(false)
	pc.refuseDirect()
}

// markCaughtUp reports once that this pool no longer keeps the instance from being ready.
func (pc *poolController) markCaughtUp() {
	if !pc.initialReadReported {
		pc.initialReadReported = true
		pc.node.initialReadDone()
	}
}

// learnOwner applies the claim found in the list of instances, unless a copy has been read.
func (pc *poolController) learnOwner(c claim) {
	if pc.copyLoaded || c.Epoch == 0 || c == pc.replica.claim {
		return
	}
	pc.replica.claim = c
	pc.copyState.ownerLostSince = 0
	pc.applyClaim()
}

// checkOwner checks, for an instance without a copy, whether the owner is reachable.
func (pc *poolController) checkOwner(ctx context.Context) {
	now, c := pc.node.now(), pc.replica.claim
	if c.Addr == "" || now-pc.copyState.ownerCheckedAt < checkOwnerInterval {
		return
	}
	pc.copyState.ownerCheckedAt = now
	go func() {
		r := new(LifeReply)
		err := pc.node.peers.call(ctx, c.Addr, "Life", Empty{}, r, peerTimeout)
		found := err == nil && r.Life == c.Life // after an error, the call may still write to r
		pc.send(ctx, func() {
			switch {
			case pc.replica.claim != c:
			case found:
				pc.copyState.ownerLostSince = 0
			case pc.copyState.ownerLostSince == 0:
				pc.copyState.ownerLostSince = now
			}
		})
	}()
}

// copyHolders returns the instances that should have a copy, the next owner first.
func (pc *poolController) copyHolders(ctx context.Context) []string {
	var list []string
	_ = pc.do(ctx, func() { // on an error the list is empty
		for _, h := range pc.successors() {
			if len(list) < pc.node.opts.Copies && h.addr != pc.replica.claim.Addr {
				list = append(list, h.addr)
			}
		}
	})
	return list
}

// findRemotely looks for a job in a pool of which this instance has no copy. It asks the owner,
// then the other instances with a copy; they read the store before they answer that there is no
// such job.
func (pc *poolController) findRemotely(ctx context.Context, l *lookup) (FindReply, bool) {
	var answer FindReply
	find := func(at string, args FindArgs) error {
		l.asked = append(l.asked, at)
		r := new(FindReply) // not shared: a call that has timed out may still write to it
		if err := pc.node.peers.call(ctx, at, "Find", args, r, peerTimeout); err != nil {
			return err
		}
		answer = *r
		return nil
	}
	args := FindArgs{Part: pc.topic.Part, Job: l.job}
	if !l.ownerLost && pc.askOwner(l.addr, func(at string) (string, error) {
		if err := find(at, args); err != nil {
			return "", err
		}
		return answer.Owner, nil
	}) {
		return answer, true
	}
	args.AnyCopy = true
	holders := pc.copyHolders(ctx)
	for _, at := range holders[:min(len(holders), standbyCount)] { // each may read the store
		if ctx.Err() != nil {
			break
		}
		if find(at, args) == nil && answer.Verdict != CantTell {
			return answer, true
		}
	}
	return FindReply{Verdict: CantTell}, false
}

// isStoredRemotely asks the owner and the next owners whether a job, or its cancellation, is stored
// as far as they have read. It asks them concurrently, as some may have failed. Callers without a
// certain outcome repeat their requests, so reading the store for each would overload it.
func (pc *poolController) isStoredRemotely(ctx context.Context, kind pool.KeyKind, job string) bool {
	holders := pc.copyHolders(ctx)
	asked := append(holders[:min(len(holders), standbyCount)], pc.lastOwnerAddr(ctx))
	found := make(chan bool, len(asked))
	for _, at := range asked {
		go func() {
			r := new(FindReply)
			err := pc.node.peers.call(ctx, at, "Find", FindArgs{Part: pc.topic.Part, Job: job, AnyCopy: true, KnownOnly: true}, r, peerTimeout)
			found <- err == nil && r.Verdict == Accepted && (kind == pool.JobRecord || r.State == pool.Cancelled)
		}()
	}
	for range asked {
		if <-found {
			return true
		}
	}
	return false
}

// lastOwnerAddr returns the last known address of the owner.
func (pc *poolController) lastOwnerAddr(ctx context.Context) (addr string) {
	_ = pc.do(ctx, func() { addr = pc.ownerAddr() }) // on an error the address is empty
	return addr
}
