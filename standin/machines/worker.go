package machines

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// allowedPercent is the share of the workers that may run a step, in percent.
const allowedPercent = 75

type worker struct {
	w        *World
	id       string
	capacity pool.Resources
	// fullCapacity is the capacity that it had when it started.
	fullCapacity pool.Resources
	kind         string
	rack         string
	service      string
	alive        bool
	startedAt    time.Time // of this incarnation
	born         int64     // startedAt by the clock of its host, see pool.WorkerInfo.Born
	silentUntil  time.Time // when it first reports
	unreachable  bool      // runs, but can't be reached
	listed       bool
	died         time.Time
	// replaced is set once another incarnation answers at the worker's address.
	replaced bool
	// formerCapacities are the capacities that the worker had, and until when.
	formerCapacities []formerCapacity
	// invalidSince is when the worker's entry was replaced by an invalid one; zero: it is valid.
	invalidSince time.Time
	drainsAt     time.Time // when it announced that it drains; zero: it doesn't drain
	token        uint64
	firstHold    time.Time // when it first answered one; zero: none has reached this incarnation
	heldTwice    bool      // an owner that had its answer to a hold has sent another
	holdAnswered bool      // an owner has had an answer to a hold
	lease        time.Time
	runs         []*run
	ends         []pool.EndedRun
	endedAt      map[uint64]time.Time // of each end, by its number
	lapsedAt     time.Time            // when the lease was last over
	endCount     uint64
	newestEnded  map[pool.TaskID]int // the newest stopped or ended run of each task
	tickets      map[string]time.Time
	ended        chan struct{}
}

// run is one run of a task. Its payload specifies its work: see Work.
type run struct {
	task           pool.TaskID
	number         int
	spec           *pool.StepSpec
	payload        string
	startedAt      time.Time
	work           time.Duration // remaining at startedAt
	fails          bool
	stopAt         time.Time // zero: not being stopped
	checkpoint     string
	crashAt        time.Time // when the task crashes its worker; zero: it doesn't
	pace           int       // in percent; recorded only, without effect on the run
	waitingForGang bool      // until all members have started
}

// progress returns the completed share of the work, in percent.
func (r *run) progress() int {
	switch {
	case r.spec.LongRunning:
		return 100
	case r.waitingForGang || r.work == 0:
		return 0
	}
	return int(min(99, 100*time.Since(r.startedAt)/r.work))
}

func newWorker(w *World, id string, capacity pool.Resources, kind, rack string) *worker {
	return &worker{w: w, id: id, capacity: capacity, fullCapacity: capacity, kind: kind, rack: rack, alive: true, startedAt: time.Now(), born: time.Now().UnixMilli(),
		endedAt: map[uint64]time.Time{}, newestEnded: map[pool.TaskID]int{}, tickets: map[string]time.Time{}, ended: make(chan struct{})}
}

// addr returns the worker's address.
func (x *worker) addr() string {
	if x.w.AddrOf != nil {
		return x.w.AddrOf(x.id)
	}
	return x.id
}

func (x *worker) info() pool.WorkerInfo {
	return pool.WorkerInfo{ID: x.id, Born: x.born, Addr: x.addr(), Service: x.service, Zone: "z", Rack: x.rack, Kind: x.kind,
		Labels: []string{x.kind, x.rack}, Capacity: x.capacity, Draining: !x.drainsAt.IsZero()}
}

// clock returns the worker's own clock, in milliseconds. It starts anew with each incarnation.
func (x *worker) clock() int64 {
	return int64(float64(time.Since(x.startedAt).Milliseconds())*x.w.clockRate(x.id)) + 1000
}

func (x *worker) at(clockMs int64) time.Time {
	return x.startedAt.Add(time.Duration(float64(clockMs-1000) / x.w.clockRate(x.id) * float64(time.Millisecond)))
}

// Work returns the payload of a job whose tasks take the given time. Poisoned tasks fail
// in every run, flaky ones in their first.
func Work(d time.Duration, poisoned, flaky bool) string {
	return fmt.Sprintf("%d %t %t", d.Milliseconds(), poisoned, flaky)
}

// CrashingWork returns the payload of a job of which the tasks with the given ordinal crash their
// worker in every run, the given time after its start. The other tasks take the time d.
func CrashingWork(d time.Duration, ordinal int, after time.Duration) string {
	return fmt.Sprintf("%s %d %d", Work(d, false, false), ordinal, after.Milliseconds())
}

