package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// HomeConfig holds the timing and the limits of a job home.
type HomeConfig struct {
	// RetryInterval is the time after which an unanswered message is sent
	// again.
	RetryInterval time.Duration
	// Backoff is the delay after a task has failed; it doubles up to
	// MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// CapacityRetryInterval is the maximum time between two searches for free
	// capacity when no digest reports any.
	CapacityRetryInterval time.Duration
	// MaxAttempts is how often a task may fail before its job fails, unless its
	// team's policy sets it.
	MaxAttempts int
	// StableRunTime is the run time after which earlier failures no longer
	// count.
	StableRunTime time.Duration
	// HoldRenewInterval is the time between two renewals of a gang's holds. It
	// must be well below ShardConfig.HoldDuration.
	HoldRenewInterval time.Duration
	// ReserveAfter is how long a job waits for capacity before its home asks
	// shards to reserve capacity for it; ReserveDuration limits one such
	// period.
	ReserveAfter    time.Duration
	ReserveDuration time.Duration
	// EndRetryInterval is the time after which a proposed end that has not
	// appeared in the log is proposed again.
	EndRetryInterval time.Duration
	// StaleAfter is the time after which a shard that has reported nothing is
	// asked although it advertises no free capacity.
	StaleAfter time.Duration
	// MaxPlacesPerStep limits the Place messages of one step.
	MaxPlacesPerStep int
	Quota            QuotaConfig
}

// DefaultHomeConfig is meant for a cell on one site.
var DefaultHomeConfig = HomeConfig{
	RetryInterval:         time.Second,
	Backoff:               100 * time.Millisecond,
	MaxBackoff:            5 * time.Second,
	CapacityRetryInterval: time.Second,
	MaxAttempts:           3,
	StableRunTime:         30 * time.Second,
	HoldRenewInterval:     1500 * time.Millisecond,
	ReserveAfter:          2 * time.Second,
	ReserveDuration:       20 * time.Second,
	EndRetryInterval:      2 * time.Second,
	StaleAfter:            10 * time.Second,
	MaxPlacesPerStep:      400,
	Quota:                 DefaultQuotaConfig,
}

// Home is the state machine of the owner of one job home.
type Home struct {
	unit   ownership.Unit
	epoch  infra.Offset
	cfg    HomeConfig
	jobs   map[string]*homeJob
	teams  map[string]*homeTeam
	queue  queue
	shards shardTable
	// timers holds deferred work, so that a step processes only what is due.
	timers timers
	// sequences holds the last sequence sent to each shard.
	sequences map[ownership.Unit]uint64
	// orphans are attempts that must end: their job has ended or they were
	// given up.
	orphans map[string]*orphan
	// collected holds the shards that have reported what they run for this
	// home.
	collected     map[ownership.Unit]bool
	collectSentAt map[ownership.Unit]time.Duration
	uncollected   []ownership.Unit
	collectDone   bool
	attemptNumber int
	// reserving is the only job for which shards are asked to reserve capacity.
	reserving *homeJob
	learner   *learner
	ledger    *Ledger
	reports   reporter
	ends      []End
	// startWaits are the jobs that have started since the last call of
	// TakeStarts.
	startWaits []StartWait
}

// NewHome returns the state of a home's owner under an epoch.
func NewHome(unit ownership.Unit, epoch infra.Offset, cfg HomeConfig) *Home {
	return &Home{unit: unit, epoch: epoch, cfg: cfg, jobs: map[string]*homeJob{}, teams: map[string]*homeTeam{},
		queue: newQueue(), shards: newShardTable(xxhash.Sum64String(string(unit)) ^ uint64(epoch)),
		sequences: map[ownership.Unit]uint64{}, orphans: map[string]*orphan{},
		collected: map[ownership.Unit]bool{}, collectSentAt: map[ownership.Unit]time.Duration{},
		learner: newLearner(), ledger: NewLedger(unit, epoch, cfg.Quota), reports: newReporter(cfg.Quota)}
}

// Epoch is the fencing token of this owner.
func (h *Home) Epoch() infra.Offset { return h.epoch }

// SetShards sets the list of existing shards.
func (h *Home) SetShards(shards []ownership.Unit) {
	h.shards.setShards(shards)
	h.uncollected = h.uncollected[:0]
	for _, s := range shards {
		if !h.collected[s] {
			h.uncollected = append(h.uncollected, s)
		}
	}
}

// SetOwner sets the epoch under which a shard is owned. A new home must be
// given all owners whose epoch is older than its own, and later ones soon after
// they appear.
func (h *Home) SetOwner(now time.Duration, shard ownership.Unit, epoch infra.Offset) {
	if h.shards.setEpoch(shard, epoch) {
		h.verifyShard(now, shard)
	}
}

// SetCapacity sets the capacity of a shard's largest worker in each dimension.
func (h *Home) SetCapacity(shard ownership.Unit, largest infra.Resources) {
	h.shards.setCapacity(shard, largest)
}

// SetDigest updates a shard's free capacity and unblocks the jobs that could
// use it. A late digest of a replaced owner is dropped.
func (h *Home) SetDigest(now time.Duration, d Digest) {
	if d.Epoch < h.shards.epoch(d.Shard) {
		return
	}
	h.SetOwner(now, d.Shard, d.Epoch)
	if h.shards.setDigest(now, d) {
		h.queue.capacityGrew(now, d.Free)
	}
}

