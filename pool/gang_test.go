package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// advise lets a question be answered later: named workers may run its step.
func (r *rig) advise(a Advise, good ...string) {
	var tickets []Ticket
	for _, id := range good {
		tickets = append(tickets, Ticket{Worker: id, Ticket: "t"})
	}
	r.step(Advised{Step: a.Step, Asked: a.Workers, Good: tickets, Validity: 2 * time.Second})
}

// gangOf is a gang of tasks of so many thousandths of a core.
func gangOf(n, cpu int, estimate time.Duration) StepSpec {
	return StepSpec{Count: n, Need: Resources{CPU: cpu, Mem: 100}, EstimateMs: estimate.Milliseconds(), Gang: true}
}

// started are the tasks of a job among those that are started now.
func (r *rig) started(job string) int {
	n := 0
	for _, s := range r.starts() {
		if s.Task.Job == job {
			n++
		}
	}
	return n
}

// A caller's gang has waited for room. It is there now, and booked while the tickets are
// renewed; the question waits for its turn. Meanwhile another gang comes that needs the
// same workers a little later, and they are kept for it. When the tickets come the first
// gang's room is free, and yet it may not use it: it asks anew, books the same room, and
// so on for as long as gangs come, while the room stands idle.
func TestRoomBookedForTicketsIsTheStepsOwn(t *testing.T) {
	r := newAdvisedRig(t, "w1", "w2")
	active := map[string][]ActiveRun{}
	run := func(job, worker string, cpu int, estimate time.Duration) {
		r.submit(job, StepSpec{Count: 1, Need: Resources{CPU: cpu, Mem: 100}, EstimateMs: estimate.Milliseconds()})
		r.answer(worker)
		assert.Equal(t, r.started(job), 1)
		active[worker] = append(active[worker], ActiveRun{Task: taskOf(job, 0), Run: 1})
	}
	run("stays", "w1", 900, 30*time.Second)
	run("also", "w2", 900, 30*time.Second)
	run("first", "w1", 2500, 30*time.Second)
	run("second", "w2", 2500, 30*time.Second)
	r.submit("waiting", gangOf(2, 2000, 20*time.Second))
	r.answer("w1", "w2")
	for range 3 { // until its tickets are over
		r.pass(time.Second)
		for _, w := range []string{"w1", "w2"} {
			for i := range active[w] {
				active[w][i].Percent += 3 // of 30 s
			}
			r.hold(w, active[w])
		}
		assert.Equal(t, len(take[Advise](r)), 0)
	}
	r.step(CancelStored{Job: "first"})
	r.step(CancelStored{Job: "second"})
	r.hold("w1", active["w1"][:1], EndedRun{Number: 1, Task: taskOf("first", 0), Run: 1, How: Stopped})
	r.hold("w2", active["w2"][:1], EndedRun{Number: 1, Task: taskOf("second", 0), Run: 1, How: Stopped})
	r.pass(50 * time.Millisecond)
	asked := take[Advise](r)
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Step.Job, "waiting")
	r.submit("another", gangOf(2, 1500, 100*time.Millisecond))
	r.answer("w1", "w2")
	r.pass(300 * time.Millisecond)
	r.hold("w1", active["w1"][:1])
	r.hold("w2", active["w2"][:1])
	r.advise(asked[0], "w1", "w2")
	assert.Equal(t, r.started("waiting"), 2)
}

// A gang's first question is under way. Meanwhile a gang of the same kind that comes after
// it is known to have its room in half a minute, and the workers are kept for that. The
// answer comes, and there is room for the first gang now. Kept from it, the gang asks about
// more workers and finds those kept as well when it knows them: its caller waits for as
// long as gangs come after it.
func TestNoRoomIsKeptFromAGangForOneThatComesAfterIt(t *testing.T) {
	r := newAdvisedRig(t, "w1", "w2")
	for n, w := range []string{"w1", "w2"} {
		job := jobName(n)
		r.submit(job, StepSpec{Count: 1, Need: Resources{CPU: 900, Mem: 100}, EstimateMs: 30000})
		r.answer(w)
		assert.Equal(t, r.started(job), 1)
	}
	r.submit("first", gangOf(2, 2000, 20*time.Second))
	asked := take[Advise](r)
	assert.Equal(t, len(asked), 1)
	r.pass(100 * time.Millisecond)
	r.submit("after", gangOf(2, 3500, 40*time.Second))
	r.answer("w1", "w2")
	r.pass(300 * time.Millisecond)
	r.advise(asked[0], "w1", "w2")
	assert.Equal(t, r.started("first"), 2)
}

