package experiment

import (
	"runtime"
	"time"
)

// stepTime is the time resolution of the simulation.
const stepTime = 50 * time.Millisecond

// Run simulates every policy with the same jobs. Without baselines only the
// real scheduler runs.
func Run(c Cell, load Workload, withBaselines bool) []Result {
	var results []Result
	if withBaselines {
		for _, p := range baselines(load.Seed) {
			results = append(results, runPolicy(c, load, func(*simulation) policy { return p }))
		}
	}
	return append(results, runPolicy(c, load, func(s *simulation) policy { return newSchedulerPolicy(s) }))
}

func runPolicy(c Cell, load Workload, make func(*simulation) policy) Result {
	s := newSimulation(c, load)
	jobs := records(GenerateJobs(c, load))
	before := heap()
	p := make(s)
	next := 0
	for s.now = stepTime; s.now < load.Duration; s.now += stepTime {
		first := next
		for next < len(jobs) && jobs[next].ArrivesAt <= s.now {
			next++
		}
		if pr, ok := p.(*schedulerPolicy); ok {
			pr.now = s.now
		}
		p.submit(jobs[first:next])
		p.step(s)
		if s.now >= load.warmUp() {
			s.measure(stepTime)
		}
	}
	r := Result{Cell: c.Name, Policy: p.name(), Workload: load, Starts: s.starts, Overcommits: s.overcommits}
	r.Waits, r.Tasks, r.Unstarted = waits(jobs, s.now, load)
	r.Packing = s.packing() / min(1, load.OfferedShare)
	if pr, ok := p.(*schedulerPolicy); ok {
		r.Decision = quantiles(pr.cost.decisions)
		starts := time.Duration(max(1, s.starts))
		r.Deciding, r.Syncing, r.Digesting = pr.cost.deciding/starts, pr.cost.syncing/starts, pr.cost.digesting/starts
		r.GivenUp = pr.cost.givenUp
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
