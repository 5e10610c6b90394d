package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// QuotaConfig is the timing of the quota protocol between homes and ledgers.
type QuotaConfig struct {
	// ReportInterval is the minimum time between two reports of a home to one
	// ledger.
	ReportInterval time.Duration
	// RetryInterval is the time after which an unanswered message is sent
	// again.
	RetryInterval time.Duration
	// RebalanceInterval is the minimum time between two recalculations of a
	// team's levels.
	RebalanceInterval time.Duration
	// IdleTimeout is how long a home keeps a level that it does not use.
	IdleTimeout time.Duration
}

// DefaultQuotaConfig is meant for a cell on one site.
var DefaultQuotaConfig = QuotaConfig{
	ReportInterval:    100 * time.Millisecond,
	RebalanceInterval: 100 * time.Millisecond,
	RetryInterval:     time.Second,
	IdleTimeout:       3 * time.Second,
}

// LedgerOf returns the home whose owner keeps a team's ledger, the only place
// where the team's quota is divided among the homes of its jobs.
func LedgerOf(team string) ownership.Unit {
	return ownership.HomeUnit(int(xxhash.Sum64String("team/"+team) % ownership.HomeSlots))
}

// TeamUse is a team's usage and demand in one home.
type TeamUse struct {
	Team string
	// Grant is the sequence of the newest grant that the home has applied;
	// Level is the limit that the home observes until it applies a newer one.
	Grant uint64
	Level infra.Resources
	Used  infra.Resources
	// Wanted is the total need of the tasks that wait for quota; Least is the
	// need of the first task or gang among them, accepted at Since.
	Wanted infra.Resources
	Least  infra.Resources
	Since  infra.Offset
	Urgent bool
}

// QuotaReport tells a ledger the usage and the demand of all its teams in a
// home. A team that is not listed uses nothing.
type QuotaReport struct {
	Ledger, Home ownership.Unit
	// HomeEpoch and Sequence order the reports of a home.
	HomeEpoch infra.Offset
	Sequence  uint64
	// LedgerEpoch is the newest ledger owner known to the home, which no longer
	// accepts grants of older ones.
	LedgerEpoch infra.Offset
	Teams       []TeamUse
}

