package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// networkDelay is the one-way delay of a message between owner and worker.
	networkDelay = 1500 * time.Microsecond
	// appendDelay is the duration of an append to the store.
	appendDelay = 4 * time.Millisecond
	// ticketValidity is how long a ticket is valid.
	ticketValidity = 2 * time.Second
	// tickInterval is the interval between ticks of the core.
	tickInterval = 50 * time.Millisecond
	// stopDelay is how long a worker takes to stop a run.
	stopDelay = 150 * time.Millisecond
	// checkpointInterval is the work between two checkpoints; restoreDelay is added to a run that
	// resumes from one.
	checkpointInterval = 2 * time.Second
	restoreDelay       = 600 * time.Millisecond
	// drainTime is how long a simulation continues after the last arrival.
	drainTime       = 40 * time.Second
	simulationStart = time.Hour // on the virtual clock
)

// scheduledEvent is a callback at a point in time; the sequence number orders events of the
// same time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type timeline []scheduledEvent

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].sequence, t[j].sequence)) < 0
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(scheduledEvent)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulation is the environment of a pool core in one simulation.
type simulation struct {
	workload       *Workload
	core           *pool.Core
	now            time.Duration
	timeline       timeline
	sequence       int
	jobs           map[string]*plannedJob
	workers        map[string]*worker
	openRequests   int // instances with a pending advice request
	openExpensive  int // expensive ones among them, except on reserved instances
	adviceRequests pool.AdviceQueue
	seed           uint64
	result         Result
	listedWorkers  []pool.WorkerInfo // by slot
	generations    int
}

type worker struct {
	id            string
	slowdown      float64
	runs          []*run
	used          pool.Resources
	ended         []pool.EndedRun
	lastEndNumber uint64
	pendingHold   *pool.Hold
	lost          bool
}

type run struct {
	start     pool.Start
	spec      *pool.StepSpec
	startedAt time.Duration // zero: a gang member that waits for the others
	duration  time.Duration
	priorWork time.Duration // work done in earlier runs
	fails     bool
	ended     bool
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.timeline, scheduledEvent{at: sim.now + d, sequence: sim.sequence, do: do})
}

func (sim *simulation) unixMs() int64 { return sim.now.Milliseconds() }

func (sim *simulation) send(ev pool.Event) {
	started := time.Now()
	actions := sim.core.Step(sim.now, ev)
	actions = append(actions, sim.core.Plan(sim.now)...)
	sim.result.CoreTime += time.Since(started)
	for _, a := range actions {
		sim.execute(a)
	}
}

func (sim *simulation) tick() {
	sim.send(pool.Tick{UnixMs: sim.unixMs()})
	used, all := 0, 0
	for _, w := range sim.workers {
		used += w.used.CPU
		all += sim.workload.Capacity.CPU
	}
	if sim.now < simulationStart+sim.workload.Duration {
		sim.result.Utilization += float64(used) / float64(all)
		sim.result.utilizationSamples++
	}
	sim.schedule(tickInterval, sim.tick)
}

func (sim *simulation) execute(a pool.Action) {
	switch a := a.(type) {
	case pool.Hold:
		sim.schedule(networkDelay, func() { sim.handleHold(a) })
	case pool.Start:
		sim.schedule(networkDelay, func() { sim.handleStart(a) })
	case pool.Stop:
		sim.schedule(networkDelay, func() { sim.handleStop(a) })
	case pool.Save:
		sim.result.Saves++
		for _, r := range a.Records {
			sim.result.SavedBytes += pool.RecordOverhead + r.Size()
		}
		sim.confirmSave(a.Seq)
	case pool.Advise:
		sim.adviceRequests.Add(pool.NewAdviceRequest(a), sim.now)
		sim.sendAdviceRequests()
	case pool.LogEntry:
		if a.Event == "job.completed" {
			j := sim.jobs[a.Job]
			sim.result.recordEnd(j, sim.now-simulationStart-j.at)
		}
	}
}

