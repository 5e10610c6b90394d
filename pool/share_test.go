package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// order returns the jobs of all ready steps in the order in which a pass would place them.
func (r *rig) order() []string {
	var steps []*step
	for _, j := range r.core.activeJobs {
		for _, s := range j.occurrences[0].steps {
			if s.ready && s.remaining > 0 {
				steps = append(steps, s)
			}
		}
	}
	r.core.sortByUrgency(steps)
	var jobs []string
	for _, s := range steps {
		jobs = append(jobs, s.job.ID)
	}
	return jobs
}

// addJob stores a job without starting anything. With an estimate of 0.5 s, its objective is 2 s after it was
// accepted, and it is worth something until 6 s. Of a started job nine more tasks are done for each that waits.
func (r *rig) addJob(org, id string, age time.Duration, tasks int, started bool) {
	if started {
		tasks *= 10
	}
	r.core.Step(r.now, JobStored{Job: Job{ID: id, Organisation: org, Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(tasks)}, AcceptedMs: r.unixMs() - age.Milliseconds()}})
	if s := r.core.jobs[id].occurrences[0].steps[0]; started {
		s.occ.started = true
		for _, t := range s.tasks[:tasks*9/10] {
			s.markDone(t)
		}
	}
}

// newShareRig returns a rig with 12 cores and organisations whose weights no test exceeds.
func newShareRig(t *testing.T) *rig {
	r := newOwnerRig(t)
	r.step(OrganisationsChanged{Organisations: map[string]organisation.Organisation{
		"a": {Name: "a", Weight: 1000}, "b": {Name: "b", Weight: 1000}, "c": {Name: "c", Weight: 3000}}})
	return r
}

// use sets the cores that an organisation uses.
func (r *rig) use(org string, cores int64) {
	r.core.orgs.use[org] = organisation.Amounts{organisation.CPU: 1000 * cores}
}

// Pattern: earliest-due-first domino. Guards against a started job past its objective that waits for all jobs
// that come later, so that it ends when it is worth nothing.
func TestStartedJobsPastTheirObjectivesAreFinishedFirst(t *testing.T) {
	r := newOwnerRig(t)
	r.addJob("", "new", 0, 1, false)
	r.addJob("", "old", 200*time.Millisecond, 1, true)
	r.addJob("", "late-new", 3*time.Second, 1, false)
	r.addJob("", "late-large", 3*time.Second, 5, true)
	r.addJob("", "late-small", 2*time.Second, 1, true)
	r.addJob("", "late-half", 3*time.Second, 1, true)
	r.core.jobs["late-half"].occurrences[0].steps[0].remaining = 5
	r.addJob("", "worthless", 10*time.Second, 1, true)
	assert.DeepEqual(t, r.order(), []string{"late-small", "late-large", "old", "new", "late-half", "late-new", "worthless"})
}

// Guards against an owner that takes over and treats a job whose tasks are done in part as a new one.
func TestASuccessorFinishesStartedJobs(t *testing.T) {
	r := newOwnerRig(t)
	for _, id := range []string{"new", "started"} {
		j := Job{ID: id, Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(2)}, AcceptedMs: r.unixMs() - 3000}
		r.core.Step(r.now, JobStored{Job: j, Inherited: true})
	}
	r.core.Step(r.now, ProgressStored{Job: "started", Progress: Progress{State: Running, Steps: []StepProgress{{Done: "10"}}}})
	assert.DeepEqual(t, r.order(), []string{"started", "new"})
}

// Pattern: noisy neighbour. Guards against an organisation beyond its share of the capacity whose jobs go before
// those of another one within its share, and against a share that overrules due times while nobody is beyond it.
func TestOrganisationsWithinTheirSharesGoFirst(t *testing.T) {
	r := newShareRig(t)
	r.addJob("a", "a1", 300*time.Millisecond, 1, false)
	r.addJob("b", "b1", 200*time.Millisecond, 1, false)
	r.addJob("c", "c1", 100*time.Millisecond, 1, false)
	r.use("a", 2)
	assert.DeepEqual(t, r.order(), []string{"a1", "b1", "c1"})
	r.use("a", 5) // of 12; its share is a fifth
	r.use("c", 7) // its share is three fifths
	assert.DeepEqual(t, r.order(), []string{"b1", "c1", "a1"})
	r.core.Step(r.now, OrganisationsChanged{Organisations: map[string]organisation.Organisation{
		"a": {Name: "a", Weight: 8000}, "b": {Name: "b", Weight: 1000}, "c": {Name: "c", Weight: 1000}}})
	assert.DeepEqual(t, r.order(), []string{"a1", "b1", "c1"})
}

