package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// JobKind is one kind of job in a workload.
type JobKind struct {
	Name string
	// Queue is the queue of the jobs; empty: it is named like the kind. Organisation submits them.
	Queue, Organisation string

	Priority       int
	ArrivalsPerSec float64
	// Steps, Width, CPU (thousandths of a core), Mem (MB) and RunTime are means. All but Steps are
	// drawn from lognormal distributions with shapes of 0.4 to 0.7.
	Steps, Width, CPU, Mem float64
	RunTime                time.Duration
	MaxWidth               int
	// Slack and Target set the objective of a job: Slack times its critical path plus Target.
	Slack  float64
	Target time.Duration
	// Value is what a job of mean work earns on time; a late one earns lateValueShare of it.
	Value float64
	// GangShare is the share of steps that are gangs; CheckpointShare is the share of jobs with
	// checkpoints.
	GangShare, CheckpointShare float64
	// EstimateError is the error of estimates, as the shape of a lognormal distribution.
	EstimateError float64
	// AllowedShare is the share of workers that may run a step; Decision and PerWorker are the cost
	// of an advice request about it.
	AllowedShare        float64
	Decision, PerWorker time.Duration
}

func (k *JobKind) queue() string { return cmp.Or(k.Queue, k.Name) }

// Burst multiplies the arrivals of a kind for a while; an empty kind stands for all.
type Burst struct {
	Kind         string
	At, Duration time.Duration
	Factor       float64
}

// Workload describes the jobs and the environment of a pool.
type Workload struct {
	Kinds   []JobKind
	Bursts  []Burst
	Workers int
	// Organisations submit the jobs: those that the kinds name, or equally many jobs each if they name none.
	// Empty: the jobs have none. The pool holds all of their caps.
	Organisations []organisation.Organisation
	Capacity      pool.Resources
	// Instances is the number of instances that send advice requests.
	Instances int
	Duration  time.Duration
	// FailShare is the share of runs that fail by their own fault.
	FailShare float64
	// WorkerLosses are losses of workers with all their runs; each is replaced by a new worker.
	WorkerLosses []WorkerLoss
	// Outage is the time in which the store accepts no writes.
	Outage Outage
	// Slowdowns are the relative run times on the workers, by slot, and repeated for more workers; nil
	// stands for 1.3 on every third worker.
	Slowdowns []float64
	// TaskSpread is the spread of the run times of a step's tasks, as the shape of a lognormal
	// distribution.
	TaskSpread float64
	// Admission selects the jobs that are refused.
	Admission Admission
	// NoisyFactor multiplies the jobs of the first organisation, without changing those of the others; 0: no
	// jobs are added.
	NoisyFactor int
	// ObeysRetryAfter is set if callers of refused jobs return at the time that they were told.
	ObeysRetryAfter bool
}

// WorkerLoss removes a share of the workers.
type WorkerLoss struct {
	At    time.Duration
	Share float64
}

// Outage is a span of time in which the store accepts no writes.
type Outage struct {
	At, Duration time.Duration
}

// Admission is a policy for refusing jobs.
type Admission struct {
	// ByEstimate refuses the jobs that the core does not expect to finish in time.
	ByEstimate bool
	// MinDensity refuses burst jobs with less value per core-second, by their true value and work,
	// which no scheduler knows.
	MinDensity float64
}

// WithOverload multiplies the arrivals of all kinds for two fifths of the simulation and adds
// two losses of a tenth of the workers each and an outage of the store in that time.
func (l Workload) WithOverload(multiple float64) Workload {
	begins, lasts := l.Duration/5, 2*l.Duration/5
	l.Bursts = []Burst{{At: begins, Duration: lasts, Factor: multiple}}
	l.WorkerLosses = []WorkerLoss{{At: begins + lasts/4, Share: 0.1}, {At: begins + 2*lasts/3, Share: 0.1}}
	l.Outage = Outage{At: begins + 2*lasts/5, Duration: lasts / 6}
	return l
}

// unevenSlowdowns are those of the customs deployment: a quarter of the workers runs at half speed, the
// others take 0.72 to 1.71 times the typical time.
var unevenSlowdowns = []float64{1.22, 2, 0.72, 1.47, 0.97, 2, 1.71, 0.84, 1.30, 2, 1.05, 1.59, 0.78, 2, 1.38, 1.13}

// unevenTaskSpread is the spread of the run times of one step there, 15 to 30 %.
const unevenTaskSpread = 0.25

