package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// QuotaConfig is the timing of the exchange about quotas.
type QuotaConfig struct {
	// ReportEvery is the shortest time between two reports of a home to one
	// ledger.
	ReportEvery time.Duration
	// AskAgain is how long an unanswered message waits before it is repeated.
	AskAgain time.Duration
	// ShareEvery is the shortest time between two settings of a team's levels.
	ShareEvery time.Duration
	// IdleFor is how long a home keeps a level that it does not use.
	IdleFor time.Duration
}

// DefaultQuotaConfig suits a cell on one site.
var DefaultQuotaConfig = QuotaConfig{
	ReportEvery: 100 * time.Millisecond,
	ShareEvery:  100 * time.Millisecond,
	AskAgain:    time.Second,
	IdleFor:     3 * time.Second,
}

// LedgerOf returns the home whose owner keeps a team's ledger: the only place
// where the team's quota is given out to the homes of its jobs.
func LedgerOf(team string) ownership.Unit {
	return ownership.HomeUnit(int(xxhash.Sum64String("team/"+team) % ownership.HomeSlots))
}

// TeamUse is what one home uses and wants of a team's quota.
type TeamUse struct {
	Team string
	// Grant is the sequence of the newest grant that the home has taken in, and
	// Level what it will not go above until a newer one.
	Grant uint64
	Level infra.Resources
	Used  infra.Resources
	// Wanted is the need of what waits for quota; Least that of the first task
	// or gang to go, accepted at Since.
	Wanted infra.Resources
	Least  infra.Resources
	Since  infra.Offset
	Urgent bool
}

// QuotaReport tells a ledger all that a home uses and wants of its teams. A team
// that is not named is not used.
type QuotaReport struct {
	Ledger, Home ownership.Unit
	// HomeEpoch and Sequence order the reports of a home.
	HomeEpoch infra.Offset
	Sequence  uint64
	// LedgerEpoch is the newest ledger owner the home has heard of: it takes
	// no grants of older ones any more.
	LedgerEpoch infra.Offset
	Teams       []TeamUse
}

// QuotaGrant sets the level up to which a home may use a team's quota.
type QuotaGrant struct {
	Home, Ledger ownership.Unit
	LedgerEpoch  infra.Offset
	HomeEpoch    infra.Offset
	Sequence     uint64
	Team         string
	Level        infra.Resources
	// Own is the part of the level that the team's quota covers; tasks above it
	// use what others leave and give way first.
	Own infra.Resources
}

// QuotaAsk asks a home for a report.
type QuotaAsk struct {
	Home, Ledger ownership.Unit
	LedgerEpoch  infra.Offset
}

// To implements Message.
func (m QuotaReport) To() ownership.Unit { return m.Ledger }

// To implements Message.
func (m QuotaGrant) To() ownership.Unit { return m.Home }

// To implements Message.
func (m QuotaAsk) To() ownership.Unit { return m.Home }

// allowance is what a home may use of a team's quota.
type allowance struct {
	grant     uint64
	level     infra.Resources
	own       infra.Resources
	idleSince time.Duration
	// unconfirmed is set while the ledger has not been told of the newest grant.
	unconfirmed bool
}

// noLimit stands for a dimension without quota.
const noLimit = int64(1) << 50

// limits returns a quota with the dimensions that it does not limit opened.
func limits(quota, borrow infra.Resources) infra.Resources {
	open := func(q, b int64) int64 {
		if q == 0 {
			return noLimit
		}
		return q + b
	}
	return infra.Resources{MilliCPU: open(quota.MilliCPU, borrow.MilliCPU), MemoryMiB: open(quota.MemoryMiB, borrow.MemoryMiB),
		Accelerators: open(quota.Accelerators, borrow.Accelerators)}
}

// limited drops the dimensions that a quota does not limit.
func limited(r, quota infra.Resources) infra.Resources {
	if quota.MilliCPU == 0 {
		r.MilliCPU = 0
	}
	if quota.MemoryMiB == 0 {
		r.MemoryMiB = 0
	}
	if quota.Accelerators == 0 {
		r.Accelerators = 0
	}
	return r
}

var nothing infra.Resources

// admit reports what keeps a team from using more, if anything does.
func (h *Home) admit(now time.Duration, c *class, need infra.Resources) WaitReason {
	t := c.team
	if t.quota == nothing {
		return WaitNothing
	}
	if !need.Fits(limits(t.quota, t.borrow)) {
		return WaitOverQuota
	}
	if h.withinLevel(t, need) && !h.keptFor(now, c) {
		return WaitNothing
	}
	h.reports.changed(t)
	return WaitQuota
}

func (h *Home) withinLevel(t *homeTeam, need infra.Resources) bool {
	return t.quota == nothing || limited(t.used.Add(need), t.quota).Fits(t.level)
}

// keptFor reports whether what is left of the quota is kept for work that goes
// first and has waited long. Without it small tasks of this home use up each part
// that comes free, and a gang of the same team never gets its sum together.
func (h *Home) keptFor(now time.Duration, c *class) bool {
	for _, o := range c.team.all {
		if o != c && o.blocked == WaitQuota && o.before(c) && now-o.first.since >= h.cfg.ReserveAfter {
			return true
		}
	}
	return false
}

// borrows reports whether a team uses more than its own part of the level.
func (h *Home) borrows(t *homeTeam) bool {
	return t.borrow != nothing && !limited(t.used, t.quota).Fits(t.own)
}

// reporter keeps what a home has told the ledgers.
type reporter struct {
	cfg     QuotaConfig
	ledgers map[ownership.Unit]*ledgerLink
	due     []ownership.Unit
	checkAt time.Duration
}

