package pool

import "time"

// Event is an input of a Core.
type Event interface{ event() }

// JobStored reports that the store holds a job.
type JobStored struct {
	Job Job
	// Inherited marks jobs that were stored before the owner took over, so that a predecessor
	// may have started tasks of them.
	Inherited bool
}

// ProgressStored restores a job's progress as stored by a predecessor.
type ProgressStored struct {
	Job      string
	Progress Progress
}

// CancelStored reports that the store holds the cancellation of a job.
type CancelStored struct{ Job string }

// QueuesChanged replaces the policies of all queues.
type QueuesChanged struct{ Queues map[string]Queue }

// WorkerInfo is a worker's description of itself.
type WorkerInfo struct {
	ID string
	// Born is when this incarnation of the worker started, in Unix milliseconds; 0: unknown. A worker
	// that starts again under its ID has a higher one.
	Born     int64
	Addr     string
	Service  string
	Zone     string
	Rack     string
	Kind     string
	Labels   []string
	Capacity Resources
	Draining bool
}

// WorkersListed replaces the list of workers.
type WorkersListed struct {
	Workers []WorkerInfo
	// AsOf is a time such that the list includes everything that workers reported before it; 0:
	// unknown.
	AsOf time.Duration
}

// TrackedWorkersStored restores the list of workers on which a predecessor may have started
// tasks.
type TrackedWorkersStored struct {
	Workers []TrackedWorker
	// Part is the part of the list that Workers is; empty: the list isn't in parts.
	Part string
}

// SilenceStored restores a predecessor's silence record: the only tasks that may run on a
// silent worker.
type SilenceStored struct {
	Worker string
	Tasks  []SilentTask
}

// Outcome is the result of a call to a worker.
type Outcome int

// The outcomes of a call.
const (
	// OK: the worker carried out the call.
	OK Outcome = iota
	// NoAnswer: the call may have been carried out, or may still be, seconds later.
	NoAnswer
	// Fenced: the worker has seen a higher token, of a newer owner or, in a later call, of this one.
	Fenced
	// WrongIncarnation: another incarnation of the worker answers at the address. The
	// addressed one has ended with all its runs.
	WrongIncarnation
	// Stale: the worker has already stopped or ended this run or a later one.
	Stale
	// DeadlinePassed: the call arrived after its own deadline.
	DeadlinePassed
	// NoRoom: the worker doesn't have enough free capacity for the task.
	NoRoom
	// InvalidTicket: the call lacks a valid ticket for the step.
	InvalidTicket
	// Unhealthy: the worker is unhealthy and did nothing.
	Unhealthy
	// Rejected: the worker considers the call malformed.
	Rejected
	// NotSent: there was no connection, so the start can't be carried out.
	NotSent
)

// String returns the name of an outcome for logs.
func (o Outcome) String() string {
	return [...]string{"ok", "no answer", "fenced", "other life", "old", "late", "no room", "bad ticket", "unhealthy", "rejected", "not sent"}[o]
}

// ActiveRun is an entry of a worker's list of active runs.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string
	Percent    int
	// Usage is the tail latency of a serving task in milliseconds, and the CPU use of any
	// other task in thousandths of a core.
	Usage int
}

// EndReason is the way in which a run ended.
type EndReason int

// The reasons why a run ended.
const (
	Done EndReason = iota
	RunFailed
	Stopped
	LeaseExpired
	// GangBroken: another member of the gang's run ended without being done.
	GangBroken
	// GangIncomplete: the other members of the gang didn't start in time.
	GangIncomplete
	// EndedUnknown is a reason that this version doesn't know. The run is over, and its task
	// isn't known to be done.
	EndedUnknown
)

// EndedRun is an entry of a worker's list of ended runs that weren't acknowledged yet.
type EndedRun struct {
	Number     uint64 // increases with each end of one incarnation of the worker
	Task       TaskID
	Run        int
	How        EndReason
	Checkpoint string
}

