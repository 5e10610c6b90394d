package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// history drives a core with random events of all kinds. What it answers need not make sense together: only the core's
// incrementally updated state is checked.
type history struct {
	*rig
	random  *rand.Rand
	workers []WorkerInfo
	active  map[string][]ActiveRun
	ended   map[string][]EndedRun
	ends    map[string]uint64
	jobs    int
}

// Guards against an event, or a sequence of events, after which the list of waiting steps, the free capacity or the kept
// lists of runs differ from what a full scan finds. The rig compares them after each event and each pass.
func TestIncrementalStateInRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{rig: newRig(t), random: rand.New(rand.NewPCG(seed, 0)), active: map[string][]ActiveRun{}, ended: map[string][]EndedRun{}, ends: map[string]uint64{}}
			h.begin()
			for range 400 {
				h.randomEvent()
				h.answerActions()
			}
		})
	}
}

func (h *history) oneIn(n int) bool { return h.random.IntN(n) == 0 }

// begin lists the workers, of which a predecessor has known some, with its jobs and a silence record.
func (h *history) begin() {
	for i := range 6 {
		w := newWorkerInfo(fmt.Sprint("w", i))
		w.Born = 1
		h.workers = append(h.workers, w)
	}
	q := Queue{Name: "a", Service: "s", Attempts: 2, Slack: 2, Target: time.Second, Advice: &AdviceTerms{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}}
	h.step(QueuesChanged{Queues: map[string]Queue{"a": q, "q": {Name: "q", Service: "s", Attempts: 3, Slack: 2, Target: time.Second}}})
	if h.oneIn(2) {
		h.step(JobStored{Inherited: true, Job: Job{ID: "old", Queue: "q", Service: "s", Steps: []StepSpec{smallStep(3)}, AcceptedMs: h.unixMs()}})
		h.step(TrackedWorkersStored{Workers: []TrackedWorker{{ID: "w0", Addr: "w0:1", Service: "s", Born: 1}, {ID: "gone", Addr: "gone:1", Service: "s", Born: 1}}})
		h.step(SilenceStored{Worker: "gone", Tasks: []SilentTask{{TaskID: taskID("old", 1)}}})
	}
	h.storeAway = h.oneIn(2) // the workers are stored as tracked only after they have answered
	h.step(WorkersListed{Workers: h.workers, AsOf: h.now})
}

func (h *history) randomEvent() {
	switch w := &h.workers[h.random.IntN(len(h.workers))]; h.random.IntN(12) {
	case 0, 1:
		h.jobs++
		first, second := smallStep(1+h.random.IntN(6)), smallStep(1+h.random.IntN(3))
		first.Gang, second.LongRunning, second.After = h.oneIn(3), h.oneIn(3), []int{0}
		first.Speculative = h.jobs%2 == 0
		h.step(JobStored{Job: Job{ID: fmt.Sprint("j", h.jobs), Queue: []string{"a", "q"}[h.random.IntN(2)], Service: "s", Steps: []StepSpec{first, second}, AcceptedMs: h.unixMs()}})
	case 2:
		h.step(CancelStored{Job: fmt.Sprint("j", 1+h.random.IntN(h.jobs+1))})
	case 3: // the worker changes, or starts again
		w.Draining = h.oneIn(3)
		w.Capacity.CPU = 1000 * (2 + h.random.IntN(4))
		if h.oneIn(3) {
			w.Born++
			h.active[w.ID], h.ended[w.ID], h.ends[w.ID] = nil, nil, 0
		}
		listed := slices.Clone(h.workers)
		if h.oneIn(3) {
			listed = listed[1:]
		}
		h.step(WorkersListed{Workers: listed, AsOf: h.now})
	case 4:
		h.now += time.Duration(h.random.IntN(700)) * time.Millisecond
		h.step(Tick{UnixMs: h.unixMs()})
	default:
		h.now += time.Duration(h.random.IntN(40)) * time.Millisecond
		h.endRun(w.ID)
		h.step(Tick{UnixMs: h.unixMs()})
	}
	h.storeAway = h.oneIn(5)
	h.confirmSaves()
}

// endRun ends a run of the worker.
func (h *history) endRun(w string) {
	runs := h.active[w]
	if len(runs) == 0 {
		return
	}
	n := h.random.IntN(len(runs))
	h.ends[w]++
	how := []EndReason{Done, Done, Done, RunFailed, Stopped}[h.random.IntN(5)]
	h.ended[w] = append(h.ended[w], EndedRun{Number: h.ends[w], Task: runs[n].Task, Run: runs[n].Run, How: how})
	h.active[w] = slices.Delete(slices.Clone(runs), n, n+1)
}

// answerActions answers most of the core's calls.
func (h *history) answerActions() {
	for _, s := range takeActions[Start](h.rig) {
		outcome := []Outcome{OK, OK, OK, OK, NoAnswer, NoRoom, Unhealthy, Rejected, InvalidTicket}[h.random.IntN(9)]
		if outcome == OK || outcome == NoAnswer && h.oneIn(2) {
			h.active[s.Worker] = append(h.active[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
		h.step(StartAnswered{Worker: s.Worker, Task: s.Task, Run: s.Run, Outcome: outcome})
	}
	for _, s := range takeActions[Stop](h.rig) {
		h.active[s.Worker] = slices.DeleteFunc(slices.Clone(h.active[s.Worker]), func(a ActiveRun) bool { return a.Task == s.Task && a.Run == s.Run })
		h.step(StopAnswered{Worker: s.Worker, Born: s.Born, Task: s.Task, Run: s.Run, Outcome: []Outcome{OK, OK, NoAnswer}[h.random.IntN(3)]})
	}
	for _, a := range takeActions[Advise](h.rig) {
		e := Advised{Step: a.Step, Asked: a.Workers, Validity: time.Second, Failed: h.oneIn(5)}
		for _, id := range a.Workers {
			if !e.Failed && !h.oneIn(3) {
				e.Good = append(e.Good, Ticket{Worker: id, Ticket: "t"})
			}
		}
		h.step(e)
	}
	var later []Action
	for _, hold := range takeActions[Hold](h.rig) {
		if h.oneIn(4) {
			later = append(later, hold)
			continue
		}
		i := slices.IndexFunc(h.workers, func(w WorkerInfo) bool { return w.ID == hold.Worker })
		if i < 0 || h.oneIn(12) {
			h.step(HoldAnswered{Worker: hold.Worker, SentAt: hold.SentAt, Outcome: NoAnswer})
			continue
		}
		h.ended[hold.Worker] = slices.DeleteFunc(slices.Clone(h.ended[hold.Worker]), func(x EndedRun) bool { return x.Number <= hold.Ack })
		h.step(HoldAnswered{Worker: hold.Worker, SentAt: hold.SentAt, ClockMs: h.now.Milliseconds(), Born: h.workers[i].Born, Active: h.active[hold.Worker], Ended: h.ended[hold.Worker]})
	}
	h.actions = append(h.actions, later...)
}
