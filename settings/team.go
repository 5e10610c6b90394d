// Package settings contains the settings that operators publish: a tree in which
// each team owns its subtree, and the reducer that validates and applies changes.
package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Team is the subtree of settings that a team owns.
type Team struct {
	// Quota is what the team's running tasks may use at once. A zero amount
	// means no limit of its own.
	Quota infra.Resources `json:"quota"`
	// Borrow is what they may use beyond the quota while others leave room.
	// Such tasks are the first to give way.
	Borrow infra.Resources `json:"borrow"`
	// Services are the upstream services the team's callers may reach.
	Services map[string]Service `json:"services"`
	// Policies say how the team's jobs are treated, by kind of job: "service",
	// "batch" or "gang".
	Policies map[string]Policy `json:"policies"`
}

// Service configures how requests to one upstream service are handled.
type Service struct {
	// Worth is what one request delivered complete and on time is worth, in any
	// unit that the cell's teams agree on.
	Worth float64 `json:"worth" default:"1"`
	// Deadline is the time a caller waits at most. It must be given.
	Deadline jsonc.Duration `json:"deadline"`
	// Idempotent says that running a request twice does no harm. Requests to
	// other services run at most once.
	Idempotent bool `json:"idempotent"`
}

// Policy configures how jobs of one kind are handled.
type Policy struct {
	// Priority orders jobs: higher starts first, from 0 to 100.
	Priority int `json:"priority"`
	// Spread puts a job's tasks on different racks where possible.
	Spread bool `json:"spread"`
	// MaxAttempts bounds how often one task is tried; 0 means 3.
	MaxAttempts int `json:"maxAttempts"`
}

// Limits and defaults of settings values.
const (
	MaxPriority        = 100
	DefaultMaxAttempts = 3
)

var policyKinds = map[string]bool{"service": true, "batch": true, "gang": true}

// Validate implements jsonc.Validator.
func (t *Team) Validate(report func(path, message string)) {
	if t.Quota.MilliCPU < 0 || t.Quota.MemoryMiB < 0 || t.Quota.Accelerators < 0 {
		report("quota", "amounts must not be negative")
	}
	if t.Borrow.MilliCPU < 0 || t.Borrow.MemoryMiB < 0 || t.Borrow.Accelerators < 0 {
		report("borrow", "amounts must not be negative")
	}
	for _, name := range sortedKeys(t.Services) {
		s := t.Services[name]
		if name == "" || strings.Contains(name, "/") {
			report("services."+name, "a service must have a name without \"/\"")
		}
		if s.Worth < 0 {
			report("services."+name+".worth", "must not be negative")
		}
		if s.Deadline <= 0 {
			report("services."+name+".deadline", "must be set and above zero, such as \"2s\"")
		}
	}
	for _, kind := range sortedKeys(t.Policies) {
		p := t.Policies[kind]
		if !policyKinds[kind] {
			report("policies."+kind, "unknown kind of job; known are service, batch and gang")
		}
		if p.Priority < 0 || p.Priority > MaxPriority {
			report("policies."+kind+".priority", fmt.Sprintf("must be between 0 and %d", MaxPriority))
		}
		if p.MaxAttempts < 0 {
			report("policies."+kind+".maxAttempts", "must not be negative")
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