// HoldAnswered is the answer to a Hold.
type HoldAnswered struct {
	Worker string
	Addr   string // as in the Hold; empty: unknown
	Token  uint64 // as in the Hold; 0: unknown
	SentAt time.Duration
	// ReceivedAt is when the answer arrived; 0: just now.
	ReceivedAt time.Duration
	Outcome    Outcome
	// Born is the incarnation that answered; 0: unknown.
	Born    int64
	ClockMs int64
	Active  []ActiveRun
	Ended   []EndedRun
	// Truncated is set if the worker has more ends than it listed.
	Truncated bool
	// Unreadable is the error because of which some entries are missing, or the whole answer;
	// nil if nothing is missing.
	Unreadable error
}

// StartAnswered is the answer to a Start.
type StartAnswered struct {
	Worker string
	Addr   string // as in the Start; empty: unknown
	Token  uint64 // as in the Start; 0: unknown
	// SentAt and DeadlineMs are as in the Start.
	SentAt     time.Duration
	DeadlineMs int64
	Task       TaskID
	Run        int
	Outcome    Outcome
	ClockMs    int64 // the time of the worker's clock in milliseconds; 0: unknown
}

// StopAnswered is the answer to a Stop.
type StopAnswered struct {
	Worker  string
	Addr    string // as in the Stop; empty: unknown
	Born    int64  // as in the Stop
	Token   uint64 // as in the Stop; 0: unknown
	Task    TaskID
	Run     int
	Outcome Outcome
}

// Ticket permits the start of a step's tasks on one worker.
type Ticket struct {
	Worker string
	Ticket string
}

// Advised is the answer to an Advise: Asked are the workers that the request listed, and Good
// holds the tickets for those that may run the step. Failed is set if there was no usable
// answer.
type Advised struct {
	Step     StepID
	Asked    []string
	Good     []Ticket
	Validity time.Duration
	Failed   bool
	// Unreadable is the error because of which some entries are missing; nil if none are.
	Unreadable error
}

// Saved confirms that the store holds a Save and all before it.
type Saved struct{ Seq uint64 }

// Tick reports the passage of time.
type Tick struct{ UnixMs int64 }

func (JobStored) event()            {}
func (ProgressStored) event()       {}
func (CancelStored) event()         {}
func (QueuesChanged) event()        {}
func (WorkersListed) event()        {}
func (TrackedWorkersStored) event() {}
func (SilenceStored) event()        {}
func (HoldAnswered) event()         {}
func (StartAnswered) event()        {}
func (StopAnswered) event()         {}
func (Advised) event()              {}
func (Saved) event()                {}
func (Tick) event()                 {}

// Action is an output of a Core, to be carried out by its caller.
type Action interface{ action() }

// Hold is a long poll that renews the leases of all runs on a worker, acknowledges ends and
// returns the active runs. The worker answers when a new end is listed, or after Wait.
type Hold struct {
	Worker, Addr string
	// Born is the incarnation that is expected to answer; 0: unknown.
	Born  int64
	Token uint64
	Ack   uint64
	// DeadlineMs is the end of the lease on the worker's clock; 0 leaves the lease unchanged.
	DeadlineMs int64
	Wait       time.Duration
	SentAt     time.Duration
}

// Start starts a run of a task.
type Start struct {
	Worker, Addr string
	Token        uint64
	Task         TaskID
	Run          int
	Payload      string
	DeadlineMs   int64
	Checkpoint   string
	Ticket       string
	// SentAt is when it was issued; it may wait before it goes out, but not beyond NotAfter; 0: as long as it takes.
	SentAt, NotAfter time.Duration
}

// Answered returns the answer to the start, with the time of the worker's clock in milliseconds; 0: unknown.
func (s Start) Answered(outcome Outcome, clockMs int64) StartAnswered {
	return StartAnswered{Worker: s.Worker, Addr: s.Addr, Token: s.Token, SentAt: s.SentAt, DeadlineMs: s.DeadlineMs, Task: s.Task, Run: s.Run,
		Outcome: outcome, ClockMs: clockMs}
}

// startOverhead is the approximate size of a start on the wire without its payload, in bytes:
// names, headers and connection setup.
const startOverhead = 500

