package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Kind is one kind of job of a load.
type Kind struct {
	Name     string
	Priority int
	PerSec   float64
	// Steps, Width, CPU (thousandths of a core), Mem (MB) and Run are means; the
	// draws spread around them by lognormal shapes of 0.4 to 0.6.
	Steps, Width, CPU, Mem float64
	Run                    time.Duration
	MaxWidth               int
	// Slack times the chain of work, plus Target, is the objective.
	Slack  float64
	Target time.Duration
	// Worth is what a job of mean work earns; one that is late earns lateShare of it.
	Worth float64
	// Gangs and Checkpoints are the shares of such steps and jobs.
	Gangs, Checkpoints float64
	// EstimateOff is how far estimates are off, as a lognormal shape.
	EstimateOff float64
	// Good is the share of workers that may run a step; Decision and PerWorker are
	// what a question about it costs.
	Good                float64
	Decision, PerWorker time.Duration
}

// Burst multiplies a kind's arrivals for a while; no kind stands for all.
type Burst struct {
	Kind     string
	At, For  time.Duration
	Multiple float64
}

// Load is what a pool has to carry.
type Load struct {
	Kinds    []Kind
	Bursts   []Burst
	Workers  int
	Capacity pool.Resources
	// Callers is how many instances put questions to the advice service.
	Callers int
	Length  time.Duration
	// FailShare of the runs fail by their own fault.
	FailShare float64
	// Losses are workers that are lost with all that runs there; another comes in the
	// place of each.
	Losses []Loss
	// Outage is when the store takes nothing.
	Outage Outage
	// Admission tells which jobs are refused.
	Admission Admission
}

// Loss takes a share of the workers away.
type Loss struct {
	At    time.Duration
	Share float64
}

// Outage is a span in which the store takes nothing.
type Outage struct {
	At, For time.Duration
}

// Admission is a way to refuse jobs.
type Admission struct {
	// ByEstimate refuses what the core says can't be in time.
	ByEstimate bool
	// LeastDensity refuses jobs that come in a burst and are worth less for a
	// core-second, by their true worth and work, which no scheduler knows.
	LeastDensity float64
}

// Overload makes so many times as many jobs of all kinds come for two fifths of the
// play, with two losses of a tenth of the workers and an outage of the store in the
// middle of it.
func (l Load) Overload(multiple float64) Load {
	begins, lasts := l.Length/5, 2*l.Length/5
	l.Bursts = []Burst{{At: begins, For: lasts, Multiple: multiple}}
	l.Losses = []Loss{{At: begins + lasts/4, Share: 0.1}, {At: begins + 2*lasts/3, Share: 0.1}}
	l.Outage = Outage{At: begins + 2*lasts/5, For: lasts / 6}
	return l
}

// inBurst reports whether more jobs than usual come at some time.
func (l *Load) inBurst(at time.Duration) bool {
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For {
			return true
		}
	}
	return false
}

// down reports whether the store takes nothing at some time of the play.
func (o Outage) down(at time.Duration) bool { return at >= o.At && at < o.At+o.For }

const (
	// lateShare of its worth is earned by a job that ends after its objective, and
	// nothing after lateMultiple times the objective.
	lateShare    = 0.2
	lateMultiple = 3
	// fixedShare of a job's worth doesn't depend on its work; mostWork bounds its
	// work, in multiples of the mean.
	fixedShare = 0.3
	mostWork   = 4.0
	// namedByChain is how many workers the question names that a job's objective
	// allows for, for each step.
	namedByChain = 30
)

// Wholesaler is a load of three unlike kinds on workers of 64 cores at about 80 % of
// their room: few large gangs that are worth most, wide jobs of short tasks, and many
// small urgent ones.
func Wholesaler() Load {
	return Load{
		Kinds: []Kind{
			{Name: "reconcile", Priority: 1, PerSec: 1.45, Steps: 1.2, Width: 6.4, MaxWidth: 32, CPU: 18000, Mem: 26000, Run: 6200 * time.Millisecond,
				Slack: 2.2, Target: time.Second, Worth: 13.3, Gangs: 1, Checkpoints: 0.5, EstimateOff: 0.2,
				Good: 0.3, Decision: 520 * time.Millisecond, PerWorker: 7400 * time.Microsecond},
			{Name: "reorder", Priority: 2, PerSec: 6.8, Steps: 1.5, Width: 10, MaxWidth: 60, CPU: 3900, Mem: 5600, Run: 2200 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Worth: 1.77, Checkpoints: 0.8, EstimateOff: 0.5,
				Good: 0.45, Decision: 53 * time.Millisecond, PerWorker: 750 * time.Microsecond},
			{Name: "counter", Priority: 0, PerSec: 38.5, Steps: 1, Width: 2, MaxWidth: 12, CPU: 5600, Mem: 8000, Run: 800 * time.Millisecond,
				Slack: 1.5, Target: 250 * time.Millisecond, Worth: 0.437, Gangs: 0.3, EstimateOff: 0.5,
				Good: 0.7, Decision: 9300 * time.Microsecond, PerWorker: 130 * time.Microsecond},
		},
		Workers: 48, Capacity: pool.Resources{CPU: 64000, Mem: 131072}, Callers: 9, Length: 40 * time.Second, FailShare: 0.04,
	}
}

