package control

import (
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
)

// Timing and size of the probes of the log. A former owner has stopped renewing leases
// probeValidity after a majority has read the new owner's claim.
const (
	// probeSilence is how long the log may be silent before peers are asked.
	probeSilence = 2 * time.Second
	// probeInterval is the time between two rounds of probes.
	probeInterval = time.Second
	// probeValidity is how long a successful read of the log, or the confirmation by a majority
	// that the log is silent, stays valid. It counts from when the read or probe was sent.
	probeValidity = 3 * time.Second
)

// logProber distinguishes an outage of the log from the isolation of this scheduler by asking
// its peers. An owner that can't reach the log can't know whether it was replaced. It may go on
// renewing leases while a majority reports that the log is silent for them too and that they
// have read no further: then no claim has been read by a majority. A new owner treats the lease
// of a worker that it has never reached as expired only after a majority has read its claim. The
// two majorities have a member in common, so the former owner stops renewing before the new one
// starts to count.
type logProber struct {
	self       string
	peers      []string
	lastReadAt time.Duration
	offset     infra.Offset

	round        uint64
	sentAt       time.Duration
	askedPeers   int
	replies      map[string]bool
	neededOffset infra.Offset
	silentPeers  int
	readPeers    int
	// silenceConfirmedAt is when the newest round was sent in which a majority found the log
	// silent. claimReadAt is when the round was sent in which a majority had read the log up to
	// claimReadOffset.
	silenceConfirmedAt time.Duration
	claimReadAt        time.Duration
	claimReadOffset    infra.Offset
	behind             bool
}

// recordRead records a read of the log, started at a time, that reached its end.
func (p *logProber) recordRead(start time.Duration, offset infra.Offset) {
	p.lastReadAt, p.offset = max(p.lastReadAt, start), offset
	p.behind = false
}

// canRenewLeases reports whether this scheduler may act as the owner of the units that the log
// last assigned to it.
func (p *logProber) canRenewLeases(now time.Duration) bool {
	if now-p.lastReadAt < probeValidity {
		return true
	}
	return !p.behind && p.silenceConfirmedAt > p.lastReadAt && now-p.silenceConfirmedAt < probeValidity
}

// isSilent reports whether the log is silent for this scheduler.
func (p *logProber) isSilent(now time.Duration) bool { return now-p.lastReadAt >= probeSilence }

// step returns the peers to ask now: all that were known before the log became silent. A sample, or
// those that are alive, may all be on this side of a network partition. A new owner passes the epoch
// that it needs a majority to have read.
func (p *logProber) step(now time.Duration, known func() []string, need infra.Offset) []string {
	silent := p.isSilent(now)
	if now-p.sentAt < probeInterval {
		return nil
	}
	p.sentAt = now
	if !silent {
		p.peers = known()
	}
	if !silent && need == 0 {
		return nil
	}
	p.round++
	p.neededOffset, p.silentPeers, p.readPeers, p.replies = need, 0, 1, map[string]bool{}
	p.askedPeers = len(p.peers)
	if silent {
		p.silentPeers++
	}
	p.evaluate()
	return p.peers
}

// handleProbe answers a peer's probe.
func (p *logProber) handleProbe(now time.Duration, q api.LogProbe) api.LogProbed {
	return api.LogProbed{Round: q.Round, Silent: p.isSilent(now), Offset: p.offset}
}

// handleReply handles the answer to a probe.
func (p *logProber) handleReply(from string, r api.LogProbed) {
	if r.Round != p.round || p.replies[from] {
		return
	}
	p.replies[from] = true
	switch {
	case r.Silent && r.Offset > p.offset:
		// The peer read further before the log became silent for it: the records that are
		// missing here may name a new owner.
		p.behind = true
	case r.Silent:
		p.silentPeers++
	}
	if r.Offset >= p.neededOffset {
		p.readPeers++
	}
	p.evaluate()
}

func (p *logProber) evaluate() {
	majority := (p.askedPeers+1)/2 + 1
	if p.silentPeers >= majority {
		p.silenceConfirmedAt = p.sentAt
	}
	if p.neededOffset > 0 && p.readPeers >= majority {
		p.claimReadAt, p.claimReadOffset = p.sentAt, p.neededOffset
	}
}

// probeLog sends the probes of a round and passes the result of the last one to the shards.
func (c *Core) probeLog(now time.Duration) {
	var need infra.Offset
	for _, s := range c.shards {
		if s.NeedsClaimRead() {
			need = max(need, s.Epoch())
		}
	}
	for _, id := range c.prober.step(now, func() []string { return c.peerIDs(now) }, need) {
		c.envelope(id).LogProbe = &api.LogProbe{Round: c.prober.round}
	}
	for _, s := range c.shards {
		if c.prober.claimReadOffset >= s.Epoch() {
			s.ClaimRead(c.prober.claimReadAt)
		}
	}
}

// peerIDs returns the other schedulers that the platform lists or that count as alive.
func (c *Core) peerIDs(now time.Duration) []string {
	var ids []string
	for _, i := range c.instances {
		if i.Service == SchedService && i.ID != c.cfg.ID {
			ids = append(ids, i.ID)
		}
	}
	for _, m := range c.members.Live(now) {
		if m != c.self {
			ids = append(ids, membership.ID(m))
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
