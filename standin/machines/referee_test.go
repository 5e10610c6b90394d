package machines

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against a referee that misses starts after an acknowledged end, and against one that counts an end which its worker's
// lease has outdated.
func TestStartsAfterAnAcknowledgedEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		lapsed   time.Duration // after the end; 0: never
		started  time.Duration // after the acknowledgement
		findings int
	}{
		{"the lease is in force", 0, 100 * time.Millisecond, 1},
		{"it lapsed before the end", -time.Second, 100 * time.Millisecond, 1},
		{"it lapsed after the end", time.Second, 100 * time.Millisecond, 0},
		{"it lapsed after the end, started late", time.Second, maxStartAfterLapsedEnd + time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(1)
				w.AddWorker(pool.Resources{CPU: 1000, Mem: 1000}, "x", "r1")
				x, r := w.order[0], w.Referee
				r.Submitted(pool.Job{ID: "j", Steps: []pool.StepSpec{{Count: 1}}}, 3)
				task, j := pool.TaskID{Job: "j"}, r.jobs["j"]
				x.endedAt = map[uint64]time.Time{1: time.Now()}
				if c.lapsed != 0 {
					x.lapsedAt = time.Now().Add(c.lapsed)
				}
				time.Sleep(2 * time.Second)
				r.endAcknowledged(x, pool.EndedRun{Task: task, Run: 1, Number: 1, How: pool.Done})
				time.Sleep(c.started)
				r.checkExclusive(x, j, pool.Start{Task: task, Run: 2}, order{sentAt: time.Now()})
				assert.Equal(t, len(r.Findings), c.findings, "%v", r.Findings)
				assert.Equal(t, r.startsAfterLapsedEnd, 1-c.findings)
			})
		})
	}
}