// manyWorkers has many empty workers, of which a gang may use so many in ten.
func manyWorkers(t *testing.T, inTen int) (r *rig, names []string, mayUse map[string]bool) {
	mayUse = map[string]bool{}
	for n := range 120 {
		names = append(names, fmt.Sprintf("w%03d", n))
		mayUse[names[n]] = n%10 < inTen
	}
	return newAdvisedRig(t, names...), names, mayUse
}

// askedUntil answers a job's questions, each so late that the tickets before it are over,
// until its tasks start, and returns how many there were.
func (r *rig) askedUntil(job string, tasks, most int, names []string, mayUse map[string]bool) int {
	r.t.Helper()
	for n := 1; n <= most; n++ {
		asked := take[Advise](r)
		assert.Equal(r.t, len(asked), 1, "question %d", n)
		for range 3 { // it waits for its turn
			r.pass(time.Second)
			for _, id := range names {
				r.hold(id, nil)
			}
		}
		var good []string
		for _, id := range asked[0].Workers {
			if mayUse[id] {
				good = append(good, id)
			}
		}
		r.advise(asked[0], good...)
		if r.started(job) == tasks {
			return n
		}
	}
	r.t.Fatalf("%s didn't begin within %d questions", job, most)
	return 0
}

// A gang needs 20 workers, all workers are empty, and it may use three in ten of them. It is
// asked about 48, of which 14 may be used: nothing can begin. The next question waits for its
// turn behind all others, and when the second 14 are known the tickets of the first are over.
// On a busy pool three in four answers about gangs started nothing, each for 1.2 s of the
// advice service, and gangs that could run stood for a minute. One question names as many
// workers as the gang can be expected to need.
func TestWideGangOnIdleWorkersBeginsWithOneAnswer(t *testing.T) {
	r, names, mayUse := manyWorkers(t, 3)
	r.submit("gang", gangOf(20, 4000, time.Second))
	assert.Equal(t, r.askedUntil("gang", 20, 3, names, mayUse), 1)
}

// All workers are full for long, and a gang of 10 is told of fewer workers that may run it,
// though it asked about many: one in ten may. Its room can't be kept, as it isn't known
// where, and while small jobs take each gap no ten workers are ever free at once. It asks
// about more workers until it knows enough, and no more then.
func TestGangThatItsWorkersCannotHoldAsksForMore(t *testing.T) {
	r, names, mayUse := manyWorkers(t, 1)
	r.submit("blocker", whole(len(names)))
	for started := 0; started < len(names); started += len(r.starts()) {
		r.answerAsked()
	}
	r.submit("gang", gangOf(10, 4000, time.Second))
	known := 0
	for range 20 {
		for _, a := range take[Advise](r) {
			assert.Assert(t, known < 10, "enough are known, and none has room")
			var good []string
			for _, id := range a.Workers {
				if mayUse[id] {
					good = append(good, id)
				}
			}
			known += len(good)
			r.advise(a, good...)
		}
		r.pass(50 * time.Millisecond)
	}
	assert.Assert(t, known >= 10, "%d workers known that may run it", known)
}

// A gang needs 120 workers, and the advice service takes 100 in one question: it turns a
// question about more away, each time it is put. The gang knows them all, and the tickets of
// most are over: asked for all 120 again, it would never begin. It asks about as many as the
// service takes, those first whose tickets end first.
func TestGangThatNeedsMoreWorkersThanAQuestionTakes(t *testing.T) {
	r, names, _ := manyWorkers(t, 10)
	r.submit("gang", gangOf(120, 4000, time.Second))
	started := 0
	for _, waits := range []int{0, 2, 0} { // seconds until the answer
		asked := take[Advise](r)
		assert.Equal(t, len(asked), 1)
		assert.Assert(t, len(asked[0].Workers) <= 100, "%d workers named", len(asked[0].Workers))
		for range waits {
			r.pass(time.Second)
			for _, id := range names {
				r.hold(id, nil)
			}
		}
		r.advise(asked[0], asked[0].Workers...)
		started += r.started("gang")
	}
	assert.Equal(t, started, 120)
}