// Size returns the approximate size of the start on the wire, in bytes.
func (s Start) Size() int { return startSize(s.Payload) }

func startSize(payload string) int { return startOverhead + len(payload) }

// Stop stops a run, or makes sure that it never starts.
type Stop struct {
	Worker, Addr string
	// Born is the incarnation for which the stop is meant; 0: unknown.
	Born  int64
	Token uint64
	Task  TaskID
	Run   int
}

// Pace limits the speed of a run to a percentage.
type Pace struct {
	Worker, Addr string
	Token        uint64
	Task         TaskID
	Run          int
	Percent      int
}

// Advise asks the advice service which workers may run a step.
type Advise struct {
	Step    StepID
	Workers []string
	// Cost is the expected processing time of the request.
	Cost time.Duration
	// Priority and the fields below determine the order of waiting requests, see AdviceQueue.
	Priority int
	// InTimeUntil and WorthUntil are the latest times, on the owner's clock, at which the
	// job's remaining work has to start for the job to meet its objective, and to be worth
	// anything.
	InTimeUntil, WorthUntil time.Duration
	// Lasting marks steps that run until their job is cancelled. They are never late.
	Lasting bool
	// BeyondWeight marks steps of jobs that were submitted beyond their organisation's weight.
	BeyondWeight bool
	// Organisation submitted the job; empty: none that is configured. Weight is its weight relative to the
	// mean one.
	Organisation string
	Weight       float64
	// Started is set if a task of the job has started, and Work the remaining work of such a job in
	// core-seconds by its estimate.
	Started bool
	Work    float64
}

// isOnTimeAt reports whether the job can meet its objective if the answer arrives at the given time.
func (a Advise) isOnTimeAt(now time.Duration) bool { return a.Lasting || now <= a.InTimeUntil }

// TierAt returns the tier of the job if the answer arrives at the given time.
func (a Advise) TierAt(now time.Duration) Tier {
	switch {
	case a.BeyondWeight && now <= a.WorthUntil:
		return BeyondWeight
	case a.isOnTimeAt(now) || a.Started && now <= a.WorthUntil:
		return OnTime
	case now <= a.WorthUntil:
		return PastDue
	}
	return Worthless
}

// Record is a key and its value in the store. A record without a value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// RecordOverhead is the number of bytes that an append takes for each record, in addition to its size.
const RecordOverhead = 4

// Size returns the size of the record as the store counts it, in bytes: with the length of its key.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// Save stores records after those of every earlier Save. If they don't fit into one append, they are stored in
// several, in their order.
type Save struct {
	Seq     uint64
	Records []Record
	// HoldsStarts is set if starts wait for the save.
	HoldsStarts bool
}

// Deposed reports that this owner must end, and why.
type Deposed struct{ Reason string }

// WorkerRemoved reports that a worker won't be called again.
type WorkerRemoved struct{ Worker string }

// LogEntry is a scheduling decision to be logged.
type LogEntry struct {
	Event  string
	Job    string
	Task   *TaskID
	Run    int
	Worker string
	// Incarnation is that of the worker, see WorkerInfo.Born; 0: unknown.
	Incarnation int64
	// Workers is the number of workers that an advice request lists, or that its answer
	// allows.
	Workers int
	// Runs is the number of runs that were lost with a worker.
	Runs int
	// Steps is the number of steps that wait for the same reason.
	Steps  int
	Reason string
	// Crashes is the number of workers that crashed in a row under the task.
	Crashes int
	// Waited is how long the task's step had been ready at a start or an advice request, or
	// how long the request took at its answer.
	Waited time.Duration
	// Organisation is the one that an entry is about; empty: jobs without one. Used is the fraction of the
	// pool that it uses or claims, and Share its share by weight.
	Organisation string
	Used, Share  float64
}

func (Hold) action()          {}
func (Start) action()         {}
func (Stop) action()          {}
func (Pace) action()          {}
func (Advise) action()        {}
func (Save) action()          {}
func (Deposed) action()       {}
func (LogEntry) action()      {}
func (WorkerRemoved) action() {}
