package capshare

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

const org = "o"

func gpus(n int64) organisation.Amounts { return organisation.Amounts{organisation.GPU: n} }

// owner is a pool's owner with its ledger and its demand.
type owner struct {
	*Ledger
	demand   Demand
	capacity organisation.Amounts
	seq      uint64
}

func newOwner(pool int, cap organisation.Amounts) *owner {
	o := &owner{Ledger: New(pool), capacity: organisation.Amounts{100, 100, 100}}
	o.SetCaps(map[string]organisation.Amounts{org: cap})
	return o
}

func (o *owner) demands() map[string]Demand { return map[string]Demand{org: o.demand} }

// store saves and confirms all changes.
func (o *owner) store() {
	o.seq++
	o.Changes(o.seq)
	o.Stored(o.seq)
}

func (o *owner) tell(other *owner) {
	other.Handle(o.Offer(other.pool, o.capacity, o.demands()), other.capacity, other.demands())
}

// exchange lets two owners exchange offers until nothing changes any more.
func exchange(a, b *owner) {
	for range 6 {
		a.tell(b)
		b.store()
		b.tell(a)
		a.store()
	}
}

func TestRootHoldsAllSharesAtFirst(t *testing.T) {
	root, other := newOwner(1, gpus(48)), newOwner(2, gpus(48))
	assert.Equal(t, root.Level(org)[organisation.GPU], int64(0), "not known to be the root yet")
	root.SetRoot()
	assert.Equal(t, root.Level(org)[organisation.GPU], int64(48))
	assert.Equal(t, other.Level(org)[organisation.GPU], int64(0))
	assert.Assert(t, root.Level("unlimited")[organisation.GPU] > 1<<60)
	assert.Assert(t, root.Level(org)[organisation.CPU] > 1<<60, "no limit")
}

func TestSharesFollowCapacityAndDemand(t *testing.T) {
	for _, c := range []struct {
		name          string
		a, b          Demand
		capA, capB    int64
		levelA, level int64 // of b
	}{
		{"all accelerators are in one pool", Demand{}, Demand{}, 0, 800, 0, 48},
		{"idle, by capacity", Demand{}, Demand{}, 100, 300, 12, 36},
		{"all demand in one pool", Demand{Use: gpus(0), Want: gpus(0)}, Demand{Want: gpus(48)}, 100, 100, 0, 48},
		{"what is in use stays", Demand{Use: gpus(40), Want: gpus(40)}, Demand{Want: gpus(48), Unit: gpus(8), SinceMs: 5}, 100, 100, 40, 8},
		{"both want more", Demand{Want: gpus(96)}, Demand{Want: gpus(96)}, 100, 100, 24, 24},
		{"the oldest gang gets enough", Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 9}, Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 5}, 100, 100, 8, 40},
		{"of two gangs that have waited equally long, that of the first pool", Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 5}, Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 5}, 100, 100, 40, 8},
		{"the oldest gang keeps enough", Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 4}, Demand{Want: gpus(40), Unit: gpus(40), SinceMs: 5}, 100, 100, 40, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newOwner(1, gpus(48)), newOwner(2, gpus(48))
			a.SetRoot()
			a.demand, b.demand, a.capacity, b.capacity = c.a, c.b, gpus(c.capA), gpus(c.capB)
			exchange(a, b)
			assert.Equal(t, a.Level(org)[organisation.GPU], c.levelA)
			assert.Equal(t, b.Level(org)[organisation.GPU], c.level)
		})
	}
}

