package pool

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
	"github.com/knapweedweir/knapweedweir/pool/capload"
)

// OrganisationsChanged replaces the organisations.
type OrganisationsChanged struct {
	Organisations map[string]organisation.Organisation
}

// CapShareRootKnown reports which pool held all shares of all caps at first.
type CapShareRootKnown struct{ Pool int }

// CapShareStored restores the pool's shares of a cap as a predecessor stored them.
type CapShareStored struct{ Record capshare.Record }

// CapShareOffered is a message from the owner of another pool.
type CapShareOffered struct{ Offer capshare.Offer }

func (OrganisationsChanged) event() {}
func (CapShareRootKnown) event()    {}
func (CapShareStored) event()       {}
func (CapShareOffered) event()      {}

// organisations is what an owner knows about the organisations and their caps.
type organisations struct {
	byName map[string]organisation.Organisation
	ledger *capshare.Ledger
	// use is what the runs of each organisation's tasks use, urgent the same by priority.
	use    map[string]organisation.Amounts
	urgent map[string]*urgentUse
	// weights tell which jobs are within their organisations' weights.
	weights map[string]*organisation.WeightBucket
	// inheritedUse is what a predecessor's runs may use that this owner doesn't know of, as of this
	// pass.
	inheritedUse map[string]organisation.Amounts
	// inheritedUseAt is when it was estimated, and inheritedUseFinal set once nothing is unknown any more.
	inheritedUseAt    time.Duration
	inheritedUseFinal bool
	// heldBack is set for the resources that an organisation's less urgent steps leave to a step that
	// waits for the cap, as of the last pass.
	heldBack map[string][organisation.Resources]bool
	// waiting are the steps that wait for a cap as of the last pass, the most urgent one of each
	// organisation.
	waiting map[string]*step
	// idle is what other pools reported that they don't use of the caps.
	idle         capload.Idle
	exchangedAt  time.Duration
	exchangeSoon bool // other pools can be told of new gifts
}

func newOrganisations(pool int) organisations {
	return organisations{
		ledger: capshare.New(pool), use: map[string]organisation.Amounts{}, urgent: map[string]*urgentUse{}, weights: map[string]*organisation.WeightBucket{},
		heldBack: map[string][organisation.Resources]bool{}, waiting: map[string]*step{},
	}
}

// Amounts returns the resources as amounts of a cap.
func (r Resources) Amounts() organisation.Amounts {
	return organisation.Amounts{organisation.CPU: int64(r.CPU), organisation.Mem: int64(r.Mem), organisation.GPU: int64(r.GPU)}
}

func (c *Core) organisationsChanged(e OrganisationsChanged) {
	c.orgs.byName = e.Organisations
	caps := map[string]organisation.Amounts{}
	for name, o := range e.Organisations {
		caps[name] = o.Cap
	}
	c.orgs.ledger.SetCaps(caps)
	c.replan, c.retryAllSteps = true, true
}

// countUse adds the use of a run to that of its organisation, or subtracts it.
func (c *Core) countUse(r *run, sign int64) {
	j := r.task.step.job
	if j.Organisation == "" {
		return
	}
	amounts := r.task.step.spec.countedUse().Times(sign)
	c.urgentUse(j.Organisation).count(c.now, r.priority, amounts)
	sum := c.orgs.use[j.Organisation].Plus(amounts)
	if sum == (organisation.Amounts{}) {
		delete(c.orgs.use, j.Organisation)
		return
	}
	c.orgs.use[j.Organisation] = sum
}

// usedBy returns what an organisation uses in this pool, as far as its tasks may run.
func (c *Core) usedBy(org string) organisation.Amounts {
	return c.orgs.use[org].Plus(c.orgs.inheritedUse[org])
}
