package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// claim is the record by which an instance becomes a pool's owner.
type claim struct {
	Node string `json:"node"`
	Addr string `json:"addr"` // empty: the owner has left
	// Life distinguishes processes of the same instance.
	Life       int64  `json:"life"`
	Epoch      uint64 `json:"epoch"`
	Generation int    `json:"gen"`
}

// replica is this instance's copy of a pool's stored state.
type replica struct {
	records map[string]Stored
	// invalid holds the keys whose newest record is invalid and for which no valid record is
	// known. There may be a job under them: a copy that ignored them reported the job as
	// nonexistent.
	invalid map[string]bool
	claim   claim
	// owners holds the newest record of each of the latest owners, by epoch.
	owners map[uint64]ownerRecord
	next   int64
}

// maxKeptOwners is the number of owners whose records a copy keeps.
const maxKeptOwners = 16

func newReplica() *replica {
	return &replica{records: map[string]Stored{}, invalid: map[string]bool{}, owners: map[uint64]ownerRecord{}}
}

// apply adds a batch and returns the records that are new. An invalid record is passed to bad, and
// the previous record of its key stays: it must not replace an accepted job or the progress of its
// tasks.
func (r *replica) apply(b batch, bad func(Stored, error)) []Stored {
	if b.reset {
		if r.isStale(b) {
			return nil
		}
		clear(r.owners) // later records of these owners may have been missed
		for _, key := range r.missingFrom(b.records) {
			delete(r.records, key)
			delete(r.invalid, key)
		}
	}
	var fresh []Stored
	for _, rec := range b.records {
		if !b.reset && rec.Offset < r.next {
			continue // has been read already, by a read beside the follower
		}
		if old, ok := r.records[rec.Key]; ok && old.Offset >= rec.Offset {
			continue
		}
		c, err := checkRecord(rec)
		if err != nil {
			bad(rec, err)
			if _, known := r.records[rec.Key]; !known {
				r.invalid[rec.Key] = true
			}
			continue
		}
		delete(r.invalid, rec.Key)
		fresh = append(fresh, rec)
		if len(rec.Value) == 0 {
			delete(r.records, rec.Key)
			continue
		}
		r.records[rec.Key] = rec
		if c != nil {
			r.keepOwner(*c)
		}
		if c != nil && c.Epoch >= r.claim.Epoch {
			r.claim = c.claim
		}
	}
	if newest, ok := r.records[pool.OwnerKey]; b.reset && ok {
		if c, err := checkRecord(newest); err == nil && c != nil {
			r.keepOwner(*c) // it may have been known before
		}
	}
	r.next = max(r.next, b.next)
	return fresh
}

// keepOwner keeps the newest record of an owner.
func (r *replica) keepOwner(c ownerRecord) {
	r.owners[c.Epoch] = c
	if len(r.owners) > maxKeptOwners {
		delete(r.owners, slices.Min(slices.Collect(maps.Keys(r.owners))))
	}
}

// keepOwners keeps the owners' records of several reads.
func (r *replica) keepOwners(ranges []streamRange) {
	for _, s := range ranges {
		for _, rec := range s.records {
			if c, err := checkRecord(rec); err == nil && c != nil {
				r.keepOwner(*c)
			}
		}
	}
}

// predecessors returns the owners before an epoch that may still be confirmed, the newest first.
func (r *replica) predecessors(epoch uint64) []predecessor {
	var list []predecessor
	// From the newest record back: each lists the earlier owners up to its PredecessorsAsOf that aren't over. Owners between
	// that and the record claimed at about the same time, and have records of their own.
	over := uint64(0) // owners up to this epoch are over unless they are in the list
	for _, e := range slices.Backward(slices.Sorted(maps.Keys(r.owners))) {
		o := r.owners[e]
		if e > epoch || e <= over {
			continue
		}
		earlier := o.Predecessors // of the claim itself too, which may be all that is left in the store
		if e < epoch {
			earlier = append([]predecessor{{o.claim, o.Electors}}, earlier...)
		}
		for _, f := range earlier {
			if f.Epoch > over {
				list = append(list, r.newestElectors(f))
			}
		}
		over = max(over, o.PredecessorsAsOf)
	}
	return withoutRepetitions(list)
}

