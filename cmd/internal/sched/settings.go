// Package sched runs the control core of one scheduler: it carries out the
// core's actions and brings back their answers as events.
package sched

import (
	"net"

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
	// SyncEvery is the time between two requests to a worker without orders.
	SyncEvery jsonc.Duration `json:"syncEvery" default:"200ms"`
	// Lease is how long a worker runs its tasks without a renewal.
	Lease jsonc.Duration `json:"lease" default:"15s"`
}

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
	if s.DrainLimit < 0 {
		report("drainLimit", "must not be negative")
	}
}

func checkAddr(report func(path, message string), path, addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		report(path, "must be an address such as \"10.0.0.1:7000\"")
	}
}
