package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

func (c *console) crashesCommand() *command {
	var dumps string
	var workers bool
	return &command{console: c, name: "crashes", args: "[ADDRESS...]", maxArgs: unlimitedArgs,
		run: func(ctx context.Context, args []string) error { return c.crashes(ctx, args, dumps, workers) },
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dumps, "dump", "", "`file` with dumps of instances, one after the other, - is standard input; nobody is asked then")
			f.BoolVar(&workers, "workers", false, "list the workers with their incarnations instead")
		},
		synopsis: "list the tasks under which workers have crashed, and which of them were given up",
		help: "ADDRESS is where a kw-node serves its counters; without one $KW_ENTRY is asked. Only a pool's\n" +
			"owner knows its tasks, so name all instances. A task is suspected while workers have crashed in\n" +
			"a row under it, quarantined while it runs on workers of its own, and given up if it was the cause:\n" +
			"its job has failed then. WORKERS names the crashed workers, oldest first, each with how long the\n" +
			"run was active, and \"outage\" if many others crashed at the same time. \"start unconfirmed\" means that\n" +
			"the worker may never have got the run. \"maybe one more\" stands for\n" +
			"a crash that an earlier owner of the pool may not have counted.\n" +
			"With -workers, a row is a worker: STARTED is when its present incarnation started, RESTARTS how often\n" +
			"its pool's owner has seen it start again under its ID. A worker that the list of workers shows as\n" +
			"another incarnation gets no tasks."}
}

// crashRow is a task under which workers have crashed, and its pool.
type crashRow struct {
	Pool int `json:"pool"`
	pool.TaskCrashes
}

func (c *console) crashes(ctx context.Context, addrs []string, file string, workers bool) error {
	dumps, errs := c.nodeDumps(ctx, addrs, file)
	pools := newestPools(dumps)
	if len(pools) == 0 {
		return joinErrors(append(errs, errors.New("no dump names a pool; is it a kw-node's?")))
	}
	if workers {
		if err := c.printIncarnations(pools); err != nil {
			return err
		}
		return joinErrors(errs)
	}
	rows := []crashRow{}
	for _, p := range pools {
		for _, t := range p.Crashes {
			rows = append(rows, crashRow{Pool: p.Pool, TaskCrashes: t})
		}
	}
	if c.output == outputJSON {
		if err := c.json(rows); err != nil {
			return err
		}
		return joinErrors(errs)
	}
	var table [][]string
	for _, r := range rows {
		var workers []string
		for _, w := range r.Workers {
			workers = append(workers, describeCrash(w))
		}
		if r.Uncounted {
			workers = append(workers, "maybe one more")
		}
		table = append(table, []string{fmt.Sprint(r.Pool), r.Job, fmt.Sprintf("%d.%d.%d", r.K, r.Step, r.Task), orDash(r.Queue), r.State, strings.Join(workers, ", ")})
	}
	if err := c.table(nil, "POOL JOB TASK QUEUE STATE WORKERS", table); err != nil {
		return err
	}
	return joinErrors(errs)
}

func describeCrash(w pool.CrashedWorker) string {
	text := fmt.Sprintf("%s after %d ms", w.Worker, w.LivedMillis)
	if w.Outage {
		text += " (outage)"
	}
	if w.Doubtful {
		text += " (start unconfirmed)"
	}
	return text
}

// incarnationRow is a worker and its pool.
type incarnationRow struct {
	Pool int `json:"pool"`
	pool.WorkerReport
}

// printIncarnations prints the workers of the pools with their incarnations.
func (c *console) printIncarnations(pools []poolView) error {
	rows := []incarnationRow{}
	for _, p := range pools {
		for _, w := range p.Workers {
			rows = append(rows, incarnationRow{Pool: p.Pool, WorkerReport: w})
		}
	}
	if c.output == outputJSON {
		return c.json(rows)
	}
	var table [][]string
	for _, r := range rows {
		table = append(table, []string{fmt.Sprint(r.Pool), r.Worker, orDash(r.Rack), formatIncarnation(r.Incarnation), fmt.Sprint(r.Restarts), fmt.Sprint(r.Runs), formatSlowness(r.WorkerReport), orDash(describeWorker(r.WorkerReport))})
	}
	return c.table(nil, "POOL WORKER RACK STARTED RESTARTS RUNS SLOWNESS STATE", table)
}

func formatIncarnation(unixMillis int64) string {
	if unixMillis == 0 {
		return "unknown"
	}
	return time.UnixMilli(unixMillis).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatSlowness formats a worker's slowness, which an older instance doesn't report.
func formatSlowness(w pool.WorkerReport) string {
	if w.Slowness == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%d runs)", w.Slowness, w.SpeedRuns)
}

func describeWorker(w pool.WorkerReport) string {
	var states []string
	if w.Silent {
		states = append(states, "silent")
	}
	if w.Draining {
		states = append(states, "draining")
	}
	if w.Isolated {
		states = append(states, "isolated")
	}
	if w.Slow {
		states = append(states, "slow")
	}
	if w.ListedIncarnation != 0 && w.Incarnation != 0 && w.ListedIncarnation != w.Incarnation {
		states = append(states, "listed as another incarnation")
	}
	return strings.Join(states, ", ")
}
