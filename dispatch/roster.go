package dispatch

import (
	"slices"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Roster is the entries that share the slots of all runners, at a version that all
// agree on: the log offset of the record that set it.
type Roster struct {
	Version infra.Offset `json:"version"`
	Entries []string     `json:"entries"`
	// Draining are former entries that may still have requests at runners.
	Draining []string `json:"draining,omitempty"`
	// First says that nobody had slots before this version.
	First bool `json:"first,omitempty"`
}

// rosters decides how many slots this entry may use.
//
// Entries learn of a new roster at different times. If each used its share of the
// newest one it knows, one that has grown would send to slots that another still
// uses, and the runner would get more than its slots. So a share shrinks at
// once, and grows only when every other entry has said that it keeps to the new
// one. That is enough: whoever has grown to a version knows that all others are
// bound by it, and the shares of one version add up to the slots.
type rosters struct {
	self string
	// active is the newest roster that all keep to; pending are newer ones.
	active  Roster
	pending []pendingRoster
	// kept is the newest version whose shares this entry has kept to. While more
	// is in use than the newest share it stays behind, even if all others agree.
	kept infra.Offset
	// settled is the newest version that each other entry said it keeps to.
	settled map[string]infra.Offset
}

// pendingRoster is a roster that not all keep to yet. An entry that has skipped a
// version is not bound by it, so a newer version that it keeps to says nothing
// about this one: only those count that named this very version.
type pendingRoster struct {
	Roster
	keepers map[string]bool
}

// add takes in a newer roster and reports whether it was news.
func (r *rosters) add(next Roster) bool {
	if next.Version <= r.newest() {
		return false
	}
	if next.First {
		r.active = next
		return true
	}
	p := pendingRoster{next, map[string]bool{}}
	for e, v := range r.settled {
		p.keepers[e] = v == next.Version
	}
	r.pending = append(r.pending, p)
	r.advance()
	return true
}

func (r *rosters) newest() infra.Offset {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Version
	}
	return r.active.Version
}

// hear takes in which version another entry keeps to.
func (r *rosters) hear(entry string, v infra.Offset) bool {
	if v <= r.settled[entry] {
		return false
	}
	r.settled[entry] = v
	for _, p := range r.pending {
		if p.Version == v {
			p.keepers[entry] = true
		}
	}
	return r.advance()
}

func (r *rosters) advance() bool {
	for n := len(r.pending) - 1; n >= 0; n-- {
		if r.allKeepTo(r.pending[n]) {
			r.active = r.pending[n].Roster
			r.pending = slices.Delete(r.pending, 0, n+1)
			return true
		}
	}
	return false
}

func (r *rosters) allKeepTo(p pendingRoster) bool {
	for _, e := range slices.Concat(p.Entries, p.Draining) {
		if e != r.self && !p.keepers[e] {
			return false
		}
	}
	return true
}

// share is how many slots of a runner this entry may use.
func (r *rosters) share(runnerID string, slots int) int {
	share := Share(runnerID, r.self, r.active.Entries, slots)
	for _, p := range r.pending {
		share = min(share, Share(runnerID, r.self, p.Entries, slots))
	}
	return share
}

// peers are the other entries of the newest roster, in order.
func (r *rosters) peers() []string {
	newest := r.active
	if n := len(r.pending); n > 0 {
		newest = r.pending[n-1].Roster
	}
	out := slices.DeleteFunc(slices.Clone(newest.Entries), func(e string) bool { return e == r.self })
	slices.Sort(out)
	return out
}
