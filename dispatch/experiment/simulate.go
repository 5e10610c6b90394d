package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
)

// policy decides about requests. It is the core or a baseline.
type policy interface {
	Arrive(now time.Duration, r dispatch.Request) []dispatch.Action
	Claimed(now time.Duration, id uint64, err error, mayBeOurs bool) []dispatch.Action
	Answered(now time.Duration, id uint64, took time.Duration, erred bool) []dispatch.Action
	Failed(now time.Duration, id uint64, f dispatch.Failure, reason string) []dispatch.Action
	Expire(now time.Duration) []dispatch.Action
}

// Result is the result of one run.
type Result struct {
	Arrived, OnTime, Refused, Unknown int
	// Value is the value of the requests delivered complete and on time.
	Value float64
	// Waits are the times from arrival to the first send of the delivered requests.
	Waits []time.Duration
	// MaxBusySlots is the maximum number of slots of one runner in use at once.
	MaxBusySlots int
	// Erred counts answers in which a runner reported an error.
	Erred int
	// Sends counts the attempts.
	Sends int
	// Messages counts the messages between entries.
	Messages int
	// OnTimeByClass counts the requests delivered on time by class.
	OnTimeByClass []int
	// RefusalDelays are the times from arrival to a refusal.
	RefusalDelays []time.Duration
}

const (
	expireInterval = 20 * time.Millisecond
	claimLatency   = 20 * time.Millisecond
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

type openRequest struct {
	Arrival
	sent    time.Duration
	runner  string
	attempt int
	// running is set while an attempt is in progress.
	running bool
	erred   bool
}

// simulation is one run in virtual time.
type simulation struct {
	cell Cell
	now  time.Duration
	seq  int
	// faults are the faults by runner.
	faults   map[string]Fault
	duration time.Duration
	events   events
	policies []policy
	// cores are the policies if they are dispatch cores; sharing is how they share the slots.
	cores   []*dispatch.Core
	sharing Sharing
	open    map[uint64]*openRequest
	busy    map[string]int
	result  Result
}

func newSimulation(c Cell, by []policy) *simulation {
	return &simulation{cell: c, policies: by, open: map[uint64]*openRequest{}, busy: map[string]int{}, result: Result{OnTimeByClass: make([]int, len(c.Classes))}}
}

func (s *simulation) schedule(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, do})
}

// run processes the arrivals until all requests have ended.
func (s *simulation) run(arrivals []Arrival) Result {
	for _, a := range arrivals {
		s.schedule(a.At, func() { s.arrive(a) })
	}
	s.duration = arrivals[len(arrivals)-1].At
	end := s.duration + s.cell.longestDeadline()
	for t := expireInterval; t < end+time.Second; t += expireInterval {
		s.schedule(t, func() {
			for n, p := range s.policies {
				s.apply(n, p.Expire(s.now))
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
	s.open[a.ID] = &openRequest{Arrival: a}
	n, after := s.forward(a)
	arrive := func() {
		s.apply(n, s.policies[n].Arrive(s.now, dispatch.Request{ID: a.ID, Team: k.Team, Service: s.cell.Service,
			Worth: k.Value, Idempotent: k.Idempotent, Deadline: a.At + k.Deadline}))
	}
	if after == 0 {
		arrive()
		return
	}
	s.schedule(s.now+after, arrive)
}

func (s *simulation) apply(n int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.ProposeClaim:
			s.schedule(s.now+claimLatency, func() { s.apply(n, s.policies[n].Claimed(s.now, a.Request, nil, false)) })
		case dispatch.Send:
			s.send(n, a)
		case dispatch.Cancel:
			s.cancel(n, a.Request)
		case dispatch.BorrowSlots:
			s.borrowSlots(n, a)
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
	if o.attempt == 0 {
		o.sent = s.now
	}
	o.attempt, o.runner, o.running = a.Attempt, a.Runner.ID, true
	s.busy[o.runner]++
	s.result.Sends++
	s.result.MaxBusySlots = max(s.result.MaxBusySlots, s.busy[o.runner])
	end := s.attemptOutcome(n, o)
	if end.after == 0 {
		return
	}
	s.schedule(s.now+end.after, func() {
		if o.running && o.attempt == a.Attempt {
			s.stop(o)
			s.apply(n, end.report())
		}
	})
}

func (s *simulation) stop(o *openRequest) {
	o.running = false
	s.busy[o.runner]--
}

// cancel stops an attempt; the runner stops immediately.
func (s *simulation) cancel(n int, id uint64) {
	o := s.open[id]
	if !o.running {
		return
	}
	s.stop(o)
	s.schedule(s.now, func() { s.apply(n, s.policies[n].Failed(s.now, id, dispatch.MayHaveRun, "cancelled")) })
}

func (s *simulation) finish(f dispatch.Finished) {
	o := s.open[f.Request]
	k := s.cell.Classes[o.Class]
	switch {
	case f.Outcome == dispatch.Done && o.erred:
		s.result.Erred++
	case f.Outcome == dispatch.Done && s.now <= o.At+k.Deadline:
		s.result.OnTime++
		s.result.OnTimeByClass[o.Class]++
		s.result.Value += k.Value
		s.result.Waits = append(s.result.Waits, o.sent-o.At)
	case f.Outcome == dispatch.NotRun:
		s.result.Refused++
		s.result.RefusalDelays = append(s.result.RefusalDelays, s.now-o.At)
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
