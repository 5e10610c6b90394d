// Package ownership decides which scheduler owns which worker shard and which job
// home. A claim that is accepted from the log establishes ownership; the offset of
// its record is the epoch and the fencing token of all actions of the owner.
package ownership

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
)

// KindClaim is the record kind of a claim.
const KindClaim logstream.Kind = "ownership.claim"

// MaxLease is the longest lease that an owner may grant.
const MaxLease = 30 * time.Second

// Unit is the unit of ownership: a worker shard or a job home. It has at most one
// owner.
type Unit string

// ShardUnit returns the unit that contains the workers of one rack.
func ShardUnit(rack string) Unit { return Unit("shard/" + rack) }

// HomeUnit returns the unit that contains the jobs whose IDs hash to one slot.
func HomeUnit(slot int) Unit { return homeUnits[slot] }

// homeUnits is computed once, as the units are needed for every message.
var homeUnits = func() (units [HomeSlots]Unit) {
	for i := range units {
		units[i] = Unit(fmt.Sprintf("home/%03d", i))
	}
	return units
}()

// IsHome reports whether the unit is a job home; the others are worker shards.
func (u Unit) IsHome() bool { return strings.HasPrefix(string(u), "home/") }

// HomeSlots is the number of job homes. It must not change during the life of a log,
// as the home of a job is computed from it.
const HomeSlots = 64

// HomeOf returns the home that a job belongs to, by the hash of its ID.
func HomeOf(jobID string) Unit { return HomeUnit(int(xxhash.Sum64String(jobID) % HomeSlots)) }

// Claim proposes that Owner takes over a unit from the owner of epoch Base.
type Claim struct {
	Unit  Unit         `json:"unit"`
	Base  infra.Offset `json:"base"`
	Owner string       `json:"owner"`
	// Lease is the longest lease in milliseconds that Owner grants; 0: unknown, up to MaxLease.
	Lease int64 `json:"lease,omitempty"`
	// PredecessorsOver is set if no lease of the owners before that of epoch Base lasts any more.
	PredecessorsOver bool `json:"predecessorsOver,omitempty"`
}

// Holder is the owner of a unit and the epoch since which it owns it.
type Holder struct {
	Owner string       `json:"owner"`
	Epoch infra.Offset `json:"epoch"`
	// Lease is the longest lease in milliseconds that the owner grants; 0: unknown, up to MaxLease.
	Lease int64 `json:"lease,omitempty"`
	// Predecessors is the longest lease in milliseconds of the owners before. It holds only if Lease is
	// known: versions without these fields store snapshots without both.
	Predecessors int64 `json:"predecessors,omitempty"`
}

// PredecessorLease is the longest lease that the owners before this one may have granted; 0: there were none.
func (h Holder) PredecessorLease() time.Duration {
	if h.Epoch > 0 && h.Lease == 0 {
		return MaxLease
	}
	return time.Duration(h.Predecessors) * time.Millisecond
}

// grantedLease is the longest lease that this owner may have granted.
func (h Holder) grantedLease() time.Duration {
	if h.Epoch > 0 && h.Lease == 0 {
		return MaxLease
	}
	return time.Duration(h.Lease) * time.Millisecond
}

// Table maps units to their owners. It implements logstream.Reducer.
type Table struct {
	holders map[Unit]Holder
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{holders: map[Unit]Holder{}} }

// Name implements logstream.Reducer.
func (t *Table) Name() string { return "ownership" }

// Kinds implements logstream.Reducer.
func (t *Table) Kinds() []logstream.Kind { return []logstream.Kind{KindClaim} }

// Apply implements logstream.Reducer.
func (t *Table) Apply(at infra.Offset, rec logstream.Record) error {
	var c Claim
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return errors.Wrap(err, "decode claim")
	}
	if c.Unit == "" || c.Owner == "" {
		return errors.New("claim without unit or owner")
	}
	// Of two claims based on the same epoch, the first one in the log wins; the base
	// of the second is then no longer current.
	if current := t.holders[c.Unit].Epoch; c.Base != current {
		return errors.Errorf("%s is at epoch %d, the claim replaces epoch %d", c.Unit, current, c.Base)
	}
	holder := Holder{Owner: c.Owner, Epoch: at}
	if c.Lease > 0 {
		replaced := t.holders[c.Unit]
		inherited := replaced.grantedLease()
		if !c.PredecessorsOver {
			inherited = max(inherited, replaced.PredecessorLease())
		}
		holder.Lease, holder.Predecessors = c.Lease, inherited.Milliseconds()
	}
	t.holders[c.Unit] = holder
	return nil
}

// Holder returns a unit's owner and epoch; both are zero while it has none.
func (t *Table) Holder(u Unit) Holder { return t.holders[u] }

// OwnedBy returns the units of one owner, sorted.
func (t *Table) OwnedBy(owner string) []Unit {
	var units []Unit
	for u, h := range t.holders {
		if h.Owner == owner {
			units = append(units, u)
		}
	}
	sort.Slice(units, func(i, j int) bool { return units[i] < units[j] })
	return units
}

// Snapshot implements logstream.Reducer.
func (t *Table) Snapshot() (json.RawMessage, error) { return json.Marshal(t.holders) }

// Restore implements logstream.Reducer.
func (t *Table) Restore(data json.RawMessage) error {
	holders := map[Unit]Holder{}
	if err := json.Unmarshal(data, &holders); err != nil {
		return errors.Wrap(err, "decode ownership snapshot")
	}
	t.holders = holders
	return nil
}

// Preferred returns the member that rendezvous hashing prefers for a unit, or
// "" without members. When a member joins or leaves, only the units that it gains or
// loses change their preferred owner.
func Preferred(u Unit, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		// The hash covers the ID without the incarnation, so that a restarted member
		// gets the same units again and no others move.
		score := xxhash.Sum64String(membership.ID(m) + "\x00" + string(u))
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

// ClaimsToPropose returns the claims that self should propose: for self, the units
// without a live owner for which self is preferred; for another live member, the
// units of self for which that member is preferred.
func ClaimsToPropose(t *Table, units []Unit, self string, live []string) []Claim {
	alive := map[string]bool{}
	for _, m := range live {
		alive[m] = true
	}
	var claims []Claim
	for _, u := range units {
		h, preferred := t.holders[u], Preferred(u, live)
		orphan := !alive[h.Owner]
		if (orphan && preferred == self) || (h.Owner == self && preferred != self && preferred != "") {
			claims = append(claims, Claim{Unit: u, Base: h.Epoch, Owner: preferred})
		}
	}
	return claims
}
