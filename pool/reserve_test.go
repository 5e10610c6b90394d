package pool

import (
	"testing"
	"time"
)

// Both workers are partly filled, and a job comes whose task needs most of one.
// Small jobs keep coming and fit into every gap. Unless one worker is kept for the
// large task, it never finds room, and its caller waits for good.
func TestLargeTaskFindsRoomAmongSmallOnes(t *testing.T) {
	r := newRig(t, box("w1"), box("w2"), box("w3"))
	r.save()
	active := map[string]map[TaskID]time.Duration{"w1": {}, "w2": {}, "w3": {}}
	ends := map[string]uint64{}
	place := func() (large bool) {
		for _, s := range r.starts() {
			active[s.Worker][s.Task] = r.now
			large = large || s.Task.Job == "large"
		}
		return large
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		r.hold(w, nil)
	}
	job := 0
	for round := range 160 {
		if round == 30 {
			big := small(1)
			big.Need.CPU = 3500
			r.submit("large", big)
		}
		// 10 small tasks of 1 s a second fill 10 of 12 places, and end one after
		// the other.
		if round%2 == 0 {
			job++
			r.submit(jobName(job), small(1))
		}
		if place() {
			return
		}
		for _, w := range []string{"w1", "w2", "w3"} {
			var still []ActiveRun
			var done []EndedRun
			for id, since := range active[w] {
				if r.now-since >= time.Second {
					ends[w]++
					done = append(done, EndedRun{Number: ends[w], Task: id, Run: 1, How: Done})
					delete(active[w], id)
				} else {
					still = append(still, ActiveRun{Task: id, Run: 1, Percent: int((r.now - since) / (10 * time.Millisecond))})
				}
			}
			r.hold(w, still, done...)
		}
		r.save()
		r.pass(50 * time.Millisecond)
		if place() {
			return
		}
	}
	t.Fatal("the large task never started")
}

func jobName(n int) string {
	return "small" + string(rune('a'+n/26%26)) + string(rune('a'+n%26)) + string(rune('a'+n/676))
}