// crashesAfter returns how long after its start a task crashes its worker, and whether it does.
func crashesAfter(payload string, ordinal int) (time.Duration, bool) {
	f := strings.Fields(payload)
	if len(f) != 5 || f[3] != strconv.Itoa(ordinal) {
		return 0, false
	}
	ms, _ := strconv.Atoi(f[4]) // written by CrashingWork
	return time.Duration(ms) * time.Millisecond, true
}

func parseWork(payload string) (d time.Duration, poisoned, flaky bool) {
	f := strings.Fields(payload)
	if len(f) < 3 {
		return time.Second, false, false
	}
	ms, _ := strconv.Atoi(f[0]) // written by Work
	return time.Duration(ms) * time.Millisecond, f[1] == "true", f[2] == "true"
}

func canRun(s pool.StepID, worker string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, s.Job, s.Step, worker) // a hash never fails to write
	return h.Sum32()%100 < allowedPercent
}

func ticketName(s pool.StepID, worker string) string {
	return fmt.Sprintf("%s.%d.%d@%s", s.Job, s.K, s.Step, worker)
}

func (x *worker) newTicket(s pool.StepID) string {
	name := ticketName(s, x.id)
	x.tickets[name] = time.Now().Add(x.w.Bounds.TicketValidity)
	return name
}

func (x *worker) acceptToken(token uint64) bool {
	if token < x.token {
		return false
	}
	x.token = token
	return true
}

func (x *worker) extendLease(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := x.at(deadlineMs)
	if latest := time.Now().Add(time.Duration(float64(x.w.Bounds.MaxLease) / x.w.clockRate(x.id))); until.After(latest) {
		until = latest
	}
	if until.After(x.lease) {
		x.lease = until
	}
}

func (x *worker) find(task pool.TaskID, number int) *run {
	for _, r := range x.runs {
		if r.task == task && r.number == number {
			return r
		}
	}
	return nil
}

// order says who sent a call to a worker, and when.
type order struct {
	sender string
	sentAt time.Time
}

func (x *worker) start(s pool.Start, o order) pool.Outcome {
	if !x.alive {
		return x.outcomeAfterCrash()
	}
	if !x.acceptToken(s.Token) {
		return pool.Fenced
	}
	if s.DeadlineMs <= x.clock() {
		return pool.DeadlinePassed
	}
	if x.find(s.Task, s.Run) != nil {
		return pool.OK
	}
	if s.Run <= x.newestEnded[s.Task] {
		return pool.Stale
	}
	if x.w.Advised {
		until, ok := x.tickets[s.Ticket]
		step := pool.StepID{Job: s.Task.Job, K: s.Task.K, Step: s.Task.Step}
		if !ok || time.Now().After(until) || s.Ticket != ticketName(step, x.id) {
			return pool.InvalidTicket
		}
	}
	x.extendLease(s.DeadlineMs)
	job := x.w.Referee.started(x, s, o)
	if job == nil {
		return pool.Rejected
	}
	work, poisoned, flaky := parseWork(s.Payload)
	if slices.ContainsFunc(job.Steps, func(s pool.StepSpec) bool { return s.Speculative }) && straggles(s.Task, s.Run) {
		work = work * 5 / 2
	}
	r := &run{task: s.Task, number: s.Run, spec: &job.Steps[s.Task.Step], payload: s.Payload, startedAt: time.Now(), work: work,
		fails: poisoned || (flaky && s.Checkpoint == "" && s.Run == 1), checkpoint: s.Checkpoint, pace: 100}
	r.waitingForGang = r.spec.Gang
	if after, crashes := crashesAfter(s.Payload, s.Task.Ordinal); crashes {
		r.crashAt = time.Now().Add(after)
	}
	x.runs = append(x.runs, r)
	return pool.OK
}

func (x *worker) stop(s pool.Stop) pool.Outcome {
	if !x.alive {
		return x.outcomeAfterCrash()
	}
	if !x.acceptToken(s.Token) {
		return pool.Fenced
	}
	x.newestEnded[s.Task] = max(x.newestEnded[s.Task], s.Run)
	if r := x.find(s.Task, s.Run); r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(x.w.Bounds.StopTime)
	}
	return pool.OK
}

func (x *worker) pace(p pool.Pace) pool.Outcome {
	if !x.acceptToken(p.Token) {
		return pool.Fenced
	}
	if r := x.find(p.Task, p.Run); r != nil {
		r.pace = p.Percent
	}
	return pool.OK
}

