// Package node runs one instance of the scheduler: it accepts jobs, follows the store, owns the
// pools of workers that it has claimed, and executes the decisions of a pool's core. The interfaces
// through which it uses the store, the workers and the platform are declared here; adapters
// implement them for the platform's protocols.
package node

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// Errors of the store.
var (
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store did nothing")
	// ErrInDoubt means that the outcome is unknown: the store may have done it, or may do it later.
	ErrInDoubt = errors.New("no answer from the store")
	// ErrFenced means that the store has seen a newer writer.
	ErrFenced = errors.New("the store has seen a newer writer")
	// ErrTrimmed means that the requested records are no longer retained.
	ErrTrimmed = errors.New("the records are no longer kept")
)

// SequenceError says which append the store expects next from a writer.
type SequenceError struct{ Expected uint64 }

func (e SequenceError) Error() string { return "the store expects another append" }

// EndError means that the store did nothing, since the stream doesn't end at the offset that an
// append required.
type EndError struct{ End int64 }

func (e EndError) Error() string { return "the stream ends at offset " + strconv.FormatInt(e.End, 10) }

// Topic identifies a stream of keyed records; the newest record of each key is retained.
type Topic struct {
	Name string
	Part int // number of the topic's partition, 0 if it has only one
}

// Writer identifies appends that must take effect once, in order, and only while no newer writer
// has appeared.
type Writer struct {
	Name     string
	Epoch    uint64
	Sequence uint64
}

// Stored is a record with its offset.
type Stored struct {
	Offset int64
	pool.Record
	// Unreadable says why the record can't be decoded; its key may be known, its value isn't. Such
	// a record neither changes state nor deletes anything.
	Unreadable error
}

// PartialError means that some items of a list can't be read; Err is the reason for one of them.
type PartialError struct{ Err error }

func (e PartialError) Error() string { return "some items can't be read: " + e.Err.Error() }

// Unwrap returns the reason for one of the items.
func (e PartialError) Unwrap() error { return e.Err }

// IncompleteError means that an item can be used although something is missing in it.
type IncompleteError struct{ Err error }

func (e IncompleteError) Error() string { return e.Err.Error() }

// Unwrap returns what is missing.
func (e IncompleteError) Unwrap() error { return e.Err }

// Store is the platform's keyed log.
type Store interface {
	// Append stores all records or none, and returns the offset of the first one.
	Append(ctx context.Context, to Topic, records []pool.Record, writer *Writer) (int64, error)
	// AppendAt stores all records or none. If the stream doesn't end at the given offset, it stores
	// none and returns an EndError.
	AppendAt(ctx context.Context, to Topic, records []pool.Record, at int64) (int64, error)
	// Newest returns a page of the newest records of all keys after a key, whether there are more,
	// and the end of the stream.
	Newest(ctx context.Context, from Topic, after string) (page []Stored, more bool, end int64, err error)
	// Read returns the records from an offset on, and the end of the stream. It waits for a record
	// if there is none.
	Read(ctx context.Context, from Topic, offset int64, wait time.Duration) (page []Stored, end int64, err error)
}

// Workers sends requests to workers.
type Workers interface {
	Hold(ctx context.Context, h pool.Hold) pool.HoldAnswered
	Start(ctx context.Context, s pool.Start) pool.StartAnswered
	Stop(ctx context.Context, s pool.Stop) pool.Outcome
	Pace(ctx context.Context, p pool.Pace) pool.Outcome
	// Forget closes the connections to a worker that is gone.
	Forget(worker string)
}

// Advisor sends requests to the advice service.
type Advisor interface {
	Advise(ctx context.Context, a pool.Advise) pool.Advised
}

// Cloud lists machines and takes them down for maintenance.
type Cloud interface {
	// Machines returns all machines, or those that it could read and a PartialError.
	Machines(ctx context.Context) ([]pool.MachineInfo, error)
	// StartMaintenance orders a machine to be taken down for maintenance; holder identifies the
	// requester.
	StartMaintenance(ctx context.Context, holder string, order pool.StartMaintenance) pool.Outcome
}

// Route maps requests by host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  pool.Queue
	// NeedsKey is set if callers have to present a key of an organisation.
	NeedsKey bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Routes  []Route
	// Services are the services that run jobs; each has a pool of workers.
	Services []string
	MaxBody  int64 // bytes
	MaxHead  int64 // size of a request's head in bytes; 0: not set
	// HeadTimeout and IdleTimeout bound how long a caller's connection waits for the end of a head, and
	// for a request; 0: not set.
	HeadTimeout, IdleTimeout time.Duration
	// Organisations are those whose keys callers present, and whose caps hold.
	Organisations organisation.Set
}

// Queues returns the configured queues by name.
func (c *Config) Queues() map[string]pool.Queue {
	queues := map[string]pool.Queue{}
	for _, r := range c.Routes {
		queues[r.Queue.Name] = r.Queue
	}
	return queues
}

// queue returns a queue's configuration.
func (c *Config) queue(name string) (pool.Queue, bool) {
	for _, r := range c.Routes {
		if r.Queue.Name == name {
			return r.Queue, true
		}
	}
	return pool.Queue{}, false
}

// Directory defines where the platform stores its configuration and its list of workers, and how
// they are encoded.
type Directory interface {
	ConfigTopic() Topic
	// DecodeConfig returns nil for a record that holds no configuration.
	DecodeConfig(r pool.Record) (*Config, error)
	// DecodeWave returns nil for a record that requests no maintenance wave.
	DecodeWave(r pool.Record) (*pool.Wave, error)
	// StatusTopic is the topic with the status that operators read.
	StatusTopic() Topic
	// EncodeWave returns the record that shows a wave's status.
	EncodeWave(number int, completed bool) pool.Record
	WorkersTopic() Topic
	// DecodeWorker returns an IncompleteError along with a worker that can be used.
	DecodeWorker(r pool.Record) (pool.WorkerInfo, error)
}
