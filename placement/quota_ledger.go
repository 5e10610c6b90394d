package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Ledger divides the quotas of some teams among the homes of their jobs. The
// sum of the levels of a team's homes never exceeds its quota, without relying
// on clocks: a level counts until the home itself has reported that it observes
// a lower one, and a new ledger grants nothing before every home has reported
// to it and thereby stopped accepting grants of its predecessor.
type Ledger struct {
	unit  ownership.Unit
	epoch infra.Offset
	cfg   QuotaConfig
	teams map[string]*ledgerTeam
	// names holds the sorted names of all teams.
	names         []string
	homes         map[ownership.Unit]*ledgerHome
	reportedHomes int
	// sequence orders the grants of one ledger owner.
	sequence uint64
	askedAt  time.Duration
	asked    bool
}

type ledgerHome struct {
	epoch      infra.Offset
	sequence   uint64
	reported   bool
	reportedAt time.Duration
}

type ledgerTeam struct {
	name   string
	quota  infra.Resources
	borrow infra.Resources
	uses   map[ownership.Unit]*ledgerUse
	// due is set if reports have arrived since the levels were last calculated.
	due          bool
	rebalancedAt time.Duration
}

// ledgerUse is one home's part of a team's quota.
type ledgerUse struct {
	TeamUse
	home ownership.Unit
	// charge is the maximum that the home may use under any grant it may have
	// received.
	charge  infra.Resources
	pending []QuotaGrant
	sentAt  time.Duration
}

// NewLedger returns a ledger that has no reports yet.
func NewLedger(unit ownership.Unit, epoch infra.Offset, cfg QuotaConfig) *Ledger {
	return &Ledger{unit: unit, epoch: epoch, cfg: cfg, teams: map[string]*ledgerTeam{}, homes: map[ownership.Unit]*ledgerHome{}}
}

// SetQuota sets a team's quota. Usage above a lowered quota shrinks as tasks
// end; nothing new is granted until then.
func (l *Ledger) SetQuota(team string, quota, borrow infra.Resources) {
	t, ok := l.teams[team]
	if !ok {
		t = &ledgerTeam{name: team, uses: map[ownership.Unit]*ledgerUse{}}
		l.teams[team] = t
		l.names = sortedKeys(l.teams)
	}
	t.quota, t.borrow = quota, borrow
}

// silentIntervals is how many retry intervals a home with part of a quota may
// go without a report before it is asked for one.
const silentIntervals = 3

// resendIntervals is how many retry intervals a grant may stay unconfirmed
// before it is sent again: homes confirm higher levels only with their next
// report.
const resendIntervals = 2

func (l *Ledger) complete() bool { return l.reportedHomes == ownership.HomeSlots }

// Step returns the messages to send now.
func (l *Ledger) Step(now time.Duration) []Message {
	var out []Message
	for _, name := range l.names {
		out = append(out, l.rebalanceIfDue(now, l.teams[name])...)
	}
	if len(l.names) == 0 || (l.asked && now-l.askedAt < l.cfg.RetryInterval) {
		return out
	}
	l.asked, l.askedAt = true, now
	if !l.complete() {
		for i := range ownership.HomeSlots {
			if u := ownership.HomeUnit(i); !l.home(u).reported {
				out = append(out, l.ask(u))
			}
		}
	}
	for _, name := range l.names {
		out = append(out, l.resend(now, l.teams[name])...)
	}
	return out
}

