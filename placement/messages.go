package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Message is exchanged between a job home and a worker shard, or between a home
// and a quota ledger. To names the unit whose owner must receive it.
type Message interface{ To() ownership.Unit }

// Place asks a shard to run an attempt. It may be sent again: a shard that
// already has the attempt replies with its state, Placed while it is held or
// running and Changed once it has ended. A repeated Place renews a hold.
type Place struct {
	Shard     ownership.Unit
	Home      ownership.Unit
	HomeEpoch infra.Offset
	// ShardEpoch and Sequence keep the messages from home to shard in order,
	// see Confirm.
	ShardEpoch infra.Offset
	Sequence   uint64
	// AskedEpoch is the shard's epoch when the attempt was first requested. If
	// it is older than the shard's current epoch, a predecessor may have
	// started the attempt on a worker that has not answered the new owner yet:
	// the shard must have an answer from all its workers before it places the
	// attempt again.
	AskedEpoch infra.Offset
	Attempt    Attempt
	Team       string
	// Name is the job's name; tasks of the same name behave alike.
	Name     string
	Kind     JobKind
	Need     infra.Resources
	Payload  []byte
	Priority int
	Urgent   bool
	// Spread prefers racks and workers that run few tasks of the job.
	Spread         bool
	Checkpointable bool
	// Borrowed marks a task above its team's quota, which is displaced first.
	Borrowed bool
	// Accepted is the log offset at which the job was accepted, which gives its
	// age among all jobs of the cell. An older gang's reservation has
	// precedence over a younger one's.
	Accepted infra.Offset
	// ExpectedRun is how long the task is expected to run; zero if unknown.
	ExpectedRun time.Duration
	// Waited is how long the task has waited for capacity. The longer, the
	// further ahead capacity may be reserved for it.
	Waited time.Duration
	// Avoid names workers on which the task has failed. They are used only if
	// no other worker of the shard could hold the task even if it were empty.
	Avoid []string
	// Hold reserves the resources without starting the task. Confirm starts it;
	// without one the hold expires.
	Hold bool
	// Reserve asks the shard, if no worker has enough free capacity now, to
	// reserve the capacity that is expected to become free soonest, until a hold
	// would expire.
	Reserve bool
}

// Confirm starts a held attempt.
type Confirm struct {
	Shard, Home ownership.Unit
	HomeEpoch   infra.Offset
	// ShardEpoch is the epoch of the shard's owner as the home knows it; an
	// owner with another epoch drops the message. Zero disables the check.
	ShardEpoch infra.Offset
	// Sequence increases with each message from one home epoch to one shard.
	// The shard drops a message whose sequence is not higher than the highest
	// received: otherwise a delayed Place could start an attempt that its home
	// has given up and replaced elsewhere.
	Sequence uint64
	Attempt  Attempt
}

// Release cancels an attempt that was never confirmed.
type Release Confirm

// Forget tells the shard that the home has processed the end of an attempt.
// Until then the shard keeps an ended attempt, also an expired hold.
type Forget Confirm

// Noted tells the shard that the home knows about the end of an attempt. The
// shard stops repeating the notification and keeps the attempt until its job
// ends.
type Noted Confirm

// Stop ends a running attempt.
type Stop Confirm

// Filter identifies a reason why a worker can't take a task.
type Filter string

// The filters that are applied to the workers of a shard.
const (
	FilterNoCapacity    Filter = "no-room"
	FilterTooSmall      Filter = "too-small"
	FilterAccelerators  Filter = "no-accelerators"
	FilterNotReconciled Filter = "not-heard"
	FilterQuarantined   Filter = "quarantined"
	FilterFailedBefore  Filter = "failed-there"
	FilterReserved      Filter = "reserved"
	FilterSpread        Filter = "spread"
)

// Removed is the number of workers that one filter removed. A worker counts
// only for the first filter that removes it.
type Removed struct {
	Filter  Filter `json:"filter"`
	Workers int    `json:"workers"`
}

// Candidate is a worker that passed the filters, with its score.
type Candidate struct {
	Worker string  `json:"worker"`
	Score  float64 `json:"score"`
}

