package dispatch

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// claimKeep bounds what is remembered of claims. All bounds count records, not
// time: every process must forget at the same record, and none has a clock
// that the others share.
type claimKeep struct {
	// bodyBytes bounds the answers kept for repeats; a repeat whose answer is
	// dropped hears that the request ran.
	bodyBytes int
	// records bounds the claims kept whole.
	records int
	// spent bounds the fingerprints of older claims; a repeat of one hears
	// "unknown" and is not run.
	spent int
}

var defaultKeep = claimKeep{bodyBytes: 4 << 20, records: 20000, spent: 500000}

// claimAge is a place in the order in which claims are forgotten. The attempt
// tells it from a newer claim of the same request, which must be remembered for
// its own time.
type claimAge struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// claimMemory is the bounded memory of claims.
type claimMemory struct {
	keep    claimKeep
	records map[string]*ClaimedRequest
	order   []claimAge
	bodies  []claimAge
	kept    int
	spent   fingerprints
}

func newClaimMemory(keep claimKeep) claimMemory {
	return claimMemory{keep: keep, records: map[string]*ClaimedRequest{}, spent: newFingerprints(keep.spent)}
}

func (m *claimMemory) put(key string, r *ClaimedRequest) {
	m.records[key] = r
	m.order = append(m.order, claimAge{key, r.Claim.Attempt})
	for len(m.order) > m.keep.records {
		m.forget(m.order[0])
		m.order = m.order[1:]
	}
}

// forget drops the record of a claim and keeps its fingerprint, unless it is
// known that the request did not run.
func (m *claimMemory) forget(age claimAge) {
	r, ok := m.records[age.Key]
	if !ok || r.Claim.Attempt != age.Attempt {
		return
	}
	m.dropBody(r)
	delete(m.records, age.Key)
	if !r.free() {
		m.spent.add(age.Key)
	}
}

func (m *claimMemory) keepBody(key string, r *ClaimedRequest) {
	if len(r.Finish.Body) == 0 {
		return
	}
	m.kept += len(r.Finish.Body)
	m.bodies = append(m.bodies, claimAge{key, r.Claim.Attempt})
	for m.kept > m.keep.bodyBytes {
		oldest := m.bodies[0]
		m.bodies = m.bodies[1:]
		if old, ok := m.records[oldest.Key]; ok && old.Claim.Attempt == oldest.Attempt {
			m.dropBody(old)
		}
	}
}

// dropBody replaces the finish, as it may have been handed out.
func (m *claimMemory) dropBody(r *ClaimedRequest) {
	if r.Finish == nil || len(r.Finish.Body) == 0 {
		return
	}
	m.kept -= len(r.Finish.Body)
	without := *r.Finish
	without.Body = nil
	r.Finish = &without
}

type claimsSnapshot struct {
	Requests map[string]*ClaimedRequest `json:"requests"`
	Order    []claimAge                 `json:"order"`
	Bodies   []claimAge                 `json:"bodies"`
	Spent    []uint64                   `json:"spent"`
}

func (m *claimMemory) snapshot() (json.RawMessage, error) {
	return json.Marshal(claimsSnapshot{m.records, m.order, m.bodies, m.spent.order})
}

func (m *claimMemory) restore(data json.RawMessage) error {
	s := claimsSnapshot{Requests: map[string]*ClaimedRequest{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode claims snapshot")
	}
	next := newClaimMemory(m.keep)
	next.records, next.order, next.bodies = s.Requests, s.Order, s.Bodies
	for _, r := range s.Requests {
		if r.Finish != nil {
			next.kept += len(r.Finish.Body)
		}
	}
	for _, f := range s.Spent {
		next.spent.addHash(f)
	}
	*m = next
	return nil
}

// fingerprints remembers the newest keys by a 64-bit hash. Two keys with one hash
// are taken for one; that errs to the side of not running a request.
type fingerprints struct {
	max   int
	set   map[uint64]struct{}
	order []uint64
}

func newFingerprints(max int) fingerprints {
	return fingerprints{max: max, set: map[uint64]struct{}{}}
}

func (f *fingerprints) has(key string) bool {
	_, ok := f.set[xxhash.Sum64String(key)]
	return ok
}

func (f *fingerprints) add(key string) { f.addHash(xxhash.Sum64String(key)) }

func (f *fingerprints) addHash(h uint64) {
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
