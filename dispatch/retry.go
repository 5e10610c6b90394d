package dispatch

import (
	"slices"
	"time"
)

// maxRetryBudget bounds the retries saved up in quiet times.
const maxRetryBudget = 10

func (c *Core) earnRetry() { c.budget = min(c.budget+c.cfg.RetryShare, maxRetryBudget) }

// mayRetry reports whether a failed request may be sent once more. Another try
// is safe if nothing ran, or if running twice does no harm.
func (c *Core) mayRetry(now time.Duration, r *request) bool {
	safe := !r.mayRun || r.Idempotent
	return safe && !r.left && now < r.Deadline && c.budget >= 1 && c.hasOther(r)
}

func (c *Core) hasOther(r *request) bool {
	return slices.ContainsFunc(c.service(r.Service).runners, func(t *runner) bool { return t.takesNew() && !r.avoids(t.ID) })
}
