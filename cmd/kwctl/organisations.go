package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/pool"
)

func (c *console) organisationsGroup() *group {
	var dumps string
	return &group{console: c, name: "organisations", synopsis: "show organisations' caps and check a configuration", commands: []*command{
		{name: "show", args: "[ADDRESS...]", maxArgs: unlimitedArgs, run: func(ctx context.Context, args []string) error { return c.organisationsShow(ctx, args, dumps) },
			flags: func(f *flag.FlagSet) {
				f.StringVar(&dumps, "dump", "", "`file` with dumps of instances, one after the other, - is standard input; no instance is asked then")
			},
			synopsis: "Show what each organisation uses of its cap",
			help: "ADDRESS is where a kw-node serves its counters; without one $KW_ENTRY is asked. Only a pool's\n" +
				"owner knows its part, so name all instances. USED and CAP are over the pools named; MAY_BE_USED is\n" +
				"what a former owner's tasks may use that aren't known yet. SHARES are the parts of the cap that each\n" +
				"pool may use, and WAITS is a job that waits for the cap."},
		{name: "check", args: "FILE", minArgs: 1, maxArgs: 1, run: c.organisationsCheck, synopsis: "Check a configuration as operators write it",
			help: "The finding names its place, and never a key. No instance is asked."},
	}}
}

// capRow is what an organisation uses of one resource of its cap.
type capRow struct {
	Organisation string `json:"organisation"`
	Resource     string `json:"resource"`
	Cap          int64  `json:"cap"`
	Used         int64  `json:"used"`
	MayBeUsed    int64  `json:"mayBeUsed"`
	// Shares are the parts of the cap that the pools hold, by pool.
	Shares map[int]float64 `json:"shares"`
	Waits  []string        `json:"waits,omitempty"`
}

func (c *console) organisationsShow(ctx context.Context, addrs []string, file string) error {
	dumps, errs := c.nodeDumps(ctx, addrs, file)
	rows := capRows(newestPools(dumps))
	if len(rows) == 0 {
		return joinErrors(append(errs, errors.New("no dump names a cap; is there an owner's among them?")))
	}
	if c.output == outputJSON {
		if err := c.json(rows); err != nil {
			return err
		}
		return joinErrors(errs)
	}
	var table [][]string
	for _, r := range rows {
		table = append(table, []string{r.Organisation, r.Resource, fmt.Sprint(r.Cap), fmt.Sprint(r.Used), fmt.Sprint(r.MayBeUsed), r.sharesText(), orDash(strings.Join(r.Waits, " "))})
	}
	if err := c.table(nil, "ORGANISATION RESOURCE CAP USED MAY_BE_USED SHARES WAITS", table); err != nil {
		return err
	}
	return joinErrors(errs)
}

func (r *capRow) sharesText() string {
	var parts []string
	for _, p := range slices.Sorted(maps.Keys(r.Shares)) {
		parts = append(parts, fmt.Sprintf("%d:%.2f", p, r.Shares[p]))
	}
	return strings.Join(parts, " ")
}

// capRows sums up the reports of the pools' owners, with a row for each limited resource.
func capRows(pools []poolView) []capRow {
	type key struct {
		organisation string
		resource     organisation.Resource
	}
	rows := map[key]*capRow{}
	for _, p := range pools {
		for _, report := range p.Caps {
			for r := range organisation.Resources {
				if report.Cap[r] > 0 {
					k := key{report.Organisation, r}
					if rows[k] == nil {
						rows[k] = &capRow{Organisation: k.organisation, Resource: r.String(), Cap: report.Cap[r], Shares: map[int]float64{}}
					}
					rows[k].add(p.Pool, &report, r)
				}
			}
		}
	}
	return slices.SortedFunc(func(yield func(capRow) bool) {
		for _, r := range rows {
			if !yield(*r) {
				return
			}
		}
	}, func(a, b capRow) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Resource, b.Resource))
	})
}

func (r *capRow) add(number int, report *pool.CapReport, resource organisation.Resource) {
	r.Used += report.Used[resource]
	r.MayBeUsed += report.MayBeUsed[resource]
	r.Shares[number] = report.Share[resource]
	if report.WaitingJob != "" {
		r.Waits = append(r.Waits, report.WaitingJob)
	}
}

func (c *console) organisationsCheck(_ context.Context, args []string) error {
	data, err := c.file(args[0])
	if err != nil {
		return err
	}
	cfg, err := platform.DecodeConfig(data)
	if err != nil {
		return errors.Wrap(err, args[0])
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Organisations.All())) {
		o, _ := cfg.Organisations.Get(name)
		c.printf("%s: weight %d, %d keys, cap %v", name, o.Weight, cfg.Organisations.Keys(name), o.Cap)
	}
	c.printf("no findings")
	return nil
}
