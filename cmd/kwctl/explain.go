package main

import (
	"context"
	"time"

	"github.com/knapweedweir/knapweedweir/placement"
)

// jobExplain prints why a job is in its current state, for a person who waits for it.
func (c *console) jobExplain(ctx context.Context, args []string) error {
	if c.output == outputJSON {
		return c.jobStatus(ctx, args)
	}
	st, err := c.status(ctx, args[0])
	if err != nil {
		return err
	}
	c.printf("job %s of team %s (%s) is %s: %s", st.ID, st.Team, st.Kind, st.State, st.Explanation)
	if st.ExpectedRun > 0 {
		c.printf("a task is expected to run for %s", st.ExpectedRun.Round(time.Millisecond))
	}
	if st.Wait != nil {
		c.explainWait(*st.Wait)
	}
	for _, b := range st.Best {
		c.printf("placed last: worker %s scored %.3f", b.Worker, b.Score)
	}
	for _, d := range st.Displaced {
		c.printf("%s gave way: %s", d.TaskID, d.Why)
	}
	for _, t := range st.Tasks {
		c.explainTask(t)
	}
	return nil
}

func (c *console) explainWait(w placement.Wait) {
	c.printf("waits (%s): %s", w.Reason, w.Text)
	if w.Ahead > 0 {
		c.printf("  %d jobs of the team go first", w.Ahead)
	}
	if w.Expected > 0 {
		c.printf("  expected to start in about %s", w.Expected.Round(time.Second))
	}
	if w.Workers > 0 {
		c.printf("  of %d workers asked:", w.Workers)
	}
	for _, r := range w.Removed {
		c.printf("  %6d removed: %s", r.Workers, r.Filter)
	}
}

func (c *console) explainTask(t placement.TaskStatus) {
	if len(t.Ended) == 0 && len(t.Avoid) == 0 {
		return
	}
	c.printf("task %d is %s", t.Index, t.State)
	for _, e := range t.Ended {
		c.printf("  %s ago: %s on %s after %s: %s", e.Ago.Round(time.Second), e.State, orDash(e.Worker), e.RunTime.Round(time.Millisecond), orDash(e.Reason))
	}
	if len(t.Avoid) > 0 {
		c.printf("  keeps away from %v, where it failed", t.Avoid)
	}
}
