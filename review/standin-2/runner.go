package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// oneWay is the delay between two zones, in one direction.
	oneWay        = 1400 * time.Microsecond
	heartbeat     = 1500 * time.Millisecond
	holdMax       = 6 * time.Second
	stopTime      = 200 * time.Millisecond
	runnerTick    = 10 * time.Millisecond
	lastingStart  = 500 * time.Millisecond
	clockAtStart  = 1000
	maxEndsListed = 500
)

// runner is a stand-in of one runner of the users. The spec of a task says how long it works: "work MS", or
// "lasts" for a task that runs until it is stopped.
type runner struct {
	w        *world
	id       string
	service  string
	zone     string
	rack     string
	cpu      int
	memMB    int
	addr     string
	server   *http.Server
	born     time.Time
	mu       sync.Mutex
	gone     bool
	life     int // counts the incarnations
	sequence int
	token    uint64
	lease    time.Time
	runs     map[string]*run // by task
	highest  map[string]int  // by task: the highest run that was stopped or has ended here
	ends     []end
	endCount int
	ended    chan struct{}
}

type run struct {
	task      string
	number    int
	cpu       int
	startedAt time.Time
	work      time.Duration // 0: it lasts
	stopAt    time.Time
}

type end struct {
	number     int
	task       string
	run        int
	how        string
	checkpoint string
}

// addRunner starts a runner, which writes its entry into the store.
func (w *world) addRunner(service, zone, rack string, cpu, memMB int) *runner {
	w.mu.Lock()
	x := &runner{w: w, id: fmt.Sprintf("%s-%d", service, len(w.runners)+1), service: service, zone: zone, rack: rack, cpu: cpu, memMB: memMB}
	w.runners = append(w.runners, x)
	w.mu.Unlock()
	x.serve(standInAddr())
	return x
}

// serve starts an incarnation of the runner at an address. It holds and knows nothing of before.
func (x *runner) serve(addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("%v", err)
	}
	x.mu.Lock()
	x.addr, x.born, x.gone, x.sequence, x.token, x.lease = l.Addr().String(), time.Now(), false, 0, 0, time.Time{}
	x.runs, x.highest, x.ends, x.endCount, x.ended = map[string]*run{}, map[string]int{}, nil, 0, make(chan struct{})
	x.life++
	life := x.life
	x.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.handle(x.start))
	mux.HandleFunc("POST /-/run-stop", x.handle(x.stop))
	mux.HandleFunc("POST /-/pace", x.handle(x.pace))
	mux.HandleFunc("POST /-/hold", x.handle(x.hold))
	x.server = &http.Server{Handler: x.delaying(mux)}
	go func() { _ = x.server.Serve(l) }()
	go x.live(life)
}

// delaying is the network in front of the runner. It holds back an order that the world wants to be late: the
// sender gets no answer, and the runner that has the address and the ID by then gets the order later.
func (x *runner) delaying(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x.w.delayOf == nil || r.URL.Path != "/-/run-start" || r.Header.Get("Late") != "" {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o order
		_ = json.Unmarshal(body, &o)
		delay := x.w.delayOf(x, o)
		if delay == 0 {
			r.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, r)
			return
		}
		x.w.record("the start of run %d of %s at runner %s gets no answer, and arrives %v later", o.Run, o.Task, x.id, delay)
		go func() {
			time.Sleep(delay)
			x.w.record("the start of run %d of %s arrives at runner %s", o.Run, o.Task, x.id)
			late, _ := http.NewRequest(http.MethodPost, "http://"+x.addr+r.URL.Path, bytes.NewReader(body))
			late.Header = r.Header.Clone()
			late.Header.Set("Late", "1")
			if resp, err := http.DefaultClient.Do(late); err == nil {
				answer, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				x.w.record("runner %s answers it with %d %s", x.id, resp.StatusCode, answer)
			}
		}()
		hang(r)
	})
}

// clock returns the runner's own steady clock in milliseconds.
func (x *runner) clock() int64 { return time.Since(x.born).Milliseconds() + clockAtStart }

func (x *runner) at(clockMs int64) time.Time {
	return x.born.Add(time.Duration(clockMs-clockAtStart) * time.Millisecond)
}

// live writes the entry of an incarnation and ends its runs when they are due.
func (x *runner) live(life int) {
	var beat time.Time
	for {
		x.mu.Lock()
		gone := x.gone || x.life != life
		if !gone {
			x.tick()
		}
		x.mu.Unlock()
		if gone {
			return
		}
		if time.Since(beat) >= heartbeat {
			beat = time.Now()
			x.sequence++
			data, _ := json.Marshal(map[string]any{"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready",
				"coldRemainingMs": 0, "sequence": x.sequence, "born": x.born.UnixMilli(), "labels": []string{"a", x.rack},
				"capacity": map[string]int{"cpu": x.cpu, "memMb": x.memMB, "gpu": 0}})
			x.w.store.write("keyed.servers", x.id, data)
		}
		time.Sleep(runnerTick)
	}
}

