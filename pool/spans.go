package pool

import (
	"slices"

	"github.com/pkg/errors"
)

// Spans is a set of numbers of occurrences, as ranges [from, before) in ascending order with gaps between them.
type Spans [][2]int

// add adds the numbers from one to before another.
func (s Spans) add(from, before int) Spans {
	if from >= before {
		return s
	}
	// The ranges that overlap or touch the new one are merged with it.
	first, _ := slices.BinarySearchFunc(s, from, func(r [2]int, n int) int { return r[1] - n })
	last := first
	for ; last < len(s) && s[last][0] <= before; last++ {
		from, before = min(from, s[last][0]), max(before, s[last][1])
	}
	return slices.Replace(s, first, last, [2]int{from, before})
}

// union adds the numbers of another set.
func (s Spans) union(o Spans) Spans {
	for _, r := range o {
		s = s.add(r[0], r[1])
	}
	return s
}

// nextMissing returns the first number from n on that isn't in the set.
func (s Spans) nextMissing(n int) int {
	i, _ := slices.BinarySearchFunc(s, n, func(r [2]int, n int) int { return r[1] - n - 1 })
	if i < len(s) && s[i][0] <= n {
		return s[i][1]
	}
	return n
}

func (s Spans) contains(n int) bool { return s.nextMissing(n) != n }

// count returns how many numbers the set has.
func (s Spans) count() int {
	n := 0
	for _, r := range s {
		n += r[1] - r[0]
	}
	return n
}

// without calls f for the numbers that another set lacks, in ascending order.
func (s Spans) without(o Spans, f func(n int)) {
	for _, r := range s {
		for n := o.nextMissing(r[0]); n < r[1]; n = o.nextMissing(n + 1) {
			f(n)
		}
	}
}

// prefix returns the part of the set that begins with 0 and has no gap.
func (s Spans) prefix() Spans {
	if len(s) > 0 && s[0][0] == 0 {
		return Spans{s[0]}
	}
	return nil
}

func (s Spans) check() error {
	end := -1
	for _, r := range s {
		if r[0] <= end || r[1] <= r[0] {
			return errors.New("ranges of occurrences: not in ascending order")
		}
		end = r[1]
	}
	return nil
}