// WithUnevenWorkers gives the workers and the tasks of a step different speeds. It leaves the pool
// about 0.85 of its capacity.
func (l Workload) WithUnevenWorkers() Workload {
	l.Slowdowns, l.TaskSpread = unevenSlowdowns, unevenTaskSpread
	return l
}

// slowdown returns the relative run time on the worker in a slot.
func (l *Workload) slowdown(slot int) float64 {
	switch {
	case len(l.Slowdowns) > 0:
		return l.Slowdowns[slot%len(l.Slowdowns)]
	case slot%3 == 2:
		return 1.3
	}
	return 1
}

// inBurst reports whether a burst is in progress at a time.
func (l *Workload) inBurst(at time.Duration) bool {
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			return true
		}
	}
	return false
}

// down reports whether the store accepts no writes at a time of the simulation.
func (o Outage) down(at time.Duration) bool { return at >= o.At && at < o.At+o.Duration }

const (
	// lateValueShare is the share of its value that a job earns if it ends after its objective. It
	// earns nothing after lateLimitFactor times the objective.
	lateValueShare  = 0.2
	lateLimitFactor = 3
	// fixedValueShare is the share of the value of a job that does not depend on its work;
	// maxRelativeWork limits the work that counts, as a multiple of the mean.
	fixedValueShare = 0.3
	maxRelativeWork = 4.0
	// assumedRequestWorkers is the number of workers listed in the advice request that the
	// objective of a job allows for, for each step.
	assumedRequestWorkers = 30
)

// Wholesaler is a workload of three different kinds on workers of 64 cores at about 80 % of
// their capacity: few large gangs with the most value, wide jobs of short tasks, and many small
// urgent ones.
func Wholesaler() Workload {
	return Workload{
		Kinds: []JobKind{
			{Name: "reconcile", Priority: 1, ArrivalsPerSec: 1.45, Steps: 1.2, Width: 6.4, MaxWidth: 32, CPU: 18000, Mem: 26000, RunTime: 6200 * time.Millisecond,
				Slack: 2.2, Target: time.Second, Value: 13.3, GangShare: 1, CheckpointShare: 0.5, EstimateError: 0.2,
				AllowedShare: 0.3, Decision: 520 * time.Millisecond, PerWorker: 7400 * time.Microsecond},
			{Name: "reorder", Priority: 2, ArrivalsPerSec: 6.8, Steps: 1.5, Width: 10, MaxWidth: 60, CPU: 3900, Mem: 5600, RunTime: 2200 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Value: 1.77, CheckpointShare: 0.8, EstimateError: 0.5,
				AllowedShare: 0.45, Decision: 53 * time.Millisecond, PerWorker: 750 * time.Microsecond},
			{Name: "counter", Priority: 0, ArrivalsPerSec: 38.5, Steps: 1, Width: 2, MaxWidth: 12, CPU: 5600, Mem: 8000, RunTime: 800 * time.Millisecond,
				Slack: 1.5, Target: 250 * time.Millisecond, Value: 0.437, GangShare: 0.3, EstimateError: 0.5,
				AllowedShare: 0.7, Decision: 9300 * time.Microsecond, PerWorker: 130 * time.Microsecond},
		},
		Workers: 48, Capacity: pool.Resources{CPU: 64000, Mem: 131072}, Instances: 9, Duration: 40 * time.Second, FailShare: 0.04,
	}
}

// WholesalerGrown is the workload of the same customer on a larger pool: 160 jobs and 900
// starts per second, and advice requests with a higher cost, both fixed and for each listed
// worker.
func WholesalerGrown() Workload {
	l := Wholesaler()
	for i, grown := range []JobKind{
		{ArrivalsPerSec: 3.8, Width: 20, MaxWidth: 120, CPU: 18000, Mem: 26000, Decision: 702 * time.Millisecond, PerWorker: 10010 * time.Microsecond},
		{ArrivalsPerSec: 12.3, Width: 25, MaxWidth: 150, CPU: 6900, Mem: 10000, Decision: 104 * time.Millisecond, PerWorker: 1430 * time.Microsecond},
		{ArrivalsPerSec: 110, Width: 3, MaxWidth: 18, CPU: 9900, Mem: 14000, Decision: 11700 * time.Microsecond, PerWorker: 169 * time.Microsecond},
	} {
		k := &l.Kinds[i]
		k.ArrivalsPerSec, k.Width, k.MaxWidth, k.CPU, k.Mem = grown.ArrivalsPerSec, grown.Width, grown.MaxWidth, grown.CPU, grown.Mem
		k.Decision, k.PerWorker = grown.Decision, grown.PerWorker
	}
	l.Workers, l.Instances = 350, 39
	return l
}

