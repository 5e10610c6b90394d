package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/placement"
)

type jobCommand struct {
	target
	output string
}

func (*jobCommand) Name() string     { return "job" }
func (*jobCommand) Synopsis() string { return "submit, show and cancel jobs" }
func (*jobCommand) Usage() string {
	return `kwctl job submit FILE     submit a job (JSON with comments)
kwctl job status ID       show a job's state and why it is so
kwctl job cancel ID       cancel a job

`
}

func (c *jobCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.output, "o", "table", "output: table or json")
}

func (c *jobCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args := f.Args()
	if len(args) != 2 {
		return usage(c.Usage())
	}
	switch args[0] {
	case "submit":
		return report(c.submit(args[1]))
	case "status":
		return report(c.status(args[1]))
	case "cancel":
		return report(c.cancel(args[1]))
	}
	return usage(c.Usage())
}

func (c *jobCommand) submit(file string) error {
	doc, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	data, _, err := c.call(http.MethodPost, "/v1/jobs?file="+url.QueryEscape(file), doc)
	if err != nil {
		return err
	}
	var accepted entry.AcceptedBody
	if err := json.Unmarshal(data, &accepted); err != nil {
		return errors.Wrap(err, "read answer")
	}
	fmt.Printf("accepted at offset %d\n", accepted.Offset)
	return nil
}

func (c *jobCommand) status(id string) error {
	data, _, err := c.call(http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	if c.output == "json" {
		_, err = os.Stdout.Write(data)
		return err
	}
	var st placement.JobStatus
	if err := json.Unmarshal(data, &st); err != nil {
		return errors.Wrap(err, "read answer")
	}
	fmt.Printf("job %s of team %s (%s) is %s: %s\n", st.ID, st.Team, st.Kind, st.State, st.Explanation)
	if len(st.Tasks) == 0 {
		return nil
	}
	fmt.Printf("waited %s before its first task started\n", st.Waited.Round(time.Millisecond))
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tWORKER")
	for _, t := range st.Tasks {
		fmt.Fprintf(w, "%d\t%s\t%s\n", t.Index, t.State, t.Worker)
	}
	return w.Flush()
}

func (c *jobCommand) cancel(id string) error {
	_, _, err := c.call(http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
	if err == nil {
		fmt.Println("cancelled")
	}
	return err
}

type dumpCommand struct{ target }

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "print the state of an entry or its scheduler" }
func (*dumpCommand) Usage() string {
	return `kwctl dump entry        print the state of the entry
kwctl dump scheduler    print the state of the entry's scheduler

`
}
func (c *dumpCommand) SetFlags(f *flag.FlagSet) { c.flags(f) }

func (c *dumpCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := map[string]string{"entry": "/dump", "scheduler": "/v1/scheduler/dump"}[f.Arg(0)]
	if !ok || f.NArg() != 1 {
		return usage(c.Usage())
	}
	data, _, err := c.call(http.MethodGet, path, nil)
	if err == nil {
		_, err = os.Stdout.Write(data)
	}
	return report(err)
}
