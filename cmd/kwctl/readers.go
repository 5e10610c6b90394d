package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/node"
)

// oldKnowledge is the age from which a reader counts as behind: a read that waits in vain
// is up to 2 s old, and the platform's bound on the configuration is that too.
const oldKnowledge = 2500 * time.Millisecond

func (c *console) readersCommand() *verb {
	var dumps string
	return &verb{console: c, name: "readers", args: "[ADDRESS...]", most: unlimited,
		run: func(ctx context.Context, args []string) error { return c.readers(ctx, args, dumps) },
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dumps, "dump", "", "`file` with dumps of instances, one after the other, - is standard input; nobody is asked then")
		},
		synopsis: "tell how old each instance's knowledge of the store is, and which instance is behind",
		help: "ADDRESS is where a kw-node serves its counters; without one $KW_ENTRY is asked. A row is one topic\n" +
			"that an instance reads. AGE_MS is how long ago the moment is up to which it knows all that was\n" +
			"stored; where nothing is stored it grows to 2000 (11000 for the list of instances) before it falls.\n" +
			"BEHIND_BY counts the records that another of the instances named has read already, FAILED the\n" +
			"questions in a row that the store has not answered. CONFIG is the version in force."}
}

// readerRow is one topic as one instance reads it.
type readerRow struct {
	Instance string `json:"instance"`
	Config   int64  `json:"config"`
	node.ReaderDump
	BehindBy int64  `json:"behindBy"`
	Finding  string `json:"finding,omitempty"`
}

func (c *console) readers(ctx context.Context, addrs []string, file string) error {
	dumps, errs := c.nodeDumps(ctx, addrs, file)
	rows := readerRows(dumps)
	if len(rows) == 0 {
		return worst(append(errs, errors.New("no dump names a reader; is it a kw-node's?")))
	}
	if c.output == outputJSON {
		if err := c.json(rows); err != nil {
			return err
		}
		return worst(errs)
	}
	var table [][]string
	for _, r := range rows {
		table = append(table, []string{r.Instance, fmt.Sprint(r.Config), r.Topic, fmt.Sprint(r.Part), fmt.Sprint(r.AgeMs),
			fmt.Sprint(r.BehindBy), fmt.Sprint(r.Failed), orDash(r.Finding)})
	}
	if err := c.table(nil, "INSTANCE CONFIG TOPIC PART AGE_MS BEHIND_BY FAILED FINDING", table); err != nil {
		return err
	}
	return worst(errs)
}

// topicPart is a part of a topic.
type topicPart struct {
	topic string
	part  int
}

// readerRows returns the rows of all instances, by topic, those that are behind first.
func readerRows(dumps []nodeDump) []readerRow {
	var version int64
	newest := map[topicPart]int64{}
	for _, d := range dumps {
		version = max(version, d.Version)
		for _, r := range d.Readers {
			key := topicPart{r.Topic, r.Part}
			newest[key] = max(newest[key], r.Next)
		}
	}
	var rows []readerRow
	for _, d := range dumps {
		for _, r := range d.Readers {
			row := readerRow{Instance: d.Process.ID, Config: d.Version, ReaderDump: r, BehindBy: newest[topicPart{r.Topic, r.Part}] - r.Next}
			row.Finding = readerFinding(row, version)
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b readerRow) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Part, b.Part), cmp.Compare(b.BehindBy, a.BehindBy), cmp.Compare(a.Instance, b.Instance))
	})
	return rows
}

// readerFinding says what is wrong with a reader; empty: nothing.
func readerFinding(r readerRow, version int64) string {
	var found []string
	if r.Failed > 0 {
		found = append(found, "the store doesn't answer it")
	}
	if r.AgeMs < 0 {
		found = append(found, "it has not caught up yet")
	}
	if r.BehindBy > 0 && r.AgeMs > oldKnowledge.Milliseconds() {
		found = append(found, "it is behind others")
	}
	if r.Config < version {
		found = append(found, fmt.Sprintf("its configuration is older than version %d", version))
	}
	return strings.Join(found, "; ")
}
