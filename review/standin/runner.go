package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment.
const (
	stopTime    = 200 * time.Millisecond
	startupTime = 300 * time.Millisecond
	endsPerList = 500
	runnerConns = 64
)

// work is the spec of a job of these cases: what its tasks do, by step.
type work struct {
	// RunMs is how long a task runs; 0: it runs until it is stopped.
	RunMs []int `json:"runMs"`
	// FailMs is how long after its start a task fails while failing is switched on; 0: it doesn't.
	FailMs []int `json:"failMs"`
}

type taskRun struct {
	task      string
	number    int
	startedAt time.Time
	length    time.Duration // 0: it lasts
	lasting   bool
	stopping  bool
	timer     *time.Timer
}

type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// runner is one runner of the users.
type runner struct {
	id, service, rack, addr string
	cpu, mem                int
	born                    time.Time
	rec                     *recorder
	fleet                   *fleet

	mu       sync.Mutex
	token    uint64
	lease    time.Time
	lapsedAt time.Time           // when the lease last lapsed
	active   map[string]*taskRun // by task
	ended    map[string]int      // by task, the highest run that was stopped or ended
	ends     []taskEnd
	endCount int64
	changed  chan struct{}
	sequence int
	powered  bool
}

// fleet is all runners, with what they have begun and ended.
type fleet struct {
	store   *store
	holdMax time.Duration
	runners []*runner
	mu      sync.Mutex
	failing bool
	// unlogged is a job whose runs are only counted.
	unlogged string
	runs     []runSpan
	open     map[string]int // index in runs by runner, task and run
}

// runSpan is one run as its runner saw it.
type runSpan struct {
	task, runner string
	run          int
	from, to     time.Time // to is zero while it is active
	how          string
	// noted is set once the end has been acknowledged without a lapse of the runner's lease in between.
	noted bool
}

func (f *fleet) setFailing(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = on
}

func (f *fleet) isFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *fleet) began(r *runner, t *taskRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[fmt.Sprint(r.id, t.task, t.number)] = len(f.runs)
	f.runs = append(f.runs, runSpan{task: t.task, runner: r.id, run: t.number, from: time.Now()})
}

func (f *fleet) finished(r *runner, t *taskRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.open[fmt.Sprint(r.id, t.task, t.number)]
	f.runs[i].to, f.runs[i].how = time.Now(), how
}

// log writes a line about a run.
func (f *fleet) log(format string, t *taskRun, r *runner, how string) {
	f.mu.Lock()
	unlogged := f.unlogged
	f.mu.Unlock()
	if unlogged == "" || !strings.HasPrefix(t.task, unlogged+".") {
		r.rec.line(format, t.task, t.number, r.id, how)
	}
}

func (f *fleet) noted(r *runner, e taskEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[f.open[fmt.Sprint(r.id, e.task, e.run)]].noted = true
}

// spans returns the runs of a job so far.
func (f *fleet) spans(job string) []runSpan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []runSpan
	for _, s := range f.runs {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// activeCount returns how many runs are active on a runner.
func (r *runner) activeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// endsCount returns how many ends a runner has to list.
func (r *runner) endsCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

func (f *fleet) add(rec *recorder, service, rack string, cpu, mem int) *runner {
	r := &runner{id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(f.runners)), service: service, rack: rack, cpu: cpu, mem: mem, born: time.Now(),
		rec: rec, fleet: f, active: map[string]*taskRun{}, ended: map[string]int{}, changed: make(chan struct{}), powered: true}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /-/run-start", r.start)
	mux.HandleFunc("POST /-/run-stop", r.stop)
	mux.HandleFunc("POST /-/hold", r.hold)
	mux.HandleFunc("POST /-/pace", r.pace)
	r.addr = listenLimited(r.whilePowered(mux), runnerConns)
	f.runners = append(f.runners, r)
	go r.report()
	go r.watchLease()
	return r
}

// whilePowered serves requests while the runner has power; otherwise none is answered.
func (r *runner) whilePowered(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.isPowered() {
			<-req.Context().Done()
			return
		}
		h.ServeHTTP(w, req)
	})
}

func (r *runner) isPowered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.powered
}

// losePower ends all that runs on the runner, which is silent from then on.
func (r *runner) losePower() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.powered = false
	for _, t := range r.active {
		if t.timer != nil {
			t.timer.Stop()
		}
		r.fleet.finished(r, t, "crashed")
	}
}

// startAgain starts the runner under the ID that it had. It knows nothing of before.
func (r *runner) startAgain() {
	r.mu.Lock()
	r.powered, r.born, r.token, r.lease, r.lapsedAt, r.endCount, r.sequence = true, time.Now(), 0, time.Time{}, time.Time{}, 0, 0
	r.active, r.ended, r.ends = map[string]*taskRun{}, map[string]int{}, nil
	r.mu.Unlock()
	go r.report()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

// report writes the runner's entry at each check-in while the runner has power.
func (r *runner) report() {
	for r.isPowered() {
		r.mu.Lock()
		r.sequence++
		entry := map[string]any{
			"service": r.service, "address": r.addr, "zone": "hall-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": []string{"a", r.rack},
			"clockMs": r.clock(), "sequence": r.sequence, "born": r.born.UnixMilli(),
		}
		r.mu.Unlock()
		r.fleet.store.write("keyed.servers", r.id, entry)
		time.Sleep(heartbeat)
	}
}

// watchLease ends all runs once the lease has expired.
func (r *runner) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		r.checkLease()
		r.mu.Unlock()
	}
}

