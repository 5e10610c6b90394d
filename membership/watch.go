package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspicion is the state of a watched member that is silent.
type suspicion struct {
	startedAt time.Duration
	round     int
	silent    int
}

// confirmRequest is a request of another watcher to check a member, while the
// member's response to a probe is pending.
type confirmRequest struct {
	requester string
	life      Life
	startedAt time.Duration
}

func isPresent(s State) bool { return s == Alive || s == Ineligible || s == Leaving }

// refresh recomputes the watchers of this member, and the members that it watches,
// after the view has changed.
func (c *Core) refresh(now time.Duration) {
	if !c.changed {
		return
	}
	c.changed = false
	c.order = sortedIDs(c.peers)
	var ids []string
	for _, id := range c.order {
		if isPresent(c.peers[id].entry.State) {
			ids = append(ids, id)
		}
	}
	c.watchers = rankWatchers(c.cfg.Self, ids, c.cfg.Watchers)
	all := append(ids, c.cfg.Self)
	for _, id := range c.order {
		p := c.peers[id]
		watched := isPresent(p.entry.State) && c.isWatcherOf(id, all)
		if watched && !p.watched {
			p.watchedAt = now
		}
		if !watched {
			p.suspicion = nil
		}
		p.watched = watched
	}
}

// isWatcherOf reports whether this member is one of the watchers of member id.
func (c *Core) isWatcherOf(id string, all []string) bool {
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

// rankWatchers returns the n candidates that rank highest as watchers of a member.
func rankWatchers(member string, candidates []string, n int) []string {
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

// handleHeartbeat records that a packet came from the member itself.
func (c *Core) handleHeartbeat(now time.Duration, from Entry) {
	p := c.peer(from.ID)
	if from.Incarnation < p.entry.Incarnation {
		return
	}
	p.heardAt, p.directAt, p.suspicion = now, now, nil
	if p.entry.State == Dead {
		// The member is alive. It refutes the Dead state when it gets it.
		packet := c.packetTo(from.ID)
		packet.News = append(packet.News, p.entry)
	}
	kept := c.confirmRequests[:0]
	for _, a := range c.confirmRequests {
		if a.life != (Life{from.ID, from.Incarnation}) {
			kept = append(kept, a)
			continue
		}
		packet := c.packetTo(a.requester)
		packet.Heard = append(packet.Heard, a.life)
	}
	c.confirmRequests = kept
}

// probeUnheard probes listed peers that were never heard, and those declared dead.
// After a network partition each side considers the other dead and sends it no
// heartbeats; without the probes they would never rejoin.
func (c *Core) probeUnheard(now time.Duration) {
	for _, id := range c.order {
		p := c.peers[id]
		if p == nil || isPresent(p.entry.State) || !p.listed || (p.probeWait > 0 && now-p.probedAt < p.probeWait) {
			continue
		}
		p.probedAt = now
		p.probeWait = min(max(minProbeWait, 2*p.probeWait), maxProbeWait)
		packet := c.packetTo(id)
		packet.Probe = true
		if len(packet.News) == 0 {
			packet.News = []Entry{c.self}
		}
		if p.entry.State == Dead {
			packet.News = append(packet.News, p.entry)
		}
	}
}

// checkWatched requests confirmations for watched members that are silent, and
// declares those dead whose failure was confirmed.
func (c *Core) checkWatched(now time.Duration) {
	for _, id := range c.order {
		p := c.peers[id]
		if p == nil || !p.watched || now-max(p.heardAt, p.watchedAt) < c.cfg.SuspectAfter {
			continue
		}
		switch s := p.suspicion; {
		case s == nil:
			p.suspicion = &suspicion{startedAt: now}
			c.requestConfirmation(id, p)
		case now-s.startedAt < c.cfg.ConfirmWait:
		case s.silent > 0 || len(c.confirmers(id)) == 0:
			c.declareDead(now, p)
		default:
			// Nobody responded: this member itself may be isolated, and must not
			// declare its peers dead for that. Other members are asked next.
			p.suspicion = &suspicion{startedAt: now, round: s.round + 1}
			c.requestConfirmation(id, p)
		}
	}
}

func (c *Core) requestConfirmation(id string, p *peer) {
	c.packetTo(id).Probe = true
	list := c.confirmers(id)
	for i := range min(c.cfg.Watchers, len(list)) {
		to := list[(i+p.suspicion.round*c.cfg.Watchers)%len(list)]
		packet := c.packetTo(to)
		packet.Ask = append(packet.Ask, Life{id, p.entry.Incarnation})
	}
}

// confirmers returns the members that can check a member, its other watchers first.
func (c *Core) confirmers(id string) []string {
	var ids []string
	for _, other := range c.order {
		if q := c.peers[other]; q != nil && isPresent(q.entry.State) {
			ids = append(ids, other)
		}
	}
	return rankWatchers(id, ids, len(ids))
}

func (c *Core) declareDead(now time.Duration, p *peer) {
	e := p.entry
	e.State = Dead
	p.suspicion = nil
	c.merge(now, e)
	c.broadcast(e)
}

// handleConfirmation handles the result of a check of a suspected member.
func (c *Core) handleConfirmation(now time.Duration, l Life, heard bool) {
	p, ok := c.peers[l.ID]
	if !ok || p.entry.Incarnation != l.Incarnation || p.suspicion == nil {
		return
	}
	if heard {
		// Only packets from the member to this one are lost. It counts as heard, so
		// that it is not checked again before SuspectAfter has passed.
		p.heardAt, p.suspicion = now, nil
		return
	}
	p.suspicion.silent++
}

// handleConfirmRequest answers another watcher at once if the member was heard
// recently, and otherwise after a probe.
func (c *Core) handleConfirmRequest(now time.Duration, requester string, l Life) {
	p, ok := c.peers[l.ID]
	switch {
	case l.ID == c.cfg.Self:
	case !ok, p.entry.Incarnation > l.Incarnation, p.entry.State == Dead:
		packet := c.packetTo(requester)
		packet.Silent = append(packet.Silent, l)
	case now-p.directAt < c.cfg.SuspectAfter/2 && p.directAt > 0:
		packet := c.packetTo(requester)
		packet.Heard = append(packet.Heard, l)
	default:
		c.packetTo(l.ID).Probe = true
		c.confirmRequests = append(c.confirmRequests, confirmRequest{requester, l, now})
	}
}

func (c *Core) expireConfirmRequests(now time.Duration) {
	kept := c.confirmRequests[:0]
	for _, a := range c.confirmRequests {
		if now-a.startedAt < c.cfg.ConfirmWait/2 {
			kept = append(kept, a)
			continue
		}
		packet := c.packetTo(a.requester)
		packet.Silent = append(packet.Silent, a.life)
	}
	c.confirmRequests = kept
}
