package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool/fairshare"
)

// maxTurn is how long a step that can't earn anything any more may be first without starting, for instance
// because no allowed worker is large enough. Then it is the turn of the next one.
const maxTurn = 5 * time.Second

// shares decides the order of steps among organisations, and the turns of jobs that can't earn anything.
type shares struct {
	capacity fairshare.Capacity
	turns    fairshare.Turns
	// turnOf is the step that has its turn, since turnSince; nil: none has.
	turnOf    *step
	turnSince time.Duration
}

// flowOf returns the name under which a job's work counts: its organisation, or empty for jobs without one
// and for those of organisations that are no longer configured.
func (c *Core) flowOf(j *job) string {
	if _, known := c.orgs.byName[j.Organisation]; known {
		return j.Organisation
	}
	return ""
}

// meanWeight returns the mean weight of the organisations that have one, and 1 if none has.
func (c *Core) meanWeight() float64 {
	sum, count := 0, 0
	for _, o := range c.orgs.byName {
		if o.Weight > 0 {
			sum, count = sum+o.Weight, count+1
		}
	}
	if count == 0 {
		return 1
	}
	return float64(sum) / float64(count)
}

// relativeWeight returns the weight of a flow relative to the mean one. Jobs without an organisation
// together count as one of mean weight: with none, callers without a key would never be served in
// overload, and with more they would displace organisations.
func (c *Core) relativeWeight(flow string) float64 {
	if flow == "" {
		return 1
	}
	return float64(c.orgs.byName[flow].Weight) / c.meanWeight()
}

// resetShares begins a pass over the waiting steps: the shares are those of the organisations that use
// the pool or wait for it.
func (c *Core) resetShares(rated []ratedStep) {
	var total, used organisation.Amounts
	for _, w := range c.workerList {
		if w.listed {
			total = total.Plus(w.Capacity.Amounts())
		}
		used = used.Plus(w.used.Amounts())
	}
	waits := map[string]bool{}
	for i := range rated {
		waits[c.flowOf(rated[i].step.job)] = true
	}
	c.shares.capacity.Reset(total)
	for name, o := range c.orgs.byName {
		use := c.usedBy(name)
		used = used.Minus(c.orgs.use[name])
		if waits[name] || use != (organisation.Amounts{}) {
			c.shares.capacity.Set(name, float64(o.Weight), use)
		}
	}
	for r := range used {
		used[r] = max(0, used[r]) // best-effort tasks count more than they reserve
	}
	if waits[""] || used != (organisation.Amounts{}) {
		c.shares.capacity.Set("", c.meanWeight(), used)
	}
}

// orderByShares orders sorted steps of equal tier and priority by the shares of their organisations.
func (c *Core) orderByShares(rated []ratedStep) {
	if len(c.orgs.byName) == 0 || len(rated) == 0 {
		return
	}
	c.resetShares(rated)
	for len(rated) > 0 {
		n := 1
		for n < len(rated) && rated[n].compareRank(rated[0].urgency) == 0 {
			n++
		}
		c.orderByShare(rated[:n])
		rated = rated[n:]
	}
}

// orderByShare orders steps of equal tier and priority, which are sorted by urgency, by the shares of their
// organisations.
func (c *Core) orderByShare(rated []ratedStep) {
	first := c.flowOf(rated[0].step.job)
	if !slices.ContainsFunc(rated, func(r ratedStep) bool { return c.flowOf(r.step.job) != first }) {
		for i := range rated {
			c.shares.capacity.Charge(first, rated[i].step.claim())
		}
		return
	}
	for i := range rated {
		r := &rated[i]
		r.excess = c.shares.capacity.Charge(c.flowOf(r.step.job), r.step.claim())
		r.step.urgency.excess = r.excess
	}
	slices.SortStableFunc(rated, func(a, b ratedStep) int { return a.compare(b.urgency) })
}

// claim returns what a step's waiting tasks would take if they started now. It is nothing while the step
// waits for advice: counted as taken, it would put the organisation's other steps behind.
func (s *step) claim() organisation.Amounts {
	if s.advice.pending {
		return organisation.Amounts{}
	}
	waiting := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			waiting++
		}
	}
	return s.spec.Reserved().Amounts().Times(int64(waiting))
}

// work returns the core-seconds that a number of the step's tasks take by the job's estimate.
func (s *step) work(tasks int) float64 { return s.spec.work(tasks) }

