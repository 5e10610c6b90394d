package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Ledger gives out the quotas of some teams to the homes of their jobs. The sum
// of what the homes of a team may use never exceeds its quota, without any
// clock: a level counts until the home itself has reported that it keeps to a
// lower one, and a new ledger gives nothing out before every home has
// reported to it and so stopped listening to its predecessor.
type Ledger struct {
	unit  ownership.Unit
	epoch infra.Offset
	cfg   QuotaConfig
	teams map[string]*ledgerTeam
	// names holds the names of all teams in order.
	names []string
	homes map[ownership.Unit]*ledgerHome
	heard int
	// sequence orders the grants of one ledger owner.
	sequence uint64
	askedAt  time.Duration
	asked    bool
}

type ledgerHome struct {
	epoch    infra.Offset
	sequence uint64
	heard    bool
	heardAt  time.Duration
}

type ledgerTeam struct {
	name   string
	quota  infra.Resources
	borrow infra.Resources
	uses   map[ownership.Unit]*ledgerUse
	// due is set while reports have come in that levels don't reflect yet.
	due      bool
	sharedAt time.Duration
}

// ledgerUse is one home's part of a team's quota.
type ledgerUse struct {
	TeamUse
	home ownership.Unit
	// charge is the most that the home may use by any grant it may have.
	charge  infra.Resources
	pending []QuotaGrant
	sentAt  time.Duration
}

// NewLedger returns a ledger that has heard of no home.
func NewLedger(unit ownership.Unit, epoch infra.Offset, cfg QuotaConfig) *Ledger {
	return &Ledger{unit: unit, epoch: epoch, cfg: cfg, teams: map[string]*ledgerTeam{}, homes: map[ownership.Unit]*ledgerHome{}}
}

// SetQuota notes a team's quota. What is in use above a lowered quota ends by
// itself; nothing new is granted until then.
func (l *Ledger) SetQuota(team string, quota, borrow infra.Resources) {
	t, ok := l.teams[team]
	if !ok {
		t = &ledgerTeam{name: team, uses: map[ownership.Unit]*ledgerUse{}}
		l.teams[team] = t
		l.names = sortedKeys(l.teams)
	}
	t.quota, t.borrow = quota, borrow
}

// silentRounds is how many rounds a home that has part of a quota may be silent
// before it is asked.
const silentRounds = 3

// repeatRounds is how many rounds a grant may go without being confirmed: homes
// confirm higher levels with their next report only.
const repeatRounds = 2

func (l *Ledger) complete() bool { return l.heard == ownership.HomeSlots }

// Step returns the messages to send now.
func (l *Ledger) Step(now time.Duration) []Message {
	var out []Message
	for _, name := range l.names {
		out = append(out, l.shareIfDue(now, l.teams[name])...)
	}
	if len(l.names) == 0 || (l.asked && now-l.askedAt < l.cfg.AskAgain) {
		return out
	}
	l.asked, l.askedAt = true, now
	if !l.complete() {
		for i := range ownership.HomeSlots {
			if u := ownership.HomeUnit(i); !l.home(u).heard {
				out = append(out, l.ask(u))
			}
		}
	}
	for _, name := range l.names {
		out = append(out, l.repeat(now, l.teams[name])...)
	}
	return out
}

// repeat sends again what has not been answered.
func (l *Ledger) repeat(now time.Duration, t *ledgerTeam) []Message {
	var out []Message
	for _, u := range sortedKeys(t.uses) {
		use := t.uses[u]
		if len(use.pending) > 0 && now-use.sentAt >= repeatRounds*l.cfg.AskAgain {
			use.sentAt = now
			out = append(out, newestGrant(use))
		}
		// A home that has been replaced does not know of what its predecessor
		// was granted, and nobody else could use it.
		if use.charge != nothing && now-l.home(u).heardAt >= silentRounds*l.cfg.AskAgain {
			out = append(out, l.ask(u))
		}
	}
	return out
}

func newestGrant(u *ledgerUse) QuotaGrant { return u.pending[len(u.pending)-1] }

func (l *Ledger) ask(u ownership.Unit) Message {
	return QuotaAsk{Home: u, Ledger: l.unit, LedgerEpoch: l.epoch}
}

func (l *Ledger) home(u ownership.Unit) *ledgerHome {
	h, ok := l.homes[u]
	if !ok {
		h = &ledgerHome{}
		l.homes[u] = h
	}
	return h
}