// sendAdviceRequests sends waiting advice requests while instances are free.
func (sim *simulation) sendAdviceRequests() {
	sim.adviceRequests.Instances = sim.workload.Instances
	for sim.openRequests < sim.workload.Instances {
		class := sim.sendClass()
		q, found := sim.adviceRequests.Next(sim.now, class)
		if !found {
			return
		}
		expensive := q.IsExpensive() && class == pool.AnyRequest
		sim.openRequests++
		if expensive {
			sim.openExpensive++
		}
		sim.result.AdviceRequests++
		sim.result.AdviceTime += q.Cost
		sim.schedule(q.Cost+2*networkDelay, func() {
			sim.openRequests--
			if expensive {
				sim.openExpensive--
			}
			sim.answerAdvice(q.Advise)
			sim.sendAdviceRequests()
		})
	}
}

// sendClass returns the requests that the next free instance may send. A third of the instances
// are reserved for cheap requests; all but one of these may send requests of past-due jobs
// meanwhile.
func (sim *simulation) sendClass() pool.SendClass {
	switch {
	case sim.openExpensive < sim.workload.Instances*2/3:
		return pool.AnyRequest
	case sim.openRequests < sim.workload.Instances-1:
		return pool.CheapOrLate
	}
	return pool.CheapOnly
}

func (sim *simulation) answerAdvice(q pool.Advise) {
	e := pool.Advised{Step: q.Step, Asked: q.Workers, Validity: ticketValidity}
	for _, id := range q.Workers {
		if sim.allowed(q.Step, id) {
			e.Good = append(e.Good, pool.Ticket{Worker: id, Ticket: fmt.Sprint(sim.now + ticketValidity)})
		}
	}
	sim.send(e)
}

// random returns a number from 0 to 1 that depends only on the seed and a name.
func (sim *simulation) random(name ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, sim.seed, name) // writes to a hash never fail
	return float64(h.Sum64()*0x9E3779B97F4A7C15>>11) / (1 << 53)
}

func (sim *simulation) allowed(s pool.StepID, worker string) bool {
	return sim.random(s, worker) < sim.jobs[s.Job].kind.AllowedShare
}

func (sim *simulation) handleHold(h pool.Hold) {
	w := sim.workers[h.Worker]
	for len(w.ended) > 0 && w.ended[0].Number <= h.Ack {
		w.ended = w.ended[1:]
	}
	if len(w.ended) > 0 || h.Wait == 0 || w.lost {
		sim.answerHold(w, h)
		return
	}
	w.pendingHold = &h
	sim.schedule(h.Wait, func() {
		if w.pendingHold == &h {
			sim.answerHold(w, h)
		}
	})
}

func (sim *simulation) answerHold(w *worker, h pool.Hold) {
	w.pendingHold = nil
	e := pool.HoldAnswered{Worker: w.id, SentAt: h.SentAt, Outcome: w.outcome(), ClockMs: sim.unixMs(), Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		a := pool.ActiveRun{Task: r.start.Task, Run: r.start.Run}
		if r.startedAt > 0 {
			a.Percent = int(100 * (sim.now - r.startedAt) / max(1, r.duration))
		}
		e.Active = append(e.Active, a)
	}
	sim.schedule(networkDelay, func() { sim.send(e) })
}

func (sim *simulation) handleStart(s pool.Start) {
	w := sim.workers[s.Worker]
	out := w.outcome()
	j := sim.jobs[s.Task.Job]
	spec := &j.Steps[s.Task.Step]
	if out == pool.OK && s.Ticket < fmt.Sprint(sim.now) {
		out = pool.InvalidTicket
	}
	if out == pool.OK && !spec.Need.Within(sim.workload.Capacity.Minus(w.used)) {
		sim.result.OverCapacityStarts++
		out = pool.NoRoom
	}
	if out == pool.OK {
		sim.startRun(w, s, j, spec)
	}
	sim.schedule(networkDelay, func() {
		sim.send(pool.StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: out})
	})
}

