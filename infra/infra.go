// Package infra declares what knapweedweir needs of the platform it runs
// on: an append-only log, workers that run tasks under leases, and a lagging
// list of instances. The promises behind each method are written down in
// docs/PLATFORM.md.
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

// Page is the answer to one read of a log stream.
type Page struct {
	Entries []Entry `json:"entries"`
	// First is the oldest offset the stream still keeps.
	First Offset `json:"first"`
	// Tail is the newest offset of the stream when the read was answered.
	Tail Offset `json:"tail"`
}

// ErrExpired is returned by Log.Read when records after the requested offset
// are no longer kept. The page returned with it says in First and Tail which
// are. The reader has to rebuild from a snapshot.
var ErrExpired = errors.New("log records have expired")

// Log is the platform's append-only log. It orders the records of a stream
// totally, keeps them for a limited time, and may be unavailable.
type Log interface {
	// Append adds records to a stream, in order and next to each other. An
	// error says nothing about the outcome: the records may be in the stream
	// all the same.
	Append(ctx context.Context, stream string, records [][]byte) error
	// Read returns up to max records after the given offset. When there are
	// none it waits for one, at most the given time.
	Read(ctx context.Context, stream string, after Offset, max int, wait time.Duration) (Page, error)
}

// InstanceState is what the platform last knew of an instance.
type InstanceState string

// The states of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a process the platform lists: one of ours or an upstream runner.
type Instance struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	Zone    string        `json:"zone"`
	Rack    string        `json:"rack"`
	State   InstanceState `json:"state"`
}

// Instances is the platform's list of instances. It lags behind the truth.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// Resources is an amount of what a worker has and a task needs.
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

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns r taken n times.
func (r Resources) Times(n int64) Resources {
	return Resources{n * r.MilliCPU, n * r.MemoryMiB, n * r.Accelerators}
}

// Fits reports whether r can be taken from free.
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

// WorkerList is the platform's list of workers at a version.
type WorkerList struct {
	Version uint64   `json:"version"`
	Workers []Worker `json:"workers"`
}

// Task is what a worker is asked to run.
type Task struct {
	// ID is unique for each attempt; starting the same ID twice starts it once.
	ID string `json:"id"`
	// Labels are kept by the worker and reported back with the task, so that
	// a new owner learns what the task is without any other store.
	Labels  map[string]string `json:"labels,omitempty"`
	Need    Resources         `json:"need,omitzero"`
	Payload []byte            `json:"payload,omitempty"`
}

// Reported returns the task as a report repeats it.
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

// TaskReport is what a worker says of one task. Ended tasks stay in the report
// until the owner asks the worker to forget them.
//
// A report of all tasks repeats each task without its payload. A partial report
// repeats only the ID, as the owner knows the rest.
type TaskReport struct {
	Task    Task      `json:"task"`
	State   TaskState `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Usage   Resources `json:"usage,omitzero"`
	RunTime int64     `json:"runMillis"`
}

// SyncRequest renews a worker's lease and gives it orders. A worker refuses a
// request whose token is older than the newest it has seen, and one whose
// sequence is not newer than the last under the same token, so an order that
// arrives late can't take effect.
type SyncRequest struct {
	// Token is the fencing token: the log offset of the owner's claim.
	Token Offset `json:"token"`
	// Sequence grows with each request under one token.
	Sequence uint64 `json:"sequence"`
	// Boot repeats that of the worker's last reply. A worker with another Boot
	// ignores AsOf and Starts: they were meant for the machine it has replaced,
	// whose clock and tasks are not its own.
	Boot uint64 `json:"boot,omitempty"`
	// AsOf repeats the reading of the worker's last reply. The lease runs
	// LeaseMillis from that reading, on the worker's clock, so a delayed
	// renewal never extends the lease past what its sender counted.
	AsOf int64 `json:"asOf"`
	// Known repeats the Change of the last reply that the owner took in. The
	// reply then lists only the tasks that changed after it; 0 asks for all.
	Known uint64 `json:"known,omitempty"`
	// WaitMillis lets the worker hold a reply that would list nothing back until
	// a task changes or a request with a newer sequence arrives, at most this
	// long.
	WaitMillis  int64    `json:"waitMillis,omitempty"`
	LeaseMillis int64    `json:"leaseMillis"`
	Starts      []Task   `json:"starts,omitempty"`
	Stops       []string `json:"stops,omitempty"`
	Checkpoints []string `json:"checkpoints,omitempty"`
	Throttles   []string `json:"throttles,omitempty"`
	Forgets     []string `json:"forgets,omitempty"`
}

// SyncReply is a worker's answer to a SyncRequest.
type SyncReply struct {
	// Refused says why the worker did nothing; empty when it obeyed.
	Refused string `json:"refused,omitempty"`
	// Token is the newest fencing token the worker has seen.
	Token Offset `json:"token"`
	// Boot is chosen anew each time the worker starts with nothing running.
	Boot uint64 `json:"boot,omitempty"`
	// UpMillis is how long ago that was. The machine before it, if it was only
	// cut off, may run its tasks until its lease lapses.
	UpMillis int64 `json:"upMillis,omitempty"`
	// Change counts the changes of tasks on this machine: starts and ends.
	Change uint64 `json:"change,omitempty"`
	// Partial says that Tasks holds only what changed after the request's Known.
	Partial bool         `json:"partial,omitempty"`
	Reading int64        `json:"reading"`
	Tasks   []TaskReport `json:"tasks,omitempty"`
}

// Workers reaches the workers of the cell.
type Workers interface {
	// List returns the workers if the list is newer than the given version,
	// and an empty list at the same version otherwise.
	List(ctx context.Context, since uint64) (WorkerList, error)
	// Sync sends a request to one worker. After an error the request may
	// have taken effect.
	Sync(ctx context.Context, worker string, req SyncRequest) (SyncReply, error)
}
