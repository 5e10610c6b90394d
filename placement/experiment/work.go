package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Job is one piece of work: equal tasks that arrive together.
type Job struct {
	ID             string
	Name           string
	Kind           placement.JobKind
	Tasks          int
	Need           infra.Resources
	Urgent         bool
	Checkpointable bool
	// Worth is 1, 5 or 10; it decides the priority of the job's team.
	Worth  int
	Arrive time.Duration
	// Run is how long each task really takes, Declared what its team says.
	Run, Declared time.Duration
}

// Load says how much work is made, and how wrong its declarations are.
type Load struct {
	// Share is the offered part of the cell's capacity.
	Share float64
	// Wrong makes declared run times wrong by up to this factor both ways.
	Wrong float64
	// FailingWorkers is the part of the workers that fail everything.
	FailingWorkers float64
	// For is how long work arrives.
	For  time.Duration
	Seed uint64
}

// Shape of the work. Run times are lognormal.
const (
	serviceShare   = 0.2
	gangShare      = 0.1
	urgentShare    = 0.05
	checkpointable = 0.5
	acceleratorUse = 0.8
	medianRun      = 20 * time.Second
	runSigma       = 0.9
	longestRun     = 5 * time.Minute
	samples        = 20000
)

type maker struct {
	rng    *rand.Rand
	load   Load
	number int
}

// MakeWork returns the jobs of an experiment in order of arrival. Services arrive
// first and stay.
func MakeWork(c Cell, load Load) []Job {
	m := &maker{rng: rand.New(rand.NewPCG(load.Seed, 11)), load: load}
	total := c.total()
	var jobs []Job
	for cpu := int64(0); float64(cpu) < serviceShare*min(load.Share, 1)*float64(total.MilliCPU); {
		j := m.service()
		jobs = append(jobs, j)
		cpu += j.Need.MilliCPU * int64(j.Tasks)
	}
	plain, accelerated := m.rates(total, load.Share-serviceShare*min(load.Share, 1))
	for at := time.Second; ; {
		at += time.Duration(m.rng.ExpFloat64() / (plain + accelerated) * float64(time.Second))
		if at > load.For {
			return jobs
		}
		jobs = append(jobs, m.job(at, m.rng.Float64()*(plain+accelerated) < accelerated))
	}
}

// rates returns how many jobs a second offer a share of the processors, and of
// the accelerators a bit less.
func (m *maker) rates(total infra.Resources, share float64) (plain, accelerated float64) {
	var cpu [2]float64
	var accelerators float64
	trial := &maker{rng: rand.New(rand.NewPCG(m.load.Seed, 12)), load: m.load}
	for range samples {
		for i := range cpu {
			j := trial.job(0, i == 1)
			seconds := j.Run.Seconds() * float64(j.Tasks) / samples
			cpu[i] += seconds * float64(j.Need.MilliCPU)
			accelerators += seconds * float64(j.Need.Accelerators)
		}
	}
	if total.Accelerators > 0 {
		accelerated = acceleratorUse * share * float64(total.Accelerators) / accelerators
	}
	return (share*float64(total.MilliCPU) - accelerated*cpu[1]) / cpu[0], accelerated
}

func (m *maker) id(kind string) string {
	m.number++
	return fmt.Sprintf("%s-%06d", kind, m.number)
}

func pick[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

func (m *maker) service() Job {
	cores := pick[int64](m.rng, 1, 2, 4)
	return Job{ID: m.id("service"), Name: "service", Kind: placement.Service, Tasks: pick(m.rng, 2, 3, 6), Worth: pick(m.rng, 1, 5, 10),
		Need: infra.Resources{MilliCPU: 1000 * cores, MemoryMiB: 2048 * cores}, Run: math.MaxInt64}
}

func (m *maker) job(at time.Duration, accelerated bool) Job {
	run := time.Duration(float64(medianRun) * math.Exp(runSigma*m.rng.NormFloat64()))
	run = max(time.Second, min(run, longestRun))
	j := Job{ID: m.id("batch"), Kind: placement.Batch, Tasks: 1, Arrive: at, Run: run, Worth: pick(m.rng, 1, 5, 10),
		Urgent: m.rng.Float64() < urgentShare, Checkpointable: m.rng.Float64() < checkpointable}
	if m.rng.Float64() < gangShare {
		j.Kind, j.Tasks = placement.Gang, 2+m.rng.IntN(4)
	}
	// Jobs of one name run for about as long.
	j.Name = fmt.Sprintf("%t-%d", accelerated, int(2*math.Log2(run.Seconds())))
	j.Declared = time.Duration(float64(run) * math.Pow(max(m.load.Wrong, 1), 2*m.rng.Float64()-1))
	cores := pick[int64](m.rng, 500, 500, 1000, 1000, 1000, 2000, 2000, 4000, 8000)
	j.Need = infra.Resources{MilliCPU: cores, MemoryMiB: cores * pick[int64](m.rng, 1, 2, 2, 3) * 1024 / 1000}
	if accelerated {
		n := pick[int64](m.rng, 1, 1, 2, 4, 8)
		j.Need = infra.Resources{MilliCPU: 4000 * n, MemoryMiB: n * 16 << 10, Accelerators: n}
	}
	return j
}
