package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostWorkersAsked is how many workers the advice service takes in one question.
const mostWorkersAsked = 100

// newMixedRig has an advised queue and one whose tasks may run on all workers.
func newMixedRig(t *testing.T, n int, change func(int, *WorkerInfo)) (r *rig, names []string) {
	var list []WorkerInfo
	for n := range n {
		w := box(fmt.Sprintf("w%03d", n))
		if change != nil {
			change(n, &w)
		}
		list, names = append(list, w), append(names, w.ID)
	}
	r = newRig(t)
	r.step(QueuesChanged{Queues: map[string]Queue{
		"q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second,
			Advice: &AdviceTerms{Decision: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}},
		"plain": {Name: "plain", Service: "s", Attempts: 3, Slack: 2, Target: time.Second},
	}})
	r.step(WorkersListed{Workers: list})
	for _, id := range names {
		r.hold(id, nil)
	}
	return r, names
}

// submitPlain hands in a job that needs no tickets.
func (r *rig) submitPlain(id string, steps ...StepSpec) {
	r.step(JobStored{Job: Job{ID: id, Queue: "plain", Service: "s", Payload: "p", Steps: steps, AcceptedMs: r.unixMs()}})
}

// place starts what can be started, and notes on which worker each task is.
func (r *rig) place(active map[string][]ActiveRun) {
	for {
		list := r.starts()
		if len(list) == 0 {
			return
		}
		for _, s := range list {
			active[s.Worker] = append(active[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
	}
}

// runsOf counts a job's runs.
func runsOf(job string, active map[string][]ActiveRun) int {
	n := 0
	for _, list := range active {
		for _, a := range list {
			if a.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// holdAll has all workers answer for a while; they go on with what they run.
func (r *rig) holdAll(d time.Duration, names []string, active map[string][]ActiveRun) {
	for range int(d / time.Second) {
		r.pass(time.Second)
		for _, id := range names {
			for n := range active[id] {
				active[id][n].Percent += 3
			}
			r.hold(id, active[id])
		}
	}
}

// answerBy answers all questions: mayRun tells which workers the steps may use. A question
// that names too many workers is turned away.
func (r *rig) answerBy(mayRun func(string) bool) (asked []Advise) {
	asked = take[Advise](r)
	for _, a := range asked {
		if len(a.Workers) > mostWorkersAsked {
			r.step(Advised{Step: a.Step, Asked: a.Workers, Failed: true})
			continue
		}
		var good []string
		for _, id := range a.Workers {
			if mayRun(id) {
				good = append(good, id)
			}
		}
		r.advise(a, good...)
	}
	return asked
}

func wholeLasting(n int) StepSpec {
	return StepSpec{Count: n, Need: Resources{CPU: 4000, Mem: 100}, LongRunning: true}
}

// The first question about a gang of 20 names 100 of 150 workers. While it is under way, lasting
// tasks fill all of these. 20 of them may run the gang: as many as it needs if they were empty,
// which they never will be. The other 50 workers are idle, and 25 of them may run it, but by
// the queue's answers so far no more than 11 are expected to. So the gang isn't asked about any
// more: its caller waits for as long as the lasting tasks run, beside idle workers.
func TestGangIsAskedOnWhileWorkersThatItWasNotToldOfAreIdle(t *testing.T) {
	r, names := newMixedRig(t, 150, nil)
	r.submit("gang", gangOf(20, 4000, time.Second))
	first := take[Advise](r)
	assert.Equal(t, len(first), 1)
	active := map[string][]ActiveRun{}
	r.submitPlain("lasting", wholeLasting(len(first[0].Workers)))
	r.place(active)
	for _, id := range first[0].Workers {
		assert.Equal(t, len(active[id]), 1)
	}
	mayRun := map[string]bool{}
	for n, id := range names {
		mayRun[id] = n%5 == 0 || n >= 125
	}
	var good []string
	for _, id := range first[0].Workers {
		if mayRun[id] {
			good = append(good, id)
		}
	}
	r.advise(first[0], good...)
	for range 30 {
		r.answerBy(func(id string) bool { return mayRun[id] })
		r.place(active)
		r.holdAll(time.Second, names, active)
	}
	assert.Equal(t, runsOf("gang", active), 20, "tasks of the gang in 30 s, with 50 idle workers")
}

// Lasting tasks fill all workers that a gang is told it may use, and short ones the others, where
// each gap goes to the next of them. No workers can be kept for the gang, as those it knows
// won't be free. They could hold it if they were empty, so it isn't asked about others: it
// never begins, where workers would be kept for it within seconds.
func TestGangWhoseWorkersAreFullOfLastingTasksIsAskedAboutOthers(t *testing.T) {
	r, names := newMixedRig(t, 150, nil)
	r.submit("gang", gangOf(10, 4000, time.Second))
	first := take[Advise](r)
	assert.Equal(t, len(first), 1)
	active := map[string][]ActiveRun{}
	r.submitPlain("lasting", wholeLasting(len(first[0].Workers)))
	r.submitPlain("short", StepSpec{Count: len(names), Need: Resources{CPU: 4000, Mem: 100}, EstimateMs: 2000})
	r.place(active)
	r.advise(first[0], first[0].Workers...)
	others := 0
	for range 30 {
		for _, a := range r.answerBy(func(string) bool { return true }) {
			for _, id := range a.Workers {
				if len(active[id]) > 0 && active[id][0].Task.Job == "short" {
					others++
				}
			}
		}
		r.holdAll(time.Second, names, active)
	}
	assert.Assert(t, others >= 10, "asked about %d workers that lasting tasks don't fill", others)
}

// A gang wants one rack. It is told of few workers of each rack: none could hold it, even when
// empty, while the last rack, which the question didn't name, may run it whole. The pool is
// full, and each gap goes to small jobs. No workers can be kept for the gang, as none that it
// knows would do, and it is asked about no others: it waits for as long as small jobs come.
func TestGangOfOneRackThatItsWorkersCannotHoldAsksForMore(t *testing.T) {
	r, names := newMixedRig(t, 160, func(n int, w *WorkerInfo) { w.Rack = fmt.Sprintf("r%d", n/20) })
	active := map[string][]ActiveRun{}
	r.submitPlain("short", StepSpec{Count: 2 * len(names), Need: Resources{CPU: 4000, Mem: 100}, EstimateMs: 2000})
	r.place(active)
	gang := gangOf(10, 4000, time.Second)
	gang.SameRack = true
	r.submit("gang", gang)
	mayRun := func(id string) bool { return id >= "w140" || id[3] < '3' } // all of the last rack, six of the others
	known := 0
	for range 30 {
		for _, a := range r.answerBy(mayRun) {
			for _, id := range a.Workers {
				if id >= "w140" {
					known++
				}
			}
		}
		r.holdAll(time.Second, names, active)
	}
	assert.Assert(t, known >= 10, "asked about %d workers of the rack that can hold it", known)
}

// A gang of 110 tasks, each as large as a worker, may run on any of 130 idle workers. One answer
// tells of 100 at most; the next waits for its turn, and when it comes the tickets before it
// are over. All 110 are to be renewed then, in one question that the advice service turns away
// for its length, each time anew: the gang never begins, with all workers idle.
func TestGangWiderThanOneQuestionBegins(t *testing.T) {
	r, names := newMixedRig(t, 130, nil)
	r.submit("gang", gangOf(110, 4000, time.Second))
	active, widest := map[string][]ActiveRun{}, 0
	for n := range 40 {
		if n < 3 { // the advice service is busy at first
			r.holdAll(3*time.Second, names, active)
		}
		for _, a := range r.answerBy(func(string) bool { return true }) {
			widest = max(widest, len(a.Workers))
		}
		r.place(active)
		r.holdAll(time.Second, names, active)
	}
	assert.Check(t, widest <= mostWorkersAsked, "a question names %d workers", widest)
	assert.Equal(t, runsOf("gang", active), 110)
}