// newestElectors returns a predecessor with its newest electors, as far as they have been read.
func (r *replica) newestElectors(f predecessor) predecessor {
	if o, ok := r.owners[f.Epoch]; ok {
		f.Electors = o.Electors
	}
	return f
}

// withoutRepetitions sorts predecessors by epoch, the newest first, and drops those that needn't be waited for. A process
// has given up each ownership before its next claim, so of several with the same electors the newest is enough.
func withoutRepetitions(list []predecessor) []predecessor {
	slices.SortFunc(list, func(a, b predecessor) int { return cmp.Compare(b.Epoch, a.Epoch) })
	var kept []predecessor
	for _, f := range list {
		repeats := slices.ContainsFunc(kept, func(k predecessor) bool {
			return k.Epoch == f.Epoch || k.Node == f.Node && k.Life == f.Life && slices.Equal(k.Electors, f.Electors)
		})
		if f.Epoch > 0 && !repeats && len(kept) < maxListedElectors {
			kept = append(kept, f)
		}
	}
	return kept
}

// recordsStarts reports whether the newest owner before an epoch records its starts, or there is none. A record that doesn't say
// so is an owner's of an older version if its instance has left, or is listed; else another program has written it.
func (r *replica) recordsStarts(before uint64, isListed func(instance string) bool) bool {
	for _, e := range slices.Backward(slices.Sorted(maps.Keys(r.owners))) {
		o := r.owners[e]
		switch {
		case e >= before:
		case o.RecordsStarts:
			return true
		case o.Addr == "" || isListed(o.Node):
			return false
		}
	}
	return true
}

// newestOwner returns the highest epoch of an owner before another epoch; 0: none is known.
func (r *replica) newestOwner(before uint64) (newest uint64) {
	for e := range r.owners {
		if e < before {
			newest = max(newest, e)
		}
	}
	return newest
}

// checkRecord returns an error if a record is invalid, and the owner's record in it if it is one.
func checkRecord(rec Stored) (*ownerRecord, error) {
	switch {
	case rec.Unreadable != nil:
		return nil, rec.Unreadable
	case len(rec.Value) == 0:
		return nil, nil
	case rec.Key == pool.OwnerKey:
		return decodeOwnerRecord(rec.Value)
	case looksWellFormed(rec.Record):
		return nil, nil
	}
	_, err := decodeEvent(rec.Record, fromStore)
	return nil, err
}

// Prefixes and suffix of the JSON that pool.Encode produces for jobs, progress and its parts.
var (
	jobPrefix      = []byte(`{"id":"`)
	progressPrefix = []byte(`{"s":"`)
	partPrefix     = []byte(`{"t":[{`)
	recordSuffix   = []byte(`}`)
	startsPrefix   = []byte(`[{"j":"`)
	startsSuffix   = []byte(`}]`)
	// negativeNumber never occurs in valid progress, whose numbers count from 0.
	negativeNumber = []byte(`:-`)
)

// looksWellFormed reports whether a record begins and ends as an encoded job or progress does.
// Nearly all records that each instance reads are such. Decoding them here took an eighth more of
// an instance's processor time (10.7 and 10.5 s instead of 9.5 and 9.4 s on a day with faults). An
// invalid record that passes this check is detected and skipped by the owner when it loads it.
func looksWellFormed(rec pool.Record) bool {
	kind, id := pool.ParseKey(rec.Key)
	if kind != pool.StartsRecord && !bytes.HasSuffix(rec.Value, recordSuffix) {
		return false
	}
	switch kind {
	case pool.JobRecord:
		rest, ok := bytes.CutPrefix(rec.Value, jobPrefix)
		return ok && len(rest) > len(id) && string(rest[:len(id)]) == id && rest[len(id)] == '"'
	case pool.ProgressRecord:
		return bytes.HasPrefix(rec.Value, progressPrefix) && !bytes.Contains(rec.Value, negativeNumber)
	case pool.ProgressPartRecord:
		return bytes.HasPrefix(rec.Value, partPrefix) && !bytes.Contains(rec.Value, negativeNumber)
	case pool.StartsRecord:
		return bytes.HasPrefix(rec.Value, startsPrefix) && bytes.HasSuffix(rec.Value, startsSuffix) && !bytes.Contains(rec.Value, negativeNumber)
	}
	return false
}