// OrderDesk is a workload of many small urgent jobs and few wide ones with poor estimates, on
// small workers of whose capacity six tenths are in demand.
func OrderDesk() Workload {
	return Workload{
		Kinds: []JobKind{
			{Name: "quote", Priority: 0, ArrivalsPerSec: 9.7, Steps: 1.5, Width: 6, MaxWidth: 36, CPU: 1500, Mem: 1600, RunTime: 880 * time.Millisecond,
				Slack: 1.5, Target: 250 * time.Millisecond, Value: 0.736, EstimateError: 0.5,
				AllowedShare: 0.7, Decision: 19 * time.Millisecond, PerWorker: 280 * time.Microsecond},
			{Name: "plan", Priority: 2, ArrivalsPerSec: 0.72, Steps: 2, Width: 14, MaxWidth: 84, CPU: 3300, Mem: 6100, RunTime: 3600 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Value: 3.54, CheckpointShare: 0.8, EstimateError: 0.9,
				AllowedShare: 0.45, Decision: 150 * time.Millisecond, PerWorker: 2100 * time.Microsecond},
		},
		Workers: 35, Capacity: pool.Resources{CPU: 18000, Mem: 36864}, Instances: 4, Duration: 34 * time.Second, FailShare: 0.03,
	}
}

// Inspection is a workload of gangs that take half a worker or all of it, and wide jobs of
// small tasks, on few large workers of whose capacity seven tenths are in demand.
func Inspection() Workload {
	return Workload{
		Kinds: []JobKind{
			{Name: "scan", Priority: 1, ArrivalsPerSec: 1.66, Steps: 1, Width: 1.5, MaxWidth: 9, CPU: 44000, Mem: 90000, RunTime: 3600 * time.Millisecond,
				Slack: 2.2, Target: time.Second, Value: 2.47, GangShare: 1, CheckpointShare: 0.9, EstimateError: 0.2,
				AllowedShare: 0.3, Decision: 430 * time.Millisecond, PerWorker: 6100 * time.Microsecond},
			{Name: "wear", Priority: 2, ArrivalsPerSec: 1.37, Steps: 1, Width: 8, MaxWidth: 48, CPU: 8000, Mem: 23000, RunTime: 2400 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Value: 1.87, CheckpointShare: 0.8, EstimateError: 0.2,
				AllowedShare: 0.45, Decision: 150 * time.Millisecond, PerWorker: 2200 * time.Microsecond},
		},
		Workers: 13, Capacity: pool.Resources{CPU: 64000, Mem: 262144}, Instances: 4, Duration: 34 * time.Second, FailShare: 0.03,
	}
}

// plannedJob is a job of a simulation with its arrival time, objective and value.
type plannedJob struct {
	pool.Job
	at        time.Duration
	kind      *JobKind
	objective time.Duration
	value     float64
	runTimes  []time.Duration // actual run time of the tasks, by step
}

// lognormal returns a lognormally distributed number with the given mean and shape.
func lognormal(rng *rand.Rand, mean, shape float64) float64 {
	return mean * math.Exp(rng.NormFloat64()*shape-shape*shape/2)
}

// generateJobs returns the jobs of a simulation, by kind.
func (l *Workload) generateJobs(rng *rand.Rand) []*plannedJob {
	var jobs []*plannedJob
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / (k.ArrivalsPerSec * l.arrivalFactor(k.Name, at)) * float64(time.Second))
			if at >= l.Duration {
				break
			}
			jobs = append(jobs, l.generateJob(rng, k, at, len(jobs)))
		}
	}
	l.assignValues(jobs)
	return l.assignOrganisations(jobs)
}

func (l *Workload) arrivalFactor(kind string, at time.Duration) float64 {
	m := 1.0
	for _, b := range l.Bursts {
		if (b.Kind == kind || b.Kind == "") && at >= b.At && at < b.At+b.Duration {
			m *= b.Factor
		}
	}
	return m
}

