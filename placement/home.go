package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// HomeConfig is the timing and limits of a job home.
type HomeConfig struct {
	// AskAgain is how long an unanswered message waits before it is repeated.
	AskAgain time.Duration
	// Backoff is the wait after a task has failed; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RetryRoom is the longest wait for room before it is looked for again
	// without any news of it.
	RetryRoom time.Duration
	// MaxAttempts is how often a task may fail before its job fails, when its
	// team's policy does not say.
	MaxAttempts int
	// StableRun is the run time after which earlier failures no longer count.
	StableRun time.Duration
	// HoldRenew is the time between two renewals of a gang's holds. It is well
	// below ShardConfig.HoldFor.
	HoldRenew time.Duration
	// ReserveAfter is how long a job waits for room before its home asks shards
	// to keep room for it, ReserveFor how long that may last at a stretch.
	ReserveAfter time.Duration
	ReserveFor   time.Duration
	// EndAgain is how long a proposed end may go unseen in the log before it
	// is proposed again.
	EndAgain time.Duration
	// StaleAfter is when a shard that has told nothing is worth asking without
	// knowing of any room.
	StaleAfter time.Duration
	// MaxPerStep bounds the tasks asked for in one step.
	MaxPerStep int
	Quota      QuotaConfig
}

// DefaultHomeConfig suits a cell on one site.
var DefaultHomeConfig = HomeConfig{
	AskAgain:     time.Second,
	Backoff:      100 * time.Millisecond,
	MaxBackoff:   5 * time.Second,
	RetryRoom:    time.Second,
	MaxAttempts:  3,
	StableRun:    30 * time.Second,
	HoldRenew:    1500 * time.Millisecond,
	ReserveAfter: 2 * time.Second,
	ReserveFor:   20 * time.Second,
	EndAgain:     2 * time.Second,
	StaleAfter:   10 * time.Second,
	MaxPerStep:   400,
	Quota:        DefaultQuotaConfig,
}

// Home is the step machine of one job home's owner.
type Home struct {
	unit  ownership.Unit
	epoch infra.Offset
	cfg   HomeConfig
	jobs  map[string]*homeJob
	teams map[string]*homeTeam
	queue queue
	rooms rooms
	// timers holds what has to be looked at again later; a step looks only at
	// what is due.
	timers timers
	// sequences holds the newest sequence sent to each shard.
	sequences map[ownership.Unit]uint64
	// strays are attempts that must end: of jobs that are over, or given up.
	strays map[string]*stray
	// collected holds the shards that have told what they run for this home.
	collected   map[ownership.Unit]bool
	collectedAt map[ownership.Unit]time.Duration
	toCollect   []ownership.Unit
	complete    bool
	number      int
	// reserving is the one job for which shards are asked to keep room.
	reserving *homeJob
	learner   *learner
	ledger    *Ledger
	reports   reporter
	ends      []End
	// starts are jobs that have started and were not taken yet.
	starts []StartWait
}

// NewHome returns a home's state under an epoch.
func NewHome(unit ownership.Unit, epoch infra.Offset, cfg HomeConfig) *Home {
	return &Home{unit: unit, epoch: epoch, cfg: cfg, jobs: map[string]*homeJob{}, teams: map[string]*homeTeam{},
		queue: newQueue(), rooms: newRooms(xxhash.Sum64String(string(unit)) ^ uint64(epoch)),
		sequences: map[ownership.Unit]uint64{}, strays: map[string]*stray{},
		collected: map[ownership.Unit]bool{}, collectedAt: map[ownership.Unit]time.Duration{},
		learner: newLearner(), ledger: NewLedger(unit, epoch, cfg.Quota), reports: newReporter(cfg.Quota)}
}

// Epoch is the fencing token of this home.
func (h *Home) Epoch() infra.Offset { return h.epoch }

// SetShards tells the home which shards exist.
func (h *Home) SetShards(shards []ownership.Unit) {
	h.rooms.setShards(shards)
	h.toCollect = h.toCollect[:0]
	for _, s := range shards {
		if !h.collected[s] {
			h.toCollect = append(h.toCollect, s)
		}
	}
}

// SetOwner tells the home under which epoch a shard is owned. It must be told of
// all owners made before its own epoch when it is new, and of others soon.
func (h *Home) SetOwner(now time.Duration, shard ownership.Unit, epoch infra.Offset) {
	if h.rooms.setEpoch(shard, epoch) {
		h.verifyShard(now, shard)
	}
}

// SetCapacity tells the home of a shard's largest worker in each dimension.
func (h *Home) SetCapacity(shard ownership.Unit, largest infra.Resources) {
	h.rooms.setCapacity(shard, largest)
}