// Report takes in a home's report and returns the grants it leads to.
func (l *Ledger) Report(now time.Duration, m QuotaReport) []Message {
	if m.LedgerEpoch != l.epoch {
		// The home may still listen to an older ledger, or has not heard of
		// any. Only its answer to this one's question counts.
		return []Message{l.ask(m.Home)}
	}
	h := l.home(m.Home)
	if m.HomeEpoch < h.epoch || (m.HomeEpoch == h.epoch && m.Sequence <= h.sequence) {
		return nil
	}
	replaced := m.HomeEpoch != h.epoch
	h.epoch, h.sequence, h.heardAt = m.HomeEpoch, m.Sequence, now
	if !h.heard {
		h.heard = true
		l.heard++
	}
	named := map[string]TeamUse{}
	for _, u := range m.Teams {
		named[u.Team] = u
	}
	var out []Message
	for _, name := range l.names {
		t := l.teams[name]
		t.note(m.Home, named[name], replaced)
		t.due = true
		out = append(out, l.shareIfDue(now, t)...)
	}
	return out
}

// note takes in what a home uses. Grants that the home has not acknowledged may
// still reach it, so they count too, unless they were made to a predecessor.
func (t *ledgerTeam) note(home ownership.Unit, use TeamUse, replaced bool) {
	u, ok := t.uses[home]
	if !ok {
		if use.Team == "" {
			return
		}
		u = &ledgerUse{home: home}
		t.uses[home] = u
	}
	if replaced {
		u.pending = nil
	}
	u.TeamUse = use
	u.charge = most(use.Level, use.Used)
	kept := u.pending[:0]
	for _, g := range u.pending {
		if g.Sequence > use.Grant {
			kept = append(kept, g)
			u.charge = most(u.charge, g.Level)
		}
	}
	u.pending = kept
}

// shareIfDue sets levels at most every ShareEvery: homes report in bursts, and each
// setting may move the levels of all.
func (l *Ledger) shareIfDue(now time.Duration, t *ledgerTeam) []Message {
	if !t.due || now-t.sharedAt < l.cfg.ShareEvery {
		return nil
	}
	t.due, t.sharedAt = false, now
	return l.share(now, t)
}

// share sets the levels of a team's homes anew.
func (l *Ledger) share(now time.Duration, t *ledgerTeam) []Message {
	if !l.complete() || t.quota == nothing {
		return nil
	}
	uses := make([]*ledgerUse, 0, len(t.uses))
	for _, u := range sortedKeys(t.uses) {
		uses = append(uses, t.uses[u])
	}
	sort.SliceStable(uses, func(i, j int) bool { return uses[i].before(uses[j]) })
	if len(uses) == 0 || uses[0].Least == nothing {
		return nil
	}
	whole := limits(t.quota, t.borrow)
	want := fairLevels(uses, whole)
	free := whole
	for _, u := range uses {
		free = free.Sub(u.charge)
	}
	var out []Message
	for i, u := range uses {
		level := u.affordable(want[i], free)
		free = free.Sub(over(level, u.charge))
		if level != u.level() {
			out = append(out, l.grant(now, t, u, level))
		}
	}
	return out
}

// affordable is the part of a wanted level that is free: what others have not
// given back yet can't be granted. A part only helps in whole steps.
func (u *ledgerUse) affordable(want, free infra.Resources) infra.Resources {
	if over(want, u.charge).Fits(free) {
		return want
	}
	n := steps(free.Add(u.charge).Sub(u.Used), u.Least)
	if level := u.Used.Add(times(u.Least, n)); n > 0 && over(level, u.charge).Fits(free) {
		return level
	}
	return least(want, u.charge)
}

// before orders homes by the first task they have waiting.
func (u *ledgerUse) before(o *ledgerUse) bool {
	if a, b := u.Least != nothing, o.Least != nothing; a != b {
		return a
	}
	if u.Urgent != o.Urgent {
		return u.Urgent
	}
	return u.Since < o.Since
}

// level is the newest level that the home has or was sent.
func (u *ledgerUse) level() infra.Resources {
	if n := len(u.pending); n > 0 {
		return newestGrant(u).Level
	}
	return u.Level
}

func (l *Ledger) grant(now time.Duration, t *ledgerTeam, u *ledgerUse, level infra.Resources) Message {
	l.sequence++
	g := QuotaGrant{Home: u.home, Ledger: l.unit, LedgerEpoch: l.epoch, HomeEpoch: l.homes[u.home].epoch,
		Sequence: u.nextGrant(l.sequence), Team: t.name, Level: level, Own: t.ownPart(level)}
	u.pending = append(u.pending, g)
	u.charge = most(u.charge, level)
	u.sentAt = now
	return g
}