// startRun places a run on a worker. Its work begins at once, that of a gang once all members
// are placed.
func (sim *simulation) startRun(w *worker, s pool.Start, j *plannedJob, spec *pool.StepSpec) {
	r := &run{start: s, spec: spec, duration: time.Duration(float64(j.runTimes[s.Task.Step]) * w.slowdown * sim.taskFactor(s.Task))}
	if s.Checkpoint != "" {
		_, _ = fmt.Sscan(s.Checkpoint, &r.priorWork) // written by endRun
		r.duration = max(0, r.duration-r.priorWork) + restoreDelay
	}
	ordinal := s.Task.Ordinal
	if spec.Gang {
		ordinal = 0
	}
	if r.fails = sim.random("fails", s.Task.Job, s.Task.Step, ordinal, s.Run) < sim.workload.FailShare; r.fails {
		r.duration /= 2
	}
	w.runs = append(w.runs, r)
	w.used = w.used.Plus(spec.Need)
	sim.result.Starts++
	if !spec.Gang {
		sim.beginRun(w, r)
		return
	}
	members := sim.gangMembers(s)
	if len(members) < spec.Count {
		return
	}
	slowest := time.Duration(0)
	for _, m := range members {
		slowest = max(slowest, m.run.duration)
	}
	for _, m := range members {
		m.run.duration = slowest
		sim.beginRun(m.worker, m.run)
	}
}

// taskFactor returns the run time of a task relative to the mean of its step.
func (sim *simulation) taskFactor(t pool.TaskID) float64 {
	spread := sim.workload.TaskSpread
	if spread == 0 {
		return 1
	}
	normal := math.Sqrt2 * math.Erfinv(2*sim.random("factor", t.Job, t.Step, t.Ordinal)-1)
	return math.Exp(min(max(normal, -4), 4)*spread - spread*spread/2)
}

// gangMember is a member of a gang and its worker.
type gangMember struct {
	worker *worker
	run    *run
}

func (sim *simulation) gangMembers(s pool.Start) []gangMember {
	var found []gangMember
	for _, w := range sim.workers {
		if w.lost {
			continue
		}
		for _, r := range w.runs {
			t := r.start.Task
			if !r.ended && r.start.Run == s.Run && t.Job == s.Task.Job && t.Step == s.Task.Step {
				found = append(found, gangMember{w, r})
			}
		}
	}
	slices.SortFunc(found, func(a, b gangMember) int { return cmp.Compare(a.run.start.Task.Ordinal, b.run.start.Task.Ordinal) })
	return found
}

func (sim *simulation) beginRun(w *worker, r *run) {
	r.startedAt = sim.now
	sim.schedule(r.duration, func() {
		how := pool.Done
		if r.fails {
			how = pool.RunFailed
		}
		sim.endRun(w, r, how)
	})
}

func (sim *simulation) endRun(w *worker, r *run, how pool.EndReason) {
	if r.ended || w.lost {
		return
	}
	r.ended = true
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.used = w.used.Minus(r.spec.Need)
	w.lastEndNumber++
	e := pool.EndedRun{Number: w.lastEndNumber, Task: r.start.Task, Run: r.start.Run, How: how}
	worked := time.Duration(0)
	if r.startedAt > 0 {
		worked = sim.now - r.startedAt
	}
	if how != pool.Done {
		if r.spec.Checkpoints {
			saved := r.priorWork + worked
			if how == pool.RunFailed {
				saved = r.priorWork + worked.Truncate(checkpointInterval)
			}
			e.Checkpoint = fmt.Sprint(int64(saved))
			worked -= saved - r.priorWork
		}
		sim.result.WastedCoreSeconds += worked.Seconds() * float64(r.spec.Need.CPU) / 1000
	}
	w.ended = append(w.ended, e)
	if w.pendingHold != nil {
		sim.answerHold(w, *w.pendingHold)
	}
}

func (sim *simulation) handleStop(s pool.Stop) {
	w := sim.workers[s.Worker]
	for _, r := range slices.Clone(w.runs) {
		if r.start.Task == s.Task && r.start.Run == s.Run {
			sim.schedule(stopDelay, func() { sim.endRun(w, r, pool.Stopped) })
		}
	}
	sim.schedule(networkDelay, func() {
		sim.send(pool.StopAnswered{Worker: s.Worker, Born: s.Born, Task: s.Task, Run: s.Run, Outcome: w.outcome()})
	})
}
