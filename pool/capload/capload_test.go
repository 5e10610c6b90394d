package capload

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

const second = time.Second

func cores(n int64) organisation.Amounts { return organisation.Amounts{organisation.CPU: n * 1000} }

func coreSeconds(n float64) Work { return Work{organisation.CPU: n * 1000} }

// limited returns a level that limits the cores only.
func limited(n int64) organisation.Amounts {
	return organisation.Amounts{organisation.CPU: n * 1000, organisation.Mem: math.MaxInt64, organisation.GPU: math.MaxInt64}
}

// Guards against waits that ignore what runs under the cap, and against a cap of another resource that
// counts for a job that doesn't use it.
func TestTimeUntilADemandFits(t *testing.T) {
	busy := []Run{{cores(4), second}, {cores(4), 3 * second}}
	for _, x := range []struct {
		name    string
		level   organisation.Amounts
		runs    []Run
		ahead   Work
		unit    organisation.Amounts
		drained time.Duration
		fits    time.Duration
	}{
		{"nothing runs", limited(8), nil, Work{}, cores(2), 0, 0},
		{"no limit", organisation.Amounts{math.MaxInt64, math.MaxInt64, math.MaxInt64}, busy, coreSeconds(1000), cores(900), 0, 0},
		{"free beside the runs", limited(10), busy, Work{}, cores(2), 0, 0},
		{"until the first run ends", limited(8), busy, Work{}, cores(2), 0, second},
		{"a gang until all runs end", limited(8), busy, Work{}, cores(8), 0, 3 * second},
		{"work ahead", limited(8), nil, coreSeconds(16), cores(2), 2 * second, 2 * second},
		{"work ahead beside runs", limited(8), busy, coreSeconds(8 + 8), cores(2), 4 * second, 4 * second},
		{"cap lowered below what runs", limited(4), busy, Work{}, cores(2), 0, 3 * second},
		{"cap lowered, work ahead", limited(4), busy, coreSeconds(8), cores(2), 5 * second, 5 * second},
		{"long-running tasks take all", limited(4), []Run{{cores(4), Never}}, coreSeconds(1), cores(2), Never, Never},
		{"share below one task", limited(0), nil, coreSeconds(4), cores(2), 2 * second, 2 * second},
		{"other resource", limited(1), []Run{{cores(1), 9 * second}}, Work{organisation.GPU: 8}, organisation.Amounts{organisation.GPU: 1}, 0, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			l := New(x.level, x.runs)
			drained := l.Drained(x.ahead, x.unit)
			assert.Equal(t, drained, x.drained)
			assert.Equal(t, l.Fits(x.unit, drained), x.fits)
		})
	}
}

// Load: a cap that is lowered while jobs wait, and raised again. Jobs of one core-second each are handed in
// at the cap's rate; the estimate for the newest follows the cap at once.
func TestEstimateFollowsAChangedCap(t *testing.T) {
	backlog := 8.0
	for _, x := range []struct {
		level int64
		want  time.Duration
	}{{8, second}, {2, 4 * second}, {16, second / 2}} {
		assert.Equal(t, New(limited(x.level), nil).Drained(coreSeconds(backlog), cores(1)), x.want, "level %d", x.level)
	}
}

// Guards against idle shares that count although their pool's owner isn't heard any more.
func TestIdleSharesOfOtherPools(t *testing.T) {
	var idle Idle
	assert.Equal(t, idle.Of(0, "a"), organisation.Amounts{})
	idle.Record(0, 1, map[string]organisation.Amounts{"a": cores(4)})
	idle.Record(second, 2, map[string]organisation.Amounts{"a": cores(2), "b": cores(1)})
	assert.Equal(t, idle.Of(second, "a"), cores(6))
	assert.Equal(t, idle.Of(3*second+1, "a"), cores(2), "pool 1 has been silent for more than 3 s")
	idle.Record(4*second, 2, map[string]organisation.Amounts{})
	assert.Equal(t, idle.Of(4*second, "a"), organisation.Amounts{})
}
