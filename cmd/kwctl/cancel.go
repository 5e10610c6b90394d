package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/placement"
)

// maxConcurrentCancels limits the concurrent cancellations. A scheduler puts concurrent
// ones into one append, so higher concurrency costs the log fewer appends.
const maxConcurrentCancels = 32

// progressInterval is the number of jobs between two lines of progress.
const progressInterval = 100

type cancelOptions struct {
	team, file string
	yes        bool
}

func (o *cancelOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.team, "team", "", "cancel all open jobs of this `team`")
	f.StringVar(&o.file, "f", "", "cancel the jobs whose IDs stand in this `file`, one a line; - is standard input")
	f.BoolVar(&o.yes, "yes", false, "with -team: cancel them; without it they are only listed")
}

func (c *console) jobCancel(ctx context.Context, ids []string, o cancelOptions) error {
	more, err := c.idsOfFile(o.file)
	if err != nil {
		return err
	}
	ids = append(ids, more...)
	if o.team != "" {
		jobs, err := c.jobs(ctx, jobFilter{team: o.team, state: string(placement.JobOpen)})
		if err != nil {
			return err
		}
		for _, j := range jobs {
			ids = append(ids, j.ID)
		}
		if !o.yes {
			for _, id := range ids {
				c.printf("%s", id)
			}
			c.logf("%d jobs would be cancelled; give -yes to do it", len(ids))
			return nil
		}
	} else if len(ids) == 0 {
		return &usageError{"which jobs? give IDs, -f FILE or -team TEAM"}
	}
	return c.cancelAll(ctx, ids)
}

func (c *console) idsOfFile(name string) ([]string, error) {
	if name == "" {
		return nil, nil
	}
	data, err := c.file(name)
	if err != nil {
		return nil, err
	}
	var ids []string
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if id := strings.TrimSpace(lines.Text()); id != "" && !strings.HasPrefix(id, "#") {
			ids = append(ids, id)
		}
	}
	return ids, errors.Wrap(lines.Err(), "read IDs")
}

// cancelCounts counts the results of a batch of cancellations.
type cancelCounts struct {
	mu               sync.Mutex
	total, done      int
	cancelled, ended int
	errs             []error
}

// cancelAll cancels jobs concurrently and reports all failures.
func (c *console) cancelAll(ctx context.Context, ids []string) error {
	counts := &cancelCounts{total: len(ids)}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCancels)
	for _, id := range ids {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_, err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
			counts.add(c, id, err)
		})
	}
	wg.Wait()
	c.printf("%d cancelled, %d had ended or are unknown, %d failed", counts.cancelled, counts.ended, len(counts.errs))
	return joinErrors(counts.errs)
}

func (k *cancelCounts) add(c *console, id string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var refused *refusedError
	switch {
	case err == nil:
		k.cancelled++
	case errors.As(err, &refused) && (refused.body.Code == api.Conflict || refused.body.Code == api.NotFound):
		k.ended++
		c.logf("%s: %s", id, refused.body.Message)
	default:
		k.errs = append(k.errs, errors.WithMessage(err, id))
	}
	if k.done++; k.done%progressInterval == 0 && k.done < k.total {
		c.logf("%d of %d", k.done, k.total)
	}
}

// joinedError is several errors with the exit status of the most severe one.
type joinedError struct{ errs []error }

func (j *joinedError) Error() string {
	lines := make([]string, len(j.errs))
	for i, err := range j.errs {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error that determines the exit status: one in doubt, else one that
// failed, else one that was refused.
func (j *joinedError) Unwrap() error {
	for _, status := range []exitStatus{exitInDoubt, exitFailure} {
		for _, err := range j.errs {
			if statusOf(err) == status {
				return err
			}
		}
	}
	return j.errs[0]
}

func joinErrors(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	return &joinedError{errs}
}
