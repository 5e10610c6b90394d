package experiment

import (
	"runtime"
	"time"
)

// stepTime is the resolution of the experiments.
const stepTime = 50 * time.Millisecond

// Run lets every policy do the same work. Without baselines only the product runs.
func Run(c Cell, load Load, withBaselines bool) []Result {
	var results []Result
	if withBaselines {
		for _, p := range baselines(load.Seed) {
			results = append(results, runPolicy(c, load, func(*site) policy { return p }))
		}
	}
	return append(results, runPolicy(c, load, func(s *site) policy { return newProduct(s) }))
}

func runPolicy(c Cell, load Load, make func(*site) policy) Result {
	s := newSite(c, load)
	jobs := records(MakeWork(c, load))
	before := heap()
	p := make(s)
	next := 0
	for s.now = stepTime; s.now < load.For; s.now += stepTime {
		first := next
		for next < len(jobs) && jobs[next].Arrive <= s.now {
			next++
		}
		if pr, ok := p.(*product); ok {
			pr.now = s.now
		}
		p.arrive(jobs[first:next])
		p.step(s)
		if s.now >= load.warmUp() {
			s.measure(stepTime)
		}
	}
	r := Result{Cell: c.Name, Policy: p.name(), Load: load, Starts: s.starts, Overfill: s.overfill}
	r.Waits, r.Tasks, r.Unstarted = waits(jobs, s.now, load)
	r.Packing = s.packing() / min(1, load.Share)
	if pr, ok := p.(*product); ok {
		r.Decision = quantiles(pr.cost.decisions)
		starts := time.Duration(max(1, s.starts))
		r.Deciding, r.Syncing, r.Digesting = pr.cost.deciding/starts, pr.cost.syncing/starts, pr.cost.digesting/starts
		r.Given = pr.cost.given
		pr.cost, jobs = costs{}, nil
		held := heap()
		r.Heap = (held - min(before, held)) / uint64(len(c.Workers))
		runtime.KeepAlive(pr)
	}
	return r
}

func records(jobs []Job) []*jobRecord {
	list := make([]*jobRecord, len(jobs))
	for i := range jobs {
		list[i] = &jobRecord{Job: &jobs[i]}
		for k := range jobs[i].Tasks {
			list[i].tasks = append(list[i].tasks, &taskRecord{job: &jobs[i], index: k, left: jobs[i].Run})
		}
	}
	return list
}