func decodeOwnerRecord(value []byte) (*ownerRecord, error) {
	var c ownerRecord
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, errors.Wrap(err, "claim")
	}
	if c.Node == "" || c.Epoch == 0 {
		return nil, errors.New("claim: missing instance or epoch")
	}
	if c.Epoch>>epochGenerationShift == math.MaxUint64>>epochGenerationShift {
		return nil, errors.Errorf("claim of epoch %d: no later claim is possible", c.Epoch)
	}
	if len(c.Electors) > maxListedElectors || len(c.Predecessors) > maxListedElectors {
		return nil, errors.Errorf("claim: %d electors and %d predecessors, at most %d are possible", len(c.Electors), len(c.Predecessors), maxListedElectors)
	}
	if c.PredecessorsAsOf > c.Epoch {
		return nil, errors.Errorf("claim of epoch %d: lists predecessors up to a later epoch, %d", c.Epoch, c.PredecessorsAsOf)
	}
	for _, f := range c.Predecessors {
		if f.Epoch >= c.Epoch || len(f.Electors) > maxListedElectors {
			return nil, errors.Errorf("claim of epoch %d: predecessor of epoch %d with %d electors", c.Epoch, f.Epoch, len(f.Electors))
		}
	}
	return &c, nil
}

// isStale reports whether newest records are older than what has been read beside the follower, up
// to r.next. They would hide records stored since.
func (r *replica) isStale(b batch) bool { return b.reset && b.next < r.next }

