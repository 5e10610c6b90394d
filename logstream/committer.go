package logstream

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Errors that resolve a proposal whose record was not read back.
var (
	// ErrLogDown means that the record was never sent and will have no effect.
	ErrLogDown = errors.New("the log is unavailable; nothing was accepted")
	// ErrOutcomeUnknown means that the record was sent and not yet read back:
	// it may still take effect.
	ErrOutcomeUnknown = errors.New("the log did not confirm in time; the change may still take effect")
	// ErrLost means that a later record of this writer was read back first:
	// the record will never take effect.
	ErrLost = errors.New("the record was lost; nothing was accepted")
)

// CommitterConfig configures a committer.
type CommitterConfig struct {
	Writer      string
	Incarnation uint64
	// MaxBatch is the largest number of records in one append.
	MaxBatch int
	// MinInterval is the shortest time between two appends; it limits this
	// instance's append rate.
	MinInterval time.Duration
	// RetryAfter is how long an append may stay unconfirmed before it is
	// repeated.
	RetryAfter time.Duration
	// GiveUp is how long a proposal may wait before it is resolved with an error.
	GiveUp time.Duration
	// Budget is the limit of appends per second of all instances together; zero
	// means no limit.
	Budget float64
}

// budgetBurst is the burst size of the rate limiter: the number of appends that an
// instance may make at once after a pause, so that a single claim or change does
// not wait for the budget.
const budgetBurst = 4

// Causes of appends that are not record kinds.
const (
	CauseRepeat   = "repeat"
	CauseSnapshot = "snapshot"
)

// Resolution is the final result of a proposal.
type Resolution struct {
	Ticket  uint64
	Err     error
	Outcome Outcome
}

type proposal struct {
	ticket     uint64
	rec        Record
	proposedAt time.Duration
	answered   bool
}

// Committer batches proposals into appends, one in flight at a time, and resolves
// each proposal when its record has been read back from the log and applied. It
// is a state machine without I/O: the caller does the appends that it returns.
// Times are readings of the caller's monotonic clock.
type Committer struct {
	cfg            CommitterConfig
	sequence       uint64
	queued         []*proposal
	inflight       []*proposal
	sentAt         time.Duration
	lastAppendAt   time.Duration
	appended       bool
	down           bool
	limiter        *rate.Limiter
	causes         map[string]uint64
	throttledCount uint64
	throttled      bool
	lastCause      string
}

// NewCommitter returns a committer without proposals.
func NewCommitter(cfg CommitterConfig) *Committer {
	return &Committer{cfg: cfg, causes: map[string]uint64{}, limiter: rate.NewLimiter(instanceLimit(cfg.Budget, 1), budgetBurst)}
}

// SetInstances divides the append budget by the number of instances.
func (c *Committer) SetInstances(now time.Duration, n int) {
	if limit := instanceLimit(c.cfg.Budget, n); limit != c.limiter.Limit() {
		c.limiter.SetLimitAt(limiterTime(now), limit)
	}
}

func instanceLimit(budget float64, n int) rate.Limit {
	if budget <= 0 {
		return rate.Inf
	}
	return rate.Limit(budget / float64(max(n, 1)))
}

// AppendRate is the mean number of appends per second that this instance may make.
func (c *Committer) AppendRate() float64 { return float64(c.limiter.Limit()) }

// limiterTime converts a reading of the monotonic clock to a time for the limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// Appends is the number of appends issued so far.
func (c *Committer) Appends() uint64 {
	var n uint64
	for _, k := range c.causes {
		n += k
	}
	return n
}

// Causes returns the number of appends by cause: the kind of the batch's first
// record, CauseRepeat or CauseSnapshot.
func (c *Committer) Causes() map[string]uint64 { return maps.Clone(c.causes) }

// LastCause is the cause of the newest append.
func (c *Committer) LastCause() string { return c.lastCause }

// ThrottledCount is how often an append had to wait for the budget.
func (c *Committer) ThrottledCount() uint64 { return c.throttledCount }

// CountExternal counts appends that were made without the committer.
func (c *Committer) CountExternal(cause string, n int) { c.causes[cause] += uint64(n) }

// Pending returns the numbers of proposals that are queued and in flight.
func (c *Committer) Pending() (queued, inflight int) { return len(c.queued), len(c.inflight) }

// SetDown sets whether the log is unavailable. If it is, proposals that were
// never sent are resolved with ErrLogDown, and those in flight, whose outcome
// can't be known now, with ErrOutcomeUnknown. The latter stay in flight: once the
// log is available again they are repeated until a record that is read back shows
// whether the log contains them.
func (c *Committer) SetDown(down bool) []Resolution {
	c.down = down
	if !down {
		return nil
	}
	res := make([]Resolution, 0, len(c.queued)+len(c.inflight))
	for _, p := range c.queued {
		res = append(res, Resolution{Ticket: p.ticket, Err: ErrLogDown})
	}
	c.queued = nil
	for _, p := range c.inflight {
		if !p.answered {
			p.answered = true
			res = append(res, Resolution{Ticket: p.ticket, Err: ErrOutcomeUnknown})
		}
	}
	return res
}

