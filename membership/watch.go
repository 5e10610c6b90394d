package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspicion is a watched member that is silent.
type suspicion struct {
	began  time.Duration
	round  int
	silent int
}

// pendingAsk is a question of another watcher that waits for the member's answer
// to a probe.
type pendingAsk struct {
	asker string
	life  Life
	began time.Duration
}

func present(s State) bool { return s == Alive || s == Unfit || s == Leaving }

// refresh finds the watchers of this member and whom it watches, after the view
// has changed.
func (c *Core) refresh(now time.Duration) {
	if !c.changed {
		return
	}
	c.changed = false
	c.order = sortedIDs(c.peers)
	var ids []string
	for _, id := range c.order {
		if present(c.peers[id].entry.State) {
			ids = append(ids, id)
		}
	}
	c.watchers = ranked(c.cfg.Self, ids, c.cfg.Watchers)
	all := append(ids, c.cfg.Self)
	for _, id := range c.order {
		p := c.peers[id]
		watched := present(p.entry.State) && c.amongFirst(id, all)
		if watched && !p.watched {
			p.watchedAt = now
		}
		if !watched {
			p.suspicion = nil
		}
		p.watched = watched
	}
}

// amongFirst reports whether this member is one of another's watchers.
func (c *Core) amongFirst(id string, all []string) bool {
	own, above := score(id, c.cfg.Self), 0
	for _, other := range all {
		if other != id && other != c.cfg.Self && score(id, other) > own {
			above++
		}
	}
	return above < c.cfg.Watchers
}

func score(member, watcher string) uint64 {
	return xxhash.Sum64String(member + "\x00" + watcher)
}

// ranked returns the first n candidates to watch a member.
func ranked(member string, candidates []string, n int) []string {
	list := make([]string, 0, len(candidates))
	for _, id := range candidates {
		if id != member {
			list = append(list, id)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := score(member, list[i]), score(member, list[j])
		return a > b || (a == b && list[i] < list[j])
	})
	return list[:min(n, len(list))]
}

// heard notes that a packet came from a member itself.
func (c *Core) heard(now time.Duration, from Entry) {
	p := c.peer(from.ID)
	if from.Incarnation < p.entry.Incarnation {
		return
	}
	p.heardAt, p.directAt, p.suspicion = now, now, nil
	if p.entry.State == Dead {
		// It lives: told of its death, it refutes.
		packet := c.packet(from.ID)
		packet.News = append(packet.News, p.entry)
	}
	kept := c.asks[:0]
	for _, a := range c.asks {
		if a.life != (Life{from.ID, from.Incarnation}) {
			kept = append(kept, a)
			continue
		}
		packet := c.packet(a.asker)
		packet.Heard = append(packet.Heard, a.life)
	}
	c.asks = kept
}

// contactUnheard greets listed peers that were never heard, and those told dead.
// After a cut each side takes the other for dead and sends it no heartbeats;
// without the greeting they would stay apart for good.
func (c *Core) contactUnheard(now time.Duration) {
	for _, id := range c.order {
		p := c.peers[id]
		if p == nil || present(p.entry.State) || !p.listed || (p.contactWait > 0 && now-p.contactAt < p.contactWait) {
			continue
		}
		p.contactAt = now
		p.contactWait = min(max(contactEvery, 2*p.contactWait), maxContactWait)
		packet := c.packet(id)
		packet.Probe = true
		if len(packet.News) == 0 {
			packet.News = []Entry{c.self}
		}
		if p.entry.State == Dead {
			packet.News = append(packet.News, p.entry)
		}
	}
}

// suspect asks others about watched members that are silent, and tells of a
// death that was confirmed.
func (c *Core) suspect(now time.Duration) {
	for _, id := range c.order {
		p := c.peers[id]
		if p == nil || !p.watched || now-max(p.heardAt, p.watchedAt) < c.cfg.SuspectAfter {
			continue
		}
		switch s := p.suspicion; {
		case s == nil:
			p.suspicion = &suspicion{began: now}
			c.askOthers(id, p)
		case now-s.began < c.cfg.ConfirmWait:
		case s.silent > 0 || len(c.confirmers(id)) == 0:
			c.bury(now, p)
		default:
			// Nobody answered: this member may be the one that is cut off, and
			// must not bury its peers for it. Others are asked next.
			p.suspicion = &suspicion{began: now, round: s.round + 1}
			c.askOthers(id, p)
		}
	}
}

func (c *Core) askOthers(id string, p *peer) {
	c.packet(id).Probe = true
	list := c.confirmers(id)
	for i := range min(c.cfg.Watchers, len(list)) {
		to := list[(i+p.suspicion.round*c.cfg.Watchers)%len(list)]
		packet := c.packet(to)
		packet.Ask = append(packet.Ask, Life{id, p.entry.Incarnation})
	}
}

// confirmers are those who can be asked about a member, its other watchers first.
func (c *Core) confirmers(id string) []string {
	var ids []string
	for _, other := range c.order {
		if q := c.peers[other]; q != nil && present(q.entry.State) {
			ids = append(ids, other)
		}
	}
	return ranked(id, ids, len(ids))
}

func (c *Core) bury(now time.Duration, p *peer) {
	e := p.entry
	e.State = Dead
	p.suspicion = nil
	c.learn(now, e)
	c.tellAll(e)
}

// confirmed takes in an answer about a suspected member.
func (c *Core) confirmed(now time.Duration, l Life, heard bool) {
	p, ok := c.peers[l.ID]
	if !ok || p.entry.Incarnation != l.Incarnation || p.suspicion == nil {
		return
	}
	if heard {
		// Only the way from there to here is cut. Taken for heard, it is not
		// asked about again before it is due.
		p.heardAt, p.suspicion = now, nil
		return
	}
	p.suspicion.silent++
}

// asked answers another watcher at once if the member was heard lately, and
// after a probe otherwise.
func (c *Core) asked(now time.Duration, asker string, l Life) {
	p, ok := c.peers[l.ID]
	switch {
	case l.ID == c.cfg.Self:
	case !ok, p.entry.Incarnation > l.Incarnation, p.entry.State == Dead:
		packet := c.packet(asker)
		packet.Silent = append(packet.Silent, l)
	case now-p.directAt < c.cfg.SuspectAfter/2 && p.directAt > 0:
		packet := c.packet(asker)
		packet.Heard = append(packet.Heard, l)
	default:
		c.packet(l.ID).Probe = true
		c.asks = append(c.asks, pendingAsk{asker, l, now})
	}
}

func (c *Core) answerAsks(now time.Duration) {
	kept := c.asks[:0]
	for _, a := range c.asks {
		if now-a.began < c.cfg.ConfirmWait/2 {
			kept = append(kept, a)
			continue
		}
		packet := c.packet(a.asker)
		packet.Silent = append(packet.Silent, a.life)
	}
	c.asks = kept
}
