package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// QueueRef identifies a queue, and the service that runs its jobs as of a version of the
// configuration.
type QueueRef struct {
	Name    string
	Service string
	Version int64
}

// queueState is a pool's record of whether it accepts jobs of a queue. Only the pool's owner writes
// it, so its position in the stream separates the jobs that were accepted from those that were not.
//
// A request that is repeated while its queue moves between pools has to be found where its first
// attempt was stored. Instances apply configurations at different times, some of them much later,
// and an append may take effect after its caller has given up. So a pool is opened for a queue only
// after all other pools that may hold jobs of it are closed, and after this instance has read them
// up to the record that closes them: nothing can be added to them any more, and a job that isn't
// found in them isn't stored there.
type queueState struct {
	Queue string `json:"queue"`
	// Version is the version of the configuration by which the pool was opened or closed.
	Version int64 `json:"version"`
	Open    bool  `json:"open"`
	// Service runs the queue's jobs as of that version.
	Service string `json:"service"`
	// Former lists the parts of the other pools that may hold jobs of the queue.
	Former []int `json:"former,omitempty"`
}

func (s queueState) record() pool.Record {
	return pool.Record{Key: pool.QueueKey(s.Queue), Value: pool.Encode(s)}
}

func decodeQueueState(rec pool.Record) (queueState, error) {
	var s queueState
	if err := json.Unmarshal(rec.Value, &s); err != nil {
		return s, errors.Wrap(err, "queue state")
	}
	if s.Queue == "" || s.Service == "" || s.Version < 0 || pool.QueueKey(s.Queue) != rec.Key {
		return s, errors.New("queue state: missing or invalid queue, service or version")
	}
	return s, nil
}

// queueState returns the stored state of a queue.
func (r *replica) queueState(queue string) (queueState, bool) {
	rec, ok := r.records[pool.QueueKey(queue)]
	if !ok {
		return queueState{}, false
	}
	s, err := decodeQueueState(rec.Record)
	return s, err == nil // decoding can't fail, as the record was checked when it was read
}

// errQueueNotOpen means that a pool doesn't accept jobs of a queue yet.
var errQueueNotOpen = errors.Wrap(ErrRefused, "the pool is not open for the queue yet")

// MovedError means that a newer configuration routes a queue to another service, whose pool accepts
// its jobs. Nothing was stored.
type MovedError struct{ To QueueRef }

func (e *MovedError) Error() string {
	return "the queue " + e.To.Name + " has moved to " + e.To.Service + ": " + ErrRefused.Error()
}

// Unwrap returns ErrRefused.
func (e *MovedError) Unwrap() error { return ErrRefused }

// queueRef sets a job's service and terms to those that the current configuration assigns to its queue, and
// returns the reference to that queue.
func (n *Node) queueRef(j *pool.Job) QueueRef {
	ref := QueueRef{Name: j.Queue, Service: j.Service}
	cfg := n.Config()
	if cfg == nil {
		return ref
	}
	if q, known := cfg.queue(j.Queue); known {
		j.Service, j.Terms = q.Service, q.Terms()
		ref.Service, ref.Version = q.Service, cfg.Version
	}
	return ref
}

// redirect sends a job to the pool that a newer configuration assigns to its queue, and reports
// whether err was a MovedError with a newer assignment.
func (n *Node) redirect(in *intake, err error) bool {
	var moved *MovedError
	if !errors.As(err, &moved) || moved.To.Version < in.queue.Version || moved.To.Service == in.queue.Service {
		return false
	}
	var j pool.Job
	if json.Unmarshal(in.record.Value, &j) != nil {
		return false // can't happen: the value was encoded by this instance
	}
	j.Service = moved.To.Service
	in.queue, in.part, in.record.Value = moved.To, partOf(j.Service, n.opts.Parts), pool.Encode(j)
	n.ensureController(n.runCtx, in.part)
	n.log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("service", j.Service).Int64("version", moved.To.Version).Msg("job.redirected")
	return true
}

// checkQueue determines whether the pool accepts a job: by which version it is open for the job's
// queue, and whether the job is already stored in a pool that was open for the queue before.
func (pc *poolController) checkQueue(ctx context.Context, in intake) (opened int64, stored bool, err error) {
	state, err := pc.openState(ctx, in)
	if err != nil || len(state.Former) == 0 {
		return state.Version, false, err
	}
	_, job := pool.ParseKey(in.record.Key)
	for _, part := range state.Former {
		found, err := pc.node.findInFormer(ctx, part, state, job)
		if err != nil || found {
			return state.Version, found, err
		}
	}
	return state.Version, false, nil
}

// openState returns the pool's state of a job's queue if it is open. An owner that hasn't read the
// records of its predecessors doesn't know it yet.
func (pc *poolController) openState(ctx context.Context, in intake) (queueState, error) {
	var loading <-chan struct{}
	state, err := queueState{}, error(nil)
	lookUp := func() {
		loading = nil
		if pc.own != nil && !pc.own.loaded {
			loading = pc.own.ready
			return
		}
		state, err = pc.lookUpQueue(in.queue)
	}
	if doErr := pc.do(ctx, lookUp); doErr != nil {
		return state, errors.Wrap(ErrRefused, doErr.Error())
	}
	if loading == nil {
		return state, err
	}
	waitFor(ctx, in.appendWait, loading)
	if doErr := pc.do(ctx, lookUp); doErr != nil || loading != nil {
		return state, errors.Wrap(ErrRefused, "the pool's owner has not read its state")
	}
	return state, err
}

