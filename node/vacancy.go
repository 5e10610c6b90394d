package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// ownerSilenceLimit is the time after which another instance takes over if the owner writes no
	// record to the store, as seen by an instance that reads the store continuously: three
	// heartbeats and the pause between two reads.
	ownerSilenceLimit = 1300 * time.Millisecond
	// slowStoreSilenceLimit replaces it while the owner reports that the store accepts its appends:
	// the store is slow then. Without it, on a store 43 times slower than usual, owners replaced
	// each other 9 times in 5 s, and 13 % of the day's requests failed.
	slowStoreSilenceLimit = 6 * time.Second
	// ownerWorkingTTL is how long such a report of the owner is valid.
	ownerWorkingTTL = 800 * time.Millisecond
	// storeProbeTimeout limits a read that finds out whether the store answers. It takes 4 ms, and
	// 0.3 s on a slow store.
	storeProbeTimeout = 600 * time.Millisecond
	// pingInterval is the interval at which the first candidates for ownership ping the owner, and
	// ownerDeadAfter the time without an answer to any of them after which a usually fast owner
	// counts as dead: three pings, and longer than the 0.3 s between two of its heartbeats in the
	// store.
	pingInterval   = 150 * time.Millisecond
	ownerDeadAfter = 500 * time.Millisecond
	// pingTimeout limits a ping.
	pingTimeout = 2 * time.Second
	// pingLatencyFactor times the owner's recent ping latency is added to ownerDeadAfter, since an
	// owner short of processor time answers late, and a new owner may have much to do.
	// initialPingLatency is the assumed latency before the first answers; a late answer counts for
	// pingLatencyDecay of its latency after each following one, which is half after 0.6 s.
	pingLatencyFactor  = 2
	initialPingLatency = time.Second
	pingLatencyDecay   = 0.85
)

// vacancyReason returns why the pool has no owner, or an empty string if it may have one. The lack
// of records of the owner counts only while this instance reads the store: after an outage all
// owners have been silent for as long.
func (pc *poolController) vacancyReason(ctx context.Context, now time.Duration) string {
	c := pc.replica.claim
	switch {
	case c.Addr == "":
		return "nobody owns it"
	case c.Node == pc.node.opts.Name && c.Life != pc.node.incarnation:
		return "this instance owned it before its restart"
	case c.Node == pc.node.opts.Name && c.Epoch != pc.droppedEpoch:
		return "a claim of this instance took effect late"
	case pc.node.isGone(c), pc.node.peers.hasRestarted(process{c.Node, c.Life}):
		return "its owner's process is gone"
	case pc.ownerUnreachable(now):
		return "its owner neither answers nor writes to the store"
	case now-max(pc.ownerSeenAt, pc.readableSince) > pc.silenceLimit(now) && pc.storeProven(now):
		return "its owner is silent"
	}
	if now-max(pc.ownerSeenAt, pc.readableSince) > ownerSilenceLimit/2+pc.pause()-readPause && now-pc.ownerProbedAt > heartbeatInterval {
		pc.ownerProbedAt = now
		go pc.node.probeOwner(ctx, pc, c)
		go pc.probeStore(ctx, pc.replica.next)
	}
	return ""
}

// probeStore finds out whether the store answers while no record of the owner is read.
func (pc *poolController) probeStore(ctx context.Context, next int64) {
	asked := pc.node.now()
	_, _, err := pc.node.store.Read(withTimeout(ctx, storeProbeTimeout), pc.topic, next, 0)
	took := pc.node.now() - asked
	pc.send(ctx, func() {
		pc.storeProbeLatency = took
		switch {
		case err != nil:
			pc.storeProvenSince = 0
		case pc.storeProvenSince == 0:
			pc.storeProvenSince = asked
		}
	})
}

// storeProven reports whether the store has answered long enough for the lack of records of the
// owner to be significant. The follower's reads wait for seconds, so they don't show an outage:
// during one, more and more instances claimed the pool, and right after it one of them replaced an
// owner whose append was still hanging. An owner that answers its peers is given the time in which
// such an append is canceled and repeated.
func (pc *poolController) storeProven(now time.Duration) bool {
	minProven := ownerSilenceLimit / 2
	if pc.ownerAliveAt != 0 && now-pc.ownerAliveAt < ownerWorkingTTL {
		minProven = appendTimeout + heartbeatInterval
	}
	return pc.storeProvenSince != 0 && now-pc.storeProvenSince >= minProven
}

