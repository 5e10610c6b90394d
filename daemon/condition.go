package daemon

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// The conditions that processes report. docs/operate/alerts.md describes what each
// one means and what to do about it.
const (
	ConditionNotReady             = "not_ready"
	ConditionLogDown              = "log_down"
	ConditionSchedulerUnreachable = "scheduler_unreachable"
	ConditionPeerUnreachable      = "peer_unreachable"
	ConditionPlatformUnreachable  = "platform_unreachable"
	ConditionCertificate          = "certificate"
)

// Condition is a problem of a process or of something that it depends on.
type Condition struct {
	Name string `json:"name"`
	// Subject is what is affected, such as the address of a peer; empty for the
	// process itself.
	Subject string    `json:"subject,omitempty"`
	Since   time.Time `json:"since"`
	// Detail is the newest reason.
	Detail string `json:"detail,omitempty"`
}

type conditionKey struct{ name, subject string }

// conditions holds the active conditions. Each one is logged only when it begins and
// when it ends, and not at each attempt: a log that repeats the same line five times
// a second hides other lines.
type conditions struct {
	mu      sync.Mutex
	now     func() time.Time
	log     zerolog.Logger
	metrics tally.Scope
	active  map[conditionKey]Condition
}

func newConditions(log zerolog.Logger, metrics tally.Scope) *conditions {
	return &conditions{now: time.Now, log: log, metrics: metrics, active: map[conditionKey]Condition{}}
}

func (c *conditions) set(name, subject string, holds bool, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := conditionKey{name, subject}
	was, active := c.active[key]
	switch {
	case holds && active:
		was.Detail = detail
		c.active[key] = was
	case holds:
		c.active[key] = Condition{Name: name, Subject: subject, Since: c.now(), Detail: detail}
		c.log.Warn().Str("condition", name).Str("subject", subject).Str("detail", detail).Msg("condition.began")
		c.gauge(name)
	case active:
		delete(c.active, key)
		c.log.Info().Str("condition", name).Str("subject", subject).Dur("lasted", c.now().Sub(was.Since)).Msg("condition.ended")
		c.gauge(name)
	}
}

// gauge reports the number of subjects for which a condition is active.
func (c *conditions) gauge(name string) {
	n := 0
	for key := range c.active {
		if key.name == name {
			n++
		}
	}
	c.metrics.Tagged(map[string]string{"condition": name}).Gauge("condition").Update(float64(n))
}

// list returns the active conditions, oldest first.
func (c *conditions) list() []Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Condition, 0, len(c.active))
	for _, v := range c.active {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Condition) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Subject, b.Subject))
	})
	return list
}

// SetCondition sets whether a condition is active, with the reason as detail. It may
// be called at each attempt; only changes are logged.
func (p *Process) SetCondition(name, subject string, holds bool, detail string) {
	p.conditions.set(name, subject, holds, detail)
}
