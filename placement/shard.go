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
	// SyncInterval is the time between two requests to a worker if there are no
	// orders for it.
	SyncInterval time.Duration
	// PollWait is how long a worker may hold back an answer without changes; 0
	// requests an immediate answer. It must be well below the lease duration.
	PollWait time.Duration
	// FullReportInterval is the time between two reports of all tasks; in
	// between a worker reports only changes.
	FullReportInterval time.Duration
	// SyncTimeout is the timeout of a request, in addition to the time for
	// which the worker may hold back the answer.
	SyncTimeout time.Duration
	// NotifyInterval is the time after which an unacknowledged end of a task is
	// notified again.
	NotifyInterval time.Duration
	// PredecessorRenewalLimit is how long a predecessor may go on renewing
	// leases after a majority of the schedulers has read its successor's claim.
	PredecessorRenewalLimit time.Duration
	// PredecessorLease is the longest lease that a predecessor may have granted.
	PredecessorLease time.Duration
	// HoldDuration is how long a hold stays valid without a Confirm.
	HoldDuration time.Duration
}

// DefaultShardConfig is meant for a cell on one site.
var DefaultShardConfig = ShardConfig{
	Lease:              15 * time.Second,
	SyncInterval:       200 * time.Millisecond,
	FullReportInterval: 5 * time.Minute,
	SyncTimeout:        2 * time.Second,
	NotifyInterval:     time.Second,
	HoldDuration:       5 * time.Second,

	PredecessorRenewalLimit: 4 * time.Second,
	PredecessorLease:        ownership.MaxLease,
}

// leaseMarginDivisor defines the part of a lease that is added before its tasks
// are considered stopped, because clocks run at different speeds.
const leaseMarginDivisor = 20

// Shard is the state machine of the owner of one worker shard.
type Shard struct {
	unit    ownership.Unit
	epoch   infra.Offset
	cfg     ShardConfig
	workers map[string]*worker
	// order holds the workers sorted by ID, so that decisions don't depend on
	// map order.
	order []*worker
	slots map[Attempt]*slot
	jobs  map[string][]*slot
	homes map[ownership.Unit]channel
	// confirmedAt is when the newest log read that found no successor began.
	confirmedAt time.Duration
	// claimReadAt is when a majority of the schedulers had read this owner's
	// claim; zero until then.
	claimReadAt time.Duration
	// outcomes holds the most recent jobs with ended tasks here; outcomeOrder
	// holds their keys, oldest first.
	outcomes     map[jobKey]*outcome
	outcomeOrder []jobKey
	// leasesOver are for the log.
	leasesOver []LeaseOver
	// scratch is a buffer reused by searches for tasks to displace.
	scratch []*slot
}

// NewShard returns the owner's state under an epoch. It knows no workers yet.
func NewShard(unit ownership.Unit, epoch infra.Offset, cfg ShardConfig) *Shard {
	return &Shard{unit: unit, epoch: epoch, cfg: cfg, workers: map[string]*worker{},
		slots: map[Attempt]*slot{}, jobs: map[string][]*slot{}, homes: map[ownership.Unit]channel{},
		outcomes: map[jobKey]*outcome{}}
}

// Unit returns the shard's unit.
func (s *Shard) Unit() ownership.Unit { return s.unit }

// Epoch returns the fencing token of this owner.
func (s *Shard) Epoch() infra.Offset { return s.epoch }

// SetWorkers applies the platform's list of the shard's workers. An unlisted
// worker is kept while tasks are committed on it: the list lags, and if the
// worker were dropped at once its tasks would keep running unnoticed and could
// be placed a second time.
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
	s.removeUnlisted(now)
	for _, w := range s.order {
		s.shrinkToCapacity(w)
	}
}

// removeUnlisted removes the unlisted workers that can't run any task.
func (s *Shard) removeUnlisted(now time.Duration) {
	kept := s.order[:0]
	for _, w := range s.order {
		if w.listed || len(w.slots) > 0 || s.mayRunUnknown(now, w) {
			kept = append(kept, w)
			continue
		}
		s.logUnansweredOver(now, w)
		delete(s.workers, w.ID)
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// ConfirmOwner records that a read of the log which began at the given time
// found no successor of this owner.
func (s *Shard) ConfirmOwner(start time.Duration) { s.confirmedAt = max(s.confirmedAt, start) }

// ClaimRead records that a majority of the schedulers had read this owner's
// claim at the given time.
func (s *Shard) ClaimRead(at time.Duration) {
	if s.claimReadAt == 0 {
		s.claimReadAt = at
	}
}

// NeedsClaimRead reports whether the owner has to know when a majority of the schedulers has read its claim.
func (s *Shard) NeedsClaimRead() bool {
	return s.claimReadAt == 0 && (!s.Fenced() || s.cfg.PredecessorLease > s.cfg.Lease)
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

// Step returns the requests to send to workers now and notifications for homes.
func (s *Shard) Step(now time.Duration) ([]SyncOrder, []Message) {
	var orders []SyncOrder
	var out []Message
	for _, w := range s.order {
		out = append(out, s.expireLease(now, w)...)
		out = append(out, s.expireHolds(now, w)...)
		out = append(out, s.renotify(now, w)...)
		s.promote(now, w)
		w.startProbeIfDue(now)
		if s.awaitsAnswer(now, w) {
			continue
		}
		if w.urgent || w.sequence == 0 || now-w.sentAt >= s.cfg.SyncInterval {
			orders = append(orders, s.nextSync(now, w))
		}
	}
	return orders, out
}

// Handle processes a message from a home.
func (s *Shard) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Place:
		return s.handlePlace(now, m)
	case Confirm:
		return s.handleConfirm(now, m)
	case Release:
		return s.handleRelease(Confirm(m))
	case Stop:
		return s.handleStop(now, Confirm(m))
	case Forget:
		return s.handleForget(Confirm(m))
	case Noted:
		return s.handleNoted(Confirm(m))
	case Collect:
		return s.handleCollect(now, m)
	}
	return nil
}
