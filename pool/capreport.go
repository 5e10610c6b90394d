package pool

import (
	"maps"
	"math"
	"slices"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
)

// CapReport is the state of an organisation's cap in one pool, for operators. The amounts are in
// thousandths of a core, megabytes and accelerators.
type CapReport struct {
	Organisation string               `json:"organisation"`
	Weight       int                  `json:"weight"`
	Cap          organisation.Amounts `json:"cap"` // over all pools; 0: no limit
	// Share is the part of the cap that the pool holds, from 0 to 1, and Level the amounts that it
	// allows; 0: no limit.
	Share [organisation.Resources]float64 `json:"share"`
	Level organisation.Amounts            `json:"level"`
	Used  organisation.Amounts            `json:"used"`
	// MayBeUsed is what a predecessor's runs may use that aren't known yet.
	MayBeUsed organisation.Amounts `json:"mayBeUsed"`
	// WaitingJob is the most urgent job that waits for the cap; empty: none does.
	WaitingJob string `json:"waitingJob,omitempty"`
}

// CapReports returns the state of all caps in this pool, by organisation.
func (c *Core) CapReports() []CapReport {
	reports := []CapReport{}
	for _, name := range slices.Sorted(maps.Keys(c.orgs.byName)) {
		o := c.orgs.byName[name]
		if !c.orgs.ledger.IsLimited(name) {
			continue
		}
		r := CapReport{Organisation: name, Weight: o.Weight, Cap: o.Cap, Level: c.orgs.ledger.Level(name), Used: c.orgs.use[name], MayBeUsed: c.orgs.inheritedUse[name]}
		for res, held := range c.orgs.ledger.Held(name) {
			r.Share[res] = float64(held) / capshare.Whole
			if r.Level[res] == math.MaxInt64 {
				r.Level[res] = 0
			}
		}
		if s := c.orgs.waiting[name]; s != nil {
			r.WaitingJob = s.job.ID
		}
		reports = append(reports, r)
	}
	return reports
}