// resend sends unanswered messages again.
func (l *Ledger) resend(now time.Duration, t *ledgerTeam) []Message {
	var out []Message
	for _, u := range sortedKeys(t.uses) {
		use := t.uses[u]
		if len(use.pending) > 0 && now-use.sentAt >= resendIntervals*l.cfg.RetryInterval {
			use.sentAt = now
			out = append(out, newestGrant(use))
		}
		// The new owner of a home does not know what its predecessor was
		// granted. Unless it is asked for a report, no home can use that part.
		if use.charge != noResources && now-l.home(u).reportedAt >= silentIntervals*l.cfg.RetryInterval {
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

// Report processes a home's report and returns the resulting grants.
func (l *Ledger) Report(now time.Duration, m QuotaReport) []Message {
	if m.LedgerEpoch != l.epoch {
		// The home may still accept grants of an older ledger, or knows of
		// none. Only its answer to this ledger's request counts.
		return []Message{l.ask(m.Home)}
	}
	h := l.home(m.Home)
	if m.HomeEpoch < h.epoch || (m.HomeEpoch == h.epoch && m.Sequence <= h.sequence) {
		return nil
	}
	replaced := m.HomeEpoch != h.epoch
	h.epoch, h.sequence, h.reportedAt = m.HomeEpoch, m.Sequence, now
	if !h.reported {
		h.reported = true
		l.reportedHomes++
	}
	named := map[string]TeamUse{}
	for _, u := range m.Teams {
		named[u.Team] = u
	}
	var out []Message
	for _, name := range l.names {
		t := l.teams[name]
		t.applyReport(m.Home, named[name], replaced)
		t.due = true
		out = append(out, l.rebalanceIfDue(now, t)...)
	}
	return out
}

// applyReport updates a home's usage. Grants that the home has not acknowledged
// may still reach it, so they count too, unless they were made to a
// predecessor.
func (t *ledgerTeam) applyReport(home ownership.Unit, use TeamUse, replaced bool) {
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
	u.charge = maxOfEach(use.Level, use.Used)
	kept := u.pending[:0]
	for _, g := range u.pending {
		if g.Sequence > use.Grant {
			kept = append(kept, g)
			u.charge = maxOfEach(u.charge, g.Level)
		}
	}
	u.pending = kept
}

// rebalanceIfDue recalculates the levels at most once per RebalanceInterval:
// homes report in bursts, and each recalculation may change the levels of all
// homes.
func (l *Ledger) rebalanceIfDue(now time.Duration, t *ledgerTeam) []Message {
	if !t.due || now-t.rebalancedAt < l.cfg.RebalanceInterval {
		return nil
	}
	t.due, t.rebalancedAt = false, now
	return l.rebalance(now, t)
}

// rebalance recalculates the levels of a team's homes.
func (l *Ledger) rebalance(now time.Duration, t *ledgerTeam) []Message {
	if !l.complete() || t.quota == noResources {
		return nil
	}
	uses := make([]*ledgerUse, 0, len(t.uses))
	for _, u := range sortedKeys(t.uses) {
		uses = append(uses, t.uses[u])
	}
	sort.SliceStable(uses, func(i, j int) bool { return uses[i].before(uses[j]) })
	if len(uses) == 0 || uses[0].Least == noResources {
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
		level := u.grantableLevel(want[i], free)
		free = free.Sub(excess(level, u.charge))
		if level != u.level() {
			out = append(out, l.grant(now, t, u, level))
		}
	}
	return out
}

// grantableLevel is the part of a wanted level that can be granted: what other
// homes have not returned yet is not available. A part is useful only in whole
// steps.
func (u *ledgerUse) grantableLevel(want, free infra.Resources) infra.Resources {
	if excess(want, u.charge).Fits(free) {
		return want
	}
	n := stepsThatFit(free.Add(u.charge).Sub(u.Used), u.Least)
	if level := u.Used.Add(times(u.Least, n)); n > 0 && excess(level, u.charge).Fits(free) {
		return level
	}
	return minOfEach(want, u.charge)
}

// before orders homes by their first waiting task.
func (u *ledgerUse) before(o *ledgerUse) bool {
	if a, b := u.Least != noResources, o.Least != noResources; a != b {
		return a
	}
	if u.Urgent != o.Urgent {
		return u.Urgent
	}
	return u.Since < o.Since
}

// level is the newest level that was sent to the home or reported by it.
func (u *ledgerUse) level() infra.Resources {
	if n := len(u.pending); n > 0 {
		return newestGrant(u).Level
	}
	return u.Level
}

func (l *Ledger) grant(now time.Duration, t *ledgerTeam, u *ledgerUse, level infra.Resources) Message {
	l.sequence++
	g := QuotaGrant{Home: u.home, Ledger: l.unit, LedgerEpoch: l.epoch, HomeEpoch: l.homes[u.home].epoch,
		Sequence: u.nextGrant(l.sequence), Team: t.name, Level: level, Own: t.quotaPart(level)}
	u.pending = append(u.pending, g)
	u.charge = maxOfEach(u.charge, level)
	u.sentAt = now
	return g
}

// nextGrant returns a sequence above that of every grant the home has applied,
// including those of an earlier ledger.
func (u *ledgerUse) nextGrant(sequence uint64) uint64 {
	next := max(sequence, u.Grant+1)
	if n := len(u.pending); n > 0 {
		next = max(next, newestGrant(u).Sequence+1)
	}
	return next
}

// quotaPart is the part of a level that the quota covers without borrowing.
func (t *ledgerTeam) quotaPart(level infra.Resources) infra.Resources {
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

// fairLevels returns the level that each home should have, in the given order.
// If the first task or gang waiting in the first home needs more than an equal
// share, that home gets enough for it first, so that small tasks of other homes
// can't delay a gang that needs much of the quota indefinitely. The rest is
// divided equally, in whole steps of what each home can use.
func fairLevels(uses []*ledgerUse, whole infra.Resources) []infra.Resources {
	lowest := make([]infra.Resources, len(uses))
	if dominantShare(uses[0].Least, whole, whole) > 1/float64(len(uses)) {
		lowest[0] = minOfEach(uses[0].Used.Add(uses[0].Least), whole)
	}
	low, high := 0.0, 1.0
	if !sumAt(uses, lowest, whole, high).Fits(whole) {
		for range shareSearchSteps {
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
		levels[i] = maxOfEach(lowest[i], u.wholeSteps(u.demandCappedAt(whole, high)))
		rest = rest.Sub(levels[i])
	}
	for i, u := range uses {
		next := levels[i].Add(u.Least)
		if u.Least != noResources && u.Used.Fits(levels[i]) && next.Fits(u.demand()) && u.Least.Fits(rest) {
			levels[i], rest = next, rest.Sub(u.Least)
		}
	}
	return levels
}

// shareSearchSteps is the number of bisection steps in the search for the equal
// share.
const shareSearchSteps = 20

func (u *ledgerUse) demand() infra.Resources { return u.Used.Add(u.Wanted) }

// demandCappedAt is a home's demand, limited to a share of the whole.
func (u *ledgerUse) demandCappedAt(whole infra.Resources, share float64) infra.Resources {
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
		sum = sum.Add(maxOfEach(lowest[i], u.demandCappedAt(whole, share)))
	}
	return sum
}

// wholeSteps rounds a level down to the usage plus a number of whole tasks or
// gangs.
func (u *ledgerUse) wholeSteps(level infra.Resources) infra.Resources {
	if !u.Used.Fits(level) {
		return level
	}
	return u.Used.Add(times(u.Least, stepsThatFit(level.Sub(u.Used), u.Least)))
}

// stepsThatFit is how often a step fits into the free resources.
func stepsThatFit(free, step infra.Resources) int {
	n := int64(-1)
	for _, d := range [][2]int64{{free.MilliCPU, step.MilliCPU}, {free.MemoryMiB, step.MemoryMiB}, {free.Accelerators, step.Accelerators}} {
		if d[1] > 0 && (n < 0 || d[0]/d[1] < n) {
			n = d[0] / d[1]
		}
	}
	return max(0, int(n))
}

func maxOfEach(a, b infra.Resources) infra.Resources {
	return infra.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators)}
}

func minOfEach(a, b infra.Resources) infra.Resources {
	return infra.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMiB: min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators)}
}

// excess is the amount by which a exceeds b.
func excess(a, b infra.Resources) infra.Resources { return maxOfEach(a, b).Sub(b) }
