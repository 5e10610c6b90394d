package dispatch

import "time"

// RunnerStatus is the state of one runner as this entry sees it.
type RunnerStatus struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Busy     int    `json:"busy"`
	Share    int    `json:"share"`
	Lent     int    `json:"lent"`
	Borrowed int    `json:"borrowed"`
	Health   Health `json:"health"`
	// Why and AvoidedMillis give the reason why the runner is avoided and the time left.
	Why           string `json:"why,omitempty"`
	AvoidedMillis int64  `json:"avoidedMillis,omitempty"`
	// LastFailure is the reason of the most recent failed attempt.
	LastFailure string `json:"lastFailure,omitempty"`
	// Slowness is the runner's run time as a multiple of the expected one.
	Slowness float64 `json:"slowness"`
}

// ServiceStatus is the state of one upstream service as this entry sees it.
type ServiceStatus struct {
	Name   string `json:"name"`
	Queued int    `json:"queued"`
	Slots  int    `json:"slots"`
	// Load is the requested slot time as a multiple of the available slot time.
	Load float64 `json:"load"`
	// RunMillis is the learned mean run time.
	RunMillis float64 `json:"runMillis"`
}

// Refusal is a request that ended without an answer from a runner.
type Refusal struct {
	// AgoMillis is the time since the refusal.
	AgoMillis int64   `json:"agoMillis"`
	Team      string  `json:"team"`
	Service   string  `json:"service"`
	Name      string  `json:"request,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    string  `json:"reason"`
	at        time.Duration
}

// maxRefusals is the number of refusals shown in a dump.
const maxRefusals = 16

// Status is the core's state as shown in a dump.
type Status struct {
	Queued      int             `json:"queued"`
	InProgress  int             `json:"inProgress"`
	HeldSlots   int             `json:"heldSlots"`
	RetryBudget float64         `json:"retryBudget"`
	Roster      RosterStatus    `json:"roster"`
	Services    []ServiceStatus `json:"services"`
	Runners     []RunnerStatus  `json:"runners"`
	// Refusals are the most recent ones, newest first.
	Refusals []Refusal `json:"refusals"`
}

// RosterStatus describes the rosters that the slot shares are computed from: the active one, the
// newest known version and the version that this entry acknowledges.
type RosterStatus struct {
	Active  Roster `json:"active"`
	Newest  uint64 `json:"newest"`
	Keeping uint64 `json:"keeping"`
}

// Status returns the state of the core.
func (c *Core) Status(now time.Duration) Status {
	s := Status{InProgress: len(c.requests), HeldSlots: len(c.heldSlots), RetryBudget: c.retryBudget,
		Roster: RosterStatus{c.rosters.active, uint64(c.rosters.newest()), uint64(c.AckedRosterVersion())}}
	for _, name := range sortedKeys(c.services) {
		svc := c.services[name]
		s.Queued += len(svc.queue)
		s.Services = append(s.Services, ServiceStatus{Name: name, Queued: len(svc.queue), Slots: svc.slots(),
			Load: svc.load(now, svc.slots()), RunMillis: svc.runTime.mean.Seconds() * 1000})
	}
	for _, t := range c.sortedRunners {
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
		Health: t.health.update(now), LastFailure: t.health.lastFailure, Slowness: t.health.slowness}
	if s.Health != Healthy {
		s.Why, s.AvoidedMillis = t.health.reason, max(0, t.health.avoidedUntil-now).Milliseconds()
	}
	return s
}

// recordRefusal stores a refusal for the dump and drops the oldest one beyond maxRefusals.
func (c *Core) recordRefusal(now time.Duration, r *request, f Finished) {
	if len(c.refusals) == maxRefusals {
		copy(c.refusals, c.refusals[1:])
		c.refusals = c.refusals[:maxRefusals-1]
	}
	c.refusals = append(c.refusals, Refusal{Team: r.Team, Service: r.Service, Name: r.Name, Outcome: f.Outcome, Reason: f.Reason, at: now})
}
