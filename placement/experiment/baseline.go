package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// policy places tasks on the simulated workers. It is called once in each time
// step.
type policy interface {
	name() string
	submit(jobs []*jobRecord)
	step(s *simulation)
}

// jobRecord is a job with its tasks.
type jobRecord struct {
	*Job
	tasks []*taskRecord
}

// queuePolicy is a baseline: one queue over all workers, without any delay. It
// knows all free capacity immediately; bad workers show only by their failures.
type queuePolicy struct {
	title string
	// ordered sorts the queue by urgency, value and age; otherwise by age.
	ordered bool
	// headOnly stops at the first job that does not fit.
	headOnly bool
	// displace lets urgent tasks stop others.
	displace bool
	choose   func(s *simulation, need infra.Resources) *machine
	waiting  []*jobRecord
	// requeued are tasks that were displaced in this step.
	requeued []*jobRecord
	changed  bool
}

func firstFit(s *simulation, need infra.Resources) *machine {
	for _, m := range s.machines {
		if need.Fits(m.free()) {
			return m
		}
	}
	return nil
}

// bestFit minimises what is left of the dominant resource, and avoids workers
// with accelerators for tasks that need none.
func bestFit(s *simulation, need infra.Resources) *machine {
	var best *machine
	var bestLeft float64
	for _, m := range s.machines {
		free := m.free()
		if !need.Fits(free) {
			continue
		}
		left := free.Sub(need)
		l := max(share(left.MilliCPU, m.Capacity.MilliCPU), share(left.MemoryMiB, m.Capacity.MemoryMiB))
		if need.Accelerators == 0 && m.Capacity.Accelerators > 0 {
			l += 8
		}
		if best == nil || l < bestLeft {
			best, bestLeft = m, l
		}
	}
	return best
}

func randomOfTwo(rng *rand.Rand) func(*simulation, infra.Resources) *machine {
	return func(s *simulation, need infra.Resources) *machine {
		a, b := s.machines[rng.IntN(len(s.machines))], s.machines[rng.IntN(len(s.machines))]
		if share(a.used.MilliCPU, a.Capacity.MilliCPU) > share(b.used.MilliCPU, b.Capacity.MilliCPU) {
			a, b = b, a
		}
		for _, m := range []*machine{a, b} {
			if need.Fits(m.free()) {
				return m
			}
		}
		return nil
	}
}

func (q *queuePolicy) name() string { return q.title }

func (q *queuePolicy) submit(jobs []*jobRecord) {
	q.waiting, q.changed = append(q.waiting, jobs...), true
}

func rank(j *jobRecord) int {
	if j.Urgent {
		return 100
	}
	return j.Value
}

func (q *queuePolicy) step(s *simulation) {
	for _, m := range s.machines {
		for _, r := range s.ended(m) {
			q.changed = true
			if r.fails {
				q.waiting = append(q.waiting, &jobRecord{r.task.job, []*taskRecord{r.task}})
			}
		}
	}
	if !q.changed {
		return
	}
	q.changed = q.title == titleRandom
	if q.ordered {
		slices.SortStableFunc(q.waiting, func(a, b *jobRecord) int {
			return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.ArrivesAt, b.ArrivesAt))
		})
	}
	var failed []infra.Resources
	kept := q.waiting[:0:0]
	for i, j := range q.waiting {
		if exceedsFailed(failed, j.Need) && !(j.Urgent && q.displace) {
			kept = append(kept, j)
			continue
		}
		if left := q.start(s, j); len(left) > 0 {
			kept = append(kept, &jobRecord{j.Job, left})
			if q.title != titleRandom {
				failed = append(failed, j.Need)
			}
			if q.headOnly {
				kept = append(kept, q.waiting[i+1:]...)
				break
			}
		}
	}
	q.changed = q.changed || len(q.requeued) > 0
	q.waiting = append(kept, q.requeued...)
	q.requeued = q.requeued[:0]
}

func exceedsFailed(failed []infra.Resources, need infra.Resources) bool {
	for _, f := range failed {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

// start places the tasks of a job and returns those that did not fit. A gang
// starts as a whole or not at all.
func (q *queuePolicy) start(s *simulation, j *jobRecord) []*taskRecord {
	var machines []*machine
	for range j.tasks {
		m := q.choose(s, j.Need)
		if m == nil && j.Urgent && q.displace {
			m = q.displaceFor(s, j)
		}
		if m == nil {
			break
		}
		m.used = m.used.Add(j.Need)
		machines = append(machines, m)
	}
	for _, m := range machines {
		m.used = m.used.Sub(j.Need)
	}
	if j.Kind == placement.Gang && len(machines) < len(j.tasks) {
		return j.tasks
	}
	for i, m := range machines {
		s.start(m, j.tasks[i])
	}
	return j.tasks[len(machines):]
}

// displaceFor stops tasks on the machine where that loses the least work.
func (q *queuePolicy) displaceFor(s *simulation, j *jobRecord) *machine {
	var best *machine
	var bestVictims []*running
	bestCost := 0.0
	for _, m := range s.machines {
		victims, cost := cheapestVictims(s, m, j.Need)
		if victims != nil && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	for _, r := range bestVictims {
		s.stop(best, r)
		q.requeued = append(q.requeued, &jobRecord{r.task.job, []*taskRecord{r.task}})
	}
	return best
}

func cheapestVictims(s *simulation, m *machine, need infra.Resources) ([]*running, float64) {
	if !need.Fits(m.Capacity) {
		return nil, 0
	}
	list := make([]*running, 0, len(m.tasks))
	for _, r := range m.tasks {
		if !r.task.job.Urgent && r.task.job.Kind == placement.Batch {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *running) int { return cmp.Compare(lostWork(s, a), lostWork(s, b)) })
	free, cost := m.free(), 0.0
	for i, r := range list {
		if need.Fits(free) {
			return list[:i], cost
		}
		free, cost = free.Add(r.need), cost+lostWork(s, r)
	}
	if !need.Fits(free) {
		return nil, 0
	}
	return list, cost
}

func lostWork(s *simulation, r *running) float64 {
	if r.task.job.Checkpointable {
		return 1
	}
	return 1 + (s.now - r.started).Seconds()
}

const titleRandom = "random of two"

func baselines(seed uint64) []policy {
	return []policy{
		&queuePolicy{title: "first-fit FIFO", headOnly: true, choose: firstFit},
		&queuePolicy{title: titleRandom, choose: randomOfTwo(rand.New(rand.NewPCG(seed, 14)))},
		&queuePolicy{title: "omniscient queue", ordered: true, displace: true, choose: bestFit},
	}
}
