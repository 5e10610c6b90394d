// Package ownership decides which scheduler owns which worker shard and which
// job home. A claim in the log makes an owner; the claim's offset is the epoch
// and the fencing token of everything the owner does.
package ownership

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
)

// KindClaim is the record kind of a claim.
const KindClaim logstream.Kind = "ownership.claim"

// Unit is something that has one owner.
type Unit string

// ShardUnit is the unit of the workers of one rack.
func ShardUnit(rack string) Unit { return Unit("shard/" + rack) }

// HomeUnit is the unit of the jobs that hash to one slot.
func HomeUnit(slot int) Unit { return homeUnits[slot] }

// homeUnits are made once: they are asked for with every message.
var homeUnits = func() (units [HomeSlots]Unit) {
	for i := range units {
		units[i] = Unit(fmt.Sprintf("home/%03d", i))
	}
	return units
}()

// IsHome reports whether the unit is a job home; the others are worker shards.
func (u Unit) IsHome() bool { return strings.HasPrefix(string(u), "home/") }

// HomeSlots is the number of job homes. It is fixed for the life of a log, as
// jobs are found by it.
const HomeSlots = 64

// HomeOf returns the home of a job.
func HomeOf(jobID string) Unit { return HomeUnit(int(xxhash.Sum64String(jobID) % HomeSlots)) }

// Claim proposes that Owner takes over a unit from the holder of epoch Base.
type Claim struct {
	Unit  Unit         `json:"unit"`
	Base  infra.Offset `json:"base"`
	Owner string       `json:"owner"`
}

// Holder is who owns a unit since which epoch.
type Holder struct {
	Owner string       `json:"owner"`
	Epoch infra.Offset `json:"epoch"`
}

// Table is who owns what. It implements logstream.Reducer.
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
	// Of two claims made from the same epoch the first in the log wins; the
	// second names a base that is no longer current.
	if current := t.holders[c.Unit].Epoch; c.Base != current {
		return errors.Errorf("%s is at epoch %d, the claim replaces epoch %d", c.Unit, current, c.Base)
	}
	t.holders[c.Unit] = Holder{Owner: c.Owner, Epoch: at}
	return nil
}

// Holder returns a unit's owner and epoch; both are zero while it has none.
func (t *Table) Holder(u Unit) Holder { return t.holders[u] }

// OwnedBy returns the units of one owner in order.
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
// "" without members. When one member comes or goes, only the units it wins or
// held change their preferred owner.
func Preferred(u Unit, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		// The hash takes the ID without the incarnation, so that a restarted
		// member gets back what it had and nothing else moves.
		score := xxhash.Sum64String(membership.ID(m) + "\x00" + string(u))
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

// Wanted returns the claims that self should propose: of every unit whose
// holder is gone, the ones self is preferred for, and of self's own units
// those that another live member is preferred for, handed over to it.
func Wanted(t *Table, units []Unit, self string, live []string) []Claim {
	alive := map[string]bool{}
	for _, m := range live {
		alive[m] = true
	}
	var claims []Claim
	for _, u := range units {
		h, want := t.holders[u], Preferred(u, live)
		orphan := !alive[h.Owner]
		if (orphan && want == self) || (h.Owner == self && want != self && want != "") {
			claims = append(claims, Claim{Unit: u, Base: h.Epoch, Owner: want})
		}
	}
	return claims
}
