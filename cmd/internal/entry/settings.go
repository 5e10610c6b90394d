// Package entry serves callers and operators over HTTP. It sends callers' requests to the
// runners that the dispatch core chooses.
package entry

import (
	"fmt"
	"net"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Settings is the settings file of kw-entry.
type Settings struct {
	// ID is this instance's name in the platform's instance list.
	ID string `json:"id"`
	// Zone is the availability zone that this instance stands in.
	Zone string `json:"zone"`
	// Listen is the address for callers and operators.
	Listen string `json:"listen"`
	// Schedulers are the rpc addresses of schedulers, the one of this instance
	// first; the others are asked when it can't be reached.
	Schedulers []string `json:"schedulers"`
	// DrainLimit bounds how long SIGTERM waits for requests in progress.
	DrainLimit jsonc.Duration `json:"drainLimit" default:"30s"`
	// Notice is how long after SIGTERM the entry stays reachable at least, for
	// a balancer that notices late.
	Notice jsonc.Duration `json:"notice" default:"2s"`
	// Limits bounds what clients may take of this process.
	Limits Limits `json:"limits"`
	// TLS names the certificates of this process. Without it everything goes
	// over the network in clear.
	TLS daemon.TLS `json:"tls"`
}

// Limits bounds what clients may take of an entry.
type Limits struct {
	// Connections is how many connections of callers and operators are open at a time.
	// Beyond it the one that waits for its client for longest is closed.
	Connections int `json:"connections" default:"4096"`
	// Head is the size up to which the head of a request is served.
	Head jsonc.Bytes `json:"head" default:"64KiB"`
	// Unfinished is the memory that unfinished requests may take together, where each
	// byte of a head counts 16 times. Beyond it the connection whose request is
	// unfinished for longest is closed.
	Unfinished jsonc.Bytes `json:"unfinished" default:"128MiB"`
	// Bodies is the memory that the bodies of all requests and answers may take together.
	// Beyond it requests are refused.
	Bodies jsonc.Bytes `json:"bodies" default:"128MiB"`
}

func (l Limits) validate(report func(path, message string)) {
	if l.Connections <= 0 {
		report("limits.connections", "must be above zero")
	}
	if l.Head <= 0 {
		report("limits.head", "must be above zero")
	}
	if l.Unfinished <= 0 {
		report("limits.unfinished", "must be above zero")
	}
	if l.Bodies < maxRequestBytes {
		report("limits.bodies", "must be at least 1MiB, the size of one body")
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
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		report("listen", "must be an address such as \"10.0.0.1:8080\"")
	}
	if len(s.Schedulers) == 0 {
		report("schedulers", "must name at least one scheduler")
	}
	for i, a := range s.Schedulers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			report(fmt.Sprintf("schedulers.%d", i), "must be an address such as \"10.0.0.1:7000\"")
		}
	}
	if s.Notice < 0 {
		report("notice", "must not be negative")
	}
	s.Limits.validate(report)
	s.TLS.Validate("tls", report)
	if s.DrainLimit < 0 {
		report("drainLimit", "must not be negative")
	}
}