// Guards against two pools that together start more than the cap, because the receiver of a gift uses
// it before the giver's successor is sure to know of it.
func TestGiftIsTellableOnlyOnceStored(t *testing.T) {
	root, other := newOwner(1, gpus(48)), newOwner(2, gpus(48))
	root.SetRoot()
	other.demand = Demand{Want: gpus(48)}
	other.tell(root)
	assert.Equal(t, root.Level(org)[organisation.GPU], int64(0), "lowered at once")
	root.tell(other)
	assert.Equal(t, other.Level(org)[organisation.GPU], int64(0), "not stored yet")
	root.store()
	root.tell(other)
	assert.Equal(t, other.Level(org)[organisation.GPU], int64(48))
	successor := newOwner(1, gpus(48))
	successor.SetRoot()
	for _, r := range root.records() {
		successor.Restore(r)
	}
	assert.Equal(t, successor.Level(org)[organisation.GPU], int64(0))
	root.tell(other) // repeated
	assert.Equal(t, other.Level(org)[organisation.GPU], int64(48))
}

// records returns what the store holds.
func (o *owner) records() []Record {
	a := o.account(org)
	return []Record{{Organisation: org, Given: a.stored, Received: a.received}}
}

// Guards against owners that know different caps and together exceed the largest of them.
func TestChangedCapNeedsNoTransfer(t *testing.T) {
	a, b := newOwner(1, gpus(48)), newOwner(2, gpus(48))
	a.SetRoot()
	exchange(a, b)
	assert.Equal(t, a.Level(org)[organisation.GPU]+b.Level(org)[organisation.GPU], int64(48))
	b.SetCaps(map[string]organisation.Amounts{org: gpus(12)})
	assert.Equal(t, a.Level(org)[organisation.GPU]+b.Level(org)[organisation.GPU], int64(24+6))
}

// Owners of three pools use, want and release amounts at random, while messages are lost, delayed and
// repeated, and saves are confirmed late or lost with their owner. What runs must never exceed the cap.
// In half of the histories the caps change too, at different times at each owner: then it must not
// exceed the largest cap that is known, as long as no owner uses more than its share of a lower one.
func TestCapHoldsInRandomHistories(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLedgers(t, rand.New(rand.NewPCG(seed, 1)), seed%2 == 1) })
	}
}

type ledgerHistory struct {
	rng      *rand.Rand
	owners   []*owner
	caps     []organisation.Amounts // known to each owner
	stored   []Record               // by pool
	inFlight []func()
	unsaved  []map[uint64][]Record // by pool
	// capsChange is set if the caps change at different times at each owner.
	capsChange bool
}

func runLedgers(t *testing.T, rng *rand.Rand, capsChange bool) {
	h := &ledgerHistory{rng: rng, stored: make([]Record, 3), capsChange: capsChange}
	limit := organisation.Amounts{int64(1 + rng.IntN(1000)), int64(rng.IntN(3000)), int64(1 + rng.IntN(60))}
	for pool := range 3 {
		h.owners = append(h.owners, newOwner(pool, limit))
		h.caps = append(h.caps, limit)
		h.unsaved = append(h.unsaved, map[uint64][]Record{})
	}
	h.owners[rng.IntN(3)].SetRoot()
	for range 400 {
		h.step(t)
	}
}

func (h *ledgerHistory) step(t *testing.T) {
	pool := h.rng.IntN(3)
	o := h.owners[pool]
	switch h.rng.IntN(9) {
	case 0, 1:
		h.start(t, o)
	case 2:
		for r := range o.demand.Use {
			if n := o.demand.Use[r]; n > 0 {
				o.demand.Use[r] -= h.rng.Int64N(n + 1)
			}
		}
	case 3:
		for r := range o.demand.Want {
			o.demand.Want[r], o.demand.Unit[r] = o.demand.Use[r]+h.rng.Int64N(500), h.rng.Int64N(50)
		}
		o.demand.SinceMs = h.rng.Int64N(100)
	case 4:
		to := h.owners[(pool+1+h.rng.IntN(2))%3]
		offer := o.Offer(to.pool, o.capacity, o.demands())
		h.inFlight = append(h.inFlight, func() { to := h.owners[to.pool]; to.Handle(offer, to.capacity, to.demands()) })
	case 5:
		if len(h.inFlight) > 0 { // messages overtake each other, and some arrive twice or never
			i := h.rng.IntN(len(h.inFlight))
			h.inFlight[i]()
			if h.rng.IntN(3) > 0 {
				h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			}
		}
	case 6:
		o.seq++
		if records := o.Changes(o.seq); records != nil {
			h.unsaved[pool][o.seq] = records
		}
	case 7:
		for seq := range o.seq + 1 {
			if records := h.unsaved[pool][seq]; records != nil {
				h.stored[pool] = records[0]
				delete(h.unsaved[pool], seq)
				o.Stored(seq)
			}
		}
	case 8:
		if h.capsChange && h.rng.IntN(2) == 0 {
			h.caps[pool] = organisation.Amounts{int64(1 + h.rng.IntN(1000)), 0, int64(1 + h.rng.IntN(60))}
			o.SetCaps(map[string]organisation.Amounts{org: h.caps[pool]})
			return
		}
		h.replaceOwner(pool)
	}
}