func (s *StepSpec) work(tasks int) float64 {
	return float64(tasks) * float64(max(1, s.Need.CPU)) / 1000 * float64(s.EstimateMs) / 1000
}

// work returns the core-seconds of an occurrence of the job, by the estimates.
func (j *Job) work() (sum float64) {
	for i := range j.Steps {
		sum += j.Steps[i].work(j.Steps[i].Count)
	}
	return sum
}

// remainingWork returns the core-seconds of the occurrence's tasks that aren't done, by their estimates.
func (o *occurrence) remainingWork() float64 {
	if o.workLeft != unknownWork {
		return o.workLeft
	}
	sum := 0.0
	for _, s := range o.steps {
		if s.remaining > 0 {
			sum += s.work(s.remaining)
		}
	}
	o.workLeft = sum
	return sum
}

// giveTurn puts one of the steps that can't earn anything any more first if it has its turn: the one whose
// last turn was longest ago, and of these the one that was due first.
func (c *Core) giveTurn(rated []ratedStep) {
	sh := &c.shares
	if sh.turnOf != nil && c.now-sh.turnSince > maxTurn {
		c.endTurn()
	}
	var next *ratedStep
	found := sh.turnOf == nil
	for i := range rated {
		r := &rated[i]
		if r.tier != Worthless {
			continue
		}
		if r.step == sh.turnOf {
			next, found = r, true
			break
		}
		if next == nil || cmp.Or(cmp.Compare(r.step.turnAt, next.step.turnAt), cmp.Compare(r.due, next.due)) < 0 {
			next = r
		}
	}
	if next == nil || !found || sh.turnOf != next.step && !sh.turns.Due(next.step.work(next.step.remaining)) {
		return
	}
	if sh.turnOf != next.step {
		sh.turnOf, sh.turnSince = next.step, c.now
		c.emit(LogEntry{Event: "step.turn", Job: next.step.job.ID, Reason: "it can't earn anything any more and has waited for its share of the work", Waited: c.now - next.step.readySince})
	}
	next.turn, next.step.urgency.turn = true, true
}

func (c *Core) endTurn() {
	c.shares.turnOf.turnAt = c.now
	c.shares.turnOf = nil
	c.shares.turns.Take()
}

// countStart counts a run that exists from now on.
func (c *Core) countStart(s *step) {
	if s == c.shares.turnOf {
		c.endTurn()
		return
	}
	c.shares.turns.Count(s.work(1))
}

// nearlyDoneShare is the share of a started job's work that may remain if it is to be finished before jobs that
// are on time, at its priority. A late job earns a fifth of its value, so it earns as much for its remaining
// work as one that is on time. If all started jobs past their objectives went first, those of the grown
// wholesaler earned 0.884 in place of 0.891 (kw-pool-load -shape grown, 4 simulations).
const nearlyDoneShare = 0.2

// nearlyDone reports whether at most nearlyDoneShare of a started occurrence's work remains.
func (o *occurrence) nearlyDone() bool {
	if !o.started {
		return false
	}
	return o.remainingWork() <= nearlyDoneShare*o.steps[0].job.work
}

// shareWait sums up the waiting steps of an organisation.
type shareWait struct {
	steps  int
	oldest *step
}

// logShares logs for each organisation with steps that have waited for long its use, its share and what the
// oldest of them waits for.
func (c *Core) logShares(takenOver bool) {
	if len(c.orgs.byName) == 0 {
		return
	}
	waits := map[string]*shareWait{}
	for _, j := range c.activeJobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if s.ready && s.remaining > 0 && c.now-s.readySince >= minLoggedWait {
					w := waits[c.flowOf(j)]
					if w == nil {
						w = &shareWait{oldest: s}
						waits[c.flowOf(j)] = w
					}
					w.steps++
					if s.readySince < w.oldest.readySince {
						w.oldest = s
					}
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(waits)) {
		w := waits[name]
		reason := c.waitReason(w.oldest, takenOver)
		if reason == "" {
			continue
		}
		used, share := c.shares.capacity.Use(name)
		c.emit(LogEntry{Event: "organisation.share", Job: w.oldest.job.ID, Organisation: name, Used: used, Share: share, Steps: w.steps,
			Reason: fmt.Sprintf("waits for %s; its organisation has claimed %.2f of the room, its share is %.2f", reason, used, share), Waited: c.now - w.oldest.readySince})
	}
}
