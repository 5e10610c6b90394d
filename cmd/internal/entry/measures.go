package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// requestBuckets reach from a quick answer to the longest deadline.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// outcomeKey is what requests are measured by.
type outcomeKey struct {
	team, service string
	outcome       dispatch.Outcome
}

// outcomeMetrics are the metrics of one outcomeKey. They are kept, as finding them
// by their tags costs a map and a hash for each request.
type outcomeMetrics struct {
	requests tally.Counter
	seconds  tally.Histogram
}

func (e *Entry) outcomeMetrics(key outcomeKey) outcomeMetrics {
	if m, ok := e.outcomes.Load(key); ok {
		return m.(outcomeMetrics)
	}
	scope := e.process.Metrics.Tagged(map[string]string{"team": key.team, "service": key.service, "outcome": string(key.outcome)})
	m, _ := e.outcomes.LoadOrStore(key, outcomeMetrics{scope.Counter("requests"), scope.Histogram("request_seconds", requestBuckets)})
	return m.(outcomeMetrics)
}

// measure counts a request by its outcome and how long its caller waited.
func (c *call) measure(f dispatch.Finished) {
	m := c.entry.outcomeMetrics(outcomeKey{c.team, c.service, f.Outcome})
	m.requests.Inc(1)
	arrived := c.until - c.rules.Deadline.D()
	m.seconds.RecordDuration(daemon.Clock() - arrived)
}
