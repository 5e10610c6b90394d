// Package capload estimates when a job gets its part of its organisation's cap, from what the
// organisation's tasks use now, how long they still run, and the work that goes before the job.
//
// It does no I/O. Amounts are in the units of organisation.Amounts, and work is amounts times seconds.
package capload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// Never is returned for work that doesn't end by the estimate.
const Never = 24 * time.Hour

// Work is an amount of work for each resource, in amounts times seconds.
type Work [organisation.Resources]float64

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	for r := range w {
		w[r] += o[r]
	}
	return w
}

// Run is what a task uses, and how long it is expected to use it.
type Run struct {
	Use  organisation.Amounts
	Left time.Duration
}

// Load is the load on one organisation's cap.
type Load struct {
	level organisation.Amounts
	used  organisation.Amounts
	runs  []Run // by Left
}

// New returns the load on a cap. Level is what the organisation may use; math.MaxInt64: no limit. It may
// be below what the runs use, since a cap can be lowered. New keeps and sorts runs.
func New(level organisation.Amounts, runs []Run) *Load {
	l := &Load{level: level, runs: runs}
	for _, r := range runs {
		l.used = l.used.Plus(r.Use)
	}
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Left, b.Left) })
	return l
}

// Used returns what the runs use.
func (l *Load) Used() organisation.Amounts { return l.used }

// Drained returns when the cap has let work through beside the runs. Unit is what the largest task of
// the work uses, or the gang: the level is taken as no smaller, as the pool gets what its next task needs.
func (l *Load) Drained(work Work, unit organisation.Amounts) time.Duration {
	longest := time.Duration(0)
	for r := range work {
		if work[r] > 0 && l.level[r] != math.MaxInt64 {
			longest = max(longest, l.drained(organisation.Resource(r), work[r], unit[r]))
		}
	}
	return longest
}

func (l *Load) drained(r organisation.Resource, work float64, unit int64) time.Duration {
	level, used := max(l.level[r], unit), l.used[r]
	start := time.Duration(0)
	for _, run := range l.runs {
		free := max(0, level-used)
		if processed := float64(free) * (run.Left - start).Seconds(); processed >= work {
			break
		} else if run.Left > start {
			work -= processed
			start = run.Left
		}
		used -= run.Use[r]
	}
	free := max(0, level-used)
	if free == 0 {
		return Never
	}
	return start + time.Duration(min(work/float64(free), (Never-start).Seconds())*float64(time.Second))
}

// Fits returns when a task or gang that uses unit fits under the cap, no earlier than from.
func (l *Load) Fits(unit organisation.Amounts, from time.Duration) time.Duration {
	free := func(used organisation.Amounts) bool {
		for r := range unit {
			if unit[r] > 0 && l.level[r] != math.MaxInt64 && unit[r] > max(l.level[r], unit[r])-used[r] {
				return false
			}
		}
		return true
	}
	used := l.used
	at := from
	for _, run := range l.runs {
		if run.Left > at && free(used) {
			return at
		}
		used = used.Minus(run.Use)
		at = max(at, run.Left)
	}
	if free(used) {
		return at
	}
	return Never
}