// isFromReplacedOwner reports whether a message comes from an owner of a shard
// that has been replaced. It may report the end of an attempt that its
// successor has kept, such as a hold that the successor has placed again.
func (h *Home) isFromReplacedOwner(now time.Duration, shard ownership.Unit, epoch infra.Offset) bool {
	if epoch == 0 {
		return false
	}
	h.SetOwner(now, shard, epoch)
	return epoch < h.shards.epoch(shard)
}

// SetTeam updates a team's settings.
func (h *Home) SetTeam(now time.Duration, name string, s settings.Team) {
	t := h.team(name)
	t.policies, t.quota, t.borrow = s.Policies, s.Quota, s.Borrow
	h.queue.unblockTeam(t)
	if LedgerOf(name) == h.unit {
		h.ledger.SetQuota(name, s.Quota, s.Borrow)
	}
}

func (h *Home) team(name string) *homeTeam {
	t, ok := h.teams[name]
	if !ok {
		t = &homeTeam{name: name, index: noIndex}
		h.teams[name] = t
		// Reports list all teams that the home knows, including one whose tasks
		// were started by a predecessor and that has requested nothing since.
		h.reports.state(LedgerOf(name)).teams[name] = t
	}
	return t
}

// AddJob adds an accepted job.
func (h *Home) AddJob(now time.Duration, j Job) {
	if _, ok := h.jobs[j.Spec.ID]; ok || j.State != JobOpen {
		return
	}
	job := newHomeJob(now, j, h.team(j.Spec.Team))
	job.need = h.learner.need(j.Spec)
	h.jobs[j.Spec.ID] = job
	for i := range job.tasks {
		job.queued = append(job.queued, i)
	}
	job.team.wanted = job.team.wanted.Add(times(job.need, len(job.tasks)))
	h.enqueue(now, job)
}

// canPlace reports whether the home may place tasks of a job. A predecessor may
// have placed tasks of jobs accepted before this epoch: they wait until every
// shard has reported what it runs and has fenced out the predecessor. Jobs
// accepted later can't be known to a predecessor.
func (h *Home) canPlace(job *homeJob) bool { return h.collectDone || job.Accepted > h.epoch }

// JobEnded removes a job that has ended. Its tasks count towards the team's
// quota until they are known to have stopped.
func (h *Home) JobEnded(now time.Duration, id string) {
	job, ok := h.jobs[id]
	if !ok {
		return
	}
	delete(h.jobs, id)
	h.queue.remove(job)
	job.closed = true
	if h.reserving == job {
		h.reserving = nil
	}
	job.team.wanted = job.team.wanted.Sub(times(job.need, len(job.queued)))
	job.queued = nil
	for _, t := range job.tasks {
		if t.phase.occupies() {
			// The shards read the job's end in the log too and stop its tasks
			// by themselves; a Stop is sent only if no end is reported in time.
			h.orphans[t.attempt.TaskID()] = &orphan{attempt: t.attempt, shard: t.shard, team: job.team, need: t.need}
			h.timers.add(timer{at: now + orphanStopDelay, kind: timerOrphan, id: t.attempt.TaskID()})
		}
	}
	h.queue.unblockTeam(job.team)
}

// Step returns the messages to send now and the jobs that have ended. Its cost
// grows with the work that is due or can start, not with the number of waiting
// or running jobs.
func (h *Home) Step(now time.Duration) ([]Message, []End) {
	out := h.collect(now)
	out = append(out, h.runTimers(now)...)
	out = append(out, h.placeQueued(now)...)
	out = append(out, h.exchangeQuota(now)...)
	ends := h.ends
	h.ends = nil
	return out, ends
}

// placeQueued asks shards to run tasks, in the queue's order, until nothing
// more can start.
func (h *Home) placeQueued(now time.Duration) []Message {
	var out []Message
	for asked := 0; asked < h.cfg.MaxPlacesPerStep; {
		class := h.queue.next()
		if class == nil {
			break
		}
		job := class.first
		var msgs []Message
		if job.Spec.Kind == Gang {
			msgs = h.placeGang(now, job)
		} else {
			msgs = h.placeNext(now, job)
		}
		asked += len(msgs)
		out = append(out, msgs...)
	}
	return out
}

// Handle processes a message.
func (h *Home) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Placed:
		return h.handlePlaced(now, m)
	case Changed:
		if !h.isFromReplacedOwner(now, m.Shard, m.ShardEpoch) {
			return h.handleChanged(now, m)
		}
	case Collected:
		if !h.isFromReplacedOwner(now, m.Shard, m.ShardEpoch) {
			return h.handleCollected(now, m)
		}
	case QuotaAsk:
		return h.handleQuotaAsk(m)
	case QuotaGrant:
		h.handleQuotaGrant(now, m)
	case QuotaReport:
		return h.ledger.Report(now, m)
	}
	return nil
}

// nextHeader returns the header of the next message to a shard about an
// attempt, as a Confirm; it converts to the other messages with the same fields.
func (h *Home) nextHeader(shard ownership.Unit, a Attempt) Confirm {
	h.sequences[shard]++
	return Confirm{Shard: shard, Home: h.unit, HomeEpoch: h.epoch, ShardEpoch: h.shards.epoch(shard),
		Sequence: h.sequences[shard], Attempt: a}
}

// Jobs returns the sorted IDs of the home's open jobs.
func (h *Home) Jobs() []string { return sortedKeys(h.jobs) }
