// Package sched runs the control core of one scheduler: it executes the core's actions and
// passes their results back to it as events.
package sched

import (
	"fmt"
	"net"
	"time"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Settings is the settings file of kw-sched.
type Settings struct {
	// ID is this instance's name in the platform's instance list.
	ID string `json:"id"`
	// Zone is the availability zone that this instance stands in.
	Zone string `json:"zone"`
	// RPC is the address for entries and other schedulers.
	RPC string `json:"rpc"`
	// Ops is the address for metrics, readiness and dumps.
	Ops string `json:"ops"`
	// Platform is the base URL of the platform.
	Platform string `json:"platform"`
	// DrainLimit bounds the hand-over at SIGTERM.
	DrainLimit jsonc.Duration `json:"drainLimit" default:"10s"`
	// PollWait is how long a worker may hold back an answer without news; a
	// quarter of the lease unless it is set, and a third at most.
	PollWait jsonc.Duration `json:"pollWait"`
	// SyncEvery is the time between two requests to a worker without orders.
	SyncEvery jsonc.Duration `json:"syncEvery" default:"200ms"`
	// Lease is how long a worker runs its tasks without a renewal, at most 30s.
	Lease jsonc.Duration `json:"lease" default:"15s"`
	// Peers are the RPC addresses of other schedulers, asked for their state
	// when the log is down at the start and the platform lists nobody.
	Peers []string `json:"peers"`
	// LogRetention is how long the platform keeps records; snapshots are
	// written four times in it.
	LogRetention jsonc.Duration `json:"logRetention" default:"1h"`
	// LogAppends is how many appends a second all instances together may make;
	// each takes its share of it.
	LogAppends int `json:"logAppends" default:"300"`
	// SnapshotRecords is the largest number of records between two snapshots.
	SnapshotRecords int `json:"snapshotRecords" default:"20000"`
	// Limits bounds what entries and other schedulers may take of this process.
	Limits Limits `json:"limits"`
	// TLS names the certificates of this process. Without it everything goes
	// over the network in clear.
	TLS daemon.TLS `json:"tls"`
}

// Limits bounds what clients at the rpc address may take of a scheduler.
type Limits struct {
	// Connections is how many connections are open at a time. Beyond it one that has
	// never sent a call is closed, or else the one without a call for longest.
	Connections int `json:"connections" default:"2048"`
	// Arguments is the size up to which the arguments of a call are received.
	Arguments jsonc.Bytes `json:"arguments" default:"16MiB"`
	// Calls is the memory that the arguments of calls in progress may take together,
	// and the same for those that have not arrived completely. Beyond it connections are
	// closed, first those whose calls take most or are unfinished for longest.
	Calls jsonc.Bytes `json:"calls" default:"128MiB"`
	// Memory is the memory of the process near which garbage is collected more often, a
	// tenth below that of its machine for example; 0B: as the runtime does by default.
	Memory jsonc.Bytes `json:"memory" default:"0B"`
}

var defaultLimits = Limits{Connections: 2048, Arguments: 16 * jsonc.MiB, Calls: 128 * jsonc.MiB}

func (l Limits) validate(report func(path, message string)) {
	if l.Connections <= 0 {
		report("limits.connections", "must be above zero")
	}
	if l.Arguments <= 0 {
		report("limits.arguments", "must be above zero")
	}
	if l.Memory < 0 {
		report("limits.memory", "must not be negative")
	}
	if l.Calls < l.Arguments {
		report("limits.calls", "must not be below limits.arguments")
	}
}

// CheckFiles implements daemon.FileChecker.
func (s *Settings) CheckFiles(report func(path, message string)) { s.TLS.CheckFiles("tls", report) }

// Validate implements jsonc.Validator.
func (s *Settings) Validate(report func(path, message string)) {
	if s.ID == "" {
		report("id", "must be set")
	}
	if s.Zone == "" {
		report("zone", "must be set")
	}
	checkAddr(report, "rpc", s.RPC)
	checkAddr(report, "ops", s.Ops)
	if s.Platform == "" {
		report("platform", "must be set to the platform's base URL, such as \"http://10.0.0.1:8080\"")
	}
	for i, p := range s.Peers {
		checkAddr(report, fmt.Sprintf("peers[%d]", i), p)
	}
	if s.LogRetention < 0 {
		report("logRetention", "must not be negative")
	}
	if s.LogAppends < 0 {
		report("logAppends", "must not be negative")
	}
	if s.SnapshotRecords < 0 {
		report("snapshotRecords", "must not be negative")
	}
	s.Limits.validate(report)
	s.TLS.Validate("tls", report)
	if s.Lease < 0 || s.Lease.D() > ownership.MaxLease {
		report("lease", fmt.Sprintf("must be between 0 and %s", ownership.MaxLease))
	}
	if s.PollWait < 0 || 3*s.PollWait.D() > s.lease() {
		report("pollWait", fmt.Sprintf("must be between 0 and a third of the lease, which is %s", s.lease()))
	}
	if s.DrainLimit < 0 {
		report("drainLimit", "must not be negative")
	}
}

func (s *Settings) lease() time.Duration {
	if s.Lease > 0 {
		return s.Lease.D()
	}
	return placement.DefaultShardConfig.Lease
}

// pollWait returns how long a worker may delay an answer without news. The default is a
// quarter of the lease, so that a lease survives three unanswered polls in a row.
func (s *Settings) pollWait() time.Duration {
	if s.PollWait > 0 {
		return s.PollWait.D()
	}
	return s.lease() / 4
}

func checkAddr(report func(path, message string), path, addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		report(path, "must be an address such as \"10.0.0.1:7000\"")
	}
}
