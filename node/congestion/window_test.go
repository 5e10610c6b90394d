package congestion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node/congestion"
)

const (
	minSize  = 1000
	maxSize  = 100_000
	callSize = 500
)

// runInterval makes one call for each latency within one interval, and returns the start of
// the next interval. A latency of 0 is a call without an answer.
func runInterval(w *congestion.Window, now time.Duration, latencies ...time.Duration) time.Duration {
	for _, latency := range latencies {
		w.Admit(now, callSize)
		if latency == 0 {
			w.Failed(now, callSize)
		} else {
			w.Answered(now, latency, callSize)
		}
	}
	return now + 100*time.Millisecond
}

func TestWindowSize(t *testing.T) {
	const fast, slow = 3 * time.Millisecond, 200 * time.Millisecond
	for _, c := range []struct {
		name      string
		intervals [][]time.Duration
		want      int
	}{
		{"fast answers", [][]time.Duration{{fast}, {fast}, {fast}}, maxSize},
		{"one slow server among fast ones", [][]time.Duration{{fast}, {fast, slow, slow}, {fast}}, maxSize},
		{"one unresponsive server among fast ones", [][]time.Duration{{fast}, {fast, 0, 0}, {fast}}, maxSize},
		{"all answers delayed", [][]time.Duration{{fast}, {slow, slow}, {slow}, {fast}}, 49_000},
		{"no answers", [][]time.Duration{{fast}, {0, 0}, {fast}}, 50_000},
		{"no calls", [][]time.Duration{{fast}, {}, {}}, maxSize},
		{"never below the minimum", [][]time.Duration{{fast}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {fast}}, minSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := congestion.NewWindow(congestion.Limits{Min: minSize, Max: maxSize})
			now := time.Second
			for _, latencies := range c.intervals {
				now = runInterval(w, now, latencies...)
			}
			w.Available(now)
			assert.Equal(t, w.Size(), c.want)
		})
	}
}

// Guards against a window that stays small after congestion ends.
func TestWindowGrowsAgainWhileCallsWaitForIt(t *testing.T) {
	w := congestion.NewWindow(congestion.Limits{Min: minSize, Max: maxSize})
	now := runInterval(w, time.Second, time.Millisecond)
	for range 20 {
		now = runInterval(w, now, 0)
	}
	assert.Equal(t, w.Size(), minSize)
	intervals := 0
	for ; w.Size() < maxSize; intervals++ {
		assert.Assert(t, w.Admit(now, callSize))
		assert.Assert(t, !w.Admit(now, maxSize), "call exceeds the window")
		w.Answered(now, time.Millisecond, callSize)
		now += 100 * time.Millisecond
		w.Available(now)
	}
	assert.Assert(t, intervals < 60, "%d intervals", intervals)
}

// Guards against a call larger than the window never being sent.
func TestWindowAlwaysAdmitsOneCall(t *testing.T) {
	w := congestion.NewWindow(congestion.Limits{Min: minSize, Max: minSize})
	assert.Assert(t, w.Admit(time.Second, 10*minSize))
	assert.Assert(t, !w.Admit(time.Second, 1))
	assert.Equal(t, w.Available(time.Second), 0)
	w.Answered(time.Second, time.Millisecond, 10*minSize)
	assert.Equal(t, w.Available(time.Second), minSize)
}
