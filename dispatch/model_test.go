package dispatch

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedweir/knapweedweir/infra"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "1500")
		_ = flag.Set("rapid.steps", "60")
	}
	os.Exit(m.Run())
}

// attempt is one try as the runner sees it, whatever the entry believes.
type attempt struct {
	request Request
	runner  string
	// begun and stopped are the truth; reported is what the entry was told.
	begun, stopped, reported bool
}

// world is a model of callers, log and runners around the core. It keeps what
// really ran and checks every action against it.
type world struct {
	t        *rapid.T
	core     *Core
	now      time.Duration
	requests map[uint64]Request
	claims   map[uint64]bool
	claimed  map[uint64]bool
	finished map[uint64]Outcome
	ran      map[uint64]int
	mayRan   map[uint64]bool
	attempts []*attempt
	runners  map[string]infra.Instance
	last     uint64
}

const modelSlots = 3

func newWorld(t *rapid.T) *world {
	w := &world{t: t, requests: map[uint64]Request{}, claims: map[uint64]bool{}, claimed: map[uint64]bool{}, finished: map[uint64]Outcome{},
		ran: map[uint64]int{}, mayRan: map[uint64]bool{}, runners: map[string]infra.Instance{},
		core: New(Config{Self: "a", SlotsPerRunner: modelSlots, RetryShare: 0.5, MaxQueue: 6, ClaimWait: 300 * time.Millisecond})}
	w.setRunners([]int{1, 1, 1})
	return w
}

// setRunners lists three runners: 0 missing, 1 live, 2 leaving.
func (w *world) setRunners(states []int) {
	var list []infra.Instance
	w.runners = map[string]infra.Instance{}
	for n, s := range states {
		if s == 0 {
			continue
		}
		i := infra.Instance{ID: fmt.Sprintf("r%d", n), Service: "quote", State: infra.InstanceLive}
		if s == 2 {
			i.State = infra.InstanceLeaving
		}
		w.runners[i.ID] = i
		list = append(list, i)
	}
	w.take(w.core.SetRoster(w.now, Roster{Version: 1, Entries: []string{"a"}, First: true}))
	w.take(w.core.SetRunners(w.now, list))
}

func (w *world) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.send(a)
		case Finished:
			w.finish(a)
		case AskClaim:
			w.claims[a.Request] = true
		}
	}
	w.check()
}

func (w *world) send(s Send) {
	req := w.requests[s.Request]
	if i, ok := w.runners[s.Runner.ID]; !ok || i.State == infra.InstanceLeaving {
		w.t.Fatalf("request %d sent to %s, which is not listed or leaving", s.Request, s.Runner.ID)
	}
	if w.now >= req.Deadline {
		w.t.Fatalf("request %d sent after its deadline", s.Request)
	}
	if _, ok := w.finished[s.Request]; ok {
		w.t.Fatalf("request %d sent after its final answer", s.Request)
	}
	if !req.Idempotent && (!w.claimed[s.Request] || w.mayRan[s.Request]) {
		w.t.Fatalf("non-idempotent request %d sent without a claim or after it may have run", s.Request)
	}
	for _, a := range w.attempts {
		if a.request.ID == s.Request && !a.reported {
			w.t.Fatalf("request %d sent while an attempt is in progress", s.Request)
		}
	}
	w.attempts = append(w.attempts, &attempt{request: req, runner: s.Runner.ID})
}

func (w *world) finish(f Finished) {
	if _, ok := w.finished[f.Request]; ok {
		w.t.Fatalf("request %d finished twice", f.Request)
	}
	w.finished[f.Request] = f.Outcome
	if f.Outcome == NotRun {
		w.checkNotRun(f.Request)
	}
}

// checkNotRun fails if the request ran, or still may.
func (w *world) checkNotRun(id uint64) {
	if w.ran[id] > 0 {
		w.t.Fatalf("request %d was said not to have run, but it ran", id)
	}
	for _, a := range w.attempts {
		if a.request.ID == id && !a.stopped {
			w.t.Fatalf("request %d was said not to have run, but may still be begun by %s", id, a.runner)
		}
	}
}

func (w *world) check() {
	busy := map[string]int{}
	for _, a := range w.attempts {
		if !a.stopped {
			busy[a.runner]++
		}
	}
	for id, n := range busy {
		if n > modelSlots {
			w.t.Fatalf("%d slots of %s in use, the limit is %d", n, id, modelSlots)
		}
	}
	open := 0
	for id := range w.requests {
		if _, ok := w.finished[id]; !ok {
			open++
		}
	}
	st := w.core.Status(w.now)
	if st.Queued > open {
		w.t.Fatalf("%d places taken in the queue by %d open requests", st.Queued, open)
	}
}