// WholesalerGrown is the same customer's load on a larger pool: 160 jobs and 900 starts
// a second, and questions that cost more by themselves and for each worker named.
func WholesalerGrown() Load {
	l := Wholesaler()
	for i, grown := range []Kind{
		{PerSec: 3.8, Width: 20, MaxWidth: 120, CPU: 18000, Mem: 26000, Decision: 702 * time.Millisecond, PerWorker: 10010 * time.Microsecond},
		{PerSec: 12.3, Width: 25, MaxWidth: 150, CPU: 6900, Mem: 10000, Decision: 104 * time.Millisecond, PerWorker: 1430 * time.Microsecond},
		{PerSec: 110, Width: 3, MaxWidth: 18, CPU: 9900, Mem: 14000, Decision: 11700 * time.Microsecond, PerWorker: 169 * time.Microsecond},
	} {
		k := &l.Kinds[i]
		k.PerSec, k.Width, k.MaxWidth, k.CPU, k.Mem = grown.PerSec, grown.Width, grown.MaxWidth, grown.CPU, grown.Mem
		k.Decision, k.PerWorker = grown.Decision, grown.PerWorker
	}
	l.Workers, l.Callers = 350, 39
	return l
}

// OrderDesk is a load of many small urgent jobs and few wide ones whose estimates say
// little, on small workers of which six tenths are asked for.
func OrderDesk() Load {
	return Load{
		Kinds: []Kind{
			{Name: "quote", Priority: 0, PerSec: 9.7, Steps: 1.5, Width: 6, MaxWidth: 36, CPU: 1500, Mem: 1600, Run: 880 * time.Millisecond,
				Slack: 1.5, Target: 250 * time.Millisecond, Worth: 0.736, EstimateOff: 0.5,
				Good: 0.7, Decision: 19 * time.Millisecond, PerWorker: 280 * time.Microsecond},
			{Name: "plan", Priority: 2, PerSec: 0.72, Steps: 2, Width: 14, MaxWidth: 84, CPU: 3300, Mem: 6100, Run: 3600 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Worth: 3.54, Checkpoints: 0.8, EstimateOff: 0.9,
				Good: 0.45, Decision: 150 * time.Millisecond, PerWorker: 2100 * time.Microsecond},
		},
		Workers: 35, Capacity: pool.Resources{CPU: 18000, Mem: 36864}, Callers: 4, Length: 34 * time.Second, FailShare: 0.03,
	}
}

// Inspection is a load of gangs that take half a worker or all of it, and wide jobs of
// small tasks, on few large workers of which seven tenths are asked for.
func Inspection() Load {
	return Load{
		Kinds: []Kind{
			{Name: "scan", Priority: 1, PerSec: 1.66, Steps: 1, Width: 1.5, MaxWidth: 9, CPU: 44000, Mem: 90000, Run: 3600 * time.Millisecond,
				Slack: 2.2, Target: time.Second, Worth: 2.47, Gangs: 1, Checkpoints: 0.9, EstimateOff: 0.2,
				Good: 0.3, Decision: 430 * time.Millisecond, PerWorker: 6100 * time.Microsecond},
			{Name: "wear", Priority: 2, PerSec: 1.37, Steps: 1, Width: 8, MaxWidth: 48, CPU: 8000, Mem: 23000, Run: 2400 * time.Millisecond,
				Slack: 4, Target: 3 * time.Second, Worth: 1.87, Checkpoints: 0.8, EstimateOff: 0.2,
				Good: 0.45, Decision: 150 * time.Millisecond, PerWorker: 2200 * time.Microsecond},
		},
		Workers: 13, Capacity: pool.Resources{CPU: 64000, Mem: 262144}, Callers: 4, Length: 34 * time.Second, FailShare: 0.03,
	}
}

// plannedJob is a job of a play and what it is worth.
type plannedJob struct {
	pool.Job
	at        time.Duration
	kind      *Kind
	objective time.Duration
	worth     float64
	runs      []time.Duration // true run time of a step's tasks
}

// spread draws around a mean with a lognormal shape.
func spread(luck *rand.Rand, mean, shape float64) float64 {
	return mean * math.Exp(luck.NormFloat64()*shape-shape*shape/2)
}

