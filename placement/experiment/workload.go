package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Job is a job of the workload: equal tasks that arrive together.
type Job struct {
	ID             string
	Name           string
	Kind           placement.JobKind
	Tasks          int
	Need           infra.Resources
	Urgent         bool
	Checkpointable bool
	// Value is 1, 5 or 10; it decides the priority of the job's team.
	Value     int
	ArrivesAt time.Duration
	// Run is the actual run time of each task, DeclaredRun the one declared by
	// its team.
	Run, DeclaredRun time.Duration
}

// Workload defines how much work is generated, and how wrong its declarations
// are.
type Workload struct {
	// OfferedShare is the offered load as a share of the cell's capacity.
	OfferedShare float64
	// RunTimeError is the factor by which declared run times are at most too
	// long or too short.
	RunTimeError float64
	// FailingShare is the share of the workers on which all tasks fail.
	FailingShare float64
	// Duration is the time during which jobs arrive.
	Duration time.Duration
	Seed     uint64
}

// Parameters of the generated jobs. Run times have a log-normal distribution.
const (
	serviceShare     = 0.2
	gangShare        = 0.1
	urgentShare      = 0.05
	checkpointable   = 0.5
	acceleratorShare = 0.8
	medianRun        = 20 * time.Second
	runSigma         = 0.9
	maxRun           = 5 * time.Minute
	rateSamples      = 20000
)

type generator struct {
	rng    *rand.Rand
	load   Workload
	number int
}

// GenerateJobs returns the jobs of a simulation in order of arrival. Services
// arrive first and keep running.
func GenerateJobs(c Cell, load Workload) []Job {
	m := &generator{rng: rand.New(rand.NewPCG(load.Seed, 11)), load: load}
	total := c.total()
	var jobs []Job
	for cpu := int64(0); float64(cpu) < serviceShare*min(load.OfferedShare, 1)*float64(total.MilliCPU); {
		j := m.service()
		jobs = append(jobs, j)
		cpu += j.Need.MilliCPU * int64(j.Tasks)
	}
	plain, accelerated := m.rates(total, load.OfferedShare-serviceShare*min(load.OfferedShare, 1))
	for at := time.Second; ; {
		at += time.Duration(m.rng.ExpFloat64() / (plain + accelerated) * float64(time.Second))
		if at > load.Duration {
			return jobs
		}
		jobs = append(jobs, m.job(at, m.rng.Float64()*(plain+accelerated) < accelerated))
	}
}

// rates returns the arrival rates, in jobs per second, that offer the given
// share of the processors, and acceleratorShare of that share of the
// accelerators.
func (m *generator) rates(total infra.Resources, share float64) (plain, accelerated float64) {
	var cpu [2]float64
	var accelerators float64
	sampler := &generator{rng: rand.New(rand.NewPCG(m.load.Seed, 12)), load: m.load}
	for range rateSamples {
		for i := range cpu {
			j := sampler.job(0, i == 1)
			seconds := j.Run.Seconds() * float64(j.Tasks) / rateSamples
			cpu[i] += seconds * float64(j.Need.MilliCPU)
			accelerators += seconds * float64(j.Need.Accelerators)
		}
	}
	if total.Accelerators > 0 {
		accelerated = acceleratorShare * share * float64(total.Accelerators) / accelerators
	}
	return (share*float64(total.MilliCPU) - accelerated*cpu[1]) / cpu[0], accelerated
}

func (m *generator) id(kind string) string {
	m.number++
	return fmt.Sprintf("%s-%06d", kind, m.number)
}

func pick[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

func (m *generator) service() Job {
	cores := pick[int64](m.rng, 1, 2, 4)
	return Job{ID: m.id("service"), Name: "service", Kind: placement.Service, Tasks: pick(m.rng, 2, 3, 6), Value: pick(m.rng, 1, 5, 10),
		Need: infra.Resources{MilliCPU: 1000 * cores, MemoryMiB: 2048 * cores}, Run: math.MaxInt64}
}

func (m *generator) job(at time.Duration, accelerated bool) Job {
	run := time.Duration(float64(medianRun) * math.Exp(runSigma*m.rng.NormFloat64()))
	run = max(time.Second, min(run, maxRun))
	j := Job{ID: m.id("batch"), Kind: placement.Batch, Tasks: 1, ArrivesAt: at, Run: run, Value: pick(m.rng, 1, 5, 10),
		Urgent: m.rng.Float64() < urgentShare, Checkpointable: m.rng.Float64() < checkpointable}
	if m.rng.Float64() < gangShare {
		j.Kind, j.Tasks = placement.Gang, 2+m.rng.IntN(4)
	}
	// Jobs of the same name have similar run times.
	j.Name = fmt.Sprintf("%t-%d", accelerated, int(2*math.Log2(run.Seconds())))
	j.DeclaredRun = time.Duration(float64(run) * math.Pow(max(m.load.RunTimeError, 1), 2*m.rng.Float64()-1))
	cores := pick[int64](m.rng, 500, 500, 1000, 1000, 1000, 2000, 2000, 4000, 8000)
	j.Need = infra.Resources{MilliCPU: cores, MemoryMiB: cores * pick[int64](m.rng, 1, 2, 2, 3) * 1024 / 1000}
	if accelerated {
		n := pick[int64](m.rng, 1, 1, 2, 4, 8)
		j.Need = infra.Resources{MilliCPU: 4000 * n, MemoryMiB: n * 16 << 10, Accelerators: n}
	}
	return j
}
