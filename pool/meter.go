package pool

import "time"

const (
	// minDelaySamples is how many steps of a queue must have started, or become late, within
	// two seconds for their mean wait to be representative. With fewer, a single gang that was
	// delayed by a lost worker caused the next jobs to be refused.
	minDelaySamples = 5
	// inflowWindow is the time over which the work submitted by more urgent queues is
	// averaged.
	inflowWindow = 20 * time.Second
)

// meter sums amounts per second, and returns the highest rate of the last seconds.
type meter struct {
	second  time.Duration
	current float64
	last    [3]float64
}

func (m *meter) count(now time.Duration, amount float64) {
	m.advance(now)
	m.current += amount
}

func (m *meter) advance(now time.Duration) {
	second := now.Truncate(time.Second)
	for n := 0; m.second < second && n < len(m.last); n++ {
		m.last = [3]float64{m.current, m.last[0], m.last[1]}
		m.current = 0
		m.second += time.Second
	}
	m.second = second
}

func (m *meter) rate(now time.Duration) float64 {
	m.advance(now)
	return max(m.current, m.last[0], m.last[1], m.last[2])
}

// total returns the sum of the current and the previous second.
func (m *meter) total(now time.Duration) float64 {
	m.advance(now)
	return m.current + m.last[0]
}

// inflow is a moving average of the work per second that is submitted at one priority of a
// service.
type inflow struct {
	service  string
	priority int
	at       time.Duration
	since    time.Duration // when it was first counted
	work     demand
}

func (f *inflow) decay(now time.Duration) {
	if d := now - f.at; d > 0 {
		f.work = f.work.scaled(max(0, 1-d.Seconds()/inflowWindow.Seconds()))
		f.at = now
	}
}

// waitClass is a class of steps whose waits are observed together. Jobs beyond a weight come after those
// within one, which mustn't be refused because the others wait.
type waitClass struct {
	queue        string
	beyondWeight bool
}

// delays are the waits of a queue's steps, from when they become ready to their start.
type delays struct{ sum, count meter }

// mean returns the mean wait during the last seconds, or 0 if there are too few samples.
func (d *delays) mean(now time.Duration) time.Duration {
	if d == nil {
		return 0
	}
	count := d.count.total(now)
	if count < minDelaySamples {
		return 0
	}
	return time.Duration(d.sum.total(now) / count * float64(time.Second))
}

// recordDelay counts a step's wait once: when it starts, or when it becomes late.
func (c *Core) recordDelay(s *step) {
	if s.delayRecorded || !s.ready {
		return
	}
	s.delayRecorded = true
	if s.job.inherited || s.spec.LongRunning {
		return
	}
	h, class := &c.admission, waitClass{s.job.Queue, s.job.beyondWeight}
	if h.delays[class] == nil {
		h.delays[class] = &delays{}
	}
	h.delays[class].sum.count(c.now, (c.now - s.readySince).Seconds())
	h.delays[class].count.count(c.now, 1)
}

// ages sums how long a queue's waiting steps have waited so far.
type ages struct {
	sum   time.Duration
	steps int
}

func (a *ages) count(age time.Duration) {
	a.sum += age
	a.steps++
}

func (h *admissionState) ageOf(queue string, beyondWeight bool) *ages {
	class := waitClass{queue, beyondWeight}
	if h.ages[class] == nil {
		h.ages[class] = &ages{}
	}
	return h.ages[class]
}

// meanDelay returns the mean wait of the steps that started recently, of the jobs that a job in the
// class doesn't come before.
func (h *admissionState) meanDelay(now time.Duration, class waitClass) time.Duration {
	mean := h.delays[waitClass{queue: class.queue}].mean(now)
	if class.beyondWeight {
		mean = max(mean, h.delays[class].mean(now))
	}
	return mean
}

// observedWait returns the observed wait that a job in the class finds: that of steps that started
// recently, or that of steps that still wait if it is longer.
func (h *admissionState) observedWait(now time.Duration, class waitClass) time.Duration {
	seen := h.meanDelay(now, class)
	for _, beyond := range []bool{false, class.beyondWeight} {
		if a := h.ages[waitClass{class.queue, beyond}]; a != nil {
			seen = max(seen, a.sum/time.Duration(a.steps))
		}
	}
	return seen
}
