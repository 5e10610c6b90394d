package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerAdviceRequest answers one advice request; the listed workers may run its step.
func (r *rig) answerAdviceRequest(a Advise, allowed ...string) {
	var tickets []Ticket
	for _, id := range allowed {
		tickets = append(tickets, Ticket{Worker: id, Ticket: "t"})
	}
	r.step(Advised{Step: a.Step, Asked: a.Workers, Good: tickets, Validity: 2 * time.Second})
}

// gangStep returns a gang of n tasks that need cpu thousandths of a core each.
func gangStep(n, cpu int, estimate time.Duration) StepSpec {
	return StepSpec{Count: n, Need: Resources{CPU: cpu, Mem: 100}, EstimateMs: estimate.Milliseconds(), Gang: true}
}

// startedTasks accepts all pending starts and returns how many are of the job.
func (r *rig) startedTasks(job string) int {
	n := 0
	for _, s := range r.acceptStarts() {
		if s.Task.Job == job {
			n++
		}
	}
	return n
}

// The capacity that a gang waited for is free and booked while its tickets are renewed. Before
// the answer another gang arrives that needs the same workers a little later, and they are
// reserved for that one. Guards against denying the first gang its capacity when its tickets
// arrive: it would request advice and book the same capacity again, for as long as gangs arrive,
// while the capacity stays idle.
func TestCapacityReservedForTicketRenewalGoesToItsStep(t *testing.T) {
	r := newAdviceRig(t, "w1", "w2")
	active := map[string][]ActiveRun{}
	run := func(job, worker string, cpu int, estimate time.Duration) {
		r.submitJob(job, StepSpec{Count: 1, Need: Resources{CPU: cpu, Mem: 100}, EstimateMs: estimate.Milliseconds()})
		r.answerAdvice(worker)
		assert.Equal(t, r.startedTasks(job), 1)
		active[worker] = append(active[worker], ActiveRun{Task: taskID(job, 0), Run: 1})
	}
	run("stays", "w1", 900, 30*time.Second)
	run("also", "w2", 900, 30*time.Second)
	run("first", "w1", 2500, 30*time.Second)
	run("second", "w2", 2500, 30*time.Second)
	r.submitJob("waiting", gangStep(2, 2000, 20*time.Second))
	r.answerAdvice("w1", "w2")
	for range 3 { // until its tickets expire
		r.advance(time.Second)
		for _, w := range []string{"w1", "w2"} {
			for i := range active[w] {
				active[w][i].Percent += 3 // of 30 s
			}
			r.answerHold(w, active[w])
		}
		assert.Equal(t, len(takeActions[Advise](r)), 0)
	}
	r.step(CancelStored{Job: "first"})
	r.step(CancelStored{Job: "second"})
	r.answerHold("w1", active["w1"][:1], EndedRun{Number: 1, Task: taskID("first", 0), Run: 1, How: Stopped})
	r.answerHold("w2", active["w2"][:1], EndedRun{Number: 1, Task: taskID("second", 0), Run: 1, How: Stopped})
	r.advance(50 * time.Millisecond)
	requests := takeActions[Advise](r)
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Step.Job, "waiting")
	r.submitJob("another", gangStep(2, 1500, 100*time.Millisecond))
	r.answerAdvice("w1", "w2")
	r.advance(300 * time.Millisecond)
	r.answerHold("w1", active["w1"][:1])
	r.answerHold("w2", active["w2"][:1])
	r.answerAdviceRequest(requests[0], "w1", "w2")
	assert.Equal(t, r.startedTasks("waiting"), 2)
}

// While the first advice request of a gang is pending, a later gang of the same kind gets its
// workers reserved, as they will have capacity for it in half a minute. Then the answer
// arrives, and there is capacity for the first gang now. Guards against denying it that
// capacity: it would request advice about more workers and find those reserved too, for as long
// as gangs arrive after it.
func TestLaterGangDoesNotReserveCapacityOfAnEarlierOne(t *testing.T) {
	r := newAdviceRig(t, "w1", "w2")
	for n, w := range []string{"w1", "w2"} {
		job := smallJobID(n)
		r.submitJob(job, StepSpec{Count: 1, Need: Resources{CPU: 900, Mem: 100}, EstimateMs: 30000})
		r.answerAdvice(w)
		assert.Equal(t, r.startedTasks(job), 1)
	}
	r.submitJob("first", gangStep(2, 2000, 20*time.Second))
	requests := takeActions[Advise](r)
	assert.Equal(t, len(requests), 1)
	r.advance(100 * time.Millisecond)
	r.submitJob("after", gangStep(2, 3500, 40*time.Second))
	r.answerAdvice("w1", "w2")
	r.advance(300 * time.Millisecond)
	r.answerAdviceRequest(requests[0], "w1", "w2")
	assert.Equal(t, r.startedTasks("first"), 2)
}

// newGangAdviceRig returns a rig of 120 empty workers, of which allowedInTen in ten may run a
// gang.
func newGangAdviceRig(t *testing.T, allowedInTen int) (r *rig, names []string, allowed map[string]bool) {
	allowed = map[string]bool{}
	for n := range 120 {
		names = append(names, fmt.Sprintf("w%03d", n))
		allowed[names[n]] = n%10 < allowedInTen
	}
	return newAdviceRig(t, names...), names, allowed
}

