package fakeplatform

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// maxViolations limits the list of violations; the first ones are the most useful.
const maxViolations = 50

// attempt is one attempt to run a task on a worker.
type attempt struct {
	worker *fakeWorker
	task   infra.Task
}

// workerRecord is the referee's own record of one worker.
type workerRecord struct {
	token    infra.Offset
	sequence uint64
	leaseEnd time.Time
	used     infra.Resources
	running  map[string]attempt
}

// referee checks that the workers keep the guarantees of the platform. It keeps records of
// its own and asks the workers only to update the states of their tasks, so that it also
// detects faults in a worker's own checks.
type referee struct {
	records map[string]*workerRecord
	// running holds the running attempts of each task, by worker and task ID.
	running map[string]map[string]attempt
	// done holds the attempt that completed each task and was reported to an owner.
	done map[string]attempt
	// brokenGangs holds the gangs that have lost a task before it completed. Such a gang is
	// restarted as a whole.
	brokenGangs map[string]bool
	starts      map[string]int
	started     int
	violations  []string
	dropped     int
}

func newReferee() *referee {
	return &referee{records: map[string]*workerRecord{}, running: map[string]map[string]attempt{}, done: map[string]attempt{}, brokenGangs: map[string]bool{}, starts: map[string]int{}}
}

func (r *referee) record(worker string) *workerRecord {
	l, ok := r.records[worker]
	if !ok {
		l = &workerRecord{running: map[string]attempt{}}
		r.records[worker] = l
	}
	return l
}

func (r *referee) addViolation(format string, args ...any) {
	if len(r.violations) >= maxViolations {
		r.dropped++
		return
	}
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordRequest records a request that a worker has accepted. start is the time at which
// the worker's clock was zero.
func (r *referee) recordRequest(w *fakeWorker, req infra.SyncRequest, start time.Time) {
	l := r.record(w.ID)
	older := req.Token < l.token || (req.Token == l.token && req.Sequence <= l.sequence)
	if older && len(req.Starts)+len(req.Stops) > 0 {
		r.addViolation("worker %s obeyed token %d sequence %d after token %d sequence %d", w.ID, req.Token, req.Sequence, l.token, l.sequence)
	}
	if !older {
		l.token, l.sequence = req.Token, req.Sequence
	}
	leaseEnd := start.Add(time.Duration(req.AsOf+req.LeaseMillis) * time.Millisecond)
	if req.AsOf > 0 && leaseEnd.After(l.leaseEnd) {
		l.leaseEnd = leaseEnd
	}
}

// recordStart records that a worker has started a task, and checks the start.
func (r *referee) recordStart(w *fakeWorker, now time.Time, t infra.Task) {
	l, name := r.record(w.ID), taskName(t.ID)
	r.started++
	r.starts[name]++
	if now.After(l.leaseEnd) {
		r.addViolation("worker %s started %s %s after its lease", w.ID, t.ID, now.Sub(l.leaseEnd))
	}
	r.checkDuplicates(w, now, t, name)
	if t.Labels["kind"] == "gang" {
		r.allowGangRestart(now, jobOf(name))
	}
	if d, ok := r.done[name]; ok && t.Labels["kind"] != "service" {
		r.addViolation("task %s had run to its end as %s on %s and was started again as %s on %s", name, d.task.ID, d.worker.ID, t.ID, w.ID)
	}
	l.used = l.used.Add(t.Need)
	l.running[t.ID] = attempt{w, t}
	if !l.used.Fits(w.Capacity) {
		r.addViolation("worker %s overfilled by %s: %s of %s", w.ID, t.ID, l.used, w.Capacity)
	}
	if r.running[name] == nil {
		r.running[name] = map[string]attempt{}
	}
	r.running[name][w.ID+" "+t.ID] = attempt{w, t}
}

// checkDuplicates reports attempts of the same task that still run. It first updates the
// workers of these attempts: one that its worker has stopped at the end of its lease no
// longer runs, even if nobody has been told.
func (r *referee) checkDuplicates(w *fakeWorker, now time.Time, t infra.Task, name string) {
	for _, key := range sortedKeys(r.running[name]) {
		other := r.running[name][key]
		other.worker.advance(now)
		if _, still := r.running[name][key]; still {
			r.addViolation("task %s runs as %s on %s and as %s on %s", name, t.ID, w.ID, other.task.ID, other.worker.ID)
		}
	}
}

// allowGangRestart lets the completed tasks of a gang run again after the gang has lost a
// task.
func (r *referee) allowGangRestart(now time.Time, job string) {
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

// recordEnd records the end of a task on a worker.
func (r *referee) recordEnd(w *fakeWorker, at time.Time, t infra.Task, state infra.TaskState) {
	l, name := r.record(w.ID), taskName(t.ID)
	if _, ok := l.running[t.ID]; !ok {
		return
	}
	if at.After(l.leaseEnd) {
		r.addViolation("task %s ran on worker %s for %s after its lease", t.ID, w.ID, at.Sub(l.leaseEnd))
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

// recordReported records that an owner has been told that a task completed.
func (r *referee) recordReported(w *fakeWorker, t infra.Task) { r.done[taskName(t.ID)] = attempt{w, t} }

// discardReported handles a worker that has stopped answering: its results are lost, so
// running its tasks again is no violation.
func (r *referee) discardReported(w *fakeWorker) {
	for name, d := range r.done {
		if d.worker == w {
			delete(r.done, name)
		}
	}
}

// audit reports tasks that still run after the end of their worker's lease.
func (r *referee) audit(now time.Time) {
	for _, id := range sortedKeys(r.records) {
		l := r.records[id]
		for _, t := range sortedKeys(l.running) {
			if now.After(l.leaseEnd) {
				r.addViolation("task %s runs on worker %s, %s after its lease", t, id, now.Sub(l.leaseEnd))
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

// taskName returns a task ID without its last part, the attempt.
func taskName(id string) string {
	if cut := strings.LastIndex(id, "/"); cut >= 0 {
		return id[:cut]
	}
	return id
}

// jobOf returns the job of a task name.
func jobOf(name string) string {
	job, _, _ := strings.Cut(name, "/")
	return job
}
