package logstream

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Errors a proposal can end with without a ruling of the view.
var (
	// ErrLogDown means the record was never sent: it has had and will have
	// no effect.
	ErrLogDown = errors.New("the log is unavailable; nothing was accepted")
	// ErrOutcomeUnknown means the record was sent and not yet read back: it
	// may still take effect.
	ErrOutcomeUnknown = errors.New("the log did not confirm in time; the change may still take effect")
	// ErrLost means that a later record of this writer was read back first:
	// the record will never take effect.
	ErrLost = errors.New("the record was lost; nothing was accepted")
)

// CommitterConfig bounds the committer.
type CommitterConfig struct {
	Writer      string
	Incarnation uint64
	// MaxBatch is the largest number of records in one append.
	MaxBatch int
	// MinInterval is the shortest time between two appends; it caps this
	// instance's share of the log's append rate.
	MinInterval time.Duration
	// RetryAfter is how long an append may go unconfirmed before it is
	// repeated.
	RetryAfter time.Duration
	// GiveUp is how long a proposal waits before its proposer is answered.
	GiveUp time.Duration
	// Budget is how many appends a second all instances together may make; zero
	// means no bound.
	Budget float64
}

// budgetBurst is how many appends an instance may make at once after a pause,
// so that a single claim or change does not wait for its turn in the budget.
const budgetBurst = 4

// Causes of appends that are not the kind of a record.
const (
	CauseRepeat   = "repeat"
	CauseSnapshot = "snapshot"
)

// Resolution ends a proposal.
type Resolution struct {
	Ticket  uint64
	Err     error
	Outcome Outcome
}

type proposal struct {
	ticket   uint64
	rec      Record
	since    time.Duration
	answered bool
}

// Committer batches proposals into appends, one in flight at a time, and
// resolves each by the ruling read back from the log. It is a step machine
// without I/O: the caller carries out the appends it returns. Times are
// readings of the caller's monotonic clock.
type Committer struct {
	cfg       CommitterConfig
	sequence  uint64
	queued    []*proposal
	inflight  []*proposal
	sentAt    time.Duration
	lastStart time.Duration
	started   bool
	down      bool
	limiter   *rate.Limiter
	causes    map[string]uint64
	heldBack  uint64
	holding   bool
	lastCause string
}

// NewCommitter returns a committer without proposals.
func NewCommitter(cfg CommitterConfig) *Committer {
	return &Committer{cfg: cfg, causes: map[string]uint64{}, limiter: rate.NewLimiter(share(cfg.Budget, 1), budgetBurst)}
}

// SetInstances divides the budget of appends by the number of instances.
func (c *Committer) SetInstances(now time.Duration, n int) {
	if limit := share(c.cfg.Budget, n); limit != c.limiter.Limit() {
		c.limiter.SetLimitAt(at(now), limit)
	}
}

func share(budget float64, n int) rate.Limit {
	if budget <= 0 {
		return rate.Inf
	}
	return rate.Limit(budget / float64(max(n, 1)))
}

// Share is how many appends a second this instance may make on average.
func (c *Committer) Share() float64 { return float64(c.limiter.Limit()) }

// at makes a reading of the monotonic clock a time for the limiter.
func at(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// Appends is the number of appends issued so far.
func (c *Committer) Appends() uint64 {
	var n uint64
	for _, k := range c.causes {
		n += k
	}
	return n
}

// Causes is the number of appends by cause: the kind of the batch's first
// record, CauseRepeat or CauseSnapshot.
func (c *Committer) Causes() map[string]uint64 { return maps.Clone(c.causes) }

// LastCause is the cause of the newest append.
func (c *Committer) LastCause() string { return c.lastCause }

// HeldBack is how often an append had to wait for its share of the budget.
func (c *Committer) HeldBack() uint64 { return c.heldBack }

// Count notes appends that were made without the committer.
func (c *Committer) Count(cause string, n int) { c.causes[cause] += uint64(n) }

// Pending is the number of proposals queued and in flight.
func (c *Committer) Pending() (queued, inflight int) { return len(c.queued), len(c.inflight) }

// SetDown tells the committer whether the log is known to be unavailable. While
// it is, proposals that were never sent are resolved with ErrLogDown, and those
// in flight, whose outcome nobody can learn now, with ErrOutcomeUnknown. The
// latter stay in flight: once the log is back they are repeated until a record
// read back tells whether they are in it.
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

// Propose queues a record. It fails at once while the log is down.
func (c *Committer) Propose(now time.Duration, ticket uint64, kind Kind, body any) error {
	if c.down {
		return ErrLogDown
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	rec := Record{Version: FormatVersion, Kind: kind, Writer: c.cfg.Writer, Incarnation: c.cfg.Incarnation, Body: data}
	c.queued = append(c.queued, &proposal{ticket: ticket, rec: rec, since: now})
	return nil
}

// Step advances time. It returns the batch to append now, if any, and the
// proposals whose proposers must be answered.
func (c *Committer) Step(now time.Duration) (batch [][]byte, res []Resolution) {
	res = c.giveUp(now)
	if c.started && now-c.lastStart < c.cfg.MinInterval {
		return nil, res
	}
	if len(c.inflight) > 0 {
		if now-c.sentAt < c.cfg.RetryAfter || !c.allowed(now) {
			return nil, res
		}
		return c.send(now, CauseRepeat), res
	}
	if len(c.queued) == 0 || !c.allowed(now) {
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

// allowed takes an append from the budget. Everything that waits meanwhile goes
// into the same batch: the cap costs waiting time, never records.
func (c *Committer) allowed(now time.Duration) bool {
	ok := c.limiter.AllowN(at(now), 1)
	if !ok && !c.holding {
		c.heldBack++
	}
	c.holding = !ok
	return ok
}

func (c *Committer) send(now time.Duration, cause string) [][]byte {
	batch := make([][]byte, 0, len(c.inflight))
	for _, p := range c.inflight {
		// The body was encoded when it was proposed, so this can't fail.
		data, _ := p.rec.Encode()
		batch = append(batch, data)
	}
	c.started, c.sentAt, c.lastStart = true, now, now
	c.causes[cause]++
	c.lastCause = cause
	return batch
}

// giveUp answers proposers that have waited too long. Records in flight stay
// there: only reading one back, or a later one, tells what became of it.
func (c *Committer) giveUp(now time.Duration) []Resolution {
	var res []Resolution
	for len(c.queued) > 0 && now-c.queued[0].since >= c.cfg.GiveUp {
		res = append(res, Resolution{Ticket: c.queued[0].ticket, Err: ErrLogDown})
		c.queued = c.queued[1:]
	}
	for _, p := range c.inflight {
		if !p.answered && now-p.since >= c.cfg.GiveUp {
			p.answered = true
			res = append(res, Resolution{Ticket: p.ticket, Err: ErrOutcomeUnknown})
		}
	}
	return res
}

// ReadBack tells the committer of a record the view has ruled on. The returned
// resolutions end the proposals that it decides.
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

// Jumped tells the committer that the view jumped to a snapshot that holds this
// writer's records up to a position. Records up to there were ruled on, but the
// rulings were not seen here.
func (c *Committer) Jumped(own Position) []Resolution {
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
