package dispatch

import (
	"slices"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Roster is the set of entries that share the slots of all runners. Its version is the log
// offset of the record that set it, so all entries agree on the order of rosters.
type Roster struct {
	Version infra.Offset `json:"version"`
	Entries []string     `json:"entries"`
	// Draining are former entries that may still have requests on runners.
	Draining []string `json:"draining,omitempty"`
	// First is set if no entry had slots before this version.
	First bool `json:"first,omitempty"`
}

// rosters computes this entry's share of the slots.
//
// Entries learn of a new roster at different times. If each used its share of the newest roster
// it knows, an entry whose share has grown could send to slots that another entry still uses,
// and the runner would exceed its slot limit. A share therefore shrinks at once, but grows only
// after every other entry has acknowledged the new version. That is sufficient: when an entry
// grows to a version, all others comply with it, and the shares of one version add up to the
// slots.
type rosters struct {
	self string
	// active is the newest roster that all entries have acknowledged; pending are newer ones.
	active  Roster
	pending []pendingRoster
	// ackedVersion is the newest version that this entry itself acknowledges. It stays behind
	// while more slots are in use than the newest share allows, even if all other entries agree.
	ackedVersion infra.Offset
	// acked is the newest version that each other entry has acknowledged.
	acked map[string]infra.Offset
}

// pendingRoster is a roster that not all entries have acknowledged. Only acknowledgements of
// exactly this version count: an entry that skipped it and acknowledged a newer one has never
// complied with this one.
type pendingRoster struct {
	Roster
	ackedBy map[string]bool
}

// add adopts a newer roster and reports whether it was new.
func (r *rosters) add(next Roster) bool {
	if next.Version <= r.newest() {
		return false
	}
	if next.First {
		r.active = next
		return true
	}
	p := pendingRoster{next, map[string]bool{}}
	for e, v := range r.acked {
		p.ackedBy[e] = v == next.Version
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

// ack records the version that another entry acknowledges and reports whether the active roster
// changed.
func (r *rosters) ack(entry string, v infra.Offset) bool {
	if v <= r.acked[entry] {
		return false
	}
	r.acked[entry] = v
	for _, p := range r.pending {
		if p.Version == v {
			p.ackedBy[entry] = true
		}
	}
	return r.advance()
}

func (r *rosters) advance() bool {
	for n := len(r.pending) - 1; n >= 0; n-- {
		if r.ackedByAll(r.pending[n]) {
			r.active = r.pending[n].Roster
			r.pending = slices.Delete(r.pending, 0, n+1)
			return true
		}
	}
	return false
}

func (r *rosters) ackedByAll(p pendingRoster) bool {
	for _, e := range slices.Concat(p.Entries, p.Draining) {
		if e != r.self && !p.ackedBy[e] {
			return false
		}
	}
	return true
}

// share returns how many slots of a runner this entry may use: the smallest of its shares in the
// active and all pending rosters.
func (r *rosters) share(runnerID string, slots int) int {
	share := Share(runnerID, r.self, r.active.Entries, slots)
	for _, p := range r.pending {
		share = min(share, Share(runnerID, r.self, p.Entries, slots))
	}
	return share
}

// peers returns the other entries of the newest roster, sorted.
func (r *rosters) peers() []string {
	newest := r.active
	if n := len(r.pending); n > 0 {
		newest = r.pending[n-1].Roster
	}
	out := slices.DeleteFunc(slices.Clone(newest.Entries), func(e string) bool { return e == r.self })
	slices.Sort(out)
	return out
}
