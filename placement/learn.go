package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Bounds of what is learned. One name takes about 6 KiB, so a home's learner
// stays below 2 MiB.
const (
	maxLearned = 256
	// keptSamples is how many ends of tasks count before older ones fade.
	keptSamples = 256
	// minSamples is how many ends are needed before what was learned goes
	// before what was declared.
	minSamples = 5
	// longestRunMillis and largestMemoryMiB are the largest values told apart.
	longestRunMillis = int64(30 * 24 * time.Hour / time.Millisecond)
	largestMemoryMiB = int64(16 << 20)
	// significantDigits of a value are kept: run times need not be more exact.
	significantDigits = 1
	// expectedQuantile is the run time that a task is expected not to exceed.
	expectedQuantile = 90
	// enlargeNumerator / enlargeDenominator is how much larger a task is tried
	// after it was stopped for its memory.
	enlargeNumerator, enlargeDenominator = 3, 2
)

type learnedKey struct{ team, name string }

// learned is what the ends of tasks of one name have shown.
type learned struct {
	run    sketch
	memory sketch
	// enough is the memory that was needed after smaller sizes were stopped.
	enough int64
	usedAt uint64
}

// learner learns run times and sizes of a home's jobs by team and name. It is
// memory of the owner only: a new owner starts from what is declared.
type learner struct {
	names map[learnedKey]*learned
	clock uint64
}

func newLearner() *learner { return &learner{names: map[learnedKey]*learned{}} }

// observe learns from the end of an attempt. Only whole runs tell how long a run
// takes.
func (l *learner) observe(spec JobSpec, m Changed) {
	if m.State != AttemptDone && m.Cause != CauseMemory {
		return
	}
	x := l.get(spec)
	if m.State == AttemptDone && spec.Kind != Service {
		x.run.record(m.RunTime.Milliseconds(), longestRunMillis)
	}
	if m.Usage.MemoryMiB > 0 {
		x.memory.record(m.Usage.MemoryMiB, largestMemoryMiB)
	}
}

func (l *learner) get(spec JobSpec) *learned {
	key := learnedKey{spec.Team, spec.Name}
	l.clock++
	x, ok := l.names[key]
	if !ok {
		if len(l.names) >= maxLearned {
			l.evict()
		}
		x = &learned{}
		l.names[key] = x
	}
	x.usedAt = l.clock
	return x
}

// evict drops the name that was unused for the longest time.
func (l *learner) evict() {
	var oldest learnedKey
	at := l.clock
	for k, x := range l.names {
		if x.usedAt < at {
			oldest, at = k, x.usedAt
		}
	}
	delete(l.names, oldest)
}

// expectedRun is the run time that tasks of the name rarely exceed, or what was
// declared while too few have ended.
func (l *learner) expectedRun(spec JobSpec) time.Duration {
	x, ok := l.names[learnedKey{spec.Team, spec.Name}]
	if !ok || x.run.count < minSamples {
		return spec.ExpectedRun.D()
	}
	return time.Duration(x.run.expected()) * time.Millisecond
}

// need is what a new job is asked for: what it declares, or more when tasks of
// the name have been stopped at that size.
func (l *learner) need(spec JobSpec) infra.Resources {
	need := spec.Need
	if x, ok := l.names[learnedKey{spec.Team, spec.Name}]; ok {
		need.MemoryMiB = max(need.MemoryMiB, x.enough)
	}
	return need
}

// larger is the size to try after a task was stopped for its memory at a size.
func (l *learner) larger(spec JobSpec, size infra.Resources) infra.Resources {
	x := l.get(spec)
	size.MemoryMiB = max(size.MemoryMiB*enlargeNumerator/enlargeDenominator, x.memory.expected(), spec.Need.MemoryMiB)
	x.enough = max(x.enough, size.MemoryMiB)
	return size
}

// sketch is quantiles over the newest values, in bounded memory: when one half is
// full it becomes the older half.
type sketch struct {
	newer, older *hdrhistogram.Histogram
	count        int
	cached       int64
	stale        bool
}

func (s *sketch) record(v, largest int64) {
	if s.newer == nil {
		s.newer = hdrhistogram.New(1, largest, significantDigits)
	}
	if s.newer.TotalCount() >= keptSamples {
		if s.older == nil {
			s.older = hdrhistogram.New(1, largest, significantDigits)
		}
		s.newer, s.older = s.older, s.newer
		s.newer.Reset()
	}
	// The value is cut to the histogram's range, so it is always accepted.
	_ = s.newer.RecordValue(min(max(v, 1), largest))
	s.count++
	s.stale = true
}

// expected is the quantile of the newer half, or of the older one while the newer
// holds too few.
func (s *sketch) expected() int64 {
	if s.newer == nil {
		return 0
	}
	if s.stale {
		s.cached, s.stale = s.newer.ValueAtQuantile(expectedQuantile), false
		if s.older != nil && s.newer.TotalCount() < minSamples {
			s.cached = s.older.ValueAtQuantile(expectedQuantile)
		}
	}
	return s.cached
}
