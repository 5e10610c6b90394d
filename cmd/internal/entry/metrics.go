package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// requestBuckets range from 1 ms to 65.5 s, to cover the longest deadline of a service.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// outcomeKey holds the labels of the request metrics.
type outcomeKey struct {
	team, service string
	outcome       dispatch.Outcome
}

// outcomeMetrics are the metrics of one outcomeKey. They are cached, since looking them up
// by their tags would cost a map and a hash for each request.
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

// measure counts a request by its outcome and records how long its caller waited.
func (c *call) measure(f dispatch.Finished) {
	m := c.entry.outcomeMetrics(outcomeKey{c.team, c.service, f.Outcome})
	m.requests.Inc(1)
	arrived := c.deadline - c.config.Deadline.D()
	m.seconds.RecordDuration(daemon.Clock() - arrived)
}