// requestsUntilStarted answers the advice requests of a job, each so late that earlier tickets
// have expired, until its tasks start, and returns the number of requests.
func (r *rig) requestsUntilStarted(job string, tasks, limit int, names []string, allowed map[string]bool) int {
	r.t.Helper()
	for n := 1; n <= limit; n++ {
		requests := takeActions[Advise](r)
		assert.Equal(r.t, len(requests), 1, "advice request %d", n)
		for range 3 { // the request queues
			r.advance(time.Second)
			for _, id := range names {
				r.answerHold(id, nil)
			}
		}
		var allowedIDs []string
		for _, id := range requests[0].Workers {
			if allowed[id] {
				allowedIDs = append(allowedIDs, id)
			}
		}
		r.answerAdviceRequest(requests[0], allowedIDs...)
		if r.startedTasks(job) == tasks {
			return n
		}
	}
	r.t.Fatalf("%s did not start within %d advice requests", job, limit)
	return 0
}

// A gang needs 20 workers, all workers are empty, and it may use three in ten of them. A
// request about 48 workers yields 14, so it cannot start. The next request queues behind all
// others, and when the second 14 are known the first tickets have expired. In a busy pool three
// in four answers about gangs started nothing, at 1.2 s of the advice service each, and gangs
// that could run waited for a minute. Guards against requests that list fewer workers than the
// gang can be expected to need.
func TestWideGangOnIdleWorkersStartsAfterOneAnswer(t *testing.T) {
	r, names, allowed := newGangAdviceRig(t, 3)
	r.submitJob("gang", gangStep(20, 4000, time.Second))
	assert.Equal(t, r.requestsUntilStarted("gang", 20, 3, names, allowed), 1)
}

// Long tasks fill all workers, and only one in ten may run a gang of 10, so its first answer
// allows too few. No capacity can be reserved for it without knowing where, and while small
// jobs take each gap ten workers are never free at once. Guards against a gang that requests no
// more advice before it knows enough workers, or requests more afterwards.
func TestGangWithTooFewAllowedWorkersRequestsMore(t *testing.T) {
	r, names, allowed := newGangAdviceRig(t, 1)
	r.submitJob("blocker", wholeWorkerStep(len(names)))
	for started := 0; started < len(names); started += len(r.acceptStarts()) {
		r.answerAdviceAllowAll()
	}
	r.submitJob("gang", gangStep(10, 4000, time.Second))
	known := 0
	for range 20 {
		for _, a := range takeActions[Advise](r) {
			assert.Assert(t, known < 10, "advice requested although enough workers are known and none has free capacity")
			var allowedIDs []string
			for _, id := range a.Workers {
				if allowed[id] {
					allowedIDs = append(allowedIDs, id)
				}
			}
			known += len(allowedIDs)
			r.answerAdviceRequest(a, allowedIDs...)
		}
		r.advance(50 * time.Millisecond)
	}
	assert.Assert(t, known >= 10, "%d allowed workers are known", known)
}

// A gang needs 120 workers, and the advice service rejects every request about more than 100.
// The gang knows all workers, and most tickets have expired. Guards against a renewal of all 120
// in one request, with which the gang would never start. The request lists as many workers as
// the service accepts, beginning with those whose tickets expire first.
func TestGangRenewsTicketsWithinTheRequestLimit(t *testing.T) {
	r, names, _ := newGangAdviceRig(t, 10)
	r.submitJob("gang", gangStep(120, 4000, time.Second))
	started := 0
	for _, waits := range []int{0, 2, 0} { // seconds until the answer
		requests := takeActions[Advise](r)
		assert.Equal(t, len(requests), 1)
		assert.Assert(t, len(requests[0].Workers) <= 100, "%d workers listed", len(requests[0].Workers))
		for range waits {
			r.advance(time.Second)
			for _, id := range names {
				r.answerHold(id, nil)
			}
		}
		r.answerAdviceRequest(requests[0], requests[0].Workers...)
		started += r.startedTasks("gang")
	}
	assert.Equal(t, started, 120)
}

// Guards against a run of a gang that goes on, or is still sent, after an earlier one that had counted as lost is listed as done.
func TestRunOfAGangIsStoppedOnceAnEarlierOneIsDone(t *testing.T) {
	r := newRig(t, newWorkerInfo("w1"))
	r.answerHold("w1", nil)
	next := smallStep(1)
	next.After = []int{0}
	r.submitJob("j", gangStep(2, 1000, time.Second), next)
	first := r.acceptStarts()
	assert.Equal(t, len(first), 2)
	var again []Start
	for end := r.now + 10*time.Second; len(again) == 0 && r.now < end; {
		r.step(WorkersListed{Workers: []WorkerInfo{newWorkerInfo("w1"), newWorkerInfo("w2")}})
		r.failHolds("w1")
		r.answerIfHeld("w2")
		r.advance(50 * time.Millisecond)
		r.confirmSaves()
		again = takeActions[Start](r)
	}
	assert.Equal(t, len(again), 2, "the gang isn't started again")
	var ends []EndedRun
	for n, s := range first {
		ends = append(ends, EndedRun{Number: uint64(n + 1), Task: s.Task, Run: s.Run, How: Done})
	}
	r.advance(retryDelay)
	r.answerHold("w1", nil, ends...)
	stopped := map[TaskID]bool{}
	for _, s := range takeActions[Stop](r) {
		assert.Equal(t, s.Run, again[0].Run)
		stopped[s.Task] = true
	}
	assert.Equal(t, len(stopped), 2, "the second run isn't stopped")
	for _, s := range again {
		r.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: NoAnswer})
	}
	for _, s := range takeActions[Start](r) {
		assert.Assert(t, s.Task.Step != 0, "the gang's start is sent again after its end as done")
	}
}