// checkLease ends all runs if the lease has expired. The caller holds the lock.
func (r *runner) checkLease() {
	if r.lease.IsZero() || !time.Now().After(r.lease) || r.lapsedAt == r.lease {
		return
	}
	r.lapsedAt = r.lease
	for _, t := range r.active {
		r.end(t, "lapsed")
	}
}

// end lists the end of a run. The caller holds the lock.
func (r *runner) end(t *taskRun, how string) {
	if r.active[t.task] != t {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(r.active, t.task)
	r.ended[t.task] = max(r.ended[t.task], t.number)
	r.endCount++
	r.ends = append(r.ends, taskEnd{r.endCount, t.task, t.number, how, time.Now()})
	r.fleet.finished(r, t, how)
	r.fleet.log("%s run %d on %s ended: %s", t, r, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Ack        int64  `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

func (r *runner) decode(w http.ResponseWriter, req *http.Request) (o order, ok bool) {
	if target := req.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
}

// admit checks an order's fence number. The caller holds the lock.
func (r *runner) admit(w http.ResponseWriter, o order) bool {
	if o.Token < r.token {
		r.refuse(w, "fence")
		return false
	}
	r.token = o.Token
	return true
}

func (r *runner) extendLease(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	r.checkLease()
	until := r.born.Add(time.Duration(deadlineMs-1000) * time.Millisecond)
	if limit := time.Now().Add(r.fleet.holdMax); until.After(limit) {
		until = limit
	}
	if until.After(r.lease) {
		r.lease = until
	}
}

func (r *runner) start(w http.ResponseWriter, req *http.Request) {
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	var job work
	step, err := strconv.Atoi(strings.Split(o.Task+"...", ".")[2])
	if err != nil || json.Unmarshal([]byte(o.Spec), &job) != nil || step >= len(job.RunMs) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	failing := r.fleet.isFailing()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, o) {
		return
	}
	if o.DeadlineMs < r.clock() {
		r.refuse(w, "late")
		return
	}
	r.extendLease(o.DeadlineMs)
	if t := r.active[o.Task]; t != nil && t.number == o.Run {
		reply(w, http.StatusOK, map[string]int64{"clockMs": r.clock()})
		return
	} else if t != nil || o.Run <= r.ended[o.Task] {
		r.refuse(w, "old")
		return
	}
	t := &taskRun{task: o.Task, number: o.Run, startedAt: time.Now(), length: time.Duration(job.RunMs[step]) * time.Millisecond, lasting: job.RunMs[step] == 0}
	r.active[o.Task] = t
	r.fleet.began(r, t)
	r.fleet.log("%s run %d on %s begun%s", t, r, "")
	after, how := time.Duration(job.RunMs[step])*time.Millisecond, "done"
	if failing && step < len(job.FailMs) && job.FailMs[step] > 0 {
		after, how = time.Duration(job.FailMs[step])*time.Millisecond, "failed"
	}
	if after > 0 {
		t.timer = time.AfterFunc(after, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(t, how)
		})
	}
	reply(w, http.StatusOK, map[string]int64{"clockMs": r.clock()})
}

func (r *runner) stop(w http.ResponseWriter, req *http.Request) {
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, o) {
		return
	}
	if t := r.active[o.Task]; t != nil && t.number == o.Run {
		if !t.stopping {
			t.stopping = true
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(t, "stopped")
			})
		}
	} else {
		r.ended[o.Task] = max(r.ended[o.Task], o.Run)
	}
	reply(w, http.StatusOK, map[string]int64{"clockMs": r.clock()})
}

func (r *runner) pace(w http.ResponseWriter, req *http.Request) {
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.admit(w, o) {
		reply(w, http.StatusOK, map[string]int64{"clockMs": r.clock()})
	}
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request) {
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	r.mu.Lock()
	if !r.admit(w, o) {
		r.mu.Unlock()
		return
	}
	r.extendLease(o.DeadlineMs)
	for len(r.ends) > 0 && r.ends[0].number <= o.Ack {
		e := r.ends[0]
		r.ends = r.ends[1:]
		if !r.lapsedAt.After(e.at) {
			r.fleet.noted(r, e)
		}
	}
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for _, t := range r.active {
		percent, since := 0, time.Since(t.startedAt)
		switch {
		case t.lasting:
			percent = int(min(100, 100*since/startupTime))
		case t.length > 0:
			percent = int(min(99, 100*since/t.length))
		}
		active = append(active, []any{t.task, t.number, "", percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), endsPerList)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "active": active, "finished": finished})
}
