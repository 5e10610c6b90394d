package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
)

// requestBuckets reach from a quick answer to the longest deadline.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// measure counts a request by its outcome and how long its caller waited.
func (c *call) measure(f dispatch.Finished) {
	scope := c.entry.process.Metrics.Tagged(map[string]string{"team": c.team, "service": c.service, "outcome": string(f.Outcome)})
	scope.Counter("requests").Inc(1)
	arrived := c.until - c.rules.Deadline.D()
	scope.Histogram("request_seconds", requestBuckets).RecordDuration(daemon.Clock() - arrived)
}