// lookUpQueue returns the pool's state of a queue if it is open, else an error with the reason.
func (pc *poolController) lookUpQueue(ref QueueRef) (queueState, error) {
	if pc.own != nil {
		return pc.own.lookUpQueue(ref)
	}
	state, known := pc.replica.queueState(ref.Name)
	switch {
	case known && state.Open:
		return state, nil
	case known && state.Version >= ref.Version:
		return state, &MovedError{To: QueueRef{Name: ref.Name, Service: state.Service, Version: state.Version}}
	}
	return state, errQueueNotOpen
}

// findInFormer looks for a job in a pool that was open for its queue before.
func (n *Node) findInFormer(ctx context.Context, part int, open queueState, job string) (bool, error) {
	n.ensureController(n.runCtx, part)
	pc := n.controller(part)
	var closed, found, unreadable, requestAgain bool
	err := pc.do(ctx, func() {
		pc.followOnDemand()
		closed = pc.isClosed(open.Queue, open.Version)
		if requestAgain = !closed && n.now()-pc.closeRequestedAt > bindRetryDelay; requestAgain {
			pc.closeRequestedAt = n.now()
		}
		_, found = pc.replica.state(job)
		unreadable = pc.replica.mayContain(job)
	})
	switch {
	case err != nil:
		return false, errors.Wrap(ErrRefused, err.Error())
	case found:
		return true, nil
	case unreadable:
		return false, ErrInDoubt // the job may have been accepted, and may run
	case !closed:
		pc.wakeReader()
		if requestAgain {
			go pc.requestClose(n.runCtx, []QueueRef{{Name: open.Queue, Service: open.Service, Version: open.Version}})
		}
		return false, errQueueNotOpen
	}
	return false, nil
}

// isClosed reports whether this instance has read the pool's stream up to a record that closes the
// pool for a queue as of the given version or a newer one. From there on it accepts no jobs that
// were sent there by older versions.
func (pc *poolController) isClosed(queue string, version int64) bool {
	state, known := pc.replica.queueState(queue)
	return known && !state.Open && state.Version >= version
}

// wakeReader makes the follower read without a pause.
func (pc *poolController) wakeReader() {
	select {
	case pc.readNow <- struct{}{}:
	default:
	}
}

// bindRetryDelay is the pause after a failed attempt to open the pool for queues.
const bindRetryDelay = 200 * time.Millisecond

// maxBindBatch bounds the number of queues for which a pool is opened at once: their records have
// to fit, with others, into one append, whose limit is 2 MB.
const maxBindBatch = 1000

// queueTable is what a pool's owner knows about queues.
type queueTable struct {
	states map[string]queueState
	// newer holds queues that a newer configuration routes to another pool, although this pool has
	// never been open for them.
	newer map[string]QueueRef
	// wanted holds queues for which the pool is to be opened.
	wanted  map[string]QueueRef
	binding bool // an attempt to open the pool for some of them is running
	retryAt time.Duration
}

func newQueueTable() queueTable {
	return queueTable{states: map[string]queueState{}, newer: map[string]QueueRef{}, wanted: map[string]QueueRef{}}
}

// load reads the states that former owners have stored.
func (t *queueTable) load(r *replica) {
	for key, rec := range r.records {
		if kind, _ := pool.ParseKey(key); kind != pool.QueueRecord {
			continue
		}
		if s, err := decodeQueueState(rec.Record); err == nil {
			t.states[s.Queue] = s
		}
	}
}

// accepts reports whether a record may still be stored. The job was looked up in the former pools
// according to the version by which the pool was open then, so that version must still apply.
func (t *queueTable) accepts(s *submission) bool {
	if s.queue == "" {
		return true
	}
	state := t.states[s.queue]
	return state.Open && state.Version == s.openVersion
}

// want requests opening the pool for a queue, unless a newer version of the configuration has
// routed the queue to another pool.
func (t *queueTable) want(ref QueueRef) {
	state, known := t.states[ref.Name]
	if known && (state.Open || state.Version >= ref.Version) || t.newer[ref.Name].Version > ref.Version {
		return
	}
	if t.wanted[ref.Name].Version <= ref.Version {
		t.wanted[ref.Name] = ref
	}
}

// nextWanted returns the next queues to open the pool for, at most maxBindBatch.
func (t *queueTable) nextWanted() []QueueRef {
	refs := make([]QueueRef, 0, min(len(t.wanted), maxBindBatch))
	for _, ref := range t.wanted {
		if len(refs) == maxBindBatch {
			break
		}
		refs = append(refs, ref)
	}
	return refs
}

// set applies a state if it is newer than the known one.
func (t *queueTable) set(s queueState) bool {
	if old, known := t.states[s.Queue]; known && old.Version >= s.Version {
		return false
	}
	t.states[s.Queue] = s
	return true
}