// SetDigest notes a shard's free room and wakes the jobs that could use it. A
// digest of a replaced owner that arrives late is dropped.
func (h *Home) SetDigest(now time.Duration, d Digest) {
	if d.Epoch < h.rooms.epoch(d.Shard) {
		return
	}
	h.SetOwner(now, d.Shard, d.Epoch)
	if h.rooms.setDigest(now, d) {
		h.queue.roomGrew(now, d.Free)
	}
}

// outdated reports whether news comes from an owner of a shard that has been
// replaced. It may tell of an attempt's end that its successor has not let
// happen, such as a hold that it has placed anew.
func (h *Home) outdated(now time.Duration, shard ownership.Unit, epoch infra.Offset) bool {
	if epoch == 0 {
		return false
	}
	h.SetOwner(now, shard, epoch)
	return epoch < h.rooms.epoch(shard)
}

// SetTeam notes a team's settings.
func (h *Home) SetTeam(now time.Duration, name string, s settings.Team) {
	t := h.team(name)
	t.policies, t.quota, t.borrow = s.Policies, s.Quota, s.Borrow
	h.queue.wakeTeam(t)
	if LedgerOf(name) == h.unit {
		h.ledger.SetQuota(name, s.Quota, s.Borrow)
	}
}

func (h *Home) team(name string) *homeTeam {
	t, ok := h.teams[name]
	if !ok {
		t = &homeTeam{name: name, index: noIndex}
		h.teams[name] = t
		// Reports name all teams that the home knows: one that a predecessor's
		// tasks belong to, and that has asked for nothing since, counts too.
		h.reports.link(LedgerOf(name)).teams[name] = t
	}
	return t
}

// AddJob takes in an accepted job.
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

// mayPlace reports whether the home may place tasks of a job. A predecessor may
// have placed tasks of jobs accepted before this epoch: they wait until every
// shard has told what it runs and has fenced the predecessor out. Jobs accepted
// later can't be known to a predecessor.
func (h *Home) mayPlace(job *homeJob) bool { return h.complete || job.Accepted > h.epoch }

// JobEnded drops a job that has ended. What still runs of it is counted against
// its team until it is known to have stopped.
func (h *Home) JobEnded(now time.Duration, id string) {
	job, ok := h.jobs[id]
	if !ok {
		return
	}
	delete(h.jobs, id)
	h.queue.remove(job)
	job.over = true
	if h.reserving == job {
		h.reserving = nil
	}
	job.team.wanted = job.team.wanted.Sub(times(job.need, len(job.queued)))
	job.queued = nil
	for _, t := range job.tasks {
		if t.phase.occupies() {
			// The shards read the job's end in the log too and stop its tasks
			// by themselves; a Stop is only sent if that brings no news.
			h.strays[t.attempt.TaskID()] = &stray{attempt: t.attempt, shard: t.shard, team: job.team, need: t.need}
			h.timers.add(timer{at: now + strayPatience, kind: timerStray, id: t.attempt.TaskID()})
		}
	}
	h.queue.wakeTeam(job.team)
}

// Step returns the messages to send now and the jobs that have ended. Its cost
// grows with what is due and what can start, not with the jobs that wait or run.
func (h *Home) Step(now time.Duration) ([]Message, []End) {
	out := h.collect(now)
	out = append(out, h.fire(now)...)
	out = append(out, h.serve(now)...)
	out = append(out, h.exchangeQuota(now)...)
	ends := h.ends
	h.ends = nil
	return out, ends
}

// serve asks shards for tasks in the queue's order until nothing can start.
func (h *Home) serve(now time.Duration) []Message {
	var out []Message
	for asked := 0; asked < h.cfg.MaxPerStep; {
		class := h.queue.next()
		if class == nil {
			break
		}
		job := class.first
		var msgs []Message
		if job.Spec.Kind == Gang {
			msgs = h.askGang(now, job)
		} else {
			msgs = h.askOne(now, job)
		}
		asked += len(msgs)
		out = append(out, msgs...)
	}
	return out
}

// Handle takes in a message.
func (h *Home) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Placed:
		return h.placed(now, m)
	case Changed:
		if !h.outdated(now, m.Shard, m.ShardEpoch) {
			return h.changed(now, m)
		}
	case Collected:
		if !h.outdated(now, m.Shard, m.ShardEpoch) {
			return h.take(now, m)
		}
	case QuotaAsk:
		return h.quotaAsked(m)
	case QuotaGrant:
		h.quotaGranted(now, m)
	case QuotaReport:
		return h.ledger.Report(now, m)
	}
	return nil
}

// order returns the common part of a message to a shard about an attempt.
func (h *Home) order(shard ownership.Unit, a Attempt) Confirm {
	h.sequences[shard]++
	return Confirm{Shard: shard, Home: h.unit, HomeEpoch: h.epoch, ShardEpoch: h.rooms.epoch(shard),
		Sequence: h.sequences[shard], Attempt: a}
}

// Jobs returns the IDs of the home's open jobs in order.
func (h *Home) Jobs() []string { return sortedKeys(h.jobs) }