// QuotaGrant sets the limit up to which a home may use a team's quota.
type QuotaGrant struct {
	Home, Ledger ownership.Unit
	LedgerEpoch  infra.Offset
	HomeEpoch    infra.Offset
	Sequence     uint64
	Team         string
	Level        infra.Resources
	// Own is the part of the level that the team's quota covers; tasks above it
	// use borrowed capacity and are displaced first.
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

// allowance is the part of a team's quota granted to a home.
type allowance struct {
	grant     uint64
	level     infra.Resources
	own       infra.Resources
	idleSince time.Duration
	// unconfirmed is set until the ledger has been told about the newest grant.
	unconfirmed bool
}

// unlimited is the limit in a dimension without quota.
const unlimited = int64(1) << 50

// limits returns quota plus borrow, with unlimited for the dimensions without
// quota.
func limits(quota, borrow infra.Resources) infra.Resources {
	open := func(q, b int64) int64 {
		if q == 0 {
			return unlimited
		}
		return q + b
	}
	return infra.Resources{MilliCPU: open(quota.MilliCPU, borrow.MilliCPU), MemoryMiB: open(quota.MemoryMiB, borrow.MemoryMiB),
		Accelerators: open(quota.Accelerators, borrow.Accelerators)}
}

// limited sets the dimensions to zero that a quota does not limit.
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

var noResources infra.Resources

// admit returns the reason why a team can't use more, or WaitNone.
func (h *Home) admit(now time.Duration, c *class, need infra.Resources) WaitReason {
	t := c.team
	if t.quota == noResources {
		return WaitNone
	}
	if !need.Fits(limits(t.quota, t.borrow)) {
		return WaitOverQuota
	}
	if h.withinLevel(t, need) && !h.isQuotaReserved(now, c) {
		return WaitNone
	}
	h.reports.reportSoon(t)
	return WaitQuota
}

func (h *Home) withinLevel(t *homeTeam, need infra.Resources) bool {
	return t.quota == noResources || limited(t.used.Add(need), t.quota).Fits(t.level)
}

// isQuotaReserved reports whether the rest of the quota is reserved for work
// that comes first and has waited long. Otherwise small tasks of this home
// would use each part that becomes free, and a gang of the same team would
// never get its total.
func (h *Home) isQuotaReserved(now time.Duration, c *class) bool {
	for _, o := range c.team.allClasses {
		if o != c && o.blocked == WaitQuota && o.before(c) && now-o.first.addedAt >= h.cfg.ReserveAfter {
			return true
		}
	}
	return false
}

// isBorrowing reports whether a team uses more than its own part of the level.
func (h *Home) isBorrowing(t *homeTeam) bool {
	return t.borrow != noResources && !limited(t.used, t.quota).Fits(t.own)
}

// reporter holds the state of a home's reports to the ledgers.
type reporter struct {
	cfg         QuotaConfig
	ledgers     map[ownership.Unit]*ledgerState
	due         []ownership.Unit
	nextCheckAt time.Duration
}

type ledgerState struct {
	epoch    infra.Offset
	sequence uint64
	sentAt   time.Duration
	sent     bool
	dirty    bool
	teams    map[string]*homeTeam
}

func newReporter(cfg QuotaConfig) reporter {
	return reporter{cfg: cfg, ledgers: map[ownership.Unit]*ledgerState{}}
}

func (r *reporter) state(u ownership.Unit) *ledgerState {
	l, ok := r.ledgers[u]
	if !ok {
		l = &ledgerState{teams: map[string]*homeTeam{}}
		r.ledgers[u] = l
	}
	return l
}

// reportSoon schedules a report to a team's ledger.
func (r *reporter) reportSoon(t *homeTeam) {
	u := LedgerOf(t.name)
	r.markDue(u, r.state(u))
}

func (r *reporter) markDue(u ownership.Unit, l *ledgerState) {
	if !l.dirty {
		l.dirty = true
		r.due = append(r.due, u)
	}
}

// exchangeQuota sends the reports that are due and the messages of the home's
// own ledger.
func (h *Home) exchangeQuota(now time.Duration) []Message {
	out := h.ledger.Step(now)
	if !h.collectDone {
		// The usage of a predecessor's tasks is not known yet. Meanwhile the
		// ledger counts everything it granted to the predecessor.
		return out
	}
	if now >= h.reports.nextCheckAt {
		h.reports.nextCheckAt = now + h.cfg.Quota.RetryInterval
		h.checkLevels(now)
	}
	due := h.reports.due
	h.reports.due = nil
	for _, u := range due {
		l := h.reports.ledgers[u]
		if l.sent && now-l.sentAt < h.cfg.Quota.ReportInterval {
			h.reports.due = append(h.reports.due, u)
			continue
		}
		l.dirty = false
		out = append(out, h.report(now, u, l))
	}
	return out
}

// checkLevels returns unused levels and reports waiting demand again in case a
// report was lost.
func (h *Home) checkLevels(now time.Duration) {
	for _, u := range sortedKeys(h.reports.ledgers) {
		l := h.reports.ledgers[u]
		for _, name := range sortedKeys(l.teams) {
			if t := l.teams[name]; h.returnUnusedLevel(now, t) || t.unconfirmed || t.waitsForQuota() {
				h.reports.markDue(u, l)
			}
		}
	}
}

func (h *Home) returnUnusedLevel(now time.Duration, t *homeTeam) bool {
	used := limited(t.used, t.quota)
	if t.wanted != noResources || t.level == used || t.quota == noResources {
		t.idleSince = now
		return false
	}
	if !used.Fits(t.level) {
		// Usage exceeds the level: it was lowered while tasks ran. The ledger
		// is told as they end.
		return true
	}
	if now-t.idleSince < h.cfg.Quota.IdleTimeout {
		return false
	}
	t.level, t.idleSince = used, now
	return true
}

func (t *homeTeam) waitsForQuota() bool {
	for _, c := range t.allClasses {
		if c.blocked == WaitQuota {
			return true
		}
	}
	return false
}

func (h *Home) report(now time.Duration, u ownership.Unit, l *ledgerState) Message {
	l.sequence++
	l.sentAt, l.sent = now, true
	m := QuotaReport{Ledger: u, Home: h.unit, HomeEpoch: h.epoch, Sequence: l.sequence, LedgerEpoch: l.epoch}
	for _, name := range sortedKeys(l.teams) {
		if t := l.teams[name]; t.quota != noResources && t.mustReport() {
			m.Teams = append(m.Teams, t.teamUse())
		}
	}
	return m
}

// mustReport reports whether a report must list the team.
func (t *homeTeam) mustReport() bool {
	return t.grant > 0 || t.used != noResources || t.wanted != noResources
}

func (t *homeTeam) teamUse() TeamUse {
	t.unconfirmed = false
	use := TeamUse{Team: t.name, Grant: t.grant, Level: t.level, Used: limited(t.used, t.quota)}
	var head *class
	for _, c := range t.allClasses {
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

// handleQuotaAsk schedules a report to a ledger and rejects grants of older
// owners from then on.
func (h *Home) handleQuotaAsk(m QuotaAsk) []Message {
	l := h.reports.state(m.Ledger)
	if m.LedgerEpoch < l.epoch {
		return nil
	}
	l.epoch = m.LedgerEpoch
	h.reports.markDue(m.Ledger, l)
	return nil
}

// handleQuotaGrant applies a level. A grant to a predecessor of this home does
// not apply: the predecessor may have used it until the shards fenced it out.
func (h *Home) handleQuotaGrant(now time.Duration, m QuotaGrant) {
	t := h.team(m.Team)
	l := h.reports.state(m.Ledger)
	if m.HomeEpoch != h.epoch || m.LedgerEpoch != l.epoch || m.Sequence <= t.grant {
		return
	}
	lowered := excess(t.level, m.Level) != noResources
	t.grant, t.level, t.own, t.idleSince, t.unconfirmed = m.Sequence, m.Level, m.Own, now, true
	if lowered {
		// Another home waits for the difference; a higher level can be
		// confirmed with the next report.
		h.reports.reportSoon(t)
	}
	h.queue.unblockTeam(t)
}