func (l *Workload) generateJob(rng *rand.Rand, k *JobKind, at time.Duration, n int) *plannedJob {
	j := &plannedJob{at: at, kind: k, Job: pool.Job{ID: fmt.Sprintf("%016x", n+1), Organisation: k.Organisation, Queue: k.queue(), Service: "s", Payload: "p"}}
	steps := 1
	for float64(steps) < k.Steps+2 && rng.Float64() < (k.Steps-1)/k.Steps*float64(steps) {
		steps++
	}
	checkpoints := rng.Float64() < k.CheckpointShare
	var criticalPath time.Duration
	for i := range steps {
		run := time.Duration(min(lognormal(rng, float64(k.RunTime), 0.5), 2.5*float64(k.RunTime)))
		s := pool.StepSpec{
			Count:      min(k.MaxWidth, max(1, int(math.Round(lognormal(rng, k.Width, 0.7))))),
			Need:       pool.Resources{CPU: min(l.Capacity.CPU/2, int(lognormal(rng, k.CPU, 0.4))), Mem: min(l.Capacity.Mem/2, int(lognormal(rng, k.Mem, 0.5)))},
			EstimateMs: max(1, int64(lognormal(rng, float64(run.Milliseconds()), k.EstimateError))), Checkpoints: checkpoints,
			Gang: rng.Float64() < k.GangShare,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
		j.runTimes = append(j.runTimes, run)
		criticalPath += run + k.Decision + assumedRequestWorkers*k.PerWorker
	}
	j.objective = time.Duration(k.Slack*float64(criticalPath)) + k.Target
	return j
}

// coreSeconds returns the work of a job in core-seconds.
func (j *plannedJob) coreSeconds() float64 {
	sum := 0.0
	for i, s := range j.Steps {
		sum += float64(s.Count*s.Need.CPU) / 1000 * j.runTimes[i].Seconds()
	}
	return sum
}

// density returns the value of a job per core-second.
func (j *plannedJob) density() float64 { return j.value / max(j.coreSeconds(), 1e-3) }

// assignValues sets the value of each job by its work relative to the mean of its kind.
func (l *Workload) assignValues(jobs []*plannedJob) {
	sum, count := map[*JobKind]float64{}, map[*JobKind]float64{}
	for _, j := range jobs {
		sum[j.kind] += j.coreSeconds()
		count[j.kind]++
	}
	for _, j := range jobs {
		mean := sum[j.kind] / count[j.kind]
		j.value = j.kind.Value * (fixedValueShare + (1-fixedValueShare)*min(maxRelativeWork, j.coreSeconds()/mean))
	}
}

// valueAfter returns the value that a job earns when it ends the given time after its first
// submission.
func (j *plannedJob) valueAfter(took time.Duration) float64 {
	switch {
	case took <= j.objective:
		return j.value
	case took <= lateLimitFactor*j.objective:
		return lateValueShare * j.value
	}
	return 0
}

// LargeDesk is OrderDesk scaled to 792 workers: wide urgent jobs and wide jobs of long tasks
// that together use seven tenths of the capacity.
func LargeDesk() Workload {
	l := OrderDesk()
	for i, large := range []JobKind{
		{ArrivalsPerSec: 43.7, Width: 13, MaxWidth: 80, CPU: 4200, Mem: 15000, RunTime: 880 * time.Millisecond, Target: 300 * time.Millisecond,
			Decision: 33800 * time.Microsecond, PerWorker: 494 * time.Microsecond},
		{ArrivalsPerSec: 4.58, Width: 29, MaxWidth: 140, CPU: 4500, Mem: 17000, RunTime: 5600 * time.Millisecond, Target: 3 * time.Second,
			Decision: 182 * time.Millisecond, PerWorker: 2600 * time.Microsecond},
	} {
		k := &l.Kinds[i]
		k.ArrivalsPerSec, k.Width, k.MaxWidth, k.CPU, k.Mem, k.RunTime, k.Target = large.ArrivalsPerSec, large.Width, large.MaxWidth, large.CPU, large.Mem, large.RunTime, large.Target
		k.Decision, k.PerWorker = large.Decision, large.PerWorker
	}
	l.Workers, l.Instances, l.Capacity = 792, 147, pool.Resources{CPU: 18000, Mem: 65536}
	return l
}

// assignOrganisations distributes the jobs among the organisations, and adds copies of those of the first one
// until each is there NoisyFactor times.
func (l *Workload) assignOrganisations(jobs []*plannedJob) []*plannedJob {
	if len(l.Organisations) == 0 || l.Kinds[0].Organisation != "" {
		return jobs
	}
	for n, j := range jobs {
		j.Organisation = l.Organisations[n%len(l.Organisations)].Name
		if n%len(l.Organisations) != 0 {
			continue
		}
		for copied := 1; copied < l.NoisyFactor; copied++ {
			more := *j
			more.ID = fmt.Sprintf("%s-%d", j.ID, copied)
			more.at += time.Duration(copied) * time.Second / time.Duration(l.NoisyFactor)
			jobs = append(jobs, &more)
		}
	}
	return jobs
}
