package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Twice and four times as much is asked for as the cell can serve. A queue served
// in turn then delivers little in time, as all wait too long: callers see
// late answers, and the worthiest suffer with the rest.
func TestWorthDeliveredUnderOverload(t *testing.T) {
	for _, c := range Cells() {
		for _, at := range []struct{ factor, least float64 }{{2, 0.93}, {4, 0.88}} {
			t.Run(c.Name, func(t *testing.T) {
				length := 20 * c.longestDeadline()
				c.Runners, c.Entries = max(c.Runners/5, 7), 2
				arrivals := c.Arrivals(Load{Factor: at.factor, For: length, Seed: 1})
				r := c.Run(arrivals, Borrowing)
				part := r.Worth / c.Oracle(arrivals)
				assert.Assert(t, part >= at.least, "at %v x the core delivers %.3f of the oracle", at.factor, part)
				assert.Assert(t, r.MostBusy <= SlotsPerRunner, "%d slots of one runner in use", r.MostBusy)
			})
		}
	}
}

// The same run twice gives the same figures, so that a figure can be checked.
func TestRunsRepeat(t *testing.T) {
	c := Cells()[1]
	arrivals := c.Arrivals(Load{Factor: 2, For: 20 * time.Second, Seed: 3})
	one, two := c.Run(arrivals, Borrowing), c.Run(arrivals, Borrowing)
	assert.DeepEqual(t, one, two)
}