// hold answers a long poll. It reports whether there are ended runs that the caller has not
// acknowledged, and returns a channel that is closed when another run ends.
func (x *worker) hold(h pool.Hold, answer *pool.HoldAnswered) (bool, <-chan struct{}) {
	if !x.alive {
		answer.Outcome = x.outcomeAfterCrash()
		return true, nil
	}
	if !x.acceptToken(h.Token) {
		answer.Outcome = pool.Fenced
		return true, nil
	}
	if x.firstHold.IsZero() {
		x.firstHold = time.Now()
	}
	x.extendLease(h.DeadlineMs)
	for len(x.ends) > 0 && x.ends[0].Number <= h.Ack {
		x.w.Referee.endAcknowledged(x, x.ends[0])
		x.ends = x.ends[1:]
	}
	answer.Outcome, answer.Born, answer.ClockMs = pool.OK, x.born, x.clock()
	answer.Active = nil
	for _, r := range x.runs {
		answer.Active = append(answer.Active, pool.ActiveRun{Task: r.task, Run: r.number, Checkpoint: r.checkpoint, Percent: r.progress()})
	}
	answer.Ended = slices.Clone(x.ends[:min(len(x.ends), x.w.EndsPerAnswer)])
	answer.Truncated = len(answer.Ended) >= x.w.EndsPerAnswer // more may have ended
	return len(x.ends) > 0 || h.Wait == 0, x.ended
}

func (x *worker) crash() {
	if !x.alive {
		return
	}
	x.alive = false
	x.died = time.Now()
	for _, r := range x.runs {
		x.w.Referee.runLost(x, r)
	}
	x.runs = nil
	close(x.ended)
	x.ended = make(chan struct{})
}

// tick ends the runs that are due.
func (x *worker) tick() {
	if !x.alive {
		return
	}
	now := time.Now()
	if now.After(x.lease) {
		x.lapsedAt = now
	}
	if len(x.runs) > 0 && now.After(x.lease) {
		for _, r := range slices.Clone(x.runs) {
			x.end(r, pool.LeaseExpired)
		}
	}
	for _, r := range slices.Clone(x.runs) {
		switch {
		case !slices.Contains(x.runs, r): // it has just ended with its gang
		case !r.crashAt.IsZero() && !now.Before(r.crashAt):
			x.w.crashUnder(x, r)
			return
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, pool.Stopped)
		case r.waitingForGang:
			x.waitForGang(r, now)
		case !r.spec.LongRunning && now.Sub(r.startedAt) >= r.work:
			x.end(r, endOf(r))
		}
	}
}

func endOf(r *run) pool.EndReason {
	if r.fails {
		return pool.RunFailed
	}
	return pool.Done
}

func (x *worker) waitForGang(r *run, now time.Time) {
	if x.w.Referee.gangComplete(r) {
		r.waitingForGang, r.startedAt = false, now
		return
	}
	if now.Sub(r.startedAt) > x.w.Bounds.GangTimeout {
		x.end(r, pool.GangIncomplete)
	}
}

func (x *worker) end(r *run, how pool.EndReason) {
	i := slices.Index(x.runs, r)
	if i < 0 {
		return
	}
	x.runs = slices.Delete(x.runs, i, i+1)
	x.newestEnded[r.task] = max(x.newestEnded[r.task], r.number)
	x.endCount++
	e := pool.EndedRun{Number: x.endCount, Task: r.task, Run: r.number, How: how}
	if how == pool.Stopped && r.spec.Checkpoints {
		e.Checkpoint = "saved"
	}
	x.ends = append(x.ends, e)
	x.endedAt[e.Number] = time.Now()
	x.w.Referee.ended(x, r, e)
	close(x.ended)
	x.ended = make(chan struct{})
	if r.spec.Gang {
		x.endGang(r, how)
	}
}

// endGang ends the other members of a gang's run, because they can only run together.
func (x *worker) endGang(r *run, how pool.EndReason) {
	if how != pool.Done {
		how = pool.GangBroken
	}
	for _, other := range x.w.order {
		for _, o := range slices.Clone(other.runs) {
			if sameStep(o.task, r.task) && o.number == r.number && o != r {
				other.end(o, how)
			}
		}
	}
}

// stragglerPercent is the share of the runs of jobs with a step that permits copies that take 2.5 times as long, in percent.
const stragglerPercent = 25

func straggles(t pool.TaskID, run int) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t, run) // a hash never fails to write
	return h.Sum32()%100 < stragglerPercent
}
