package pool

import "time"

const (
	// maxNamed is how many workers one question to the advice service names
	// at most. Each name costs time; 48 workers of today's pools are all
	// named, and of larger pools those that fit best.
	maxNamed = 48
	// ticketSlack is taken off a ticket's validity, which began before the
	// answer arrived and must still hold when the start arrives.
	ticketSlack = 150 * time.Millisecond
	// adviceRetry is the pause after a question that failed.
	adviceRetry = 100 * time.Millisecond
)

// verdict is what the advice service said of one worker and one step. Whether a
// worker may run the step never changes; a ticket ends.
type verdict struct {
	good   bool
	ticket string
	until  time.Duration
}

type advice struct {
	verdicts map[string]verdict
	asking   bool
	retryAt  time.Duration
}

func (a *advice) dropTicket(worker string) {
	if v, ok := a.verdicts[worker]; ok {
		v.until = 0
		a.verdicts[worker] = v
	}
}

// booking keeps room on a worker while a ticket for it is fetched.
type booking struct {
	worker *worker
	need   Resources
}

func (c *Core) book(s *step, w *worker) {
	need := s.spec.Reserved()
	w.booked = w.booked.Plus(need)
	s.booked = append(s.booked, booking{worker: w, need: need})
}

func (c *Core) unbook(s *step) {
	for _, b := range s.booked {
		b.worker.booked = b.worker.booked.Minus(b.need)
	}
	s.booked = nil
}

// ask names workers to the advice service.
func (c *Core) ask(s *step, names []string) {
	terms := c.queues[s.job.Queue].Advice
	s.advice.asking = true
	c.do(Advise{
		Step: s.id, Workers: names, Priority: c.queues[s.job.Queue].Priority,
		Cost: terms.Decision + time.Duration(len(names))*terms.PerWorker,
	})
}

func (c *Core) advised(e Advised) {
	t := c.task(TaskID{Job: e.Step.Job, K: e.Step.K, Step: e.Step.Step})
	if t == nil {
		return
	}
	s := t.step
	s.advice.asking = false
	c.unbook(s)
	if e.Failed {
		s.advice.retryAt = c.now + adviceRetry
		return
	}
	if s.advice.verdicts == nil {
		s.advice.verdicts = map[string]verdict{}
	}
	for _, id := range e.Asked {
		s.advice.verdicts[id] = verdict{}
	}
	for _, g := range e.Good {
		s.advice.verdicts[g.Worker] = verdict{good: true, ticket: g.Ticket, until: c.now + e.Validity - ticketSlack}
	}
	if c.mayPlace(s) {
		// Its own room first: it was kept for these tickets.
		c.largest = c.largestFree()
		c.placeStep(s)
	}
	c.replan = true
}

// permission is what is known of a worker's right to run a step.
type permission int

const (
	allowed   permission = iota // a start may be sent now
	renewable                   // allowed, but without a valid ticket
	unknown                     // the advice service was not asked
	forbidden
)

func (c *Core) permission(s *step, w *worker) permission {
	if c.queues[s.job.Queue].Advice == nil {
		return allowed
	}
	v, asked := s.advice.verdicts[w.ID]
	switch {
	case !asked:
		return unknown
	case !v.good:
		return forbidden
	case c.now < v.until:
		return allowed
	}
	return renewable
}
