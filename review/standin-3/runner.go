package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	holdMax  = 6 * time.Second
	stopTime = 200 * time.Millisecond
	// clockBegin is what a runner's clock shows at its start, in milliseconds.
	clockBegin = 1000
	// workedBefore is for how long a runner has run before a case begins.
	workedBefore = 10 * time.Minute
)

// runner is one machine that runs tasks, by the pages.
type runner struct {
	d    *deployment
	id   string
	rack string
	addr string
	srv  *http.Server

	mu      sync.Mutex
	life    *life
	cut     bool
	gone    bool          // it is lost for good
	down    bool          // it has crashed, and hasn't started again yet
	cutOver chan struct{} // closed at the end of the cut
	// late decides whether a start gets no answer and is carried out later, and by how much; nil: none is.
	late func(task string, run int) (time.Duration, bool)
}

// life is one incarnation of a runner.
type life struct {
	born    int64
	begin   time.Time // by its clock
	token   uint64
	lease   time.Time
	active  []*activeRun
	ended   map[string]int // the newest stopped or ended run of each task
	ends    []endRow
	count   int
	changed chan struct{}
}

type activeRun struct {
	task   string
	gang   *gangRun // nil: it is in none
	run    int
	begun  time.Time
	work   time.Duration // 0: it lasts
	stopAt time.Time
}

// gangRun is one run of a gang, whose members work from when all are present, and end together.
type gangRun struct {
	members, size int
	complete      time.Time // when all were present; zero: some are missing
}

// gangTimeout is how long a member waits for the others.
const gangTimeout = 3 * time.Second

type endRow struct {
	number int
	task   string
	run    int
	how    string
}

// interval is when a run was active on a runner.
type interval struct {
	runner, task string
	run          int
	from, to     time.Time // to is zero while it is active
}

// history holds all runs of all runners.
type history struct {
	mu   sync.Mutex
	runs []*interval
}

func (h *history) began(runner, task string, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, &interval{runner: runner, task: task, run: run, from: time.Now()})
}

func (h *history) ended(runner, task string, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.runs {
		if i.runner == runner && i.task == task && i.run == run && i.to.IsZero() {
			i.to = time.Now()
		}
	}
}

// overlap returns the longest time for which two runs of one task were active together, and these.
func (h *history) overlap() (longest time.Duration, a, b *interval) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := func(i *interval) time.Time {
		if i.to.IsZero() {
			return time.Now()
		}
		return i.to
	}
	for n, x := range h.runs {
		for _, y := range h.runs[n+1:] {
			if x.task != y.task {
				continue
			}
			from, to := x.from, end(x)
			if y.from.After(from) {
				from = y.from
			}
			if end(y).Before(to) {
				to = end(y)
			}
			if both := to.Sub(from); both > longest {
				longest, a, b = both, x, y
			}
		}
	}
	return longest, a, b
}

func newLife(begin time.Time) *life {
	return &life{born: begin.UnixMilli(), begin: begin, ended: map[string]int{}, changed: make(chan struct{})}
}

// addRunner starts a runner and lists it.
func (d *deployment) addRunner(id, rack string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{d: d, id: id, rack: rack, addr: l.Addr().String(), life: newLife(time.Now().Add(-workedBefore))}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.handle(r.start))
	mux.HandleFunc("POST /-/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /-/hold", r.handle(r.hold))
	mux.HandleFunc("POST /-/pace", r.handle(r.stopless))
	r.srv = &http.Server{Handler: mux}
	go func() { _ = r.srv.Serve(l) }() // until the case ends
	go r.run()
	return r, r.report()
}

// report writes the runner's entry.
func (r *runner) report() error {
	r.mu.Lock()
	born := r.life.born
	r.mu.Unlock()
	info := pool.WorkerInfo{ID: r.id, Born: born, Addr: r.addr, Service: machines.Service, Zone: "hall-a", Kind: "a", Rack: r.rack,
		Labels: []string{"a", r.rack}, Capacity: pool.Resources{CPU: 16000, Mem: 32768}}
	_, err := r.d.wire.View().Append(context.Background(), machines.WorkersTopic, []pool.Record{{Key: r.id, Value: pool.Encode(info)}}, nil)
	return err
}

