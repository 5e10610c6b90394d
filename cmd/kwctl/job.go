package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	return data, errors.Wrap(err, "read file")
}

func (c *console) jobGroup() *group {
	var list jobFilter
	var cancel cancelOptions
	var watch watchOptions
	return &group{console: c, name: "job", synopsis: "submit, list, explain, watch and cancel jobs", commands: []*command{
		{name: "submit", args: "FILE...", minArgs: 1, maxArgs: unlimitedArgs, run: c.jobSubmit, synopsis: "Submit jobs, one in each file (JSON with comments; - is standard input)",
			help: "All files are checked before the first is sent."},
		{name: "status", args: "ID", minArgs: 1, maxArgs: 1, run: c.jobStatus, synopsis: "Show a job's state, its tasks and why it is so"},
		{name: "explain", args: "ID", minArgs: 1, maxArgs: 1, run: c.jobExplain, synopsis: "Say what a job waits for, what removed workers from its choice, and how its attempts ended"},
		{name: "list", maxArgs: 0, flags: list.flags, run: func(ctx context.Context, _ []string) error { return c.jobList(ctx, list) }, synopsis: "List jobs in the order of their IDs"},
		{name: "watch", args: "ID...", minArgs: 1, maxArgs: unlimitedArgs, flags: watch.flags, run: func(ctx context.Context, ids []string) error { return c.jobWatch(ctx, ids, watch) },
			synopsis: "Print every change of jobs until all have ended", help: "The exit status is 0 if all were done, 1 if one failed or was cancelled."},
		{name: "cancel", args: "[ID...]", maxArgs: unlimitedArgs, flags: cancel.flags, run: func(ctx context.Context, ids []string) error { return c.jobCancel(ctx, ids, cancel) },
			synopsis: "Cancel jobs by ID, from a file, or all of a team", help: "A job that has ended already is counted as such and is no error."},
	}}
}

func (c *console) jobSubmit(ctx context.Context, files []string) error {
	docs := make([][]byte, len(files))
	var findings jsonc.Findings
	for i, name := range files {
		doc, err := c.file(name)
		if err != nil {
			return err
		}
		docs[i] = doc
		findings = append(findings, jsonc.Decode(name, doc, &placement.JobSpec{})...)
	}
	if err := findings.Err(); err != nil {
		return err
	}
	var errs []error
	for i, name := range files {
		if err := c.submit(ctx, name, docs[i]); err != nil {
			errs = append(errs, err)
		}
	}
	return joinErrors(errs)
}

func (c *console) submit(ctx context.Context, name string, doc []byte) error {
	data, err := c.call(ctx, http.MethodPost, "/v1/jobs?file="+url.QueryEscape(name), doc)
	if err != nil {
		return errors.WithMessage(err, name)
	}
	a, err := accepted(data)
	if err != nil {
		return err
	}
	c.printf("%s: accepted at offset %d", name, a.Offset)
	return nil
}

func (c *console) status(ctx context.Context, id string) (placement.JobStatus, error) {
	var st placement.JobStatus
	return st, c.ask(ctx, "/v1/jobs/"+url.PathEscape(id), &st)
}

func (c *console) jobStatus(ctx context.Context, args []string) error {
	if c.output == outputJSON {
		var whole any
		if err := c.ask(ctx, "/v1/jobs/"+url.PathEscape(args[0]), &whole); err != nil {
			return err
		}
		return c.json(whole)
	}
	st, err := c.status(ctx, args[0])
	if err != nil {
		return err
	}
	c.printf("job %s of team %s (%s) is %s: %s", st.ID, st.Team, st.Kind, st.State, st.Explanation)
	if len(st.Tasks) == 0 {
		return nil
	}
	c.printf("waited %s before its first task started", st.Waited.Round(time.Millisecond))
	var rows [][]string
	for _, t := range st.Tasks {
		rows = append(rows, []string{strconv.Itoa(t.Index), t.State, orDash(t.Worker), orDashAny(t.Failures)})
	}
	return c.table(st, "TASK STATE WORKER FAILURES", rows)
}

// jobFilter selects jobs.
type jobFilter struct {
	team, kind, state string
	limit             int
}

func (j *jobFilter) flags(f *flag.FlagSet) {
	f.StringVar(&j.team, "team", "", "only jobs of this `team`")
	f.StringVar(&j.kind, "kind", "", "only jobs of this `kind`: service, batch or gang")
	f.StringVar(&j.state, "state", "", "only jobs in this `state`: open, done, failed or cancelled")
	f.IntVar(&j.limit, "limit", 0, "at most `N` jobs; 0 means all")
}

// jobs fetches all pages of the matching jobs.
func (c *console) jobs(ctx context.Context, j jobFilter) ([]api.JobRow, error) {
	all := []api.JobRow{}
	query := url.Values{"team": {j.team}, "kind": {j.kind}, "state": {j.state}}
	for {
		var page api.JobsPage
		if err := c.ask(ctx, "/v1/jobs?"+query.Encode(), &page); err != nil {
			return nil, err
		}
		all = append(all, page.Jobs...)
		switch {
		case j.limit > 0 && len(all) >= j.limit:
			return all[:j.limit], nil
		case !page.More || len(page.Jobs) == 0:
			return all, nil
		}
		query.Set("after", all[len(all)-1].ID)
	}
}

func (c *console) jobList(ctx context.Context, j jobFilter) error {
	jobs, err := c.jobs(ctx, j)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range jobs {
		rows = append(rows, []string{r.ID, r.Team, string(r.Kind), strconv.Itoa(r.Tasks), yesOrDash(r.Urgent), string(r.State), orDash(r.Reason)})
	}
	return c.table(jobs, "JOB TEAM KIND TASKS URGENT STATE REASON", rows)
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func orDashAny[T comparable](v T) string {
	var zero T
	if v == zero {
		return "-"
	}
	return fmt.Sprint(v)
}
