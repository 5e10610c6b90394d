package dispatch

import "time"

// RunnerStatus is one runner as this entry sees it.
type RunnerStatus struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Busy     int    `json:"busy"`
	Share    int    `json:"share"`
	Lent     int    `json:"lent"`
	Borrowed int    `json:"borrowed"`
	Health   Health `json:"health"`
	// Why and AvoidedMillis say why the runner is avoided and for how much longer.
	Why           string `json:"why,omitempty"`
	AvoidedMillis int64  `json:"avoidedMillis,omitempty"`
	// LastFailure is the newest failure of an attempt there.
	LastFailure string `json:"lastFailure,omitempty"`
	// Slowness is its run time as a multiple of what is expected.
	Slowness float64 `json:"slowness"`
}

// ServiceStatus is one upstream service as this entry sees it.
type ServiceStatus struct {
	Name   string `json:"name"`
	Queued int    `json:"queued"`
	Slots  int    `json:"slots"`
	// Load is the slot time asked for as a multiple of what the slots give.
	Load float64 `json:"load"`
	// RunMillis is the learned average run time.
	RunMillis float64 `json:"runMillis"`
}

// Refusal is a request that ended without an answer of a runner.
type Refusal struct {
	// AgoMillis is how long ago it was.
	AgoMillis int64   `json:"agoMillis"`
	Team      string  `json:"team"`
	Service   string  `json:"service"`
	Name      string  `json:"request,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    string  `json:"reason"`
	at        time.Duration
}

// keptRefusals is how many refusals a dump shows.
const keptRefusals = 16

// Status is the core's state for a dump.
type Status struct {
	Queued      int             `json:"queued"`
	InProgress  int             `json:"inProgress"`
	HeldSlots   int             `json:"heldSlots"`
	RetryBudget float64         `json:"retryBudget"`
	Roster      RosterStatus    `json:"roster"`
	Services    []ServiceStatus `json:"services"`
	Runners     []RunnerStatus  `json:"runners"`
	// Refusals are the newest ones, the last first.
	Refusals []Refusal `json:"refusals"`
}

// RosterStatus is what shares are computed from.
type RosterStatus struct {
	Active  Roster `json:"active"`
	Newest  uint64 `json:"newest"`
	Keeping uint64 `json:"keeping"`
}

// Status describes the core.
func (c *Core) Status(now time.Duration) Status {
	s := Status{InProgress: len(c.requests), HeldSlots: len(c.holds), RetryBudget: c.budget,
		Roster: RosterStatus{c.rosters.active, uint64(c.rosters.newest()), uint64(c.SettledVersion())}}
	for _, name := range sortedKeys(c.services) {
		svc := c.services[name]
		s.Queued += len(svc.queue)
		s.Services = append(s.Services, ServiceStatus{Name: name, Queued: len(svc.queue), Slots: svc.slots(),
			Load: svc.load(now, svc.slots()), RunMillis: svc.run.mean.Seconds() * 1000})
	}
	for _, t := range c.order {
		s.Runners = append(s.Runners, t.status(now))
	}
	for n := range c.refusals {
		r := c.refusals[len(c.refusals)-1-n]
		r.AgoMillis = (now - r.at).Milliseconds()
		s.Refusals = append(s.Refusals, r)
	}
	return s
}

func (t *runner) status(now time.Duration) RunnerStatus {
	s := RunnerStatus{ID: t.ID, State: string(t.State), Busy: t.busy, Share: t.share, Lent: t.lent, Borrowed: len(t.borrowed),
		Health: t.health.at(now), LastFailure: t.health.lastReason, Slowness: t.health.slowness}
	if s.Health != Healthy {
		s.Why, s.AvoidedMillis = t.health.reason, max(0, t.health.until-now).Milliseconds()
	}
	return s
}

// noteRefusal keeps the newest refusals for the dump.
func (c *Core) noteRefusal(now time.Duration, r *request, f Finished) {
	if len(c.refusals) == keptRefusals {
		copy(c.refusals, c.refusals[1:])
		c.refusals = c.refusals[:keptRefusals-1]
	}
	c.refusals = append(c.refusals, Refusal{Team: r.Team, Service: r.Service, Name: r.Name, Outcome: f.Outcome, Reason: f.Reason, at: now})
}