// Placed answers Place.
type Placed struct {
	Home, Shard ownership.Unit
	Attempt     Attempt
	// Sequence is the one of the Place that is answered. A refusal is valid
	// only as the answer to the newest Place: after an older one, the repeated
	// Place may still succeed.
	Sequence uint64
	OK       bool
	Held     bool
	// Reserved means that capacity is reserved for the attempt.
	Reserved bool
	Worker   string
	// Reason says why no worker was found.
	Reason  string
	Workers int
	Removed []Removed
	// Best are the best-scored workers, best first, at most MaxCandidates.
	Best []Candidate
	// Displaced are the attempts that are stopped to free capacity.
	Displaced []Displaced
}

// Displaced is an attempt that is stopped for an urgent task, and the reason
// why it was chosen.
type Displaced struct {
	Attempt Attempt
	Why     string
}

// MaxCandidates is the maximum number of candidates in one answer.
const MaxCandidates = 3

// AttemptState is the state of an attempt as its home sees it.
type AttemptState string

// The states of an attempt.
const (
	AttemptHeld    AttemptState = "held"
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	AttemptFailed  AttemptState = "failed"
	AttemptLost    AttemptState = "lost"
)

// Cause is the reason why an attempt ended without completing.
type Cause string

// The causes of an attempt's end.
const (
	// CauseExit: the task itself failed.
	CauseExit Cause = "exit"
	// CauseMemory: it was stopped because it used more memory than it declared.
	CauseMemory Cause = "memory"
	// CausePreempted: it was displaced by other work.
	CausePreempted Cause = "preempted"
	// CauseStopped: its home stopped it.
	CauseStopped Cause = "stopped"
	// CauseWorkerLost: its worker stopped answering or no longer has it.
	CauseWorkerLost Cause = "worker-lost"
	// CauseHoldExpired: it was held and not confirmed in time.
	CauseHoldExpired Cause = "hold-expired"
	// CauseHoldTaken: an older gang's reservation took its capacity.
	CauseHoldTaken Cause = "hold-taken"
)

// Changed tells a home the state of an attempt. The end of an attempt is sent
// again until the home acknowledges it with Noted or Forget.
type Changed struct {
	Home, Shard ownership.Unit
	// ShardEpoch is the epoch of the sender.
	ShardEpoch infra.Offset
	Attempt    Attempt
	State      AttemptState
	// Cause is set when State is AttemptFailed or AttemptLost.
	Cause   Cause
	Worker  string
	Reason  string
	RunTime time.Duration
	// Usage is the highest resource usage that the worker has reported for the
	// task.
	Usage infra.Resources
	// Need is the resources that the shard has committed for the attempt.
	Need infra.Resources
}

// Collect asks a shard for all attempts of a home and fences out every older
// epoch of that home.
type Collect struct {
	Shard, Home ownership.Unit
	HomeEpoch   infra.Offset
}

// Collected answers Collect once the shard knows what all its workers run.
type Collected struct {
	Home, Shard ownership.Unit
	HomeEpoch   infra.Offset
	// ShardEpoch is the epoch of the sender. The home ignores an answer of an
	// owner that it knows to be replaced.
	ShardEpoch infra.Offset
	Attempts   []Changed
}

// To implements Message.
func (m Place) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Confirm) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Release) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Forget) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Noted) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Stop) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Collect) To() ownership.Unit { return m.Shard }

// To implements Message.
func (m Placed) To() ownership.Unit { return m.Home }

// To implements Message.
func (m Changed) To() ownership.Unit { return m.Home }

// To implements Message.
func (m Collected) To() ownership.Unit { return m.Home }

// Digest summarises a shard's free capacity and is sent to all schedulers
// periodically. It is always somewhat stale and only decides which shards are
// asked first.
type Digest struct {
	Shard ownership.Unit
	// Epoch is that of the shard's owner.
	Epoch infra.Offset
	// Zone is the availability zone of the shard's workers.
	Zone    string
	Workers int
	Total   infra.Resources
	Free    infra.Resources
	// Largest is the capacity of the shard's largest worker in each dimension.
	Largest infra.Resources
}
