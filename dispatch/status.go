package dispatch

// RunnerStatus is one runner as this entry sees it.
type RunnerStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Busy  int    `json:"busy"`
	Share int    `json:"share"`
}

// Status is the core's state for a dump.
type Status struct {
	Queued      int            `json:"queued"`
	InProgress  int            `json:"inProgress"`
	RetryBudget float64        `json:"retryBudget"`
	Runners     []RunnerStatus `json:"runners"`
}

// Status describes the core.
func (c *Core) Status() Status {
	s := Status{InProgress: len(c.requests), RetryBudget: c.budget}
	for _, svc := range c.services {
		s.Queued += len(svc.queue)
	}
	for _, r := range c.order {
		s.Runners = append(s.Runners, RunnerStatus{ID: r.ID, State: string(r.State), Busy: r.busy, Share: r.share})
	}
	return s
}
