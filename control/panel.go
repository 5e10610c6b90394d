package control

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
)

// Timing and size of the questions about the log. A predecessor of any owner has
// stopped renewing leases panelTrust after a majority has read the owner's claim.
const (
	// panelSilence is how long the log may be silent before peers are asked.
	panelSilence = 2 * time.Second
	// panelEvery is the time between two rounds of questions.
	panelEvery = time.Second
	// panelTrust is how long a contact with the log, or a majority's word that
	// the log is silent, counts; it runs from when the question was sent.
	panelTrust = 3 * time.Second
	// panelSize is how many peers are asked in one round.
	panelSize = 8
)

// panel tells an outage of the log from this scheduler's own isolation, by
// asking peers. An owner that can't reach the log can't know whether it was
// replaced. It may go on renewing leases while a majority says that the log is
// silent for them too and that they have read no further: then nobody's claim has
// been read by a majority. A new owner takes a worker that it has never reached
// for lapsed only after a majority has read its claim. The two majorities have a
// member in common, so the old owner stops renewing before the new one counts.
type panel struct {
	self      string
	peers     []string
	contactAt time.Duration
	offset    infra.Offset

	round   uint64
	sentAt  time.Duration
	asked   int
	replies map[string]bool
	need    infra.Offset
	silent  int
	read    int
	// silentAt is when the newest round was sent whose majority found the log
	// silent; readAt the one whose majority had read the log up to readTo.
	silentAt time.Duration
	readAt   time.Duration
	readTo   infra.Offset
	behind   bool
}

// contact notes a read of the log, begun at a time, that reached its end.
func (p *panel) contact(began time.Duration, offset infra.Offset) {
	p.contactAt, p.offset = max(p.contactAt, began), offset
	p.behind = false
}

// mayRenew reports whether this scheduler may act as the owner of what the log
// last gave it.
func (p *panel) mayRenew(now time.Duration) bool {
	if now-p.contactAt < panelTrust {
		return true
	}
	return !p.behind && p.silentAt > p.contactAt && now-p.silentAt < panelTrust
}

// isSilent reports whether the log is silent for this scheduler.
func (p *panel) isSilent(now time.Duration) bool { return now-p.contactAt >= panelSilence }

// step returns the peers to ask now. The peers are those of the last contact
// with the log: the ones heard since then may all be on this side of a cut. A
// new owner gives the epoch that it wants a majority to have read.
func (p *panel) step(now time.Duration, live func() []string, need infra.Offset) []string {
	silent := p.isSilent(now)
	if now-p.sentAt < panelEvery {
		return nil
	}
	p.sentAt = now
	if !silent {
		p.peers = live()
	}
	if !silent && need == 0 {
		return nil
	}
	p.round++
	p.need, p.silent, p.read, p.replies = need, 0, 1, map[string]bool{}
	ask := p.sample()
	p.asked = len(ask)
	if silent {
		p.silent++
	}
	p.judge()
	return ask
}

// sample picks the peers of a round. Past panelSize each round asks others, so
// that one side of a cut can't make up several rounds in a row by luck.
func (p *panel) sample() []string {
	ids := append([]string(nil), p.peers...)
	if len(ids) <= panelSize {
		return ids
	}
	sort.Slice(ids, func(i, k int) bool { return p.rank(ids[i]) < p.rank(ids[k]) })
	return ids[:panelSize]
}

func (p *panel) rank(id string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", p.self, p.round, id))
}

// answer replies to a peer's question.
func (p *panel) answer(now time.Duration, q api.LogProbe) api.LogProbed {
	return api.LogProbed{Round: q.Round, Silent: p.isSilent(now), Offset: p.offset}
}

// heard takes in a reply.
func (p *panel) heard(from string, r api.LogProbed) {
	if r.Round != p.round || p.replies[from] {
		return
	}
	p.replies[from] = true
	switch {
	case r.Silent && r.Offset > p.offset:
		// The peer read further before the log went silent for it: the records
		// that are missing here may name a successor.
		p.behind = true
	case r.Silent:
		p.silent++
	}
	if r.Offset >= p.need {
		p.read++
	}
	p.judge()
}

func (p *panel) judge() {
	majority := (p.asked+1)/2 + 1
	if p.silent >= majority {
		p.silentAt = p.sentAt
	}
	if p.need > 0 && p.read >= majority {
		p.readAt, p.readTo = p.sentAt, p.need
	}
}

// askPanel sends the questions of a round and tells the shards what came of the
// last one.
func (c *Core) askPanel(now time.Duration) {
	var need infra.Offset
	for _, s := range c.shards {
		if !s.Fenced() {
			need = max(need, s.Epoch())
		}
	}
	for _, id := range c.panel.step(now, func() []string { return c.peerIDs(now) }, need) {
		c.envelope(id).LogProbe = &api.LogProbe{Round: c.panel.round}
	}
	for _, s := range c.shards {
		if c.panel.readTo >= s.Epoch() {
			s.ClaimRead(c.panel.readAt)
		}
	}
}

// peerIDs lists the other schedulers taken for alive.
func (c *Core) peerIDs(now time.Duration) []string {
	var ids []string
	for _, m := range c.members.Live(now) {
		if m != c.self {
			ids = append(ids, membership.ID(m))
		}
	}
	return ids
}
