package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

// outcomes lets tasks of given jobs end on given workers: each entry is a job, a
// worker and whether the task fails.
type ending struct {
	job, team, worker string
	fails             bool
}

// play runs one task after the other, each on the worker it names.
func play(r *rig, endings []ending) {
	for _, e := range endings {
		r.plan = func(*simWorker, Attempt) (time.Duration, bool) { return 100 * time.Millisecond, e.fails }
		m := work(e.job, 1000, 1000, 0)
		m.Team = e.team
		for _, w := range r.s.order {
			if w.ID != e.worker {
				m.Avoid = append(m.Avoid, w.ID)
			}
		}
		r.place(m)
		r.pass(500 * time.Millisecond)
	}
}

// A worker fails all it starts and, being always free, would draw the whole queue.
// It is out within a few tasks; what only a bad job did is not held against it.
func TestWhoIsQuarantined(t *testing.T) {
	fails := func(job, team, worker string) ending { return ending{job, team, worker, true} }
	runs := func(job, team, worker string) ending { return ending{job, team, worker, false} }
	tests := []struct {
		name    string
		endings []ending
		out     []string
	}{
		{"three jobs of two teams fail on one worker", []ending{fails("x", "t", "a"), fails("y", "u", "a"), fails("z", "t", "a")}, []string{"a"}},
		{"it fails three times what another runs", []ending{fails("x", "t", "a"), fails("x", "t", "a"), fails("x", "t", "a"), runs("x", "t", "b")}, []string{"a"}},
		{"one bad job fails many times on one worker", []ending{fails("x", "t", "a"), fails("x", "t", "a"), fails("x", "t", "a"), fails("x", "t", "a"), fails("x", "t", "a")}, nil},
		{"one bad job fails on all workers", []ending{fails("x", "t", "a"), fails("x", "t", "b"), fails("x", "t", "c"), fails("x", "t", "a"), fails("x", "t", "b")}, nil},
		{"two bad jobs that fail everywhere and one failure", []ending{fails("x", "t", "b"), fails("y", "u", "b"), fails("x", "t", "a"), fails("y", "u", "a"), fails("z", "t", "a")}, nil},
		{"three jobs of one team are not enough", []ending{fails("x", "t", "a"), fails("y", "t", "a"), fails("z", "t", "a")}, nil},
		{"five are", []ending{fails("v", "t", "a"), fails("w", "t", "a"), fails("x", "t", "a"), fails("y", "t", "a"), fails("z", "t", "a")}, []string{"a"}},
		{"the same jobs fail on two workers that run nothing", []ending{fails("x", "t", "a"), fails("y", "u", "a"), fails("z", "t", "a"),
			fails("x", "t", "b"), fails("y", "u", "b"), fails("z", "t", "b")}, []string{"a", "b"}},
		{"a success in between clears", []ending{fails("x", "t", "a"), fails("y", "u", "a"), runs("w", "t", "a"), fails("z", "t", "a")}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(machine("a", 4000, 4000, 0), machine("b", 4000, 4000, 0), machine("c", 4000, 4000, 0))
			play(r, tt.endings)
			var out []string
			for _, st := range r.s.Status() {
				if st.Quarantine != "" {
					out = append(out, st.ID)
				}
			}
			assert.DeepEqual(t, out, tt.out)
		})
	}
}

// A whole rack fails everything. The first tasks find out; after that each worker
// gets nothing for its time and then one task at a time, so most of the queue is
// left for other racks, and when the rack is mended a probe brings it back.
func TestBadRackDoesNotSwallowAQueue(t *testing.T) {
	r := newRig(machine("a", 8000, 8000, 0), machine("b", 8000, 8000, 0))
	broken := true
	r.plan = func(*simWorker, Attempt) (time.Duration, bool) { return 100 * time.Millisecond, broken }
	failed := func() int {
		n := 0
		for _, c := range r.told {
			if c.State == AttemptFailed {
				n++
			}
		}
		return n
	}
	ask := func(seconds int) {
		for i := range 5 * seconds {
			m := work(fmt.Sprintf("j%d", i), 1000, 1000, 0)
			m.Team = fmt.Sprintf("t%d", i%7)
			r.place(m)
			r.pass(200 * time.Millisecond)
			for _, c := range r.told {
				r.s.JobEnded(c.Attempt.Job)
			}
		}
	}
	ask(60)
	assert.Assert(t, failed() <= 16, "%d of 300 tasks were lost to the rack", failed())
	broken = false
	r.pass(2 * time.Minute)
	assert.Assert(t, r.s.Digest().Free != (infra.Resources{}), "a rack due for a probe must offer its room")
	ask(4)
	for _, st := range r.s.Status() {
		assert.Assert(t, st.Quarantine == "" || len(st.Tasks) == 0, "%+v", st)
	}
	assert.Equal(t, r.s.Status()[0].Quarantine, "")
}
