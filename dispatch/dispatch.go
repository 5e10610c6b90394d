// Package dispatch decides what becomes of each request of a caller: whether it
// is admitted, which runner gets it, when it is tried again and which of three
// final answers the caller hears. The core is a step machine without I/O.
package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Config is the limits of one entry.
type Config struct {
	Self string
	// SlotsPerRunner is what a runner runs at once, over all entries.
	SlotsPerRunner int
	// RetryShare is the number of retries earned by each fresh request.
	RetryShare float64
	// MaxQueue is the number of requests that may wait at this entry.
	MaxQueue int
	// ClaimWait is how long a claim may take before the request is given up;
	// zero leaves it to the deadline.
	ClaimWait time.Duration
}

// Request is what the core knows of a caller's request.
type Request struct {
	// ID is the entry's own number of the request, unique in this process.
	ID         uint64
	Team       string
	Service    string
	Name       string
	Worth      float64
	Idempotent bool
	// Deadline is when the caller stops waiting, on the caller's clock.
	Deadline time.Duration
}

// Core is the step machine of one entry.
type Core struct {
	cfg      Config
	requests map[uint64]*request
	timers   timers
	services map[string]*service
	runners  map[string]*runner
	order    []*runner
	holds    []hold
	budget   float64
	// estimates are the learned run times of each team's requests.
	estimates estimates
	rosters   rosters
	lending   lending
	refusals  []Refusal
	// lookedAt is when the timers were last looked at; late says that it was too long ago.
	lookedAt time.Duration
	late     bool
}

// New returns a core without runners.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, requests: map[uint64]*request{}, runners: map[string]*runner{},
		services: map[string]*service{}, estimates: estimates{},
		rosters: rosters{self: cfg.Self, settled: map[string]infra.Offset{}}, budget: maxRetryBudget}
}

// SetRunners takes over the list of runners. Those that are leaving get no new
// work.
func (c *Core) SetRunners(now time.Duration, list []infra.Instance) []Action {
	c.updateRunners(list)
	return c.dispatchAll(now)
}

// SetRoster takes over the entries that share the slots, as agreed in the log.
func (c *Core) SetRoster(now time.Duration, r Roster) []Action {
	if !c.rosters.add(r) {
		return nil
	}
	c.updateShares()
	return c.dispatchAll(now)
}

// Settled takes in which version of the roster another entry keeps to.
func (c *Core) Settled(now time.Duration, entry string, v infra.Offset) []Action {
	if !c.rosters.hear(entry, v) {
		return nil
	}
	c.updateShares()
	return c.dispatchAll(now)
}
