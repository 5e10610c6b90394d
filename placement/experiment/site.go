package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// failAfter is when a task ends on a worker that fails everything.
const failAfter = time.Second

// running is one task at a worker.
type running struct {
	task    *taskRecord
	need    infra.Resources
	started time.Duration
	ends    time.Duration
	fails   bool
}

// machine is a worker of the experiment with what it runs.
type machine struct {
	infra.Worker
	used  infra.Resources
	bad   bool
	tasks []*running
}

func (m *machine) free() infra.Resources { return m.Capacity.Sub(m.used) }

// taskRecord is what is measured of one task.
type taskRecord struct {
	job   *Job
	index int
	// left is the run time that is left: less than the whole after a checkpoint.
	left    time.Duration
	started bool
	wait    time.Duration
}

// site is the workers and the figures they give, the same for each policy.
type site struct {
	now      time.Duration
	machines []*machine
	used     infra.Resources
	total    infra.Resources
	// area is the use summed up over time, from the end of the warm-up on.
	area     [3]float64
	measured time.Duration
	starts   int
	overfill int
}

func newSite(c Cell, load Load) *site {
	s := &site{total: c.total()}
	rng := rand.New(rand.NewPCG(load.Seed, 13))
	for _, w := range c.Workers {
		s.machines = append(s.machines, &machine{Worker: w, bad: rng.Float64() < load.FailingWorkers})
	}
	return s
}

// start runs a task; the wait of a task is until its first start on a worker that
// doesn't fail it.
func (s *site) start(m *machine, t *taskRecord) *running {
	r := &running{task: t, need: t.job.Need, started: s.now, ends: s.now + t.left, fails: m.bad}
	if t.job.Run > longestRun {
		r.ends = 1 << 62
	}
	if m.bad {
		r.ends = min(r.ends, s.now+failAfter)
	} else if !t.started {
		t.started, t.wait = true, s.now-t.job.Arrive
	}
	m.tasks = append(m.tasks, r)
	m.used, s.used = m.used.Add(r.need), s.used.Add(r.need)
	if !m.used.Fits(m.Capacity) {
		s.overfill++
	}
	s.starts++
	return r
}

// stop ends a task; a checkpointable one keeps what it has done.
func (s *site) stop(m *machine, r *running) {
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

// ended removes and returns the tasks of a machine that have come to their end.
func (s *site) ended(m *machine) []*running {
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

// measure adds up the use of a step of time.
func (s *site) measure(step time.Duration) {
	s.measured += step
	for i, part := range [3]float64{share(s.used.MilliCPU, s.total.MilliCPU), share(s.used.MemoryMiB, s.total.MemoryMiB),
		share(s.used.Accelerators, s.total.Accelerators)} {
		s.area[i] += part * step.Seconds()
	}
}

// packing is the mean use of the resource that is used most.
func (s *site) packing() float64 {
	if s.measured == 0 {
		return 0
	}
	return max(s.area[0], s.area[1], s.area[2]) / s.measured.Seconds()
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
