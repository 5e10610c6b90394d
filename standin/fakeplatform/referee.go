package fakeplatform

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// mostViolations bounds the list of broken promises; the first ones tell most.
const mostViolations = 50

// attempt is one try at a task at one worker.
type attempt struct {
	worker *fakeWorker
	task   infra.Task
}

// ledger is what the referee knows of one worker.
type ledger struct {
	token    infra.Offset
	sequence uint64
	leaseEnd time.Time
	used     infra.Resources
	running  map[string]attempt
}

// referee judges what the workers do. It keeps books of its own and asks the
// workers for nothing but to bring their tasks up to date, so that a fault in a
// worker's own checks shows up here too.
type referee struct {
	ledgers map[string]*ledger
	// running holds what runs of each task, by worker and attempt.
	running map[string]map[string]attempt
	// done holds the attempt that ran each task to its end and was reported.
	done map[string]attempt
	// brokenGangs holds the gangs of which a task has ended without running to
	// its end: they start again as a whole.
	brokenGangs map[string]bool
	starts      map[string]int
	started     int
	violations  []string
	dropped     int
}

func newReferee() *referee {
	return &referee{ledgers: map[string]*ledger{}, running: map[string]map[string]attempt{}, done: map[string]attempt{}, brokenGangs: map[string]bool{}, starts: map[string]int{}}
}

func (r *referee) ledger(worker string) *ledger {
	l, ok := r.ledgers[worker]
	if !ok {
		l = &ledger{running: map[string]attempt{}}
		r.ledgers[worker] = l
	}
	return l
}

func (r *referee) broken(format string, args ...any) {
	if len(r.violations) >= mostViolations {
		r.dropped++
		return
	}
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// obeyed takes in a request that a worker has accepted; start is when the
// worker's clock read zero.
func (r *referee) obeyed(w *fakeWorker, req infra.SyncRequest, start time.Time) {
	l := r.ledger(w.ID)
	older := req.Token < l.token || (req.Token == l.token && req.Sequence <= l.sequence)
	if older && len(req.Starts)+len(req.Stops) > 0 {
		r.broken("worker %s obeyed token %d sequence %d after token %d sequence %d", w.ID, req.Token, req.Sequence, l.token, l.sequence)
	}
	if !older {
		l.token, l.sequence = req.Token, req.Sequence
	}
	leaseEnd := start.Add(time.Duration(req.AsOf+req.LeaseMillis) * time.Millisecond)
	if req.AsOf > 0 && leaseEnd.After(l.leaseEnd) {
		l.leaseEnd = leaseEnd
	}
}

// startedTask takes in a task that a worker has started.
func (r *referee) startedTask(w *fakeWorker, now time.Time, t infra.Task) {
	l, name := r.ledger(w.ID), taskName(t.ID)
	r.started++
	r.starts[name]++
	if now.After(l.leaseEnd) {
		r.broken("worker %s started %s %s after its lease", w.ID, t.ID, now.Sub(l.leaseEnd))
	}
	r.elsewhere(w, now, t, name)
	if t.Labels["kind"] == "gang" {
		r.gangAgain(now, jobOf(name))
	}
	if d, ok := r.done[name]; ok && t.Labels["kind"] != "service" {
		r.broken("task %s had run to its end as %s on %s and was started again as %s on %s", name, d.task.ID, d.worker.ID, t.ID, w.ID)
	}
	l.used = l.used.Add(t.Need)
	l.running[t.ID] = attempt{w, t}
	if !l.used.Fits(w.Capacity) {
		r.broken("worker %s overfilled by %s: %s of %s", w.ID, t.ID, l.used, w.Capacity)
	}
	if r.running[name] == nil {
		r.running[name] = map[string]attempt{}
	}
	r.running[name][w.ID+" "+t.ID] = attempt{w, t}
}

// elsewhere notes attempts of the same task that still run. Only the workers
// that have one are brought up to date: an attempt that its worker has stopped
// by itself when its lease ended runs no more, even if nobody has heard of it.
func (r *referee) elsewhere(w *fakeWorker, now time.Time, t infra.Task, name string) {
	for _, key := range sortedKeys(r.running[name]) {
		other := r.running[name][key]
		other.worker.advance(now)
		if _, still := r.running[name][key]; still {
			r.broken("task %s runs as %s on %s and as %s on %s", name, t.ID, w.ID, other.task.ID, other.worker.ID)
		}
	}
}

// gangAgain allows the tasks of a gang that lost one of them to run again.
func (r *referee) gangAgain(now time.Time, job string) {
	for _, name := range sortedKeys(r.running) {
		if jobOf(name) != job {
			continue
		}
		for _, key := range sortedKeys(r.running[name]) {
			r.running[name][key].worker.advance(now)
		}
	}
	if !r.brokenGangs[job] {
		return
	}
	delete(r.brokenGangs, job)
	for name := range r.done {
		if jobOf(name) == job {
			delete(r.done, name)
		}
	}
}

// endedTask takes in the end of a task at a worker.
func (r *referee) endedTask(w *fakeWorker, at time.Time, t infra.Task, state infra.TaskState) {
	l, name := r.ledger(w.ID), taskName(t.ID)
	if _, ok := l.running[t.ID]; !ok {
		return
	}
	if at.After(l.leaseEnd) {
		r.broken("task %s ran on worker %s for %s after its lease", t.ID, w.ID, at.Sub(l.leaseEnd))
	}
	if t.Labels["kind"] == "gang" && state != infra.TaskDone {
		r.brokenGangs[jobOf(name)] = true
	}
	delete(l.running, t.ID)
	l.used = l.used.Sub(t.Need)
	delete(r.running[name], w.ID+" "+t.ID)
	if len(r.running[name]) == 0 {
		delete(r.running, name)
	}
}

// reported takes in that an owner was told of a task that ran to its end.
func (r *referee) reported(w *fakeWorker, t infra.Task) { r.done[taskName(t.ID)] = attempt{w, t} }

// silenced takes in that a worker has stopped answering: what it has done can't
// be known any more, and running it again is no fault.
func (r *referee) silenced(w *fakeWorker) {
	for name, d := range r.done {
		if d.worker == w {
			delete(r.done, name)
		}
	}
}

// audit looks for tasks that run beyond their worker's lease now.
func (r *referee) audit(now time.Time) {
	for _, id := range sortedKeys(r.ledgers) {
		l := r.ledgers[id]
		for _, t := range sortedKeys(l.running) {
			if now.After(l.leaseEnd) {
				r.broken("task %s runs on worker %s, %s after its lease", t, id, now.Sub(l.leaseEnd))
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// taskName is a task ID without its last part, the attempt.
func taskName(id string) string {
	if cut := strings.LastIndex(id, "/"); cut >= 0 {
		return id[:cut]
	}
	return id
}

// jobOf is the job of a task name.
func jobOf(name string) string {
	job, _, _ := strings.Cut(name, "/")
	return job
}
