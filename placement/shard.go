package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// ShardConfig is the timing of a shard's owner.
type ShardConfig struct {
	// Lease is how long a worker runs tasks after its owner's last renewal.
	Lease time.Duration
	// SyncEvery is the time between two requests to a worker without orders.
	SyncEvery time.Duration
	// PollWait is how long a worker may hold back an answer without news; 0
	// asks for an answer at once. It must be well below the lease.
	PollWait time.Duration
	// FullEvery is the time between two reports of all tasks; between them a
	// worker tells only what changed.
	FullEvery time.Duration
	// SyncTimeout is when a request without an answer is given up, beyond what
	// the worker was allowed to hold it back.
	SyncTimeout time.Duration
	// TellAgain is how long news of an ended task waits before it is repeated.
	TellAgain time.Duration
	// PredecessorStops is how long a predecessor may go on renewing leases after
	// a majority of the schedulers has read its successor's claim.
	PredecessorStops time.Duration
	// HoldFor is how long a reservation stands without a Confirm.
	HoldFor time.Duration
}

// DefaultShardConfig suits a cell on one site.
var DefaultShardConfig = ShardConfig{
	Lease:       15 * time.Second,
	SyncEvery:   200 * time.Millisecond,
	FullEvery:   5 * time.Minute,
	SyncTimeout: 2 * time.Second,
	TellAgain:   time.Second,
	HoldFor:     5 * time.Second,

	PredecessorStops: 4 * time.Second,
}

// leaseMargin is added to a lease before its tasks are taken for stopped: a
// share of the lease for clocks that run at different speeds.
const leaseMargin = 20

// Shard is the step machine of one worker shard's owner.
type Shard struct {
	unit    ownership.Unit
	epoch   infra.Offset
	cfg     ShardConfig
	workers map[string]*worker
	// order is the workers sorted by ID: decisions never follow map order.
	order []*worker
	slots map[Attempt]*slot
	jobs  map[string][]*slot
	homes map[ownership.Unit]channel
	// confirmedAt is the begin of the newest log read that named no successor.
	confirmedAt time.Duration
	// claimReadAt is when a majority of the schedulers had read this owner's
	// claim; zero until it has.
	claimReadAt time.Duration
	// outcomes are the newest jobs that ended here, and outcomeOrder their age.
	outcomes     map[jobKey]*outcome
	outcomeOrder []jobKey
	// scratch is reused by searches for tasks to displace.
	scratch []*slot
}

// NewShard returns the owner's state under an epoch. It knows no workers yet.
func NewShard(unit ownership.Unit, epoch infra.Offset, cfg ShardConfig) *Shard {
	return &Shard{unit: unit, epoch: epoch, cfg: cfg, workers: map[string]*worker{},
		slots: map[Attempt]*slot{}, jobs: map[string][]*slot{}, homes: map[ownership.Unit]channel{},
		outcomes: map[jobKey]*outcome{}}
}

// Unit is the shard's unit.
func (s *Shard) Unit() ownership.Unit { return s.unit }

// Epoch is the fencing token of this owner.
func (s *Shard) Epoch() infra.Offset { return s.epoch }

// SetWorkers takes over the platform's list of the shard's workers. A worker
// that has left the list is kept while tasks are committed on it: the list lags,
// and a worker that was dropped at once would leave its tasks running unseen,
// free to be placed a second time.
func (s *Shard) SetWorkers(now time.Duration, list []infra.Worker) {
	for _, w := range s.order {
		if w.listed {
			w.listedAt = now
		}
		w.listed = false
	}
	for _, p := range list {
		w, ok := s.workers[p.ID]
		if !ok {
			w = &worker{heardAt: now}
			s.workers[p.ID] = w
			s.order = append(s.order, w)
		}
		w.Worker, w.listed = p, true
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].ID < s.order[j].ID })
	s.dropEmpty(now)
	for _, w := range s.order {
		s.relieve(w)
	}
}

// dropEmpty removes the workers that are not listed and have nothing left.
func (s *Shard) dropEmpty(now time.Duration) {
	kept := s.order[:0]
	for _, w := range s.order {
		if w.listed || len(w.slots) > 0 || s.mayHoldUnknown(now, w) {
			kept = append(kept, w)
			continue
		}
		delete(s.workers, w.ID)
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// ConfirmOwner notes that a read of the log which began at the given time named
// no successor of this owner.
func (s *Shard) ConfirmOwner(began time.Duration) { s.confirmedAt = max(s.confirmedAt, began) }

// ClaimRead notes that a majority of the schedulers had read this owner's claim
// at the given time.
func (s *Shard) ClaimRead(at time.Duration) {
	if s.claimReadAt == 0 {
		s.claimReadAt = at
	}
}

// Fenced reports whether every worker has answered under this owner's token.
func (s *Shard) Fenced() bool {
	for _, w := range s.order {
		if !w.fenced {
			return false
		}
	}
	return true
}

// Step returns the requests to send to workers now and news for homes.
func (s *Shard) Step(now time.Duration) ([]SyncOrder, []Message) {
	var orders []SyncOrder
	var out []Message
	for _, w := range s.order {
		out = append(out, s.lapse(now, w)...)
		out = append(out, s.expireHolds(now, w)...)
		out = append(out, s.tellAgain(now, w)...)
		s.promote(now, w)
		w.endQuarantine(now)
		if s.mustWait(now, w) {
			continue
		}
		if w.urgent || w.sequence == 0 || now-w.sentAt >= s.cfg.SyncEvery {
			orders = append(orders, s.sync(now, w))
		}
	}
	return orders, out
}

// Handle takes in a message from a home.
func (s *Shard) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Place:
		return s.place(now, m)
	case Confirm:
		return s.confirm(now, m)
	case Release:
		return s.release(Confirm(m))
	case Stop:
		return s.stopped(now, Confirm(m))
	case Forget:
		return s.forgotten(Confirm(m))
	case Noted:
		return s.noted(Confirm(m))
	case Collect:
		return s.collect(now, m)
	}
	return nil
}
