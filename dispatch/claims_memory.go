package dispatch

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// claimLimits bounds the stored claims. All limits count records and not time: every process
// must evict at the same record, and they share no clock.
type claimLimits struct {
	// bodyBytes bounds the total size of stored answers. A repeat whose answer was dropped is
	// told only that the request has run.
	bodyBytes int
	// records bounds the claims stored in full.
	records int
	// fingerprints bounds the fingerprints of older claims. A repeat of one gets "unknown" and
	// is not run.
	fingerprints int
}

var defaultClaimLimits = claimLimits{bodyBytes: 4 << 20, records: 20000, fingerprints: 500000}

// claimRef is an element of the eviction order. The attempt distinguishes it from a newer claim
// of the same request, which must be stored for its own time.
type claimRef struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// claimMemory is the bounded storage of claims.
type claimMemory struct {
	limits       claimLimits
	records      map[string]*ClaimedRequest
	order        []claimRef
	bodies       []claimRef
	bodyBytes    int
	fingerprints fingerprintSet
}

func newClaimMemory(limits claimLimits) claimMemory {
	return claimMemory{limits: limits, records: map[string]*ClaimedRequest{}, fingerprints: newFingerprintSet(limits.fingerprints)}
}

func (m *claimMemory) put(key string, r *ClaimedRequest) {
	m.records[key] = r
	m.order = append(m.order, claimRef{key, r.Claim.Attempt})
	for len(m.order) > m.limits.records {
		m.evict(m.order[0])
		m.order = m.order[1:]
	}
}

// evict drops the record of a claim and keeps its fingerprint, unless the request is known not
// to have run.
func (m *claimMemory) evict(ref claimRef) {
	r, ok := m.records[ref.Key]
	if !ok || r.Claim.Attempt != ref.Attempt {
		return
	}
	m.dropBody(r)
	delete(m.records, ref.Key)
	if !r.isUnclaimed() {
		m.fingerprints.add(ref.Key)
	}
}

func (m *claimMemory) addBody(key string, r *ClaimedRequest) {
	if len(r.Finish.Body) == 0 {
		return
	}
	m.bodyBytes += len(r.Finish.Body)
	m.bodies = append(m.bodies, claimRef{key, r.Claim.Attempt})
	for m.bodyBytes > m.limits.bodyBytes {
		oldest := m.bodies[0]
		m.bodies = m.bodies[1:]
		if old, ok := m.records[oldest.Key]; ok && old.Claim.Attempt == oldest.Attempt {
			m.dropBody(old)
		}
	}
}

// dropBody replaces the Finish instead of changing it, since callers may hold a reference to it.
func (m *claimMemory) dropBody(r *ClaimedRequest) {
	if r.Finish == nil || len(r.Finish.Body) == 0 {
		return
	}
	m.bodyBytes -= len(r.Finish.Body)
	without := *r.Finish
	without.Body = nil
	r.Finish = &without
}

type claimsSnapshot struct {
	Requests map[string]*ClaimedRequest `json:"requests"`
	Order    []claimRef                 `json:"order"`
	Bodies   []claimRef                 `json:"bodies"`
	Spent    []uint64                   `json:"spent"`
}

func (m *claimMemory) snapshot() (json.RawMessage, error) {
	return json.Marshal(claimsSnapshot{m.records, m.order, m.bodies, m.fingerprints.order})
}

func (m *claimMemory) restore(data json.RawMessage) error {
	s := claimsSnapshot{Requests: map[string]*ClaimedRequest{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode claims snapshot")
	}
	next := newClaimMemory(m.limits)
	next.records, next.order, next.bodies = s.Requests, s.Order, s.Bodies
	for _, r := range s.Requests {
		if r.Finish != nil {
			next.bodyBytes += len(r.Finish.Body)
		}
	}
	for _, f := range s.Spent {
		next.fingerprints.addHash(f)
	}
	*m = next
	return nil
}

// fingerprintSet stores the newest keys as 64-bit hashes. Keys with equal hashes are taken for
// the same key; the error is on the safe side, as a request is then not run.
type fingerprintSet struct {
	max   int
	set   map[uint64]struct{}
	order []uint64
}

func newFingerprintSet(max int) fingerprintSet {
	return fingerprintSet{max: max, set: map[uint64]struct{}{}}
}

func (f *fingerprintSet) has(key string) bool {
	_, ok := f.set[xxhash.Sum64String(key)]
	return ok
}

func (f *fingerprintSet) add(key string) { f.addHash(xxhash.Sum64String(key)) }

func (f *fingerprintSet) addHash(h uint64) {
	if _, ok := f.set[h]; ok {
		return
	}
	f.set[h] = struct{}{}
	f.order = append(f.order, h)
	if len(f.order) > f.max {
		delete(f.set, f.order[0])
		f.order = f.order[1:]
	}
}