type ledgerLink struct {
	epoch    infra.Offset
	sequence uint64
	sentAt   time.Duration
	sent     bool
	dirty    bool
	teams    map[string]*homeTeam
}

func newReporter(cfg QuotaConfig) reporter {
	return reporter{cfg: cfg, ledgers: map[ownership.Unit]*ledgerLink{}}
}

func (r *reporter) link(u ownership.Unit) *ledgerLink {
	l, ok := r.ledgers[u]
	if !ok {
		l = &ledgerLink{teams: map[string]*homeTeam{}}
		r.ledgers[u] = l
	}
	return l
}

// changed has a team's ledger told soon.
func (r *reporter) changed(t *homeTeam) {
	u := LedgerOf(t.name)
	r.mark(u, r.link(u))
}

func (r *reporter) mark(u ownership.Unit, l *ledgerLink) {
	if !l.dirty {
		l.dirty = true
		r.due = append(r.due, u)
	}
}

// exchangeQuota sends the reports that are due, and the ledger's own messages.
func (h *Home) exchangeQuota(now time.Duration) []Message {
	out := h.ledger.Step(now)
	if !h.complete {
		// What a predecessor's tasks use is not known yet. The ledger goes on
		// counting all it has granted to the predecessor.
		return out
	}
	if now >= h.reports.checkAt {
		h.reports.checkAt = now + h.cfg.Quota.AskAgain
		h.checkLevels(now)
	}
	due := h.reports.due
	h.reports.due = nil
	for _, u := range due {
		l := h.reports.ledgers[u]
		if l.sent && now-l.sentAt < h.cfg.Quota.ReportEvery {
			h.reports.due = append(h.reports.due, u)
			continue
		}
		l.dirty = false
		out = append(out, h.report(now, u, l))
	}
	return out
}

// checkLevels gives back levels that stand idle, and repeats reports of what
// still waits in case one was lost.
func (h *Home) checkLevels(now time.Duration) {
	for _, u := range sortedKeys(h.reports.ledgers) {
		l := h.reports.ledgers[u]
		for _, name := range sortedKeys(l.teams) {
			if t := l.teams[name]; h.giveBackIdle(now, t) || t.unconfirmed || t.waitsForQuota() {
				h.reports.mark(u, l)
			}
		}
	}
}

func (h *Home) giveBackIdle(now time.Duration, t *homeTeam) bool {
	used := limited(t.used, t.quota)
	if t.wanted != nothing || t.level == used || t.quota == nothing {
		t.idleSince = now
		return false
	}
	if !used.Fits(t.level) {
		// More runs than the level: it was taken back while tasks ran. The
		// ledger is told as they end.
		return true
	}
	if now-t.idleSince < h.cfg.Quota.IdleFor {
		return false
	}
	t.level, t.idleSince = used, now
	return true
}

func (t *homeTeam) waitsForQuota() bool {
	for _, c := range t.all {
		if c.blocked == WaitQuota {
			return true
		}
	}
	return false
}

func (h *Home) report(now time.Duration, u ownership.Unit, l *ledgerLink) Message {
	l.sequence++
	l.sentAt, l.sent = now, true
	m := QuotaReport{Ledger: u, Home: h.unit, HomeEpoch: h.epoch, Sequence: l.sequence, LedgerEpoch: l.epoch}
	for _, name := range sortedKeys(l.teams) {
		if t := l.teams[name]; t.quota != nothing && t.counts() {
			m.Teams = append(m.Teams, t.teamUse())
		}
	}
	return m
}

// counts reports whether a report must name the team.
func (t *homeTeam) counts() bool {
	return t.grant > 0 || t.used != nothing || t.wanted != nothing
}

func (t *homeTeam) teamUse() TeamUse {
	t.unconfirmed = false
	use := TeamUse{Team: t.name, Grant: t.grant, Level: t.level, Used: limited(t.used, t.quota)}
	var head *class
	for _, c := range t.all {
		if c.blocked == WaitQuota && (head == nil || c.before(head)) {
			head = c
		}
	}
	if head == nil {
		return use
	}
	use.Wanted = limited(t.wanted, t.quota)
	use.Least = limited(times(head.key.need, max(1, head.key.gang)), t.quota)
	use.Since, use.Urgent = head.first.Accepted, head.key.urgent
	return use
}

// quotaAsked answers a ledger, and takes no grants of older owners any more.
func (h *Home) quotaAsked(m QuotaAsk) []Message {
	l := h.reports.link(m.Ledger)
	if m.LedgerEpoch < l.epoch {
		return nil
	}
	l.epoch = m.LedgerEpoch
	h.reports.mark(m.Ledger, l)
	return nil
}

// quotaGranted takes in a level. A grant to a predecessor of this home is not
// this home's: the predecessor may have used it until the shards fenced it out.
func (h *Home) quotaGranted(now time.Duration, m QuotaGrant) {
	t := h.team(m.Team)
	l := h.reports.link(m.Ledger)
	if m.HomeEpoch != h.epoch || m.LedgerEpoch != l.epoch || m.Sequence <= t.grant {
		return
	}
	lowered := over(t.level, m.Level) != nothing
	t.grant, t.level, t.own, t.idleSince, t.unconfirmed = m.Sequence, m.Level, m.Own, now, true
	if lowered {
		// Another home waits for what is given back; a higher level can be
		// confirmed with the next report.
		h.reports.changed(t)
	}
	h.queue.wakeTeam(t)
}
