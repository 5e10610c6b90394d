package planpace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that spends all of its time on passes while events arrive faster than it
// handles them: 4,000 events a second of 0.1 ms each beside passes that last 0.1, 1 and 5 ms.
func TestPassesUseABoundedShareUnderAFloodOfEvents(t *testing.T) {
	const eventCost = 100 * time.Microsecond
	for _, pass := range []time.Duration{100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		var p Pacer
		var now, planning, longestDelay, lastStart time.Duration
		for now < time.Second {
			now += eventCost
			if p.Wait(now) > 0 {
				continue
			}
			longestDelay = max(longestDelay, now-lastStart)
			lastStart = now
			now += pass
			planning += pass
			p.Done(lastStart, now)
		}
		assert.Assert(t, planning <= now/MaxShareDivisor+pass, "passes of %v took %v of %v", pass, planning, now)
		assert.Assert(t, longestDelay <= MaxShareDivisor*pass+2*eventCost, "a pass of %v came %v after the last", pass, longestDelay)
	}
}

func TestPassesThatTakeNoTimeAreNotDelayed(t *testing.T) {
	var p Pacer
	assert.Equal(t, p.Wait(0), time.Duration(0))
	p.Done(time.Second, time.Second)
	assert.Equal(t, p.Wait(time.Second), time.Duration(0))
	p.Done(time.Second, 900*time.Millisecond) // a clock that was set back
	assert.Equal(t, p.Wait(time.Second), time.Duration(0))
}