// replaceOwner replaces an owner by a successor that knows what is stored. Saves in flight are stored or
// lost.
func (h *ledgerHistory) replaceOwner(pool int) {
	old := h.owners[pool]
	for seq := range old.seq + 1 {
		if records := h.unsaved[pool][seq]; records != nil && h.rng.IntN(2) == 0 {
			h.stored[pool] = records[0]
		} else if records != nil {
			break // the store applies saves in order
		}
	}
	h.unsaved[pool] = map[uint64][]Record{}
	next := newOwner(pool, h.caps[pool])
	if old.root {
		next.SetRoot()
	}
	if h.stored[pool].Organisation != "" {
		next.Restore(h.stored[pool])
	}
	next.demand = old.demand // its successor waits until it knows what runs
	h.owners[pool] = next
}

// start starts as much as the owner's level admits, and checks the sum.
func (h *ledgerHistory) start(t *testing.T, o *owner) {
	level := o.Level(org)
	for r := range o.demand.Use {
		if free := min(level[r], 1<<20) - o.demand.Use[r]; free > 0 {
			o.demand.Use[r] += 1 + h.rng.Int64N(free)
		}
		limit, used, unlimited := int64(0), int64(0), false
		for i, each := range h.owners {
			limit, used, unlimited = max(limit, h.caps[i][r]), used+each.demand.Use[r], unlimited || h.caps[i][r] == 0
		}
		if used > limit && !unlimited && !(h.capsChange && h.capWasLowered(r)) {
			t.Fatalf("resource %d: %d in use of %d", r, used, limit)
		}
	}
}

// capWasLowered reports whether what runs may stem from a higher cap.
func (h *ledgerHistory) capWasLowered(r int) bool {
	for _, o := range h.owners {
		if o.demand.Use[r] > o.Level(org)[r] {
			return true
		}
	}
	return false
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	for _, r := range []Record{{}, {Organisation: "o", Given: map[int]Shares{1: {-1}}}, {Organisation: "o", Received: map[int]Shares{-1: {1}}}} {
		assert.Assert(t, r.Check() != nil, "%+v", r)
	}
	assert.NilError(t, Record{Organisation: "o", Given: map[int]Shares{1: {5}}}.Check())
}

// Guards against a cap beyond 2^53, whose product with a share exceeds 64 bits.
func TestAmountsOfLargeCaps(t *testing.T) {
	for _, limit := range []int64{1, 7, 48, 3_421_413, 1 << 40, 1 << 53} {
		assert.Equal(t, amountOf(limit, Whole), limit)
		assert.Equal(t, amountOf(limit, 0), int64(0))
		for _, amount := range []int64{0, 1, limit / 3, limit - 1, limit} {
			share := shareOf(limit, amount)
			assert.Assert(t, amountOf(limit, share) >= amount, "%d of %d", amount, limit)
			assert.Assert(t, amountOf(limit, share)+amountOf(limit, Whole-share) <= limit+limit/Whole+1, "%d of %d", amount, limit)
		}
	}
}
