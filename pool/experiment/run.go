package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// Result is the outcome of one simulation.
type Result struct {
	Queues map[string]*QueueResult
	// Organisations holds only the values; jobs without an organisation are under an empty name.
	Organisations map[string]*QueueResult
	// OfferedValue and EarnedValue are sums over all jobs.
	OfferedValue, EarnedValue float64
	// Utilization is the mean share of the processors in use while jobs arrive.
	Utilization        float64
	utilizationSamples int
	// WastedCoreSeconds is work that was lost with failed and stopped runs.
	WastedCoreSeconds      float64
	Starts, AdviceRequests int
	AdviceTime             time.Duration // busy time of the advice service
	// OverCapacityStarts counts starts beyond the free capacity of a worker. It must be 0.
	OverCapacityStarts int
	// JobOutcomes holds the outcome of each job by its ID.
	JobOutcomes map[string]JobOutcome
	// Saves is the number of saves, and SavedBytes the size of their records.
	Saves, SavedBytes int
	// CoreTime is the wall-clock time spent in the core.
	CoreTime time.Duration
}

// JobOutcome is the way in which a job ended for its caller.
type JobOutcome int

// The outcomes of a job.
const (
	// Unserved jobs were accepted, but ended too late to have any value, or never.
	Unserved JobOutcome = iota
	OnTime
	Late
	// Refused jobs were refused at each try.
	Refused
)

// WronglyRefused counts the jobs that were refused here and on time in a simulation of the same
// workload without refusals. It is an upper bound: there they may have been on time because
// others were not.
func (r *Result) WronglyRefused(acceptAll *Result) int {
	n := 0
	for id, outcome := range r.JobOutcomes {
		if outcome == Refused && acceptAll.JobOutcomes[id] == OnTime {
			n++
		}
	}
	return n
}

// Count returns the number of jobs with the given outcome.
func (r *Result) Count(outcome JobOutcome) int {
	n := 0
	for _, f := range r.JobOutcomes {
		if f == outcome {
			n++
		}
	}
	return n
}

// QueueResult is the outcome for the jobs of one queue.
type QueueResult struct {
	Jobs, OnTime, Late int
	// Refused jobs were refused at each try; Unserved jobs were accepted, but ended too late to
	// have any value, or never.
	Refused, Unserved         int
	OfferedValue, EarnedValue float64
	Durations                 []time.Duration
}

// Share returns the earned value as a share of the offered value.
func (r *Result) Share() float64 { return r.EarnedValue / r.OfferedValue }

// Share returns the earned value as a share of the offered value.
func (q *QueueResult) Share() float64 { return q.EarnedValue / q.OfferedValue }

func (r *Result) organisation(name string) *QueueResult {
	if r.Organisations[name] == nil {
		r.Organisations[name] = &QueueResult{}
	}
	return r.Organisations[name]
}

func (r *Result) recordEnd(j *plannedJob, took time.Duration) {
	q := r.Queues[j.kind.Name]
	earned := j.valueAfter(took)
	q.EarnedValue += earned
	r.organisation(j.Organisation).EarnedValue += earned
	r.EarnedValue += earned
	q.Durations = append(q.Durations, took)
	switch {
	case took <= j.objective:
		q.OnTime++
		r.JobOutcomes[j.ID] = OnTime
	case earned > 0:
		q.Late++
		r.JobOutcomes[j.ID] = Late
	}
}

// Simulate runs one simulation of a workload.
func Simulate(load Workload, seed uint64) Result {
	rng := newWorkloadRand(seed)
	sim := &simulation{workload: &load, now: simulationStart, jobs: map[string]*plannedJob{}, workers: map[string]*worker{}, seed: seed,
		result: Result{Queues: map[string]*QueueResult{}, Organisations: map[string]*QueueResult{}, JobOutcomes: map[string]JobOutcome{}}}
	sim.core = pool.New(pool.Settings{Token: 1, MaxLease: 10 * time.Second, StopTimeout: 200 * time.Millisecond, EndedRetention: time.Minute}, sim.now)
	sim.send(pool.Tick{UnixMs: sim.unixMs()})
	sim.send(pool.QueuesChanged{Queues: load.queues()})
	if organisations := load.organisations(); len(organisations) > 0 {
		sim.send(pool.OrganisationsChanged{Organisations: organisations})
		sim.send(pool.CapShareRootKnown{Pool: 0})
	}
	sim.send(pool.WorkersListed{Workers: sim.addWorkers()})
	for _, j := range load.generateJobs(rng) {
		sim.jobs[j.ID] = j
		sim.result.JobOutcomes[j.ID] = Unserved
		q := sim.result.Queues[j.kind.Name]
		if q == nil {
			q = &QueueResult{}
			sim.result.Queues[j.kind.Name] = q
		}
		sim.result.organisation(j.Organisation).OfferedValue += j.value
		q.Jobs++
		q.OfferedValue += j.value
		sim.result.OfferedValue += j.value
		sim.schedule(j.at, func() { sim.submit(j, 1) })
	}
	for _, loss := range load.WorkerLosses {
		sim.schedule(loss.At, func() { sim.loseWorkers(loss.Share) })
	}
	sim.schedule(tickInterval, sim.tick)
	for end := simulationStart + load.Duration + drainTime; sim.now < end; {
		next := heap.Pop(&sim.timeline).(scheduledEvent)
		sim.now = next.at
		next.do()
	}
	sim.result.Utilization /= float64(max(1, sim.result.utilizationSamples))
	for _, q := range sim.result.Queues {
		q.Unserved = q.Jobs - q.OnTime - q.Late - q.Refused
	}
	return sim.result
}

// newWorkloadRand returns the random source for the jobs of a simulation.
func newWorkloadRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (l *Workload) queues() map[string]pool.Queue {
	queues := map[string]pool.Queue{}
	for _, k := range l.Kinds {
		queues[k.queue()] = pool.Queue{Name: k.queue(), Service: "s", Priority: k.Priority, Attempts: 4, Slack: k.Slack, Target: k.Target,
			Advice: &pool.AdviceTerms{Decision: k.Decision, PerWorker: k.PerWorker, Validity: ticketValidity}}
	}
	return queues
}

func (l *Workload) organisations() map[string]organisation.Organisation {
	byName := map[string]organisation.Organisation{}
	for _, o := range l.Organisations {
		byName[o.Name] = o
	}
	return byName
}

// addWorkers creates the workers.
func (sim *simulation) addWorkers() []pool.WorkerInfo {
	var list []pool.WorkerInfo
	for n := range sim.workload.Workers {
		list = append(list, sim.newWorker(n, 0))
	}
	sim.listedWorkers = list
	return list
}

// newWorker adds a worker in a slot; generation counts the losses of workers before it.
func (sim *simulation) newWorker(slot, generation int) pool.WorkerInfo {
	id := fmt.Sprintf("w%03d", slot)
	if generation > 0 {
		id += fmt.Sprintf("-%d", generation)
	}
	sim.workers[id] = &worker{id: id, slowdown: sim.workload.slowdown(slot)}
	return pool.WorkerInfo{ID: id, Addr: id, Service: "s", Rack: fmt.Sprint("r", slot/6), Capacity: sim.workload.Capacity}
}
