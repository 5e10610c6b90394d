package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/placement"
)

func (c *console) instanceGroup() *group {
	return &group{console: c, name: "instance", synopsis: "list the instances and who owns what", commands: []*command{
		{name: "list", maxArgs: 0, run: func(ctx context.Context, _ []string) error { return c.instanceList(ctx) },
			synopsis: "List the platform's instances with the worker shards and job homes each owns"},
	}}
}

func (c *console) instanceList(ctx context.Context) error {
	var body entry.InstancesBody
	if err := c.ask(ctx, "/v1/instances", &body); err != nil {
		return err
	}
	var rows [][]string
	for _, i := range body.Instances {
		rows = append(rows, []string{i.ID, i.Service, i.Zone, string(i.State), i.Addr, orDashAny(i.Shards), orDashAny(i.Homes)})
	}
	if err := c.table(body, "INSTANCE SERVICE ZONE STATE ADDRESS SHARDS HOMES", rows); err != nil {
		return err
	}
	if len(body.Unowned) > 0 && c.output == outputTable {
		c.printf("nobody owns: %v", body.Unowned)
	}
	return nil
}

func (c *console) workerGroup() *group {
	return &group{console: c, name: "worker", synopsis: "list the workers and what runs on them", commands: []*command{
		{name: "list", maxArgs: 0, run: func(ctx context.Context, _ []string) error { return c.workerList(ctx) },
			synopsis: "List the workers as the owners of their shards see them"},
	}}
}

// workerRow is one worker and the scheduler that owns its shard.
type workerRow struct {
	Owner string `json:"owner"`
	placement.WorkerStatus
}

// workers returns the workers in the dumps of all schedulers, and the errors of the dumps
// that could not be read.
func (c *console) workers(ctx context.Context) ([]workerRow, []error) {
	dumps, errs := c.schedulerDumps(ctx)
	rows := []workerRow{}
	for _, d := range dumps {
		for _, s := range d.Shards {
			for _, w := range s.Workers {
				rows = append(rows, workerRow{Owner: d.Process.ID, WorkerStatus: w})
			}
		}
	}
	return rows, errs
}

func (c *console) workerList(ctx context.Context) error {
	list, errs := c.workers(ctx)
	var rows [][]string
	for _, w := range list {
		rows = append(rows, []string{w.ID, w.Zone, w.Rack, w.Owner, used(w.Capacity.MilliCPU, w.Free.MilliCPU), used(w.Capacity.MemoryMiB, w.Free.MemoryMiB),
			used(w.Capacity.Accelerators, w.Free.Accelerators), strconv.Itoa(len(w.Tasks)), workerState(w)})
	}
	if err := c.table(list, "WORKER ZONE RACK OWNER MILLI-CPU MEMORY-MIB ACCELERATORS TASKS STATE", rows); err != nil {
		return err
	}
	return joinErrors(errs)
}

func used(capacity, free int64) string { return fmt.Sprintf("%d/%d", capacity-free, capacity) }

func workerState(w workerRow) string {
	var states []string
	if !w.Listed {
		states = append(states, "gone from the platform's list")
	}
	if !w.Reconciled {
		states = append(states, "not heard yet")
	}
	if w.Quarantine != "" {
		states = append(states, "quarantined: "+w.Quarantine)
	}
	if w.Suspect {
		states = append(states, "suspect, one task at a time")
	}
	if len(states) == 0 {
		return "ok"
	}
	return strings.Join(states, ", ")
}