// missingFrom returns the keys that the replica holds and that are not among the newest records.
func (r *replica) missingFrom(newest []Stored) []string {
	listed := map[string]bool{}
	for _, rec := range newest {
		listed[rec.Key] = true
	}
	var missing []string
	for key := range r.records {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	for key := range r.invalid {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// mayContain reports whether an unreadable record may be that of a job.
func (r *replica) mayContain(job string) bool {
	return r.invalid[pool.JobKey(job)] || r.invalid[pool.ProgressKey(job)]
}

// state returns a job's state as far as it has been read from the store.
func (r *replica) state(job string) (pool.State, bool) {
	state, _, found := r.stateAndBegun(job)
	return state, found
}

// stateAndBegun is like state, and also returns whether the job has begun.
func (r *replica) stateAndBegun(job string) (state pool.State, begun pool.Begun, found bool) {
	begun = r.begunWithoutProgress()
	if rec, ok := r.records[pool.ProgressKey(job)]; ok {
		var p pool.Progress
		if json.Unmarshal(rec.Value, &p) != nil {
			return pool.Running, pool.BegunUnknown, true
		}
		if p.State.Ended() {
			return p.State, pool.HasBegun, true // the store retains nothing else of a job that has ended
		}
		if begun = p.HasBegun(); begun != pool.NotBegun {
			return pool.Running, begun, true
		}
	} else if _, ok := r.records[pool.JobKey(job)]; !ok {
		return "", begun, false
	}
	if _, ok := r.records[pool.CancelKey(job)]; ok {
		return pool.Cancelled, begun, true
	}
	return pool.Queued, begun, true
}

// begunWithoutProgress returns whether a job without a progress record has begun. An owner of an older version stores one
// only once a run has ended.
func (r *replica) begunWithoutProgress() pool.Begun {
	if o, ok := r.owners[r.claim.Epoch]; ok && o.RecordsStarts {
		return pool.NotBegun
	}
	return pool.BegunUnknown
}

// organisation returns the organisation that submitted a job; empty: it isn't known.
func (r *replica) organisation(job string) string {
	var stored struct {
		Organisation string `json:"o"`
	}
	for _, key := range []string{pool.JobKey(job), pool.ProgressKey(job)} {
		if rec, ok := r.records[key]; ok && json.Unmarshal(rec.Value, &stored) == nil && stored.Organisation != "" {
			break
		}
	}
	return stored.Organisation
}

// pending counts a queue's jobs that have not begun, and reports whether that is known of all of them.
func (r *replica) pending(queue string) (n int, known bool) {
	known = true
	for key, rec := range r.records {
		kind, id := pool.ParseKey(key)
		if kind != pool.JobRecord {
			continue
		}
		state, begun, _ := r.stateAndBegun(id)
		if state.Ended() || begun == pool.HasBegun {
			continue
		}
		j, err := pool.DecodeJob(rec.Value)
		switch {
		case err != nil || j.Queue != queue:
		case begun == pool.BegunUnknown:
			known = false
		default:
			n++
		}
	}
	return n, known
}

// inOrder returns the records in the order of their offsets.
func (r *replica) inOrder() []Stored {
	list := make([]Stored, 0, len(r.records))
	for _, rec := range r.records {
		list = append(list, rec)
	}
	slices.SortFunc(list, func(a, b Stored) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

// origin says how an owner received a record.
type origin int

const (
	// fromStore records were read from the store. A predecessor may have acted on them. The offset
	// can't show this, since a caller that repeats its request makes an old job's record the
	// newest.
	fromStore origin = iota
	// fromCaller records were stored by this owner, so no other instance has acted on them.
	fromCaller
)

// decodeEvent decodes a record into the event for a core; nil: the core needs none.
func decodeEvent(rec pool.Record, from origin) (pool.Event, error) {
	kind, id := pool.ParseKey(rec.Key)
	if len(rec.Value) == 0 {
		return nil, nil
	}
	switch kind {
	case pool.JobRecord:
		e := pool.JobStored{Inherited: from == fromStore}
		var err error
		if e.Job, err = pool.DecodeJob(rec.Value); err != nil {
			return nil, err
		}
		if e.Job.ID != id {
			return nil, errors.New("job: the ID doesn't match the key")
		}
		return eventIfValid(e, e.Job.Check())
	case pool.ProgressRecord:
		e := pool.ProgressStored{Job: id}
		if err := json.Unmarshal(rec.Value, &e.Progress); err != nil {
			return nil, errors.Wrap(err, "progress")
		}
		return eventIfValid(e, e.Progress.Check())
	case pool.ProgressPartRecord:
		e := pool.ProgressPartStored{}
		var ok bool
		if e.Job, e.ID, ok = pool.ParseProgressPart(id); !ok {
			return nil, errors.Errorf("progress part: %q names no job, size and number", id)
		}
		if err := json.Unmarshal(rec.Value, &e.ProgressPart); err != nil {
			return nil, errors.Wrap(err, "progress part")
		}
		return eventIfValid(e, e.Check())
	case pool.CancelRecord:
		return pool.CancelStored{Job: id}, nil
	case pool.WaveRecord:
		var e pool.WaveStored
		var ok bool
		if e.Wave, ok = pool.ParseWave(rec.Key); !ok {
			return nil, errors.Errorf("wave %q", id)
		}
		return eventIfValid(e, decodeList(rec.Value, &e.Done))
	case pool.SilentRecord:
		e := pool.SilenceStored{Worker: id}
		return eventIfValid(e, decodeList(rec.Value, &e.Tasks))
	case pool.StartsRecord:
		e := pool.StartsStored{}
		var ok bool
		if e.Record, ok = pool.ParseStarts(id); !ok {
			return nil, errors.Errorf("starts: %q is no number of a record", id)
		}
		if err := decodeList(rec.Value, &e.Starts); err != nil {
			return nil, err
		}
		return eventIfValid(e, e.Check())
	case pool.CapShareRecord:
		e := pool.CapShareStored{}
		if err := json.Unmarshal(rec.Value, &e.Record); err != nil {
			return nil, errors.Wrap(err, "cap share")
		}
		if pool.CapShareKey(e.Record.Organisation) != rec.Key {
			return nil, errors.New("cap share: the organisation doesn't match the key")
		}
		return eventIfValid(e, e.Record.Check())
	case pool.QueueRecord:
		_, err := decodeQueueState(rec)
		return nil, err
	case pool.TrackedWorkersRecord:
		e := pool.TrackedWorkersStored{Part: id}
		if err := decodeList(rec.Value, &e.Workers); err != nil {
			return nil, err
		}
		for _, w := range e.Workers {
			if w.ID == "" || w.Addr == "" {
				return nil, errors.New("held workers: missing ID or address")
			}
		}
		return e, nil
	}
	return nil, nil
}

func eventIfValid(e pool.Event, err error) (pool.Event, error) {
	if err != nil {
		return nil, err
	}
	return e, nil
}

// decodeList decodes a list and rejects null.
func decodeList[T any](value []byte, to *[]T) error {
	if err := json.Unmarshal(value, to); err != nil {
		return err
	}
	if *to == nil {
		return errors.New("null in place of a list")
	}
	return nil
}