// nextGrant is above every grant the home has taken in, also one of an earlier
// ledger.
func (u *ledgerUse) nextGrant(sequence uint64) uint64 {
	next := max(sequence, u.Grant+1)
	if n := len(u.pending); n > 0 {
		next = max(next, newestGrant(u).Sequence+1)
	}
	return next
}

// ownPart is the part of a level that the quota without what is borrowed covers.
func (t *ledgerTeam) ownPart(level infra.Resources) infra.Resources {
	scale := func(v, quota, borrow int64) int64 {
		if quota == 0 || borrow == 0 {
			return v
		}
		return v * quota / (quota + borrow)
	}
	return infra.Resources{MilliCPU: scale(level.MilliCPU, t.quota.MilliCPU, t.borrow.MilliCPU),
		MemoryMiB:    scale(level.MemoryMiB, t.quota.MemoryMiB, t.borrow.MemoryMiB),
		Accelerators: scale(level.Accelerators, t.quota.Accelerators, t.borrow.Accelerators)}
}

// fairLevels returns the level that each home should have, in the order given.
// The home with the oldest waiting gang gets room for it first when that is more
// than its equal share, so that a gang that needs much of the quota is not put off
// for ever by small tasks of other homes. The rest goes in equal shares, in whole steps of what each can use.
func fairLevels(uses []*ledgerUse, whole infra.Resources) []infra.Resources {
	lowest := make([]infra.Resources, len(uses))
	if dominantShare(uses[0].Least, whole, whole) > 1/float64(len(uses)) {
		lowest[0] = least(uses[0].Used.Add(uses[0].Least), whole)
	}
	low, high := 0.0, 1.0
	if !sumAt(uses, lowest, whole, high).Fits(whole) {
		for range shareBits {
			if mid := (low + high) / 2; sumAt(uses, lowest, whole, mid).Fits(whole) {
				low = mid
			} else {
				high = mid
			}
		}
		high = low
	}
	levels := make([]infra.Resources, len(uses))
	rest := whole
	for i, u := range uses {
		levels[i] = most(lowest[i], u.wholeSteps(u.upTo(whole, high)))
		rest = rest.Sub(levels[i])
	}
	for i, u := range uses {
		next := levels[i].Add(u.Least)
		if u.Least != nothing && u.Used.Fits(levels[i]) && next.Fits(u.demand()) && u.Least.Fits(rest) {
			levels[i], rest = next, rest.Sub(u.Least)
		}
	}
	return levels
}

// shareBits is how finely the equal share is searched for.
const shareBits = 20

func (u *ledgerUse) demand() infra.Resources { return u.Used.Add(u.Wanted) }

// upTo is a home's demand, cut to a share of the whole.
func (u *ledgerUse) upTo(whole infra.Resources, share float64) infra.Resources {
	d := u.demand()
	dominant := dominantShare(d, whole, whole)
	if dominant <= share {
		return d
	}
	cut := func(v int64) int64 { return int64(float64(v) * share / dominant) }
	return infra.Resources{MilliCPU: cut(d.MilliCPU), MemoryMiB: cut(d.MemoryMiB), Accelerators: cut(d.Accelerators)}
}

func sumAt(uses []*ledgerUse, lowest []infra.Resources, whole infra.Resources, share float64) infra.Resources {
	var sum infra.Resources
	for i, u := range uses {
		sum = sum.Add(most(lowest[i], u.upTo(whole, share)))
	}
	return sum
}

// wholeSteps cuts a level to what is used and a number of whole tasks or gangs.
func (u *ledgerUse) wholeSteps(level infra.Resources) infra.Resources {
	if !u.Used.Fits(level) {
		return level
	}
	return u.Used.Add(times(u.Least, steps(level.Sub(u.Used), u.Least)))
}

// steps is how often a step fits.
func steps(room, step infra.Resources) int {
	n := int64(-1)
	for _, d := range [][2]int64{{room.MilliCPU, step.MilliCPU}, {room.MemoryMiB, step.MemoryMiB}, {room.Accelerators, step.Accelerators}} {
		if d[1] > 0 && (n < 0 || d[0]/d[1] < n) {
			n = d[0] / d[1]
		}
	}
	return max(0, int(n))
}

func most(a, b infra.Resources) infra.Resources {
	return infra.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators)}
}

func least(a, b infra.Resources) infra.Resources {
	return infra.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMiB: min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators)}
}

// over is what a has above b.
func over(a, b infra.Resources) infra.Resources { return most(a, b).Sub(b) }