// Propose queues a record. It fails immediately while the log is unavailable.
func (c *Committer) Propose(now time.Duration, ticket uint64, kind Kind, body any) error {
	if c.down {
		return ErrLogDown
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	rec := Record{Version: FormatVersion, Kind: kind, Writer: c.cfg.Writer, Incarnation: c.cfg.Incarnation, Body: data}
	c.queued = append(c.queued, &proposal{ticket: ticket, rec: rec, proposedAt: now})
	return nil
}

// Step advances the time. It returns the batch to append now, if any, and the
// proposals that are resolved because they waited too long.
func (c *Committer) Step(now time.Duration) (batch [][]byte, res []Resolution) {
	res = c.expireWaits(now)
	if c.appended && now-c.lastAppendAt < c.cfg.MinInterval {
		return nil, res
	}
	if len(c.inflight) > 0 {
		if now-c.sentAt < c.cfg.RetryAfter || !c.takeBudget(now) {
			return nil, res
		}
		return c.send(now, CauseRepeat), res
	}
	if len(c.queued) == 0 || !c.takeBudget(now) {
		return nil, res
	}
	n := min(len(c.queued), c.cfg.MaxBatch)
	c.inflight, c.queued = c.queued[:n:n], append([]*proposal(nil), c.queued[n:]...)
	for _, p := range c.inflight {
		c.sequence++
		p.rec.Sequence = c.sequence
	}
	return c.send(now, string(c.inflight[0].rec.Kind)), res
}

// takeBudget takes one append from the budget. Proposals that arrive while the
// budget is exhausted go into the same batch: the limit delays records and drops
// none.
func (c *Committer) takeBudget(now time.Duration) bool {
	ok := c.limiter.AllowN(limiterTime(now), 1)
	if !ok && !c.throttled {
		c.throttledCount++
	}
	c.throttled = !ok
	return ok
}

func (c *Committer) send(now time.Duration, cause string) [][]byte {
	batch := make([][]byte, 0, len(c.inflight))
	for _, p := range c.inflight {
		// The body was encoded when it was proposed, so this can't fail.
		data, _ := p.rec.Encode()
		batch = append(batch, data)
	}
	c.appended, c.sentAt, c.lastAppendAt = true, now, now
	c.causes[cause]++
	c.lastCause = cause
	return batch
}

// expireWaits resolves proposals that have waited too long. Records in flight stay
// in flight: only reading back the record, or a later one, shows whether it took
// effect.
func (c *Committer) expireWaits(now time.Duration) []Resolution {
	var res []Resolution
	for len(c.queued) > 0 && now-c.queued[0].proposedAt >= c.cfg.GiveUp {
		res = append(res, Resolution{Ticket: c.queued[0].ticket, Err: ErrLogDown})
		c.queued = c.queued[1:]
	}
	for _, p := range c.inflight {
		if !p.answered && now-p.proposedAt >= c.cfg.GiveUp {
			p.answered = true
			res = append(res, Resolution{Ticket: p.ticket, Err: ErrOutcomeUnknown})
		}
	}
	return res
}

// ReadBack handles a record that the view has applied or rejected, and returns
// the resolutions of the proposals that this decides.
func (c *Committer) ReadBack(out Outcome) []Resolution {
	if out.Record.Writer != c.cfg.Writer || out.Record.Incarnation != c.cfg.Incarnation {
		return nil
	}
	var res []Resolution
	for len(c.inflight) > 0 && c.inflight[0].rec.Sequence <= out.Record.Sequence {
		p := c.inflight[0]
		c.inflight = c.inflight[1:]
		if p.answered {
			continue
		}
		r := Resolution{Ticket: p.ticket, Outcome: out, Err: out.Err}
		if p.rec.Sequence < out.Record.Sequence {
			r = Resolution{Ticket: p.ticket, Err: ErrLost}
		}
		res = append(res, r)
	}
	return res
}

// HandleRestore handles a restore of the view from a snapshot that contains this
// writer's records up to a position. Records up to there were processed, but
// whether they were accepted or rejected is not known here.
func (c *Committer) HandleRestore(own Position) []Resolution {
	if own.Incarnation != c.cfg.Incarnation {
		return nil
	}
	var res []Resolution
	for len(c.inflight) > 0 && c.inflight[0].rec.Sequence <= own.Sequence {
		p := c.inflight[0]
		c.inflight = c.inflight[1:]
		if !p.answered {
			res = append(res, Resolution{Ticket: p.ticket, Err: ErrOutcomeUnknown})
		}
	}
	return res
}
