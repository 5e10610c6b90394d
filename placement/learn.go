package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Limits of the learned statistics. One name takes about 6 KiB, so the learner
// of a home stays below 2 MiB.
const (
	maxLearnedNames = 256
	// windowSamples is the size of one half of the window: older samples are
	// dropped once a half is full.
	windowSamples = 256
	// minSamples is how many tasks must have ended before learned values
	// replace declared ones.
	minSamples = 5
	// maxRunMillis and maxMemoryMiB are the largest values that are
	// distinguished.
	maxRunMillis = int64(30 * 24 * time.Hour / time.Millisecond)
	maxMemoryMiB = int64(16 << 20)
	// significantDigits is the precision of the histograms; run times need no
	// more.
	significantDigits = 1
	// expectedQuantile is the quantile of the samples that is used as the
	// expected run time or memory use.
	expectedQuantile = 90
	// enlargeNumerator / enlargeDenominator is the factor by which the memory
	// request grows after a task was stopped for its memory use.
	enlargeNumerator, enlargeDenominator = 3, 2
)

type learnedKey struct{ team, name string }

// nameStats is the statistics of the tasks of one name.
type nameStats struct {
	run    sketch
	memory sketch
	// requiredMemory is the memory in MiB to request after smaller requests led
	// to a stop.
	requiredMemory int64
	usedAt         uint64
}

// learner learns run times and memory use of a home's jobs by team and name. It
// exists in the owner's memory only: a new owner starts from the declared
// values.
type learner struct {
	names map[learnedKey]*nameStats
	clock uint64
}

func newLearner() *learner { return &learner{names: map[learnedKey]*nameStats{}} }

// observe adds the end of an attempt to the statistics. Only completed runs
// count for the run time.
func (l *learner) observe(spec JobSpec, m Changed) {
	if m.State != AttemptDone && m.Cause != CauseMemory {
		return
	}
	x := l.get(spec)
	if m.State == AttemptDone && spec.Kind != Service {
		x.run.record(m.RunTime.Milliseconds(), maxRunMillis)
	}
	if m.Usage.MemoryMiB > 0 {
		x.memory.record(m.Usage.MemoryMiB, maxMemoryMiB)
	}
}

func (l *learner) get(spec JobSpec) *nameStats {
	key := learnedKey{spec.Team, spec.Name}
	l.clock++
	x, ok := l.names[key]
	if !ok {
		if len(l.names) >= maxLearnedNames {
			l.evict()
		}
		x = &nameStats{}
		l.names[key] = x
	}
	x.usedAt = l.clock
	return x
}

// evict drops the least recently used name.
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

// expectedRun is the run time that tasks of the name rarely exceed, or the
// declared one while too few tasks have ended.
func (l *learner) expectedRun(spec JobSpec) time.Duration {
	x, ok := l.names[learnedKey{spec.Team, spec.Name}]
	if !ok || x.run.count < minSamples {
		return spec.ExpectedRun.D()
	}
	return time.Duration(x.run.expected()) * time.Millisecond
}

// need is the resources to request for a new job: as declared, or more if tasks
// of the name were stopped at that size.
func (l *learner) need(spec JobSpec) infra.Resources {
	need := spec.Need
	if x, ok := l.names[learnedKey{spec.Team, spec.Name}]; ok {
		need.MemoryMiB = max(need.MemoryMiB, x.requiredMemory)
	}
	return need
}

// larger returns the resources to request after a task was stopped for its
// memory at the given size.
func (l *learner) larger(spec JobSpec, size infra.Resources) infra.Resources {
	x := l.get(spec)
	size.MemoryMiB = max(size.MemoryMiB*enlargeNumerator/enlargeDenominator, x.memory.expected(), spec.Need.MemoryMiB)
	x.requiredMemory = max(x.requiredMemory, size.MemoryMiB)
	return size
}

// sketch estimates a quantile over the newest values in bounded memory: when
// the newer half of the window is full, it becomes the older half.
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
	if s.newer.TotalCount() >= windowSamples {
		if s.older == nil {
			s.older = hdrhistogram.New(1, largest, significantDigits)
		}
		s.newer, s.older = s.older, s.newer
		s.newer.Reset()
	}
	// The value is clamped to the histogram's range, so it is always accepted.
	_ = s.newer.RecordValue(min(max(v, 1), largest))
	s.count++
	s.stale = true
}

// expected is the quantile of the newer half, or of the older one while the
// newer holds too few values.
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
