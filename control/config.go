package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Service names of this system's processes in the platform's instance list.
const (
	SchedService = "kw-sched"
	EntryService = "kw-entry"
)

// Config holds the timing of a scheduler.
type Config struct {
	ID          string
	Incarnation uint64
	Members     membership.Config
	// LogHealth configures when the log counts as unavailable and proposals are rejected.
	LogHealth      logstream.HealthConfig
	DigestInterval time.Duration
	SweepInterval  time.Duration
	Shard          placement.ShardConfig
	Home           placement.HomeConfig
	Committer      logstream.CommitterConfig
	Schedule       logstream.ScheduleConfig
	// Peers are addresses of schedulers, besides those in the platform's list, from which the
	// state is fetched if the log is unavailable at the start.
	Peers []string
}

// DefaultLogAppends bounds the appends per second of all instances together. The platform
// accepts several hundred.
const DefaultLogAppends = 300

// DefaultConfig returns the timing for a cell on one site.
func DefaultConfig(id string, incarnation uint64) Config {
	return Config{
		ID: id, Incarnation: incarnation,
		Members:        membership.DefaultConfig(id, incarnation),
		LogHealth:      logstream.HealthConfig{MaxFailureTime: 250 * time.Millisecond, MaxReadSilence: 3 * time.Second},
		DigestInterval: 300 * time.Millisecond, SweepInterval: 5 * time.Second,
		Shard: placement.DefaultShardConfig, Home: placement.DefaultHomeConfig,
		Committer: logstream.CommitterConfig{Writer: id, Incarnation: incarnation, MaxBatch: 200,
			MinInterval: 20 * time.Millisecond, RetryAfter: time.Second, GiveUp: 4 * time.Second, Budget: DefaultLogAppends},
		Schedule: logstream.ScheduleConfig{MaxInterval: 15 * time.Minute, MaxRecords: 20000, TurnDuration: 10 * time.Second},
	}
}

// withLease returns the configuration of the membership, which announces the lease of this scheduler.
func withLease(cfg Config) membership.Config {
	cfg.Members.Lease = cfg.Shard.Lease
	return cfg.Members
}

const (
	// claimInterval is the time between two rounds of claims.
	claimInterval = 300 * time.Millisecond
	// claimRetryDelay is when a claim without a result is proposed again.
	claimRetryDelay = 2 * time.Second
)
