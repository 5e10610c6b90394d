// Package api is the net/rpc interface of kw-sched: the requests of entries and the messages
// between schedulers.
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

// ServiceName is the name under which the rpc methods are registered.
const ServiceName = "Sched"

// Code is the result code of an Answer.
type Code string

// Result codes.
const (
	OK Code = "ok"
	// Invalid: the request is invalid; nothing changed.
	Invalid Code = "invalid"
	// Conflict: another change came first; nothing changed.
	Conflict Code = "conflict"
	// Unavailable: nothing changed; retry after RetryAfter.
	Unavailable Code = "unavailable"
	// Forbidden: the caller does not own what it tries to change; nothing changed.
	Forbidden Code = "forbidden"
	// InDoubt: the change was sent to the log and not confirmed; it may still take effect.
	InDoubt Code = "in-doubt"
	// Starting: the scheduler has not read the log to its end yet. Nothing changed; the caller
	// may ask another scheduler.
	Starting Code = "starting"
	// Elsewhere: the scheduler given in Answer.Owner has the answer.
	Elsewhere Code = "elsewhere"
	NotFound  Code = "not-found"
)

// Question is one of Publish, PublishKeys, Submit, Cancel, JobQuery, ListJobs, Claim and Finish.
type Question any

// Publish proposes a change of settings.
type Publish struct{ Change settings.Change }

// PublishKeys proposes new keys for a team or the root.
type PublishKeys struct{ Change settings.KeyChange }

// Submit proposes a new job.
type Submit struct{ Job placement.JobSpec }

// Cancel proposes to cancel a job.
type Cancel struct{ Job, Reason string }

// JobQuery requests the state of a job.
type JobQuery struct{ Job string }

// Claim proposes to run a non-idempotent request.
type Claim struct{ Claim dispatch.Claim }

// Finish records the result of a claimed request.
type Finish struct{ Finish dispatch.Finish }

// Ask is the argument of the rpc method Ask.
type Ask struct{ Question Question }

// Answer is the reply of the rpc method Ask.
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

// Envelope is a batch of messages that one scheduler sends to another.
type Envelope struct {
	From     string
	Member   *membership.Packet
	Messages []placement.Message
	Digests  []placement.Digest
	// Wants are the shards to whose digests the sender subscribes for a limited time.
	Wants     []ownership.Unit
	LogProbe  *LogProbe
	LogProbed *LogProbed
}

// LogProbe asks a peer whether the log is silent for it too.
type LogProbe struct{ Round uint64 }

// LogProbed is the answer to LogProbe: whether the log is silent for the peer, and the offset up
// to which the peer has read it.
type LogProbed struct {
	Round  uint64
	Silent bool
	Offset infra.Offset
}

// Ack is the empty reply of the rpc method Deliver.
type Ack struct{}

// PingArgs is the empty argument of Ping, the heartbeat of a connection.
type PingArgs struct{}

// Watch requests the cell's state if it is newer than a version.
type Watch struct{ Since uint64 }

// TeamVersion is the current version of a team's settings.
type TeamVersion struct {
	Name    string
	Version settings.Version
}

// State is the cell's state as a scheduler knows it, for its entry.
type State struct {
	Version   uint64
	Scheduler string
	Offset    infra.Offset
	LogDown   bool
	// Ready is set once the scheduler has read the log to its end or adopted a peer's state.
	// Before that its state may be far out of date.
	Ready bool
	Teams []TeamVersion
	// Keys are the keys of the teams and of settings.RootOwner.
	Keys      map[string]settings.KeySet
	Instances []infra.Instance
	Holders   map[ownership.Unit]ownership.Holder
}

// DumpArgs requests a dump of the process's state.
type DumpArgs struct{}

// DumpReply is a dump in JSON.
type DumpReply struct{ JSON []byte }

// SnapshotArgs requests the scheduler's complete state, or only its offset.
type SnapshotArgs struct{ OffsetOnly bool }

// SnapshotReply is the state as encoded by logstream.EncodeSnapshot.
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
