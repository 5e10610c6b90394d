package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Event is an input of the core.
type Event any

// Tick reports that time has passed.
type Tick struct{}

// LogRead is the result of a read of the log that was requested with NextRead.
type LogRead struct {
	Read logstream.ReadRequest
	// StartedAt is when the read was sent. Its result is valid as of that time.
	StartedAt time.Duration
	Page      infra.Page
	Err       error
}

// SnapshotStored is the result of a StoreSnapshot.
type SnapshotStored struct {
	Mark logstream.Mark
	// Appends is the number of attempted appends.
	Appends int
	Err     error
}

// PeerStates is the result of FetchStates: the states of the peers that answered.
type PeerStates struct{ States []PeerState }

// PeerState is the state of one peer.
type PeerState struct {
	From     string
	Snapshot logstream.Snapshot
}

// AppendDone is the result of an Append. It decides nothing about the records; only reading them
// back does.
type AppendDone struct{ Err error }

// InstancesListed is a new instance list of the platform.
type InstancesListed struct{ Instances []infra.Instance }

// WorkersListed is a new worker list of the platform.
type WorkersListed struct{ List infra.WorkerList }

// WorkerSynced is the answer to a SyncWorker, or its error.
type WorkerSynced struct {
	Order placement.SyncOrder
	Reply infra.SyncReply
	Err   error
}

// Delivered is an envelope received from another scheduler.
type Delivered struct{ Envelope api.Envelope }

// Asked is a request that is completed by an Answered with the same ticket.
type Asked struct {
	Ticket   uint64
	Question api.Question
}

// Leave starts the planned hand-over of all units that this scheduler owns.
type Leave struct{}

// Action is an output of the core that its caller has to perform.
type Action any

// AppendLog requests the append of a batch to the log.
type AppendLog struct {
	Batch [][]byte
	Cause string
}

// SyncWorker requests that an order is sent to a worker.
type SyncWorker struct{ Order placement.SyncOrder }

// LogLeaseOver requests a line in the log.
type LogLeaseOver struct{ placement.LeaseOver }

// SendPeer requests delivery of an envelope to another scheduler. Envelopes may be lost.
type SendPeer struct {
	To, Addr string
	Envelope api.Envelope
}

// Answered completes a request.
type Answered struct {
	Ticket uint64
	Answer api.Answer
}

// StoreSnapshot requests the append of a snapshot to the snapshot stream, with pauses between
// its records that keep the appends within this instance's share of the log.
type StoreSnapshot struct {
	Snapshot logstream.Snapshot
	Pause    time.Duration
}

// FetchStates requests the newest state of peers.
type FetchStates struct{ Addrs []string }