// plan draws the jobs of a play, by kind.
func (l *Load) plan(luck *rand.Rand) []*plannedJob {
	var jobs []*plannedJob
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for at := time.Duration(0); ; {
			at += time.Duration(luck.ExpFloat64() / (k.PerSec * l.multiple(k.Name, at)) * float64(time.Second))
			if at >= l.Length {
				break
			}
			jobs = append(jobs, l.draw(luck, k, at, len(jobs)))
		}
	}
	l.rate(jobs)
	return jobs
}

func (l *Load) multiple(kind string, at time.Duration) float64 {
	m := 1.0
	for _, b := range l.Bursts {
		if (b.Kind == kind || b.Kind == "") && at >= b.At && at < b.At+b.For {
			m *= b.Multiple
		}
	}
	return m
}

func (l *Load) draw(luck *rand.Rand, k *Kind, at time.Duration, n int) *plannedJob {
	j := &plannedJob{at: at, kind: k, Job: pool.Job{ID: fmt.Sprintf("%016x", n+1), Queue: k.Name, Service: "s", Payload: "p"}}
	steps := 1
	for float64(steps) < k.Steps+2 && luck.Float64() < (k.Steps-1)/k.Steps*float64(steps) {
		steps++
	}
	checkpoints := luck.Float64() < k.Checkpoints
	var chain time.Duration
	for i := range steps {
		run := time.Duration(min(spread(luck, float64(k.Run), 0.5), 2.5*float64(k.Run)))
		s := pool.StepSpec{
			Count:      min(k.MaxWidth, max(1, int(math.Round(spread(luck, k.Width, 0.7))))),
			Need:       pool.Resources{CPU: min(l.Capacity.CPU/2, int(spread(luck, k.CPU, 0.4))), Mem: min(l.Capacity.Mem/2, int(spread(luck, k.Mem, 0.5)))},
			EstimateMs: max(1, int64(spread(luck, float64(run.Milliseconds()), k.EstimateOff))), Checkpoints: checkpoints,
			Gang: luck.Float64() < k.Gangs,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
		j.runs = append(j.runs, run)
		chain += run + k.Decision + namedByChain*k.PerWorker
	}
	j.objective = time.Duration(k.Slack*float64(chain)) + k.Target
	return j
}

// work is a job's core-seconds.
func (j *plannedJob) work() float64 {
	sum := 0.0
	for i, s := range j.Steps {
		sum += float64(s.Count*s.Need.CPU) / 1000 * j.runs[i].Seconds()
	}
	return sum
}

// density is what a job is worth for a core-second.
func (j *plannedJob) density() float64 { return j.worth / max(j.work(), 1e-3) }

// rate sets what each job is worth, by its work against the mean of its kind.
func (l *Load) rate(jobs []*plannedJob) {
	sum, count := map[*Kind]float64{}, map[*Kind]float64{}
	for _, j := range jobs {
		sum[j.kind] += j.work()
		count[j.kind]++
	}
	for _, j := range jobs {
		mean := sum[j.kind] / count[j.kind]
		j.worth = j.kind.Worth * (fixedShare + (1-fixedShare)*min(mostWork, j.work()/mean))
	}
}

// earned is what a job earns that ends so long after it was handed in.
func (j *plannedJob) earned(took time.Duration) float64 {
	switch {
	case took <= j.objective:
		return j.worth
	case took <= lateMultiple*j.objective:
		return lateShare * j.worth
	}
	return 0
}

// LargeDesk is OrderDesk scaled to 792 workers: wide urgent jobs and wide jobs of long tasks that
// together use seven tenths of the capacity.
func LargeDesk() Load {
	l := OrderDesk()
	for i, large := range []Kind{
		{PerSec: 43.7, Width: 13, MaxWidth: 80, CPU: 4200, Mem: 15000, Run: 880 * time.Millisecond, Target: 300 * time.Millisecond,
			Decision: 33800 * time.Microsecond, PerWorker: 494 * time.Microsecond},
		{PerSec: 4.58, Width: 29, MaxWidth: 140, CPU: 4500, Mem: 17000, Run: 5600 * time.Millisecond, Target: 3 * time.Second,
			Decision: 182 * time.Millisecond, PerWorker: 2600 * time.Microsecond},
	} {
		k := &l.Kinds[i]
		k.PerSec, k.Width, k.MaxWidth, k.CPU, k.Mem, k.Run, k.Target = large.PerSec, large.Width, large.MaxWidth, large.CPU, large.Mem, large.Run, large.Target
		k.Decision, k.PerWorker = large.Decision, large.PerWorker
	}
	l.Workers, l.Callers, l.Capacity = 792, 147, pool.Resources{CPU: 18000, Mem: 65536}
	return l
}
