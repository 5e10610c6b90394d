// Package api is the net/rpc interface of kw-sched: what entries ask and what
// schedulers tell each other.
package api

import (
	"encoding/gob"
	"time"

	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// ServiceName is the name the methods are registered under.
const ServiceName = "Sched"

// Code says how a question ended.
type Code string

// The codes of an Answer.
const (
	OK Code = "ok"
	// Invalid: what was asked is wrong; nothing changed.
	Invalid Code = "invalid"
	// Conflict: somebody else was first; nothing changed.
	Conflict Code = "conflict"
	// Unavailable: nothing changed; come back after RetryAfter.
	Unavailable Code = "unavailable"
	// Forbidden: who asked does not own what it changes; nothing changed.
	Forbidden Code = "forbidden"
	// InDoubt: the change was sent to the log and not confirmed.
	InDoubt Code = "in-doubt"
	// Starting: the scheduler has not read the log to its end yet; nothing
	// changed, and another one may be asked.
	Starting Code = "starting"
	// Elsewhere: the scheduler in Answer.Owner knows.
	Elsewhere Code = "elsewhere"
	NotFound  Code = "not-found"
)

// Question is one of Publish, Submit, Cancel, JobQuery, ListJobs, Claim and
// Finish.
type Question any

// Publish proposes a settings change.
type Publish struct{ Change settings.Change }

// PublishKeys proposes new keys for a team or the root.
type PublishKeys struct{ Change settings.KeyChange }

// Submit proposes a job.
type Submit struct{ Job placement.JobSpec }

// Cancel proposes to cancel a job.
type Cancel struct{ Job, Reason string }

// JobQuery asks for the state of a job.
type JobQuery struct{ Job string }

// Claim proposes to run a non-idempotent request.
type Claim struct{ Claim dispatch.Claim }

// Finish records how a claimed request ended.
type Finish struct{ Finish dispatch.Finish }

// Ask is the argument of the method Ask.
type Ask struct{ Question Question }

// Answer is the reply of the method Ask.
type Answer struct {
	Code       Code
	Message    string
	Findings   jsonc.Findings
	Offset     infra.Offset
	RetryAfter time.Duration
	Owner      string
	Job        *placement.JobStatus
	Jobs       *JobsPage
	Claimed    *dispatch.ClaimedRequest
}

// Envelope is what one scheduler delivers to another at once.
type Envelope struct {
	From     string
	Member   *membership.Packet
	Messages []placement.Message
	Digests  []placement.Digest
	// Wants are the shards whose digests the sender wants for some time.
	Wants     []ownership.Unit
	LogProbe  *LogProbe
	LogProbed *LogProbed
}

// LogProbe asks a peer whether the log is silent for it too.
type LogProbe struct{ Round uint64 }

// LogProbed answers LogProbe: whether the log is silent, and how far the peer has
// read it.
type LogProbed struct {
	Round  uint64
	Silent bool
	Offset infra.Offset
}

// Ack is the empty reply of Deliver.
type Ack struct{}

// PingArgs is the empty argument of Ping, the heartbeat of a connection.
type PingArgs struct{}

// Watch asks for the cell's state if it is newer than a version.
type Watch struct{ Since uint64 }

// TeamVersion is a team's settings in force.
type TeamVersion struct {
	Name    string
	Version settings.Version
}

// State is the cell as a scheduler knows it, for its entry.
type State struct {
	Version   uint64
	Scheduler string
	Offset    infra.Offset
	LogDown   bool
	// Ready says that the scheduler has read the log to its end since it
	// started; before that its state may be long out of date.
	Ready bool
	Teams []TeamVersion
	// Keys are the keys of teams and of settings.RootOwner.
	Keys      map[string]settings.KeySet
	Instances []infra.Instance
	Holders   map[ownership.Unit]ownership.Holder
}

// DumpArgs asks for a dump of the process's state.
type DumpArgs struct{}

// DumpReply is a dump in JSON.
type DumpReply struct{ JSON []byte }

// SnapshotArgs asks for the scheduler's whole state, or only for its offset.
type SnapshotArgs struct{ OffsetOnly bool }

// SnapshotReply is the state as logstream.EncodeSnapshot writes it.
type SnapshotReply struct {
	Offset infra.Offset
	Data   []byte
}

func init() {
	for _, v := range []any{Publish{}, PublishKeys{}, Submit{}, Cancel{}, JobQuery{}, Claim{}, Finish{},
		placement.Place{}, placement.Confirm{}, placement.Release{}, placement.Forget{}, placement.Noted{},
		placement.Stop{}, placement.Placed{}, placement.Changed{}, placement.Collect{}, placement.Collected{},
		placement.QuotaReport{}, placement.QuotaGrant{}, placement.QuotaAsk{}} {
		gob.Register(v)
	}
}