// unlist removes the runner's entry.
func (r *runner) unlist() error {
	_, err := r.d.wire.View().Append(context.Background(), machines.WorkersTopic, []pool.Record{{Key: r.id}}, nil)
	return err
}

// run ends what is due.
func (r *runner) run() {
	for range time.Tick(10 * time.Millisecond) {
		r.mu.Lock()
		now := time.Now()
		for _, a := range append([]*activeRun(nil), r.life.active...) {
			switch {
			case now.After(r.life.lease):
				r.end(a, "lapsed")
			case !a.stopAt.IsZero() && now.After(a.stopAt):
				r.end(a, "stopped")
			case a.gang != nil:
				r.runMember(a, now)
			case a.work > 0 && now.Sub(a.begun) > a.work:
				r.end(a, "done")
			}
		}
		r.mu.Unlock()
	}
}

// runMember ends a member of a gang that has waited too long for the others, or whose work is done.
func (r *runner) runMember(a *activeRun, now time.Time) {
	r.d.gangMu.Lock()
	g := *a.gang
	r.d.gangMu.Unlock()
	switch {
	case g.complete.IsZero() && now.Sub(a.begun) > gangTimeout:
		r.end(a, "alone")
	case !g.complete.IsZero() && now.Sub(g.complete) > a.work:
		r.end(a, "done")
	}
}

// joinGang adds a member to a gang's run; nil: the task is in none.
func (d *deployment) joinGang(task string, run int) *gangRun {
	d.gangMu.Lock()
	defer d.gangMu.Unlock()
	size := d.gangSizes[task[:16]]
	if size == 0 {
		return nil
	}
	key := fmt.Sprint(task[:strings.LastIndex(task, ".")], " ", run)
	g := d.gangs[key]
	if g == nil {
		g = &gangRun{size: size}
		d.gangs[key] = g
	}
	if g.members++; g.members == g.size {
		g.complete = time.Now()
	}
	return g
}

func (r *runner) end(a *activeRun, how string) {
	l := r.life
	for n, x := range l.active {
		if x == a {
			l.active = append(l.active[:n:n], l.active[n+1:]...)
		}
	}
	l.ended[a.task] = max(l.ended[a.task], a.run)
	l.count++
	l.ends = append(l.ends, endRow{l.count, a.task, a.run, how})
	close(l.changed)
	l.changed = make(chan struct{})
	r.d.runs.ended(r.id, a.task, a.run)
	r.d.line("%s: %s run %d ends: %s", r.id, a.task, a.run, how)
}

// crash ends the runner's life, and begin starts it again under its ID.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.life.active {
		r.d.runs.ended(r.id, a.task, a.run)
		r.d.line("%s: %s run %d is lost", r.id, a.task, a.run)
	}
	r.life = newLife(time.Now())
	r.d.line("%s has a new life under its ID, born %d", r.id, r.life.born)
}

// cutOff cuts the runner off from all machines of the system for a while.
func (r *runner) cutOff(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.cutOver = true, make(chan struct{})
	r.d.line("%s is cut off from all machines", r.id)
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cut = false
		close(r.cutOver)
		r.d.line("%s is reachable again", r.id)
	})
}

type runnerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Ack        int    `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

// handle passes a call on unless the runner is cut off: then it gets no answer, and is lost.
func (r *runner) handle(f func(ctx context.Context, c runnerCall) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var c runnerCall
		if json.NewDecoder(req.Body).Decode(&c) != nil {
			return
		}
		if req.Header.Get("Target-Instance") != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.isCut() {
			r.loseCall(req.Context())
		}
		status, body := f(req.Context(), c)
		if status == 0 || r.isCut() {
			r.loseCall(req.Context())
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // the caller may be gone
	}
}

func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// loseCall waits until the caller gives up.
func (r *runner) loseCall(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(20 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (l *life) clock() int64 { return time.Since(l.begin).Milliseconds() + clockBegin }

func (l *life) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := l.begin.Add(time.Duration(deadlineMs-clockBegin) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(l.lease) {
		l.lease = until
	}
}

func (l *life) refusal(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason, "born": l.born}
}

func (r *runner) start(_ context.Context, c runnerCall) (int, any) {
	r.mu.Lock()
	late := r.late
	r.mu.Unlock()
	if late != nil {
		if after, is := late(c.Task, c.Run); is {
			r.d.line("%s: start of %s run %d, token %d, gets no answer and is carried out %v later", r.id, c.Task, c.Run, c.Token, after)
			time.AfterFunc(after, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				status, body := r.carryOut(c)
				r.d.line("%s: the late start of %s run %d, token %d, is carried out: %d %v", r.id, c.Task, c.Run, c.Token, status, body)
			})
			return 0, nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status, body := r.carryOut(c)
	r.d.line("%s: start of %s run %d, token %d: %d %v", r.id, c.Task, c.Run, c.Token, status, body)
	return status, body
}

// carryOut begins a run.
func (r *runner) carryOut(c runnerCall) (int, any) {
	l := r.life
	switch {
	case c.Token < l.token:
		return l.refusal("fence")
	case c.DeadlineMs <= l.clock():
		l.token = c.Token
		return l.refusal("late")
	}
	l.token = c.Token
	ok := map[string]any{"clockMs": l.clock(), "born": l.born}
	for _, a := range l.active {
		if a.task == c.Task && a.run == c.Run {
			l.extend(c.DeadlineMs)
			return http.StatusOK, ok
		}
	}
	l.extend(c.DeadlineMs)
	if c.Run <= l.ended[c.Task] {
		return l.refusal("old")
	}
	var ms int64
	_, _ = fmt.Sscan(c.Spec, &ms) // 0: the task lasts
	l.active = append(l.active, &activeRun{task: c.Task, gang: r.d.joinGang(c.Task, c.Run), run: c.Run, begun: time.Now(), work: time.Duration(ms) * time.Millisecond})
	r.d.runs.began(r.id, c.Task, c.Run)
	return http.StatusOK, ok
}

func (r *runner) stop(_ context.Context, c runnerCall) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if c.Token < l.token {
		return l.refusal("fence")
	}
	l.token = c.Token
	l.ended[c.Task] = max(l.ended[c.Task], c.Run)
	for _, a := range l.active {
		if a.task == c.Task && a.run == c.Run && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(stopTime)
		}
	}
	r.d.line("%s: stop of %s run %d, token %d", r.id, c.Task, c.Run, c.Token)
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born}
}

func (r *runner) stopless(_ context.Context, c runnerCall) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return http.StatusOK, map[string]any{"clockMs": r.life.clock(), "born": r.life.born}
}

func (r *runner) hold(ctx context.Context, c runnerCall) (int, any) {
	r.mu.Lock()
	l := r.life
	if c.Token < l.token {
		defer r.mu.Unlock()
		return l.refusal("fence")
	}
	l.token = c.Token
	l.extend(c.DeadlineMs)
	for len(l.ends) > 0 && l.ends[0].number <= c.Ack {
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && c.WaitMs > 0 {
		changed := l.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
		r.mu.Lock()
		if r.life != l {
			defer r.mu.Unlock()
			return 0, nil
		}
	}
	defer r.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for _, a := range l.active {
		active = append(active, []any{a.task, a.run, "", a.percent(), 0})
	}
	for _, e := range l.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born, "active": active, "finished": finished}
}

func (a *activeRun) percent() int {
	if a.work == 0 {
		return 100
	}
	return int(min(99, 100*time.Since(a.begun)/a.work))
}
