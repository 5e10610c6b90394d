package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/platform"
)

// Message travels between a job home and a worker shard. To names the unit
// whose owner it is meant for.
type Message interface{ To() ownership.Unit }

// Place asks a shard to run an attempt. It may be repeated: a shard that has
// the attempt already answers with what became of it.
type Place struct {
	Shard     ownership.Unit
	Home      ownership.Unit
	HomeEpoch platform.Offset
	Attempt   Attempt
	Team      string
	Kind      JobKind
	Need      platform.Resources
	Payload   []byte
	// Hold reserves the resources without starting; a Confirm starts the
	// task, and without one the reservation expires.
	Hold bool
}

// Confirm starts a held attempt; Release drops one.
type Confirm struct {
	Shard, Home ownership.Unit
	HomeEpoch   platform.Offset
	Attempt     Attempt
}

// Release drops a held attempt.
type Release Confirm

// Forget tells the shard that the home has taken note of an ended attempt.
type Forget Confirm

// Noted tells the shard that the home knows of an ended attempt; the shard stops
// repeating the news and keeps the attempt until its job ends.
type Noted Confirm

// Stop ends a running attempt.
type Stop Confirm

// Placed answers Place.
type Placed struct {
	Home, Shard ownership.Unit
	Attempt     Attempt
	OK          bool
	Held        bool
	Worker      string
	// Reason says why no worker was found.
	Reason string
}

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

// Changed tells a home what became of an attempt. It is repeated until the
// home notes or forgets the attempt.
type Changed struct {
	Home, Shard ownership.Unit
	Attempt     Attempt
	State       AttemptState
	Worker      string
	Reason      string
	RunTime     time.Duration
}

// Collect asks a shard for all attempts of a home and fences out every older
// epoch of that home.
type Collect struct {
	Shard, Home ownership.Unit
	HomeEpoch   platform.Offset
}

// Collected answers Collect once the shard knows what its workers run.
type Collected struct {
	Home, Shard ownership.Unit
	HomeEpoch   platform.Offset
	Attempts    []Changed
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
	Shard   ownership.Unit
	Workers int
	Total   platform.Resources
	Free    platform.Resources
	// Largest is the capacity of the shard's largest worker in each dimension.
	Largest platform.Resources
}
