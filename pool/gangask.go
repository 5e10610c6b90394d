package pool

import (
	"cmp"
	"slices"
	"time"
)

// A gang begins whole or not at all: an answer that leaves it with too few workers starts
// nothing, and the next question waits behind all others. So a question about a gang names
// as many workers as the gang can be expected to need, and is put again only if the answer
// can be expected to let it begin, or if those known could not hold it even when empty.

const (
	// mostNamed is how many workers the advice service takes in one question.
	mostNamed = 100
	// gangMargin times the places that a gang needs are to be expected on what a question
	// names: which workers it may use is luck, and others take room until the answer comes.
	gangMargin = 2
	// guessedGood is the share of workers that a queue's steps may use, until its answers
	// tell. It counts like answers about guessedFor workers.
	guessedGood = 0.25
	guessedFor  = maxNamed
)

// goodShare is the share of workers that a queue's steps may use, by its answers so far.
func (c *Core) goodShare(queue string) float64 {
	a := c.headroom.advised[queue]
	return (a.good + guessedGood*guessedFor) / (a.asked + guessedFor)
}

// places is how many tasks of a step a worker has room for, now or when it is empty.
func (c *Core) places(s *step, w *worker, empty bool) float64 {
	if empty {
		return float64(c.copiesWithin(s, w.Capacity))
	}
	return float64(c.copiesWithin(s, w.free()))
}

// placesOf is how many tasks the workers hold that have at least the given permission.
func (c *Core) placesOf(s *step, least permission, empty bool) float64 {
	sum := 0.0
	for _, w := range c.byID {
		if c.permission(s, w) <= least && c.fits(s, w) {
			sum += c.places(s, w, empty)
		}
	}
	return sum
}

// asManyAsTaken returns as many of the named workers as a question may name, those whose
// tickets end first. The service turns a question about more away, so that a gang on more
// workers would never begin; the others' tickets are renewed by the next.
func (c *Core) asManyAsTaken(s *step, names []string) []string {
	if len(names) <= mostNamed {
		return names
	}
	until := func(id string) time.Duration { return s.advice.of(c.workers[id]).until }
	names = slices.Clone(names)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(until(a), until(b)) })
	return names[:mostNamed]
}

// cantHold reports whether the workers that a gang is known to be allowed on are too few for
// it even when they are empty, while with others they could be enough. None can be kept for
// it then.
func (c *Core) cantHold(s *step, tasks int) bool {
	if !s.spec.Gang || s.spec.SameRack {
		return false
	}
	known := c.placesOf(s, renewable, true)
	return known < float64(tasks) && c.placesOf(s, unknown, true) >= float64(tasks)
}

// gangNames is how many workers of a list a question about a gang names, at least.
func (c *Core) gangNames(s *step, list []*worker, tasks int, empty bool) int {
	share, expected := c.goodShare(s.job.Queue), c.placesOf(s, renewable, empty)
	for n, w := range list {
		if n == mostNamed || expected >= gangMargin*float64(tasks) {
			return n
		}
		expected += share * c.places(s, w, empty)
	}
	return min(mostNamed, len(list))
}

// couldBegin reports whether a gang can be expected to begin now with an answer about the
// workers that have room.
func (c *Core) couldBegin(s *step, tasks int) bool {
	if len(c.pick(s, tasks, unknown)) < tasks {
		return false
	}
	share, expected, named := c.goodShare(s.job.Queue), 0.0, 0
	for _, w := range c.candidates {
		p := c.places(s, w, false)
		if c.permission(s, w) == unknown {
			if named++; named > mostNamed {
				continue
			}
			p *= share
		}
		expected += p
	}
	return expected >= float64(tasks)
}
