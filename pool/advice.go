package pool

import (
	"slices"
	"time"
)

const (
	// maxWorkersPerRequest is the maximum number of workers that a request to the advice service
	// lists, since the processing time grows with each. A pool of up to 48 workers is listed
	// in full, and of a larger one the best candidates.
	maxWorkersPerRequest = 48
	// ticketExpiryMargin is subtracted from a ticket's validity, which began before the answer
	// arrived. The ticket must still be valid when the start arrives.
	ticketExpiryMargin = 150 * time.Millisecond
	// adviceRetryDelay is the delay after a failed advice request.
	adviceRetryDelay = 100 * time.Millisecond
)

// adviceEntry is what the advice service answered about one worker and one step. Whether the
// worker may run the step never changes, but a ticket expires.
type adviceEntry struct {
	answered     bool
	allowed      bool
	ticket       string
	ticketExpiry time.Duration
}

type advice struct {
	entries     []adviceEntry // by worker.index
	pending     bool
	requested   bool // at least one request was sent
	retryAt     time.Duration
	requestedAt time.Duration
	cost        time.Duration // of the pending request
}

// get returns what is known of a worker.
func (a *advice) get(w *worker) adviceEntry {
	if w.index >= len(a.entries) {
		return adviceEntry{}
	}
	return a.entries[w.index]
}

func (a *advice) set(w *worker, v adviceEntry) {
	if grow := w.index + 1 - len(a.entries); grow > 0 {
		a.entries = append(a.entries, make([]adviceEntry, grow)...)
	}
	a.entries[w.index] = v
}

func (a *advice) dropTicket(w *worker) {
	if v := a.get(w); v.answered {
		v.ticketExpiry = 0
		a.set(w, v)
	}
}

// booking holds resources on a worker for a task that waits for a ticket or migrates there.
type booking struct {
	worker *worker
	need   Resources
}

func (c *Core) book(s *step, w *worker) {
	need := s.spec.Reserved()
	w.booked = w.booked.Plus(need)
	c.freeChanged(w)
	s.booked = append(s.booked, booking{worker: w, need: need})
}

func (c *Core) unbook(s *step) {
	for _, b := range s.booked {
		b.worker.booked = b.worker.booked.Minus(b.need)
		c.freeChanged(b.worker)
	}
	s.booked = nil
	for _, p := range s.pendingLoads {
		p.worker.pendingCPU -= p.cpu
	}
	s.pendingLoads = s.pendingLoads[:0]
}

// pendingLoad is the share of an unanswered request's CPU demand that is attributed to one of
// the workers it lists.
type pendingLoad struct {
	worker *worker
	cpu    int
}

// addPendingLoads spreads the CPU demand of a request's tasks evenly over the workers it lists,
// until unbook removes it. Otherwise, concurrent requests would all list the same least loaded
// workers, which can't hold all of their tasks.
func (c *Core) addPendingLoads(s *step, names []string, tasks int) {
	cpu := tasks * s.spec.Reserved().CPU / len(names)
	for _, id := range names {
		w := c.workers[id]
		w.pendingCPU += cpu
		s.pendingLoads = append(s.pendingLoads, pendingLoad{worker: w, cpu: cpu})
	}
}

// pendingShare returns the pending CPU demand as a fraction of the worker's CPU capacity.
func (w *worker) pendingShare() float64 {
	return float64(w.pendingCPU) / float64(max(1, w.Capacity.CPU))
}

// hasBooked reports whether the step had booked resources on a worker for the tickets that have
// just arrived.
func (s *step) hasBooked(w *worker) bool {
	return slices.ContainsFunc(s.answeredBookings, func(b booking) bool { return b.worker == w })
}

