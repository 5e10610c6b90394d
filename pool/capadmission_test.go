package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/organisation/capshare"
	"github.com/knapweedweir/knapweedweir/pool/returns"
)

// newCapRig returns a rig with a worker of 40 cores, known for seconds, and organisation o, of whose cap the
// pool holds all.
func newCapRig(t *testing.T, cores int64) *rig {
	w := newWorkerInfo("w")
	w.Capacity = Resources{CPU: 40000, Mem: 80000}
	r := newRig(t, w)
	r.answerHold("w", nil)
	r.changeCap(cores)
	r.step(CapShareRootKnown{Pool: 0})
	r.advanceAnsweringHolds(3*time.Second, nil)
	return r
}

func (r *rig) changeCap(cores int64) {
	r.step(OrganisationsChanged{Organisations: map[string]organisation.Organisation{
		"o":     {Name: "o", Weight: 1000, Cap: organisation.Amounts{organisation.CPU: 1000 * cores}},
		"other": {Name: "other", Weight: 1000}}})
}

// occupy starts a job of an organisation that runs for minutes on the given cores.
func (r *rig) occupy(org string, cores int) (active []ActiveRun) {
	r.submitFor(org, "long-"+org, StepSpec{Count: cores, Need: Resources{CPU: 1000, Mem: 100}, EstimateMs: 600_000})
	for _, s := range r.acceptStarts() {
		active = append(active, ActiveRun{Task: s.Task, Run: s.Run})
	}
	assert.Equal(r.t, len(active), cores)
	return active
}

// Pattern: noisy neighbour. An organisation has used up its cap for minutes. Its next job can't earn anything
// and is refused, which names the cap; another organisation's job is served by the free capacity.
func TestJobThatWaitsTooLongForItsCapIsRefused(t *testing.T) {
	r := newCapRig(t, 4)
	active := r.occupy("o", 4)
	assert.Assert(t, !r.admit("o", "first").Refused, "nothing is seen to wait yet")
	r.advanceAnsweringHolds(500*time.Millisecond, active)
	a := r.admit("o", "second")
	assert.Assert(t, a.Refused)
	assert.Equal(t, a.Bottleneck, CapBottleneck)
	assert.Equal(t, a.Cap.Level[organisation.CPU], int64(4000))
	assert.Equal(t, a.Cap.Used[organisation.CPU], int64(4000))
	assert.Assert(t, a.Wait > worthlessFactor*a.Limit && a.RetryAfter >= returns.MinPause, "%+v", a)
	assert.Assert(t, !r.admit("other", "third").Refused)
	assert.Assert(t, !r.admit("", "fourth").Refused)
}

// Pattern: a cap that is lowered while jobs wait, and raised again.
func TestRefusalsFollowAChangedCap(t *testing.T) {
	r := newCapRig(t, 8)
	active := r.occupy("o", 4)
	assert.Assert(t, !r.admit("o", "fits").Refused)
	r.changeCap(2)
	r.submitFor("o", "waits", smallStep(1))
	r.advanceAnsweringHolds(500*time.Millisecond, active)
	a := r.admit("o", "lowered")
	assert.Assert(t, a.Refused && a.Bottleneck == CapBottleneck, "%+v", a)
	r.changeCap(30)
	r.advanceAnsweringHolds(500*time.Millisecond, active)
	assert.Assert(t, !r.admit("o", "raised").Refused)
}

// Guards against refusals for a cap of which another pool's owner has an idle share, and against counting
// on it when that owner isn't heard any more.
func TestIdleShareInAnotherPoolCounts(t *testing.T) {
	r := newCapRig(t, 4)
	assert.Equal(t, r.core.reachableLevel("o")[organisation.CPU], int64(4000))
	var held capshare.Shares
	held[organisation.CPU] = capshare.Whole / 2
	demand := capshare.Demand{Use: organisation.Amounts{organisation.CPU: 500}, Want: organisation.Amounts{organisation.CPU: 500}}
	r.changeCap(40)
	r.core.orgs.idle.Record(r.now, 1, nil)
	r.core.recordIdleShares(capshare.Offer{From: 1, Accounts: map[string]capshare.Account{"o": {Held: held, Demand: demand}}})
	assert.Equal(t, r.core.orgs.idle.Of(r.now, "o")[organisation.CPU], int64(19500))
	assert.Equal(t, r.core.orgs.idle.Of(r.now+4*time.Second, "o"), organisation.Amounts{})
}

