package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
)

// policy is what decides over requests: the core or a baseline.
type policy interface {
	Arrive(now time.Duration, r dispatch.Request) []dispatch.Action
	Claimed(now time.Duration, id uint64, err error, mayBeOurs bool) []dispatch.Action
	Answered(now time.Duration, id uint64, took time.Duration, erred bool) []dispatch.Action
	Failed(now time.Duration, id uint64, f dispatch.Failure, why string) []dispatch.Action
	Expire(now time.Duration) []dispatch.Action
}

// Result is what became of the requests of one run.
type Result struct {
	Arrived, OnTime, Refused, Unknown int
	// Worth is that of the requests delivered complete and on time.
	Worth float64
	// Waits are the times from arrival to the first send, of the delivered.
	Waits []time.Duration
	// MostBusy is the most slots of one runner in use at once.
	MostBusy int
	// Erred counts answers by which a runner said that it failed.
	Erred int
	// Sends counts the attempts.
	Sends int
	// Messages counts those between entries.
	Messages int
	// OnTimeBy counts the delivered by class.
	OnTimeBy []int
	// Told are the times from arrival to a refusal.
	Told []time.Duration
}

const (
	expireEvery = 20 * time.Millisecond
	claimTakes  = 20 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type open struct {
	Arrival
	sent   time.Duration
	runner string
	try    int
	// running says that an attempt is in progress.
	running bool
	erred   bool
}

// simulation is one run in virtual time.
type simulation struct {
	cell Cell
	now  time.Duration
	seq  int
	// faults are what is wrong with which runner.
	faults map[string]Fault
	length time.Duration
	events events
	by     []policy
	// cores are the policies if they are cores; how they share the slots.
	cores  []*dispatch.Core
	how    Sharing
	open   map[uint64]*open
	busy   map[string]int
	result Result
}

func newSimulation(c Cell, by []policy) *simulation {
	return &simulation{cell: c, by: by, open: map[uint64]*open{}, busy: map[string]int{}, result: Result{OnTimeBy: make([]int, len(c.Classes))}}
}

func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, do})
}

// run feeds the arrivals in and goes on until all have ended.
func (s *simulation) run(arrivals []Arrival) Result {
	for _, a := range arrivals {
		s.at(a.At, func() { s.arrive(a) })
	}
	s.length = arrivals[len(arrivals)-1].At
	end := s.length + s.cell.longestDeadline()
	for t := expireEvery; t < end+time.Second; t += expireEvery {
		s.at(t, func() {
			for n, p := range s.by {
				s.take(n, p.Expire(s.now))
			}
		})
	}
	s.result.Arrived = len(arrivals)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

func (c Cell) longestDeadline() time.Duration {
	var longest time.Duration
	for _, k := range c.Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

func (s *simulation) arrive(a Arrival) {
	k := s.cell.Classes[a.Class]
	s.open[a.ID] = &open{Arrival: a}
	n, after := s.forward(a)
	arrive := func() {
		s.take(n, s.by[n].Arrive(s.now, dispatch.Request{ID: a.ID, Team: k.Team, Service: s.cell.Service,
			Worth: k.Worth, Idempotent: k.Idempotent, Deadline: a.At + k.Deadline}))
	}
	if after == 0 {
		arrive()
		return
	}
	s.at(s.now+after, arrive)
}

func (s *simulation) take(n int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.AskClaim:
			s.at(s.now+claimTakes, func() { s.take(n, s.by[n].Claimed(s.now, a.Request, nil, false)) })
		case dispatch.Send:
			s.send(n, a)
		case dispatch.Cancel:
			s.cancel(n, a.Request)
		case dispatch.AskSlots:
			s.askSlots(n, a)
		case dispatch.ReturnSlots:
			s.returnSlots(n, a)
		case dispatch.RecallSlots:
			s.recallSlots(n, a)
		case dispatch.Finished:
			s.finish(a)
		}
	}
}

func (s *simulation) send(n int, a dispatch.Send) {
	o := s.open[a.Request]
	if o.try == 0 {
		o.sent = s.now
	}
	o.try, o.runner, o.running = a.Attempt, a.Runner.ID, true
	s.busy[o.runner]++
	s.result.Sends++
	s.result.MostBusy = max(s.result.MostBusy, s.busy[o.runner])
	end := s.outcome(n, o)
	if end.after == 0 {
		return
	}
	s.at(s.now+end.after, func() {
		if o.running && o.try == a.Attempt {
			s.stop(o)
			s.take(n, end.tell())
		}
	})
}

func (s *simulation) stop(o *open) {
	o.running = false
	s.busy[o.runner]--
}

// cancel breaks an attempt off; the runner stops at once.
func (s *simulation) cancel(n int, id uint64) {
	o := s.open[id]
	if !o.running {
		return
	}
	s.stop(o)
	s.at(s.now, func() { s.take(n, s.by[n].Failed(s.now, id, dispatch.MayHaveRun, "cancelled")) })
}

func (s *simulation) finish(f dispatch.Finished) {
	o := s.open[f.Request]
	k := s.cell.Classes[o.Class]
	switch {
	case f.Outcome == dispatch.Done && o.erred:
		s.result.Erred++
	case f.Outcome == dispatch.Done && s.now <= o.At+k.Deadline:
		s.result.OnTime++
		s.result.OnTimeBy[o.Class]++
		s.result.Worth += k.Worth
		s.result.Waits = append(s.result.Waits, o.sent-o.At)
	case f.Outcome == dispatch.NotRun:
		s.result.Refused++
		s.result.Told = append(s.result.Told, s.now-o.At)
	default:
		s.result.Unknown++
	}
}

func (c Cell) instances() []infra.Instance {
	var out []infra.Instance
	for n := range c.Runners {
		rack := n / c.PerRack
		out = append(out, infra.Instance{ID: fmt.Sprintf("runner-%02d", n), Service: c.Service, State: infra.InstanceLive,
			Rack: fmt.Sprintf("rack-%d", rack), Zone: fmt.Sprintf("zone-%d", rack%c.Zones+1)})
	}
	return out
}

func (c Cell) entryIDs() []string {
	var out []string
	for n := range c.Entries {
		out = append(out, fmt.Sprintf("entry-%d", n+1))
	}
	return out
}
