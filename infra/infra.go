// Package infra declares the interfaces to the platform that knapweedweir runs on:
// an append-only log, workers that run tasks under leases, and a list of instances
// that lags behind. docs/PLATFORM.md documents the guarantees of each method.
package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Offset is the position of a record in a log stream. The first record of a
// stream has offset 1, so 0 always means "before everything".
type Offset uint64

// Entry is one record read from a log stream.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the response to one read of a log stream.
type Page struct {
	Entries []Entry `json:"entries"`
	// First is the oldest offset that the stream still retains.
	First Offset `json:"first"`
	// Tail is the newest offset of the stream at the time of the response.
	Tail Offset `json:"tail"`
}

// ErrExpired is returned by Log.Read when records after the requested offset are no
// longer retained. First and Tail of the page returned with it are the range that is
// retained. The reader has to restore its state from a snapshot.
var ErrExpired = errors.New("log records have expired")

// Log is the platform's append-only log. The records of a stream are totally ordered
// and retained for a limited time. The log may be unavailable.
type Log interface {
	// Append adds records to a stream, in order and contiguously. After an error the
	// outcome is unknown: the records may be in the stream nevertheless.
	Append(ctx context.Context, stream string, records [][]byte) error
	// Read returns up to max records after the given offset. If there are none, it
	// waits for one, at most for the given time.
	Read(ctx context.Context, stream string, after Offset, max int, wait time.Duration) (Page, error)
}

// InstanceState is the last state of an instance that the platform knows.
type InstanceState string

// The states of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a process in the platform's list: one of knapweedweir or an upstream
// runner.
type Instance struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	Zone    string        `json:"zone"`
	Rack    string        `json:"rack"`
	State   InstanceState `json:"state"`
}

// Instances is the platform's list of instances. It lags behind their actual state.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// Resources is an amount of the resources that workers provide and tasks need.
type Resources struct {
	// MilliCPU is processors in thousandths: 1500 is one and a half.
	MilliCPU int64 `json:"milliCpu"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{n * r.MilliCPU, n * r.MemoryMiB, n * r.Accelerators}
}

// Fits reports whether free is enough for r.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}

// Worker is one machine that runs tasks.
type Worker struct {
	ID       string    `json:"id"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack"`
	Capacity Resources `json:"capacity"`
}

// WorkerList is one version of the platform's list of workers.
type WorkerList struct {
	Version uint64   `json:"version"`
	Workers []Worker `json:"workers"`
}

// Task is one attempt to run a task at a worker.
type Task struct {
	// ID is unique for each attempt. Starting the same ID again has no effect.
	ID string `json:"id"`
	// Labels are stored by the worker and returned in its reports, so that a new
	// owner can identify the task without another store.
	Labels  map[string]string `json:"labels,omitempty"`
	Need    Resources         `json:"need,omitzero"`
	Payload []byte            `json:"payload,omitempty"`
}

// Reported returns the task as it appears in a report, which may be partial.
func (t Task) Reported(partial bool) Task {
	if partial {
		return Task{ID: t.ID}
	}
	t.Payload = nil
	return t
}

// TaskState is the state of a task at its worker.
type TaskState string

// The states of a task at its worker.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// Ended reports whether a task in this state has stopped using its worker.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is the state of one task as a worker reports it. Ended tasks stay in the
// reports until the owner requests the worker to forget them.
//
// A report of all tasks contains each task without its payload. A partial report
// contains only the ID, as the owner knows the rest.
type TaskReport struct {
	Task    Task      `json:"task"`
	State   TaskState `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Usage   Resources `json:"usage,omitzero"`
	RunTime int64     `json:"runMillis"`
}

// SyncRequest renews a worker's lease and sends it orders: Starts, Stops,
// Checkpoints, Throttles and Forgets. A worker rejects a request whose token is
// older than the newest that it has seen, or whose sequence number is not newer than
// the last one with the same token, so that orders that arrive late have no effect.
type SyncRequest struct {
	// Token is the fencing token: the log offset of the owner's claim.
	Token Offset `json:"token"`
	// Sequence increases with each request with the same token.
	Sequence uint64 `json:"sequence"`
	// Boot is the value from the worker's last reply. A worker with another Boot
	// ignores AsOf and Starts: they were for the machine that it has replaced, which
	// had another clock and other tasks.
	Boot uint64 `json:"boot,omitempty"`
	// AsOf is the Reading from the worker's last reply. The lease lasts LeaseMillis
	// from that time on the worker's clock, so that a delayed renewal can't extend
	// the lease beyond the expiry that its sender assumes.
	AsOf int64 `json:"asOf"`
	// Known is the Change from the last reply that the owner has processed. The reply
	// then lists only the tasks that changed after it; 0 requests all.
	Known uint64 `json:"known,omitempty"`
	// WaitMillis makes the request a long poll: the worker may delay a reply that
	// would list no tasks until a task changes or a request with a newer sequence
	// number arrives, at most for this time.
	WaitMillis  int64    `json:"waitMillis,omitempty"`
	LeaseMillis int64    `json:"leaseMillis"`
	Starts      []Task   `json:"starts,omitempty"`
	Stops       []string `json:"stops,omitempty"`
	Checkpoints []string `json:"checkpoints,omitempty"`
	Throttles   []string `json:"throttles,omitempty"`
	Forgets     []string `json:"forgets,omitempty"`
}

// SyncReply is a worker's response to a SyncRequest.
type SyncReply struct {
	// Refused is the reason why the worker rejected the request; empty if it did not.
	Refused string `json:"refused,omitempty"`
	// Token is the newest fencing token the worker has seen.
	Token Offset `json:"token"`
	// Boot identifies a start of the worker: it is new each time that the worker starts
	// without tasks.
	Boot uint64 `json:"boot,omitempty"`
	// UpMillis is the time since that start. A machine that the worker has replaced,
	// but that was only disconnected, may run its tasks until its lease expires.
	UpMillis int64 `json:"upMillis,omitempty"`
	// Change counts the starts and ends of tasks on this machine.
	Change uint64 `json:"change,omitempty"`
	// Partial says that Tasks contains only the tasks that changed after the
	// request's Known.
	Partial bool         `json:"partial,omitempty"`
	Reading int64        `json:"reading"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// Workers gives access to the workers of the cell.
type Workers interface {
	// List returns the workers if the list is newer than the given version,
	// and an empty list at the same version otherwise.
	List(ctx context.Context, since uint64) (WorkerList, error)
	// Sync sends a request to one worker. After an error, the request may
	// nevertheless have taken effect.
	Sync(ctx context.Context, worker string, req SyncRequest) (SyncReply, error)
}
