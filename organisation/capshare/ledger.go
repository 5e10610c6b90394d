// Package capshare divides the caps of organisations among the pools whose owners start their tasks.
//
// A cap holds over all pools, but each pool's owner decides alone what it starts. So each pool holds
// a share of each cap, and its owner keeps what runs within it. Shares are fractions of the cap, so
// that they need no change when the cap changes, and owners that know different versions of the
// configuration stay within the largest of their caps together.
//
// At first one pool, the root, holds all shares. From then on pools give shares to each other. What
// a pool has given to another is a total that only grows (a grow-only counter, as in bounded-counter
// CRDTs): the giver lowers its own share at once, stores the new total, and tells the receiver only
// what is stored. The receiver adds what it is told. An old or repeated message thus never adds
// anything, a giver's successor knows all that may have been told, and neither clocks nor the order
// of messages matter.
package capshare

import (
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// Whole is all of a cap.
const Whole = 1 << 30

// Shares are fractions of a cap by resource, in units of 1/Whole.
type Shares [organisation.Resources]int64

// Record is what a pool's owner stores about its share of one organisation's cap.
type Record struct {
	Organisation string `json:"o"`
	// Given and Received are totals by the other pool.
	Given    map[int]Shares `json:"g,omitempty"`
	Received map[int]Shares `json:"r,omitempty"`
}

// Check returns an error if the record is invalid.
func (r Record) Check() error {
	if r.Organisation == "" {
		return errors.New("cap share: organisation: missing")
	}
	for name, totals := range map[string]map[int]Shares{"given to": r.Given, "received from": r.Received} {
		for pool, total := range totals {
			if pool < 0 || total != largest(total, Shares{}) {
				return errors.Errorf("cap share: organisation %q: %v %s pool %d: must not be negative", r.Organisation, total, name, pool)
			}
		}
	}
	return nil
}

// Demand is what an organisation uses and wants in one pool.
type Demand struct {
	Use  organisation.Amounts // of its tasks, as far as they may run
	Want organisation.Amounts // Use, and what could be started now without the cap
	// Unit is what has to be free for the oldest task or gang that waits for the cap, and SinceMs the
	// Unix time in milliseconds since when its job could run; 0: none waits.
	Unit    organisation.Amounts
	SinceMs int64
}

// Account is what an offer says about one organisation.
type Account struct {
	Given    Shares // total given to the receiver of the offer, as stored
	Received Shares // total received from it
	Held     Shares
	Demand
}

// Offer is a message from one pool's owner to another's.
type Offer struct {
	From     int
	Capacity organisation.Amounts // of the pool's workers
	Accounts map[string]Account   // by organisation
}

// Ledger holds a pool's shares of all caps. It isn't safe for concurrent use.
type Ledger struct {
	pool     int
	root     bool
	caps     map[string]organisation.Amounts
	accounts map[string]*account
	levels   map[string]organisation.Amounts // cached results of Level
	changed  map[string]bool                 // accounts to be stored
	pending  []pendingStore                  // oldest first
}

type account struct {
	given, received map[int]Shares
	stored          map[int]Shares // the part of given that the store holds
}

// pendingStore is a set of totals that the store hasn't confirmed yet.
type pendingStore struct {
	seq   uint64
	given map[string]map[int]Shares
}

// New returns the ledger of a pool that holds no shares.
func New(pool int) *Ledger {
	return &Ledger{pool: pool, caps: map[string]organisation.Amounts{}, levels: map[string]organisation.Amounts{}, accounts: map[string]*account{}, changed: map[string]bool{}}
}

// SetRoot notes that the pool is the one that held all shares at first. It must be the same pool for
// all ledgers and for ever.
func (l *Ledger) SetRoot() {
	l.root = true
	clear(l.levels)
}

// SetCaps replaces the caps, by organisation.
func (l *Ledger) SetCaps(caps map[string]organisation.Amounts) {
	l.caps = caps
	clear(l.levels)
}

// Restore restores an account as a predecessor stored it.
func (l *Ledger) Restore(r Record) {
	a := l.account(r.Organisation)
	delete(l.levels, r.Organisation)
	for pool, total := range r.Given {
		a.given[pool] = largest(a.given[pool], total)
		a.stored[pool] = largest(a.stored[pool], total)
	}
	for pool, total := range r.Received {
		a.received[pool] = largest(a.received[pool], total)
	}
}

func (l *Ledger) account(org string) *account {
	a := l.accounts[org]
	if a == nil {
		a = &account{given: map[int]Shares{}, received: map[int]Shares{}, stored: map[int]Shares{}}
		l.accounts[org] = a
	}
	return a
}

func largest(a, b Shares) Shares {
	for r := range a {
		a[r] = max(a[r], b[r])
	}
	return a
}

// Held returns the pool's share of an organisation's cap.
func (l *Ledger) Held(org string) (s Shares) {
	a := l.account(org)
	for r := range s {
		if l.root {
			s[r] = Whole
		}
		for _, total := range a.received {
			s[r] += total[r]
		}
		for _, total := range a.given {
			s[r] -= total[r]
		}
	}
	return s
}

// IsLimited reports whether an organisation has a cap.
func (l *Ledger) IsLimited(org string) bool { return l.caps[org] != organisation.Amounts{} }

// Level returns what an organisation may use in the pool; math.MaxInt64 for a resource without a
// limit.
func (l *Ledger) Level(org string) (level organisation.Amounts) {
	if !l.IsLimited(org) {
		return organisation.Amounts{math.MaxInt64, math.MaxInt64, math.MaxInt64}
	}
	if level, known := l.levels[org]; known {
		return level
	}
	held := l.Held(org)
	for r, limit := range l.caps[org] {
		level[r] = levelOf(limit, held[r])
	}
	l.levels[org] = level
	return level
}

func levelOf(limit, held int64) int64 {
	if limit == 0 {
		return math.MaxInt64
	}
	return amountOf(limit, max(0, held))
}

// roundingTolerance is added to amounts before they are rounded down, as a fraction of a unit. It
// exceeds the error of the shares of thousands of gifts, and its sum over all pools is below a unit.
const roundingTolerance = Whole / 1024

// amountOf returns a share of a cap, rounded down. The product with the cap may exceed 64 bits.
func amountOf(limit, share int64) int64 {
	return limit/Whole*share + (limit%Whole*share+roundingTolerance)/Whole
}

// shareOf returns the smallest share of a cap that is at least an amount.
func shareOf(limit, amount int64) int64 {
	share := int64(float64(amount) / float64(limit) * Whole)
	for amountOf(limit, share) < amount {
		share++
	}
	return share
}

// Changes returns the accounts to be stored in the save with a sequence number.
func (l *Ledger) Changes(seq uint64) []Record {
	if len(l.changed) == 0 {
		return nil
	}
	p := pendingStore{seq: seq, given: map[string]map[int]Shares{}}
	var records []Record
	for _, org := range slices.Sorted(maps.Keys(l.changed)) {
		a := l.accounts[org]
		p.given[org] = maps.Clone(a.given)
		records = append(records, Record{Organisation: org, Given: p.given[org], Received: maps.Clone(a.received)})
	}
	clear(l.changed)
	l.pending = append(l.pending, p)
	return records
}

// HasChanges reports whether there is something to be stored.
func (l *Ledger) HasChanges() bool { return len(l.changed) > 0 }

// Stored confirms all saves up to a sequence number, and reports whether the other pools can be told
// of new gifts.
func (l *Ledger) Stored(seq uint64) (news bool) {
	for len(l.pending) > 0 && l.pending[0].seq <= seq {
		for org, given := range l.pending[0].given {
			a := l.accounts[org]
			news = news || !maps.Equal(a.stored, given)
			a.stored = given
		}
		l.pending = l.pending[1:]
	}
	return news
}

// Offer returns the message to another pool.
func (l *Ledger) Offer(to int, capacity organisation.Amounts, demands map[string]Demand) Offer {
	o := Offer{From: l.pool, Capacity: capacity, Accounts: map[string]Account{}}
	for org := range l.caps {
		if !l.IsLimited(org) {
			continue
		}
		a := l.account(org)
		o.Accounts[org] = Account{Given: a.stored[to], Received: a.received[to], Held: l.Held(org), Demand: demands[org]}
	}
	return o
}

// Handle adds what another pool has given, and gives that pool what it needs more than this one. It
// reports whether the pool's own shares have grown.
func (l *Ledger) Handle(o Offer, capacity organisation.Amounts, demands map[string]Demand) (grown bool) {
	for _, org := range slices.Sorted(maps.Keys(o.Accounts)) {
		theirs := o.Accounts[org]
		a := l.account(org)
		if total := largest(a.received[o.From], theirs.Given); total != a.received[o.From] {
			a.received[o.From] = total
			l.accountChanged(org)
			grown = true
		}
		if theirs.Received == a.given[o.From] { // else their share and demand are out of date
			l.give(org, o, theirs, capacity, demands[org])
		}
	}
	return grown
}

// give lowers the pool's share of a cap in favour of another pool.
func (l *Ledger) give(org string, o Offer, theirs Account, capacity organisation.Amounts, mine Demand) {
	a, held := l.account(org), l.Held(org)
	total := a.given[o.From]
	for r, limit := range l.caps[org] {
		if limit == 0 {
			continue
		}
		s := split{limit: limit, mine: levelOf(limit, held[r]), theirs: levelOf(limit, theirs.Held[r]), older: o.waitsLonger(theirs, l.pool, mine),
			my: side{mine.Use[r], mine.Want[r], mine.Unit[r], capacity[r]}, other: side{theirs.Use[r], theirs.Want[r], theirs.Unit[r], o.Capacity[r]}}
		if gift := s.gift(); gift > 0 {
			total[r] += min(shareOf(limit, gift), held[r])
		}
	}
	if total != a.given[o.From] {
		a.given[o.From] = total
		l.accountChanged(org)
	}
}

func (l *Ledger) accountChanged(org string) {
	l.changed[org] = true
	delete(l.levels, org)
}

// waitsLonger reports whether the other pool's demand has waited longer than this pool's. Both pools
// come to the same result, also if both have waited equally long.
func (o Offer) waitsLonger(theirs Account, pool int, mine Demand) bool {
	switch {
	case theirs.SinceMs == 0 || mine.SinceMs == 0:
		return theirs.SinceMs != 0
	case theirs.SinceMs != mine.SinceMs:
		return theirs.SinceMs < mine.SinceMs
	}
	return o.From < pool
}

// side is one of the two pools between which a cap is split, for one resource.
type side struct{ use, want, unit, capacity int64 }

// split determines how two pools divide what they hold of a cap together.
type split struct {
	limit        int64
	mine, theirs int64 // levels
	my, other    side
	older        bool // the other pool's demand has waited longer
}

// idleTransferShare is the part of a cap from which on shares are moved that nobody needs yet, so
// that small changes of capacity cause no saves.
const idleTransferShare = 1.0 / 8

// gift returns the amount to be given to the other pool. It never exceeds what this pool doesn't use.
func (s split) gift() int64 {
	sum := s.mine + s.theirs
	target := s.targetOfOther(sum)
	gift := min(target-s.theirs, s.mine-s.my.use)
	if gift <= 0 || (s.other.want <= s.theirs && float64(gift) < idleTransferShare*float64(s.limit)) {
		return 0
	}
	return gift
}

// targetOfOther returns the other pool's part of what both hold together. What nobody wants is
// divided by capacity. If both want more than there is, they get parts in proportion to it; but the
// pool whose task or gang has waited longest gets enough for that one, since two gangs could block
// each other for ever otherwise.
func (s split) targetOfOther(sum int64) int64 {
	if spare := sum - s.my.want - s.other.want; spare >= 0 {
		part := 0.5
		if all := float64(s.my.capacity) + float64(s.other.capacity); all > 0 {
			part = float64(s.other.capacity) / all
		}
		return s.other.want + int64(part*float64(spare))
	}
	target := int64(float64(sum) * float64(s.other.want) / (float64(s.my.want) + float64(s.other.want)))
	if s.older {
		return max(target, s.other.use+s.other.unit)
	}
	return min(target, sum-s.my.use-s.my.unit)
}