// requestAdvice sends a request to the advice service that lists the given workers.
func (c *Core) requestAdvice(s *step, names []string) {
	terms := c.policy(s).Advice
	names = c.limitRequestedWorkers(s, names)
	reason := "the step became ready"
	if s.advice.requested {
		reason = "free capacity without a valid ticket, now or soon"
	}
	c.emit(LogEntry{Event: "advice.asked", Job: s.job.ID, Reason: reason, Workers: len(names), Waited: c.now - s.readySince})
	c.admission.recordAdviceRequest(terms.cost(len(names)), !s.advice.requested)
	s.advice.requestedAt, s.advice.cost = c.now, terms.cost(len(names))
	s.advice.pending, s.advice.requested = true, true
	u := c.urgencyOf(s)
	a := Advise{
		Step: s.id, Workers: names, Cost: terms.cost(len(names)), Priority: u.priority,
		InTimeUntil: c.atUnix(u.due - s.remainingPathMs), WorthUntil: c.atUnix(u.worthUntil - s.remainingPathMs), Lasting: s.spec.LongRunning,
		BeyondWeight: s.job.beyondWeight && !s.spec.LongRunning,
		Organisation: c.flowOf(s.job), Started: s.occ.started,
	}
	a.Weight = c.relativeWeight(a.Organisation)
	if a.Started {
		a.Work = s.occ.remainingWork()
	}
	c.emit(a)
}

// atUnix converts Unix milliseconds to a time on the owner's clock.
func (c *Core) atUnix(ms int64) time.Duration {
	return c.now + time.Duration(ms-c.unixMs)*time.Millisecond
}

// requestTicketsAhead requests a gang's tickets early enough that they arrive when its capacity
// becomes free. Requested only then, the capacity was idle for 0.55 s of the 7 s that a gang
// runs, and 0.025 to 0.03 less of the offered value was earned (kw-pool-load, 40 simulations).
func (c *Core) requestTicketsAhead(s *step, slots []slot) {
	terms := c.policy(s).Advice
	if terms == nil || s.advice.pending || !s.advice.requested || c.now < s.advice.retryAt {
		return
	}
	slotStart := slots[len(slots)-1].at
	var names []string
	valid := true
	for _, x := range slots {
		if !slices.Contains(names, x.worker.ID) {
			names = append(names, x.worker.ID)
			valid = valid && s.advice.get(x.worker).ticketExpiry > slotStart
		}
	}
	if !valid && slotStart-c.now <= terms.cost(len(names)) {
		c.requestAdvice(s, names)
	}
}

func (c *Core) logAdvice(s *step, e *Advised) {
	reason := "answered"
	if e.Failed {
		reason = "failed"
	}
	c.emit(LogEntry{Event: "advice.answered", Job: s.job.ID, Reason: reason, Workers: len(e.Good), Waited: c.now - s.advice.requestedAt})
}

func (c *Core) advised(e Advised) {
	t := c.task(TaskID{Job: e.Step.Job, K: e.Step.K, Step: e.Step.Step})
	if t == nil {
		return
	}
	s := t.step
	c.logAdvice(s, &e)
	c.admission.recordAdviceAnswer(c.now, s.job.Queue, c.policy(s).Priority, s.advice.cost, &e)
	s.advice.pending = false
	bookings := s.booked
	c.unbook(s)
	if e.Failed {
		s.advice.retryAt = c.now + adviceRetryDelay
		return
	}
	for _, id := range e.Asked {
		if w := c.workers[id]; w != nil {
			s.advice.set(w, adviceEntry{answered: true})
		}
	}
	for _, g := range e.Good {
		if w := c.workers[g.Worker]; w != nil {
			s.advice.set(w, adviceEntry{answered: true, allowed: true, ticket: g.Ticket, ticketExpiry: c.now + e.Validity - ticketExpiryMargin})
		}
	}
	s.retryMigrationAt = 0
	if c.canPlace(s) {
		// It uses its booked capacity first, since it was booked for these tickets.
		c.measureFreeCapacity()
		s.answeredBookings = bookings
		c.placeStep(s)
		s.answeredBookings = nil
	}
	c.replan = true
}

// permission is what is known about whether a worker may run a step.
type permission int

const (
	allowed   permission = iota // a start may be sent now
	renewable                   // allowed, but without a valid ticket
	unknown                     // no advice about it was requested yet
	forbidden
)

func (c *Core) permission(s *step, w *worker) permission {
	if c.policy(s).Advice == nil {
		return allowed
	}
	v := s.advice.get(w)
	switch {
	case !v.answered:
		return unknown
	case !v.allowed:
		return forbidden
	case c.now < v.ticketExpiry:
		return allowed
	}
	return renewable
}
