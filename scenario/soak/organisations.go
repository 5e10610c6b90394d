package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

const (
	// organisations is the number of organisations, whose jobs alternate.
	organisations = 2
	// capCores is the cap of the first organisation; each further one may use as much more.
	capCores = 25
	// keyProbeInterval is the interval between two requests with a key that is not in force.
	keyProbeInterval = 20 * time.Millisecond
	// keyRemovalTime is the time after which no instance accepts a removed key, with faults of the
	// store and instances that are stopped for some seconds.
	keyRemovalTime = 20 * time.Second
)

// organisationOf returns the organisation that submits a job; empty: the run has none.
func (r *run) organisationOf(job string) string {
	if !r.Organisations {
		return ""
	}
	return organisationName(int(job[len(job)-1]) % organisations)
}

func organisationName(n int) string { return fmt.Sprint("organisation-", n) }

// keyOf returns a key of a job's organisation.
func (r *run) keyOf(job string) string {
	if !r.Organisations {
		return ""
	}
	return "key-of-" + r.organisationOf(job)
}

// passingKey returns the key that only one version of the configuration contains.
func passingKey(version int64) string { return fmt.Sprint("key-of-version-", version) }

// organisationEntries returns the organisations of a version. Each version has a key of its own, and
// every third one lower caps.
func (r *run) organisationEntries(version int64) []organisation.Entry {
	if !r.Organisations {
		return nil
	}
	var list []organisation.Entry
	for n := range organisations {
		limit := int64(capCores * (n + 1))
		if version%3 == 0 {
			limit /= 2
		}
		list = append(list, organisation.Entry{
			Organisation: organisation.Organisation{Name: organisationName(n), Weight: 5, Cap: organisation.Amounts{organisation.CPU: 1000 * limit}},
			Keys:         []string{"key-of-" + organisationName(n)},
		})
	}
	list[0].Keys = append(list[0].Keys, passingKey(version))
	return list
}

// probeKeys sends requests with keys that no version ever contained, or that were removed long ago. Only
// instances that know no configuration may answer with another status than 401.
func (r *run) probeKeys(ctx context.Context, rng *rand.Rand) {
	client := r.newClient()
	defer client.HTTP.CloseIdleConnections()
	for r.Organisations && ctx.Err() == nil {
		sleep(ctx, keyProbeInterval)
		client.Key = "unknown"
		if removed, ok := r.removedKey(); ok && rng.IntN(2) == 0 {
			client.Key = removed
		}
		addr := r.instances[rng.IntN(len(r.instances))].callers.addr()
		try, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := client.Status(try, addr, jobID(rng))
		cancel()
		noRoute := r.Removals && status == http.StatusNotFound
		if err == nil && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable && !noRoute {
			r.finding("ROUTE: %s answers %d to a request with the key %q", r.nameOf(addr), status, client.Key)
		}
	}
}

// removedKey returns a key that was removed long enough ago.
func (r *run) removedKey() (string, bool) {
	r.changes.Lock()
	defer r.changes.Unlock()
	for version, removed := range r.keysRemoved {
		if time.Since(removed) > keyRemovalTime {
			return passingKey(version), true
		}
	}
	return "", false
}