// pingOwner pings the owner if this instance is one of the first to take over. If the owner's
// machine loses power or is cut off from the network, its connections aren't closed; detected only
// by the lack of records in the store, such an owner was replaced after 1.7 s, in which no job
// began.
func (pc *poolController) pingOwner(ctx context.Context) {
	c := pc.replica.claim
	now := pc.node.now()
	if pc.readsInfrequently.Load() || c.Addr == "" || c.Addr == pc.node.opts.PeerAddr || now-pc.pingedAt < pingInterval {
		return
	}
	if owner := (process{c.Node, c.Life}); pc.pingedOwner != owner || pc.pingedEpoch != c.Epoch {
		pc.pingedOwner, pc.pingedEpoch, pc.ownerAliveAt, pc.pingLatency = owner, c.Epoch, now, initialPingLatency
	}
	pc.pingedAt = now
	go pc.ping(ctx, c)
	if now-pc.ownerAliveAt > ownerDeadAfter/2 {
		// The owner's newest record, if there is one, must be read before it counts as dead.
		pc.wakeReader()
		go pc.probeStore(ctx, pc.replica.next)
	}
}

// ping sends one ping to the owner and measures the latency.
func (pc *poolController) ping(ctx context.Context, c claim) {
	start := pc.node.now()
	var r LifeReply
	if err := pc.node.peers.call(ctx, c.Addr, "Life", Empty{}, &r, pingTimeout); err != nil || r.Life != c.Life {
		return // no answer counts as silence, and probeOwner detects a restarted process
	}
	took := pc.node.now() - start
	pc.send(ctx, func() {
		if pc.pingedEpoch == c.Epoch {
			pc.ownerAliveAt = pc.node.now()
			pc.pingLatency = max(took, time.Duration(pingLatencyDecay*float64(pc.pingLatency)))
		}
	})
}

// ownerUnreachable reports whether the owner has neither answered this instance nor written to a
// store that answers quickly. An owner that is cut off only from this instance still writes, and
// one whose store is slow or unavailable still answers. An owner short of processor time does both
// late: when such owners counted as dead, owners of 350 workers replaced each other every 8 s after
// a loss of all machines, and none of them completed the waiting work.
func (pc *poolController) ownerUnreachable(now time.Duration) bool {
	c := pc.replica.claim
	limit := ownerDeadAfter + pingLatencyFactor*pc.pingLatency
	return pc.pingedOwner == process{c.Node, c.Life} && !pc.readsInfrequently.Load() && now-pc.ownerAliveAt > limit &&
		now-max(pc.ownerSeenAt, pc.readableSince) > limit && pc.storeProvenSince != 0 &&
		now-pc.storeProvenSince >= pingInterval && pc.storeProbeLatency < slowStoreLatency
}

// watchOwner keeps a Watch call open at the pool's owner. If its process ends, the connection is
// closed, and the owner is known to be gone within milliseconds. Detection by the lack of records
// in the store took 0.7 to 1 s.
func (pc *poolController) watchOwner(ctx context.Context) {
	c := pc.replica.claim
	owner := process{c.Node, c.Life}
	if pc.watchedOwner == owner || c.Addr == "" || c.Addr == pc.node.opts.PeerAddr || pc.node.isGone(c) {
		return
	}
	pc.watchedOwner = owner
	go func() {
		err := pc.node.peers.call(ctx, c.Addr, "Watch", Empty{}, &Empty{}, watchDuration+peerTimeout)
		if err != nil && ctx.Err() == nil {
			pc.node.probeOwner(ctx, pc, c)
			pc.send(ctx, func() {
				if pc.own == nil {
					pc.claimIfVacant(ctx)
				}
			})
			sleep(ctx, heartbeatInterval) // the owner may not be reachable again immediately
		}
		pc.send(ctx, func() {
			if pc.watchedOwner == owner {
				pc.watchedOwner = process{}
			}
		})
	}()
}

// silenceLimit returns for how long the owner may write no records.
func (pc *poolController) silenceLimit(now time.Duration) time.Duration {
	if pc.ownerWorkingAt != 0 && now-pc.ownerWorkingAt < ownerWorkingTTL {
		return slowStoreSilenceLimit
	}
	return ownerSilenceLimit + pc.pause() - readPause
}

// probeOwner finds out whether the process of a silent owner is gone or only slow.
func (n *Node) probeOwner(ctx context.Context, pc *poolController, c claim) {
	var r LifeReply
	err := n.peers.call(ctx, c.Addr, "Owner", OwnerArgs{Part: pc.topic.Part}, &r, aliveTimeout)
	switch {
	case err == nil && r.Life == c.Life:
		pc.send(ctx, func() {
			pc.ownerAliveAt = n.now()
			if r.Works {
				pc.ownerWorkingAt = n.now()
			}
		})
	case err == nil && r.Life != c.Life, errors.Is(err, errConnRefused):
		n.peers.mu.Lock()
		n.peers.gone[process{c.Node, c.Life}] = true
		n.peers.mu.Unlock()
	}
}

func (n *Node) isGone(c claim) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return n.peers.gone[process{c.Node, c.Life}]
}