// The order of the work ahead of a new job, and how much of it counts. Guards against partly run late jobs
// that don't count, beside which newer ones would be started.
func TestOrderOfTheBacklog(t *testing.T) {
	full, ready := demand{cpu: 10}, demand{cpu: 1}
	for _, x := range []struct {
		name  string
		ahead backlogEntry
		want  float64
	}{
		{"more urgent queue", backlogEntry{organisation: "o", priority: 0, due: 900}, 10},
		{"less urgent queue, started", backlogEntry{organisation: "o", priority: 2, due: 1, started: true}, 0},
		{"due earlier", backlogEntry{organisation: "p", priority: 1, due: 99}, 10},
		{"due later", backlogEntry{organisation: "p", priority: 1, due: 101}, 0},
		{"another organisation beyond its weight", backlogEntry{organisation: "p", priority: 1, due: 1, beyondWeight: true}, 0},
		{"started, due later", backlogEntry{organisation: "o", queue: "q", priority: 1, due: 101, started: true}, 1},
		{"started, late", backlogEntry{organisation: "o", queue: "q", priority: 1, due: 1, started: true, late: true}, 1},
		{"late, another organisation", backlogEntry{organisation: "p", queue: "q", priority: 1, due: 1, started: true, late: true}, 0},
		{"started, due later, other queue", backlogEntry{organisation: "o", queue: "r", priority: 1, due: 101, started: true}, 0},
		{"other service", backlogEntry{service: "z", organisation: "o", priority: 0, due: 1}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := New(Settings{}, 0)
			x.ahead.demand, x.ahead.ready = full, ready
			c.admission.backlog = []backlogEntry{x.ahead}
			all, _ := c.workAhead(&backlogEntry{organisation: "o", queue: "q", priority: 1, due: 100}, nil)
			assert.Equal(t, all.cpu, x.want)
		})
	}
	within := backlogEntry{organisation: "p", priority: 1, due: 101}
	assert.Assert(t, within.comesBefore(&backlogEntry{organisation: "o", priority: 1, due: 100, beyondWeight: true}))
}

// Load: a started job of an organisation becomes late while one of its tasks waits. Its ready task counts
// ahead of a newcomer of the organisation, as it is started first.
func TestStartedLateJobCountsAsWorkAhead(t *testing.T) {
	r := newCapRig(t, 0)
	active := r.occupy("other", 39)
	r.submitFor("o", "late", smallStep(3)) // one task starts
	for _, s := range r.acceptStarts() {
		active = append(active, ActiveRun{Task: s.Task, Run: s.Run})
	}
	assert.Equal(t, len(active), 40)
	r.advanceAnsweringHolds(2500*time.Millisecond, active) // its objective is 2 s
	assert.Equal(t, r.admit("o", "new").BacklogCoreSeconds, 1.0)
	assert.Equal(t, r.admit("other", "new2").BacklogCoreSeconds, 0.5, "the new job, not the late one of another organisation")
}

// Pattern: noisy neighbour. A job within its organisation's weight was refused for want of capacity. Guards
// against a job of another organisation, beyond its weight, that is accepted in the same queue meanwhile.
func TestNothingBeyondAWeightIsAcceptedWhileOneWithinIsRefused(t *testing.T) {
	r := newFullRig(t, 1)
	r.step(OrganisationsChanged{Organisations: map[string]organisation.Organisation{"noisy": {Name: "noisy", Weight: 1}, "quiet": {Name: "quiet", Weight: 10}}})
	a := r.admit("quiet", "within")
	assert.Assert(t, a.Refused && a.Bottleneck == CapacityBottleneck, "%+v", a)
	for range 6 {
		r.core.countTowardsWeight(&Job{Organisation: "noisy"}, r.now)
	}
	h := &r.core.admission
	h.ages, h.delays = nil, map[waitClass]*delays{} // no wait is seen
	assert.Assert(t, r.core.isShort(&Job{Organisation: "noisy", Queue: "q"}, time.Second))
	assert.Assert(t, !r.core.isShort(&Job{Organisation: "noisy", Queue: "r"}, time.Second), "another queue")
	b := r.admit("noisy", "beyond")
	assert.Assert(t, b.Refused, "%+v", b)
}

// Pattern: thundering herd on return. Callers are refused at the same moment. One that comes early gets its
// turn again; turns are in the order of the first tries. A place ends when the job can't earn anything.
func TestTurnsOfRefusedCallers(t *testing.T) {
	r := newFullRig(t, 1)
	last := time.Duration(0)
	for n := range 50 {
		a := r.admitJob(fmt.Sprint("new", n), smallStep(1))
		assert.Assert(t, a.Refused && a.RetryAfter > last && a.Standing == returns.Newcomer)
		last = a.RetryAfter
	}
	turn := r.now + last
	r.now += 200 * time.Millisecond
	a := r.admitJob("new49", smallStep(1))
	assert.Equal(t, a.Standing, returns.Early)
	assert.Equal(t, r.now+a.RetryAfter, turn)
	standing, _ := r.core.admission.returns.Standing(r.now+worthlessFactor*a.Limit, "new49")
	assert.Equal(t, standing, returns.Newcomer)
}

// Guards against newcomers of an organisation that overtake callers whose turn has come, against pools without
// organisations in which places count, and against capacity that is left idle for turns that are far away or for
// jobs beyond a weight.
func TestPromisedWorkCountsForNewcomers(t *testing.T) {
	for _, tc := range []struct {
		name, org    string
		beyondWeight bool
		atTurn       int
	}{
		{"within its weight", "o", false, 1},
		{"beyond its weight", "o", true, 0},
		{"without an organisation", "", false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newWorkerInfo("w"))
			entry := backlogEntry{service: "s", queue: "q", organisation: tc.org, due: r.unixMs() + 3000, beyondWeight: tc.beyondWeight}
			refused := Admission{Refused: true, Bottleneck: CapacityBottleneck, Excess: 2 * time.Second, Takes: 100 * time.Millisecond, Limit: 2 * time.Second}
			turn := r.core.admission.returns.Refuse(r.now, r.core.returnRequest(&Job{ID: "first", Queue: "q", Organisation: tc.org}, &entry, refused))
			promised := func(job string) int { return len(r.core.promisedWork(job, &entry)) }
			assert.Equal(t, promised("second"), 0)
			r.advance(turn)
			assert.Equal(t, promised("second"), tc.atTurn)
			assert.Equal(t, promised("first"), 0)
		})
	}
}
