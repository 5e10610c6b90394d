package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// Message travels between a job home and a worker shard. To names the unit
// whose owner it is meant for.
type Message interface{ To() ownership.Unit }

// Place asks a shard to run an attempt. It may be repeated: a shard that has
// the attempt already answers with what became of it, Placed while it is held
// or running and Changed once it has ended. Repeating it renews a hold.
type Place struct {
	Shard     ownership.Unit
	Home      ownership.Unit
	HomeEpoch infra.Offset
	// ShardEpoch and Sequence keep the channel from home to shard in order,
	// see Confirm.
	ShardEpoch infra.Offset
	Sequence   uint64
	// AskedEpoch is the shard's epoch that the attempt was first asked of. When
	// it is older than the shard's own, a predecessor may have started the
	// attempt on a worker that has not answered yet: the shard must have heard
	// from all its workers before it places the attempt anew.
	AskedEpoch infra.Offset
	Attempt    Attempt
	Team       string
	// Name is the job's name; tasks of one name are alike.
	Name     string
	Kind     JobKind
	Need     infra.Resources
	Payload  []byte
	Priority int
	Urgent   bool
	// Spread asks for racks and workers that run few tasks of the job.
	Spread         bool
	Checkpointable bool
	// Borrowed marks a task above its team's quota: the first to give way.
	Borrowed bool
	// Accepted is the offset of the job's acceptance: its age among all jobs of
	// the cell. An older gang's reservation goes before a younger one's.
	Accepted infra.Offset
	// ExpectedRun is how long the task is expected to run; zero if unknown.
	ExpectedRun time.Duration
	// Waited is how long the task has waited for room. The longer, the further
	// ahead room may be kept for it.
	Waited time.Duration
	// Avoid names workers on which the task has failed. They are taken only
	// when no other worker of the shard could ever hold the task.
	Avoid []string
	// Hold reserves the resources without starting; a Confirm starts the
	// task, and without one the reservation expires.
	Hold bool
	// Reserve asks the shard, when no worker has room now, to keep the room that
	// comes free soonest for this attempt until the hold would expire.
	Reserve bool
}

// Confirm starts a held attempt.
type Confirm struct {
	Shard, Home ownership.Unit
	HomeEpoch   infra.Offset
	// ShardEpoch is the epoch of the shard's owner as the home knows it; a
	// shard under another epoch drops the message. Zero is not checked.
	ShardEpoch infra.Offset
	// Sequence grows with each message of one home epoch to one shard. The
	// shard drops a message whose sequence is not newer than the newest seen:
	// without that a Place that the network delivers late could start an
	// attempt that its home has given up and replaced elsewhere.
	Sequence uint64
	Attempt  Attempt
}

// Release drops an attempt that was never confirmed.
type Release Confirm

// Forget tells the shard that the home has taken note of an ended attempt. The
// shard keeps an ended attempt, an expired hold too, until then.
type Forget Confirm

// Noted tells the shard that the home knows of an ended attempt; the shard stops
// repeating the news and keeps the attempt until its job ends.
type Noted Confirm

// Stop ends a running attempt.
type Stop Confirm

// Filter is a reason why a worker can't take a task.
type Filter string

// The filters of a placement.
const (
	FilterRoom         Filter = "no-room"
	FilterTooSmall     Filter = "too-small"
	FilterAccelerators Filter = "no-accelerators"
	FilterSilent       Filter = "not-heard"
	FilterQuarantined  Filter = "quarantined"
	FilterAvoided      Filter = "failed-there"
	FilterReserved     Filter = "reserved"
	FilterSpread       Filter = "spread"
)

// Removed counts the workers that one filter removed. Each worker is counted at
// the first filter that removes it.
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
	// Sequence is that of the Place it answers. A refusal counts only as the
	// answer to the newest Place: an older one may still be overtaken by a
	// repeated Place that succeeds.
	Sequence uint64
	OK       bool
	Held     bool
	// Reserved says that room is being kept for the attempt.
	Reserved bool
	Worker   string
	// Reason says why no worker was found.
	Reason  string
	Workers int
	Removed []Removed
	// Best are the best-scored workers, best first, at most MaxCandidates.
	Best []Candidate
	// Displaced are the attempts that are stopped to make room.
	Displaced []Displaced
}

// Displaced is an attempt that gives way to another one, and why this one.
type Displaced struct {
	Attempt Attempt
	Why     string
}

// MaxCandidates bounds the candidates that one answer names.
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

// Cause says why an attempt ended without being done.
type Cause string

// The causes of an attempt's end.
const (
	// CauseExit: the task itself failed.
	CauseExit Cause = "exit"
	// CauseMemory: it was stopped because it used more memory than it declared.
	CauseMemory Cause = "memory"
	// CausePreempted: it gave way to other work.
	CausePreempted Cause = "preempted"
	// CauseStopped: its home had it stopped.
	CauseStopped Cause = "stopped"
	// CauseWorkerLost: its worker fell silent or lost it.
	CauseWorkerLost Cause = "worker-lost"
	// CauseHoldExpired: it was held and never confirmed in time.
	CauseHoldExpired Cause = "hold-expired"
	// CauseHoldTaken: an older gang's reservation took its place.
	CauseHoldTaken Cause = "hold-taken"
)

// Changed tells a home what became of an attempt. It is repeated until the
// home notes or forgets the attempt.
type Changed struct {
	Home, Shard ownership.Unit
	// ShardEpoch is the epoch of the owner that says so.
	ShardEpoch infra.Offset
	Attempt    Attempt
	State      AttemptState
	// Cause is set when State is AttemptFailed or AttemptLost.
	Cause   Cause
	Worker  string
	Reason  string
	RunTime time.Duration
	// Usage is the largest use the worker has reported of the task.
	Usage infra.Resources
	// Need is what the shard has committed for the attempt.
	Need infra.Resources
}

// Collect asks a shard for all attempts of a home and fences out every older
// epoch of that home.
type Collect struct {
	Shard, Home ownership.Unit
	HomeEpoch   infra.Offset
}

// Collected answers Collect once the shard knows what its workers run.
type Collected struct {
	Home, Shard ownership.Unit
	HomeEpoch   infra.Offset
	// ShardEpoch is the epoch of the owner that says so; an answer of an owner
	// that the home knows to be replaced doesn't count.
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

// Digest is a shard's free room, told to all schedulers from time to time. It
// is stale by nature and only says where to ask first.
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
