// Package speculation decides whether a straggling run gets a copy: a second run of the same task on
// another worker, of which the first end counts. It is pure code without a clock.
package speculation

import "time"

const (
	// Share is the share of runs like a straggler that have ended by the time after which it may get a
	// copy. In one of ten steps with ten tasks, the longest run takes 2.3 times the median, so one run in a
	// hundred is a straggler.
	Share = 0.95
	// MaxCopies is the share of a pool's running tasks that may be copies.
	MaxCopies = 0.05
	// MinGain is the least time that a copy has to gain. To start it and to stop the other run takes up to
	// 0.3 s of a worker, and the two orders tens of milliseconds.
	MinGain = 100 * time.Millisecond
)

// Run is a run that may be a straggler.
type Run struct {
	// Elapsed is how long it has been active.
	Elapsed time.Duration
	// Quantile is the run time on a typical worker that a share of Share of the runs like this one don't
	// exceed; 0: unknown.
	Quantile time.Duration
	// Slowness is the expected run time on its worker as a multiple of that on a typical one.
	Slowness float64
	// Remaining is the time left by the progress that it has reported; 0: unknown.
	Remaining time.Duration
}

// Limit returns the time after which the run is late.
func (r Run) Limit() time.Duration { return time.Duration(float64(r.Quantile) * r.Slowness) }

// IsLate reports whether the run takes longer than runs like it take on a worker of that speed.
func (r Run) IsLate() bool { return r.Quantile > 0 && r.Slowness > 0 && r.Elapsed > r.Limit() }

// Lateness returns the elapsed time as a multiple of the limit, to rank late runs.
func (r Run) Lateness() float64 { return float64(r.Elapsed) / float64(max(1, r.Limit())) }

// gains reports whether a copy that takes the given time is expected to end well before the run. Of a late
// run without progress, nothing is known but that it is late: it is expected to take as long again.
func (r Run) gains(copyTime time.Duration) bool {
	left := r.Remaining
	if left == 0 {
		left = r.Elapsed
	}
	return left >= copyTime+MinGain
}

// Pool is the state of a pool when a copy is decided.
type Pool struct {
	// Running is the number of runs in the pool, copies included, and Copies that of the copies.
	Running, Copies int
	// Waiting is set if a step waits for capacity.
	Waiting bool
}

// HasBudget reports whether one more run may be a copy. A small pool may have a single one.
func (p Pool) HasBudget() bool {
	return p.Copies < max(1, int(MaxCopies*float64(p.Running)))
}

// Verdict is the decision on a copy.
type Verdict int

// The verdicts.
const (
	// Due: the copy is started.
	Due Verdict = iota
	// InTime: the run takes no longer than runs like it.
	InTime
	// NoGain: the copy isn't expected to end well before the run.
	NoGain
	// OverBudget: too many of the pool's runs are copies.
	OverBudget
	// NoCapacity: work waits for capacity, or no worker has any for the copy.
	NoCapacity
)

// Decide returns whether a copy of the run is due that is expected to take copyTime; 0: no worker has
// capacity for it.
func Decide(r Run, p Pool, copyTime time.Duration) Verdict {
	switch {
	case !r.IsLate():
		return InTime
	case !p.HasBudget():
		return OverBudget
	case p.Waiting || copyTime <= 0:
		return NoCapacity
	case !r.gains(copyTime):
		return NoGain
	}
	return Due
}
