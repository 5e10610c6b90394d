package main

import (
	"context"
	"flag"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/placement"
)

type watchOptions struct{ every, limit time.Duration }

func (o *watchOptions) flags(f *flag.FlagSet) {
	f.DurationVar(&o.every, "every", 500*time.Millisecond, "`time` between two looks")
	f.DurationVar(&o.limit, "timeout", 0, "give up after this `time`; 0 means never")
}

// jobWatch prints every change of jobs until all have ended.
func (c *console) jobWatch(ctx context.Context, ids []string, o watchOptions) error {
	if o.limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.limit)
		defer cancel()
	}
	last := map[string]string{}
	open := ids
	failed := false
	for {
		var remaining []string
		for _, id := range open {
			st, err := c.pollJob(ctx, id, last)
			if err != nil {
				return err
			}
			if st.State == placement.JobOpen || st.State == "" {
				remaining = append(remaining, id)
			}
			failed = failed || st.State == placement.JobFailed || st.State == placement.JobCancelled
		}
		open = remaining
		if len(open) == 0 {
			break
		}
		if err := pause(ctx, o.every); err != nil {
			return errors.Errorf("%d jobs have not ended within %s", len(open), o.limit)
		}
	}
	if failed {
		return errReported
	}
	return nil
}

// pollJob fetches the status of one job and prints it if it has changed. A temporary lack
// of answers, as while the job's home changes its owner or the entry restarts, is printed
// and is no error.
func (c *console) pollJob(ctx context.Context, id string, last map[string]string) (placement.JobStatus, error) {
	st, err := c.status(ctx, id)
	line := string(st.State) + ": " + st.Explanation
	if err != nil {
		var refused *refusedError
		if errors.As(err, &refused) && refused.body.Code == api.NotFound || statusOf(err) == exitUsage {
			return st, err
		}
		line = "no answer now: " + err.Error()
	}
	if last[id] != line {
		last[id] = line
		c.printf("%s  %s  %s", time.Now().Format(time.TimeOnly), id, line)
	}
	return st, nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