func (w *world) arrive(t *rapid.T) {
	w.last++
	r := Request{ID: w.last, Team: "desk", Service: "quote", Worth: rapid.Float64Range(0, 5).Draw(t, "worth"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: w.now + time.Duration(rapid.IntRange(1, 1000).Draw(t, "patience"))*time.Millisecond}
	w.requests[r.ID] = r
	w.take(w.core.Arrive(w.now, r))
}

func (w *world) rule(t *rapid.T) {
	for id := uint64(1); id <= w.last; id++ {
		if !w.claims[id] {
			continue
		}
		delete(w.claims, id)
		switch rapid.IntRange(0, 3).Draw(t, "ruling") {
		case 0:
			w.take(w.core.Claimed(w.now, id, errors.New("claimed before"), false))
		case 1:
			w.take(w.core.Claimed(w.now, id, errors.New("no answer"), true))
		default:
			w.claimed[id] = true
			w.take(w.core.Claimed(w.now, id, nil, false))
		}
		return
	}
}

// progress lets one attempt go on by a step: it begins, ends, or its end is
// seen by the entry in one of the ways it can be.
func (w *world) progress(t *rapid.T) {
	var live []*attempt
	for _, a := range w.attempts {
		if !a.reported {
			live = append(live, a)
		}
	}
	if len(live) == 0 {
		return
	}
	a := live[rapid.IntRange(0, len(live)-1).Draw(t, "attempt")]
	if !a.begun {
		w.beginOrLose(t, a)
		return
	}
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		a.stopped = true
		w.report(a, func() []Action { return w.core.Answered(w.now, a.request.ID, time.Millisecond, false) })
	case 1:
		a.stopped = true
		w.fail(a, BadAnswer)
	case 2:
		// The runner goes on; the entry sees the connection break.
		w.fail(a, MayHaveRun)
	}
}

func (w *world) beginOrLose(t *rapid.T, a *attempt) {
	switch rapid.IntRange(0, 4).Draw(t, "begin") {
	case 0:
		a.stopped = true
		w.fail(a, NeverSent)
	case 1:
		a.stopped = true
		w.fail(a, Refused)
	case 2:
		// Sent and lost: it may still arrive and begin.
		w.fail(a, MayHaveRun)
	default:
		w.begin(a)
	}
}

func (w *world) begin(a *attempt) {
	a.begun = true
	id := a.request.ID
	w.ran[id]++
	if !a.request.Idempotent && w.ran[id] > 1 {
		w.t.Fatalf("non-idempotent request %d ran %d times", id, w.ran[id])
	}
	if w.finished[id] == NotRun {
		w.t.Fatalf("request %d began after it was said not to have run", id)
	}
}

func (w *world) fail(a *attempt, f Failure) {
	w.mayRan[a.request.ID] = w.mayRan[a.request.ID] || f.mayHaveRun()
	w.report(a, func() []Action { return w.core.Failed(w.now, a.request.ID, f, "failed") })
}

func (w *world) report(a *attempt, tell func() []Action) {
	a.reported = true
	w.take(tell())
}

// wander lets a lost attempt begin late at its runner.
func (w *world) wander(t *rapid.T) {
	for _, a := range w.attempts {
		if a.reported && !a.begun && !a.stopped && w.now < a.request.Deadline {
			w.begin(a)
			return
		}
	}
}

// pass lets time go by. Runners stop what has reached its deadline within the
// grace; the entry may look at its timers late.
func (w *world) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond
	w.stopOverdue()
	if rapid.Bool().Draw(t, "looks") {
		w.take(w.core.Expire(w.now))
	}
}

func (w *world) stopOverdue() {
	for _, a := range w.attempts {
		if w.now >= a.request.Deadline+stopGrace {
			a.stopped = true
		}
	}
}

func (w *world) leave(t *rapid.T) {
	if w.last > 0 {
		w.take(w.core.Gone(w.now, uint64(rapid.IntRange(1, int(w.last)).Draw(t, "caller"))))
	}
}

func (w *world) relist(t *rapid.T) {
	w.setRunners(rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(t, "states"))
}

// settle ends the run: long after every deadline nothing may be left.
func (w *world) settle() {
	w.now += time.Hour
	w.stopOverdue()
	w.take(w.core.Expire(w.now))
	for id := range w.requests {
		if _, ok := w.finished[id]; !ok {
			w.t.Fatalf("request %d never got its final answer", id)
		}
	}
	st := w.core.Status(w.now)
	if st.Queued != 0 || st.InProgress != 0 {
		w.t.Fatalf("left behind: %d queued, %d in progress", st.Queued, st.InProgress)
	}
	for _, r := range st.Runners {
		if r.Busy != 0 {
			w.t.Fatalf("%d slots of %s never given back", r.Busy, r.ID)
		}
	}
}

// A caller is told "not run" and sends again; if the first one ran after all, two
// certificates exist. Or a slot is counted free while its runner is still busy,
// and the runner gets a ninth request. Callers, log and runners do here what they
// like in any order; what really ran is kept beside the core and compared.
func TestOutcomesAgainstWhatRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": w.arrive, "arrive more": w.arrive, "rule": w.rule, "progress": w.progress, "progress more": w.progress,
			"wander": w.wander, "pass": w.pass, "leave": w.leave, "relist": w.relist,
		})
		w.settle()
	})
}
