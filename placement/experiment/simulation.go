package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// failAfter is the run time of a task on a worker on which all tasks fail.
const failAfter = time.Second

// running is one running task on a machine.
type running struct {
	task    *taskRecord
	need    infra.Resources
	started time.Duration
	ends    time.Duration
	fails   bool
}

// machine is a simulated worker with its running tasks.
type machine struct {
	infra.Worker
	used       infra.Resources
	failsTasks bool
	tasks      []*running
}

func (m *machine) free() infra.Resources { return m.Capacity.Sub(m.used) }

// taskRecord is the progress and the measured wait of one task.
type taskRecord struct {
	job   *Job
	index int
	// left is the remaining run time: less than the whole after a checkpoint.
	left    time.Duration
	started bool
	wait    time.Duration
}

// simulation is the state of the workers and the measurements, common to all
// policies.
type simulation struct {
	now      time.Duration
	machines []*machine
	used     infra.Resources
	total    infra.Resources
	// usageTime is the utilization integrated over the time since the end of
	// the warm-up.
	usageTime   [3]float64
	measured    time.Duration
	starts      int
	overcommits int
}

func newSimulation(c Cell, load Workload) *simulation {
	s := &simulation{total: c.total()}
	rng := rand.New(rand.NewPCG(load.Seed, 13))
	for _, w := range c.Workers {
		s.machines = append(s.machines, &machine{Worker: w, failsTasks: rng.Float64() < load.FailingShare})
	}
	return s
}

// start runs a task. A task's wait ends with its first start on a worker where
// it does not fail.
func (s *simulation) start(m *machine, t *taskRecord) *running {
	r := &running{task: t, need: t.job.Need, started: s.now, ends: s.now + t.left, fails: m.failsTasks}
	if t.job.Run > maxRun {
		r.ends = 1 << 62
	}
	if m.failsTasks {
		r.ends = min(r.ends, s.now+failAfter)
	} else if !t.started {
		t.started, t.wait = true, s.now-t.job.ArrivesAt
	}
	m.tasks = append(m.tasks, r)
	m.used, s.used = m.used.Add(r.need), s.used.Add(r.need)
	if !m.used.Fits(m.Capacity) {
		s.overcommits++
	}
	s.starts++
	return r
}

// stop ends a task; a checkpointable one keeps its progress.
func (s *simulation) stop(m *machine, r *running) {
	for i, other := range m.tasks {
		if other == r {
			m.tasks[i] = m.tasks[len(m.tasks)-1]
			m.tasks = m.tasks[:len(m.tasks)-1]
			break
		}
	}
	m.used, s.used = m.used.Sub(r.need), s.used.Sub(r.need)
	if r.task.job.Checkpointable && !r.fails {
		r.task.left = max(time.Millisecond, r.task.left-(s.now-r.started))
	}
}

// ended removes and returns the tasks of a machine that have ended.
func (s *simulation) ended(m *machine) []*running {
	var done []*running
	for i := 0; i < len(m.tasks); {
		r := m.tasks[i]
		if r.ends > s.now {
			i++
			continue
		}
		m.tasks[i] = m.tasks[len(m.tasks)-1]
		m.tasks = m.tasks[:len(m.tasks)-1]
		m.used, s.used = m.used.Sub(r.need), s.used.Sub(r.need)
		done = append(done, r)
	}
	return done
}

// measure adds the utilization of one time step.
func (s *simulation) measure(step time.Duration) {
	s.measured += step
	for i, part := range [3]float64{share(s.used.MilliCPU, s.total.MilliCPU), share(s.used.MemoryMiB, s.total.MemoryMiB),
		share(s.used.Accelerators, s.total.Accelerators)} {
		s.usageTime[i] += part * step.Seconds()
	}
}

// packing is the mean utilization of the most used resource.
func (s *simulation) packing() float64 {
	if s.measured == 0 {
		return 0
	}
	return max(s.usageTime[0], s.usageTime[1], s.usageTime[2]) / s.measured.Seconds()
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