// crash ends the runner and all that it runs.
func (x *runner) crash() {
	x.mu.Lock()
	x.gone = true
	for _, r := range x.runs {
		x.w.record("runner %s crashes with run %d of %s", x.id, r.number, r.task)
		x.w.runEnded(x, r, "lost")
	}
	x.runs = map[string]*run{}
	x.mu.Unlock()
	_ = x.server.Close()
}

// restart crashes the runner, which starts again after a while under its ID and at its address.
func (x *runner) restart(after time.Duration) {
	x.crash()
	time.Sleep(after)
	x.serve(x.addr)
	x.w.record("runner %s starts again", x.id)
}

// tick ends runs. The runner must be locked.
func (x *runner) tick() {
	now := time.Now()
	for _, r := range x.runs {
		switch {
		case now.After(x.lease):
			x.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, "stopped")
		case r.work > 0 && r.stopAt.IsZero() && now.Sub(r.startedAt) >= r.work:
			x.end(r, "done")
		}
	}
}

func (x *runner) end(r *run, how string) {
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.endCount++
	x.ends = append(x.ends, end{x.endCount, r.task, r.number, how, ""})
	close(x.ended)
	x.ended = make(chan struct{})
	x.w.record("runner %s ends run %d of %s: %s", x.id, r.number, r.task, how)
	x.w.runEnded(x, r, how)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ack        int    `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

// handle decodes an order and applies the checks that all orders have in common.
func (x *runner) handle(f func(o order) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		time.Sleep(oneWay)
		if r.Header.Get("Target-Instance") != x.id {
			reply(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		x.mu.Lock()
		if x.gone {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		fenced := o.Token < x.token
		x.token = max(x.token, o.Token)
		x.mu.Unlock()
		if fenced {
			reply(w, http.StatusConflict, x.refusal("fence"))
			return
		}
		status, body := f(o)
		time.Sleep(oneWay)
		reply(w, status, body)
	}
}

func (x *runner) refusal(reason string) any {
	return map[string]any{"clockMs": x.clock(), "reason": reason, "born": x.born.UnixMilli()}
}

func (x *runner) done() any { return map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli()} }

// extend extends the lease, to the longest one at most. The runner must be locked.
func (x *runner) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := x.at(deadlineMs)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(x.lease) {
		x.lease = until
	}
}

func (x *runner) start(o order) (int, any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		x.extend(o.DeadlineMs)
		return 200, x.done()
	}
	if o.Run <= x.highest[o.Task] || x.runs[o.Task] != nil && o.Run < x.runs[o.Task].number {
		x.extend(o.DeadlineMs)
		return http.StatusConflict, x.refusal("old")
	}
	if o.DeadlineMs <= x.clock() {
		return http.StatusConflict, x.refusal("late")
	}
	x.extend(o.DeadlineMs)
	r := &run{task: o.Task, number: o.Run, startedAt: time.Now()}
	var ms int
	if n, _ := fmt.Sscanf(o.Spec, "work %d", &ms); n == 1 {
		r.work = time.Duration(ms) * time.Millisecond
	} else if !strings.HasPrefix(o.Spec, "lasts") {
		x.w.record("runner %s gets %s with the spec %q", x.id, o.Task, o.Spec)
		return http.StatusBadRequest, x.done()
	}
	x.runs[o.Task] = r
	x.w.record("runner %s starts run %d of %s (fence number %d)", x.id, o.Run, o.Task, o.Token)
	x.w.runStarted(x, r)
	return 200, x.done()
}

func (x *runner) stop(o order) (int, any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return 200, x.done()
}

func (x *runner) pace(order) (int, any) { return 200, x.done() }

func (x *runner) hold(o order) (int, any) {
	x.mu.Lock()
	x.extend(o.DeadlineMs)
	for len(x.ends) > 0 && x.ends[0].number <= o.Ack {
		x.w.record("runner %s: the end of run %d of %s is taken note of", x.id, x.ends[0].run, x.ends[0].task)
		if x.ends[0].how == "done" {
			x.w.noteEnd(x.ends[0].task)
		}
		x.ends = x.ends[1:]
	}
	ended, listed := x.ended, len(x.ends) > 0
	x.mu.Unlock()
	if wait := min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second); wait > 0 && !listed {
		select {
		case <-ended:
		case <-time.After(wait):
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		active = append(active, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEndsListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	return 200, map[string]any{"clockMs": x.clock(), "born": x.born.UnixMilli(), "active": active, "finished": finished}
}

func (r *run) percent() int {
	ran := time.Since(r.startedAt)
	if r.work == 0 {
		return int(min(100, 100*ran/lastingStart))
	}
	return int(min(99, 100*ran/r.work))
}
