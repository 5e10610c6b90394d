// Package dispatch is the request router of an entry. It decides whether a caller's request is
// admitted, which runner executes it, when it is retried and which of three final outcomes the
// caller gets. Core is a deterministic state machine without I/O.
package dispatch

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Config holds the settings of one entry.
type Config struct {
	Self string
	// SlotsPerRunner is the number of requests that a runner executes concurrently, over all
	// entries.
	SlotsPerRunner int
	// RetryRatio is the number of retries added to the retry budget by each new request.
	RetryRatio float64
	// MaxQueue is the maximum number of requests that wait in a service's queue at this entry.
	MaxQueue int
	// ClaimTimeout is how long a claim may stay unconfirmed before the request is given up. Zero
	// means until the request's deadline.
	ClaimTimeout time.Duration
}

// Request is a caller's request as the core sees it.
type Request struct {
	// ID is assigned by the entry and unique within this process.
	ID         uint64
	Team       string
	Service    string
	Name       string
	Worth      float64
	Idempotent bool
	// Deadline is when the caller stops waiting, on the core's clock.
	Deadline time.Duration
}

// Core is the state machine of one entry.
type Core struct {
	cfg           Config
	requests      map[uint64]*request
	timers        timers
	services      map[string]*service
	runners       map[string]*runner
	sortedRunners []*runner
	heldSlots     []heldSlot
	retryBudget   float64
	// estimates are the learned run times by team and service.
	estimates estimates
	rosters   rosters
	lending   lending
	refusals  []Refusal
	// lastExpire is the time of the last call of Expire. timersLate is set if that call came too
	// long after the one before.
	lastExpire time.Duration
	timersLate bool
}

// New returns a core without runners.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, requests: map[uint64]*request{}, runners: map[string]*runner{},
		services: map[string]*service{}, estimates: estimates{},
		rosters: rosters{self: cfg.Self, acked: map[string]infra.Offset{}}, retryBudget: maxRetryBudget}
}

// SetRunners replaces the list of runners. Runners that are leaving get no new requests.
func (c *Core) SetRunners(now time.Duration, list []infra.Instance) []Action {
	c.updateRunners(list)
	return c.dispatchAll(now)
}

// SetRoster adopts a roster, as ordered by the log: the set of entries that share the runners'
// slots.
func (c *Core) SetRoster(now time.Duration, r Roster) []Action {
	if !c.rosters.add(r) {
		return nil
	}
	c.updateShares()
	return c.dispatchAll(now)
}

// AckRoster records that another entry complies with a version of the roster.
func (c *Core) AckRoster(now time.Duration, entry string, v infra.Offset) []Action {
	if !c.rosters.ack(entry, v) {
		return nil
	}
	c.updateShares()
	return c.dispatchAll(now)
}
