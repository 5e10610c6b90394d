package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// policy places work on a site. It is called once each step of time.
type policy interface {
	name() string
	arrive(jobs []*jobRecord)
	step(s *site)
}

// jobRecord is a job with its tasks.
type jobRecord struct {
	*Job
	tasks []*taskRecord
}

// queuePolicy is a baseline: one queue over all workers, without any delay. It
// knows at once what is free and which workers are bad only by failures.
type queuePolicy struct {
	title string
	// ordered sorts the queue by urgency, worth and age; otherwise by age.
	ordered bool
	// headOnly stops at the first job that does not fit.
	headOnly bool
	// displace lets urgent work stop other work.
	displace bool
	choose   func(s *site, need infra.Resources) *machine
	waiting  []*jobRecord
	// back are tasks that gave way or failed in this step.
	back    []*jobRecord
	changed bool
}

func firstFit(s *site, need infra.Resources) *machine {
	for _, m := range s.machines {
		if need.Fits(m.free()) {
			return m
		}
	}
	return nil
}

// bestFit leaves the least of the dominant resource, and keeps accelerators.
func bestFit(s *site, need infra.Resources) *machine {
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

func randomOfTwo(rng *rand.Rand) func(*site, infra.Resources) *machine {
	return func(s *site, need infra.Resources) *machine {
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

func (q *queuePolicy) arrive(jobs []*jobRecord) {
	q.waiting, q.changed = append(q.waiting, jobs...), true
}

func rank(j *jobRecord) int {
	if j.Urgent {
		return 100
	}
	return j.Worth
}

func (q *queuePolicy) step(s *site) {
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
			return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Arrive, b.Arrive))
		})
	}
	var failed []infra.Resources
	kept := q.waiting[:0:0]
	for i, j := range q.waiting {
		if hopeless(failed, j.Need) && !(j.Urgent && q.displace) {
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
	q.changed = q.changed || len(q.back) > 0
	q.waiting = append(kept, q.back...)
	q.back = q.back[:0]
}

func hopeless(failed []infra.Resources, need infra.Resources) bool {
	for _, f := range failed {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

// start places the tasks of a job and returns those that found no room. A gang
// starts whole or not at all.
func (q *queuePolicy) start(s *site, j *jobRecord) []*taskRecord {
	var machines []*machine
	for range j.tasks {
		m := q.choose(s, j.Need)
		if m == nil && j.Urgent && q.displace {
			m = q.makeRoom(s, j)
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

// makeRoom stops the tasks of least worth on the machine where that is least.
func (q *queuePolicy) makeRoom(s *site, j *jobRecord) *machine {
	var best *machine
	var bestVictims []*running
	bestCost := 0.0
	for _, m := range s.machines {
		victims, cost := cheapest(s, m, j.Need)
		if victims != nil && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	for _, r := range bestVictims {
		s.stop(best, r)
		q.back = append(q.back, &jobRecord{r.task.job, []*taskRecord{r.task}})
	}
	return best
}

func cheapest(s *site, m *machine, need infra.Resources) ([]*running, float64) {
	if !need.Fits(m.Capacity) {
		return nil, 0
	}
	list := make([]*running, 0, len(m.tasks))
	for _, r := range m.tasks {
		if !r.task.job.Urgent && r.task.job.Kind == placement.Batch {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *running) int { return cmp.Compare(lost(s, a), lost(s, b)) })
	room, cost := m.free(), 0.0
	for i, r := range list {
		if need.Fits(room) {
			return list[:i], cost
		}
		room, cost = room.Add(r.need), cost+lost(s, r)
	}
	if !need.Fits(room) {
		return nil, 0
	}
	return list, cost
}

func lost(s *site, r *running) float64 {
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