// Guards against an organisation that gets a whole pass because it was within its share when the pass began.
func TestWhatAStepTakesCountsForTheNextOfItsOrganisation(t *testing.T) {
	r := newShareRig(t)
	for n := range 4 {
		r.addJob("a", fmt.Sprint("a", n), time.Second, 4, false)
	}
	r.addJob("b", "b", 0, 4, false)
	assert.DeepEqual(t, r.order(), []string{"a0", "a1", "b", "a2", "a3"})
}

// Guards against jobs of callers without a key, or of an organisation that is no longer configured, that are
// never placed beside organisations.
func TestJobsWithoutAnOrganisationHaveAMeanShare(t *testing.T) {
	r := newShareRig(t)
	r.addJob("a", "a", 200*time.Millisecond, 1, false)
	r.addJob("gone", "gone", 100*time.Millisecond, 1, false)
	r.addJob("", "none", 0, 1, false)
	r.use("a", 12)
	assert.DeepEqual(t, r.order(), []string{"gone", "none", "a"})
}

// Guards against jobs that can't earn anything any more and never complete while others wait, and against turns
// without other work in between.
func TestWorthlessJobsGetTurns(t *testing.T) {
	r := newOwnerRig(t)
	r.addJob("", "worthless", 10*time.Second, 1, false)
	r.addJob("", "new", 0, 1, false)
	assert.DeepEqual(t, r.order(), []string{"new", "worthless"})
	other := r.core.jobs["new"].occurrences[0].steps[0]
	for range 200 { // see fairshare.Turns
		r.core.countStart(other)
	}
	assert.DeepEqual(t, r.order(), []string{"worthless", "new"})
	assert.DeepEqual(t, r.order(), []string{"worthless", "new"}) // until it starts
	r.core.countStart(r.core.jobs["worthless"].occurrences[0].steps[0])
	assert.DeepEqual(t, r.order(), []string{"new", "worthless"})
}

// Guards against a step that can never start and keeps the turn from all others.
func TestATurnIsLimited(t *testing.T) {
	r := newOwnerRig(t)
	r.addJob("", "stuck", 11*time.Second, 1, false)
	r.addJob("", "other", 10*time.Second, 1, false)
	for range 2 {
		r.core.shares.turns.Count(1000)
		r.order()
		r.core.now += maxTurn + 1
	}
	r.core.shares.turns.Count(1000)
	assert.Equal(t, r.order()[0], "other")
}

// Pattern: head-of-line blocking. Guards against the request of a started job's second step that waits behind those
// of newer jobs, and against requests beyond an organisation's share before those of others.
func TestAdviceRequestsFollowStartedJobsAndShares(t *testing.T) {
	now := time.Hour
	request := func(id, org string, inTime time.Duration, started bool) AdviceRequest {
		return NewAdviceRequest(Advise{Step: StepID{Job: id}, Organisation: org, Weight: 1, Started: started, Work: 1, Cost: 50 * time.Millisecond,
			InTimeUntil: now + inTime, WorthUntil: now + inTime + 4*time.Second})
	}
	var q AdviceQueue
	q.Add(request("new", "", time.Second, false), now)
	q.Add(request("late", "", -time.Second, false), now)
	q.Add(request("second step", "", -time.Second, true), now)
	for _, want := range []string{"second step", "new", "late"} {
		assert.Equal(t, nextRequest(t, &q, now).Step.Job, want)
	}
	q = AdviceQueue{Instances: 10}
	for n := range 100 {
		q.Add(request(fmt.Sprint("noisy", n), "noisy", time.Second, false), now)
	}
	for n := range 10 {
		q.Add(request(fmt.Sprint("quiet", n), "quiet", 2*time.Second, false), now)
	}
	quiet := 0
	for range 40 {
		if next := nextRequest(t, &q, now); next.Organisation == "quiet" {
			quiet++
		}
	}
	assert.Equal(t, quiet, 10)
}

// Guards against lists of requests that remain when organisations are gone.
func TestAdviceQueueForgetsOrganisations(t *testing.T) {
	var q AdviceQueue
	now := time.Hour
	for n := range 2000 {
		q.Add(NewAdviceRequest(Advise{Organisation: fmt.Sprint(n), Weight: 1, Cost: time.Millisecond, InTimeUntil: now + time.Minute, WorthUntil: now + time.Hour}), now)
		nextRequest(t, &q, now)
	}
	assert.Assert(t, len(q.lists) <= maxUrgencyLists, "%d lists", len(q.lists))
}
