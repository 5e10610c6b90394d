package main

import (
	"context"
	"encoding/json"
	"net/url"
	"sort"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/daemon"
)

func (c *console) dumpGroup() *group {
	one := func(path string) func(context.Context, []string) error {
		return func(ctx context.Context, _ []string) error {
			data := map[string]any{}
			if err := c.ask(ctx, path, &data); err != nil {
				return err
			}
			return c.state("", data)
		}
	}
	return &group{console: c, name: "dump", synopsis: "print the state of processes", commands: []*command{
		{name: "entry", maxArgs: 0, run: one("/dump"), synopsis: "Print the state of the entry"},
		{name: "scheduler", args: "[ID]", maxArgs: 1, synopsis: "Print the state of the entry's scheduler, or of the one with an ID",
			run: func(ctx context.Context, args []string) error {
				if len(args) == 0 {
					return one("/v1/scheduler/dump")(ctx, nil)
				}
				return one("/v1/schedulers/"+url.PathEscape(args[0])+"/dump")(ctx, nil)
			}},
		{name: "all", maxArgs: 0, run: func(ctx context.Context, _ []string) error { return c.dumpAll(ctx) }, synopsis: "Print the state of every entry and scheduler"},
	}}
}

// state prints a dump, as JSON or as one line for each value.
func (c *console) state(prefix string, data map[string]any) error {
	if c.output == outputJSON {
		return c.json(data)
	}
	keys := make([]string, 0, len(data))
	for k := range data {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		switch v := data[k].(type) {
		case map[string]any:
			_ = c.state(prefix+k+".", v)
		case []any:
			c.list(prefix+k, v)
		default:
			c.printf("%s%s: %v", prefix, k, v)
		}
	}
	return nil
}

// list prints a list of scalars on one line, and a list of objects with one line for each.
func (c *console) list(name string, items []any) {
	objects := false
	for _, item := range items {
		_, isObject := item.(map[string]any)
		objects = objects || isObject
	}
	if !objects {
		c.printf("%s: %v", name, items)
		return
	}
	c.printf("%s:", name)
	for _, item := range items {
		line, err := json.Marshal(item)
		if err == nil {
			c.printf("  %s", line)
		}
	}
}

func (c *console) dumpAll(ctx context.Context) error {
	var body entry.InstancesBody
	if err := c.ask(ctx, "/v1/instances", &body); err != nil {
		return err
	}
	all := map[string]any{}
	states := make([]any, len(body.Instances))
	forEachConcurrently(body.Instances, func(i int, inst entry.InstanceRow) {
		var data map[string]any
		var err error
		switch inst.Service {
		case control.EntryService:
			err = c.get(ctx, inst.Addr, "/dump", &data)
		case control.SchedService:
			err = c.ask(ctx, "/v1/schedulers/"+url.PathEscape(inst.ID)+"/dump", &data)
		default:
			return
		}
		if err != nil {
			data = map[string]any{"error": err.Error()}
		}
		states[i] = data
	})
	var errs []error
	for i, s := range states {
		data, ok := s.(map[string]any)
		if !ok {
			continue
		}
		all[body.Instances[i].ID] = data
		if e, failed := data["error"]; failed {
			errs = append(errs, errors.Errorf("%s: %v", body.Instances[i].ID, e))
		}
	}
	if err := c.state("", all); err != nil {
		return err
	}
	return joinErrors(errs)
}

// schedulerDump holds the fields of a scheduler's dump that kwctl uses. Schedulers of
// another version may send more or fewer fields; missing ones stay empty.
type schedulerDump struct {
	Process daemon.Status `json:"process"`
	control.Dump
	Shards []control.ShardDump `json:"shards"`
}

// schedulerDumps fetches the dumps of all schedulers through the entry.
func (c *console) schedulerDumps(ctx context.Context) ([]schedulerDump, []error) {
	var body entry.InstancesBody
	if err := c.ask(ctx, "/v1/instances", &body); err != nil {
		return nil, []error{err}
	}
	dumps, errs := make([]*schedulerDump, len(body.Instances)), make([]error, len(body.Instances))
	forEachConcurrently(body.Instances, func(i int, inst entry.InstanceRow) {
		if inst.Service != control.SchedService {
			return
		}
		var d schedulerDump
		if errs[i] = c.ask(ctx, "/v1/schedulers/"+url.PathEscape(inst.ID)+"/dump", &d); errs[i] == nil {
			dumps[i] = &d
		}
	})
	var read []schedulerDump
	var failed []error
	for i := range dumps {
		if dumps[i] != nil {
			read = append(read, *dumps[i])
		}
		if errs[i] != nil {
			// Only the text is kept, so that the exit status is that of a failure
			// and not that of a refusal.
			failed = append(failed, errors.Errorf("scheduler %s: %v", body.Instances[i].ID, errs[i]))
		}
	}
	return read, failed
}
