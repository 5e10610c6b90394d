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

// staleAge is the age above which a reader may count as behind. While nothing is stored, a
// read that waits for records makes the age grow to 2 s, which is also the platform's limit
// on the age of the configuration.
const staleAge = 2500 * time.Millisecond

func (c *console) readersCommand() *command {
	var dumps string
	return &command{console: c, name: "readers", args: "[ADDRESS...]", maxArgs: unlimitedArgs,
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

// readerRow is the state of one instance's reader of one topic.
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
		return joinErrors(append(errs, errors.New("no dump names a reader; is it a kw-node's?")))
	}
	if c.output == outputJSON {
		if err := c.json(rows); err != nil {
			return err
		}
		return joinErrors(errs)
	}
	var table [][]string
	for _, r := range rows {
		table = append(table, []string{r.Instance, fmt.Sprint(r.Config), r.Topic, fmt.Sprint(r.Part), fmt.Sprint(r.AgeMs),
			fmt.Sprint(r.BehindBy), fmt.Sprint(r.Failed), orDash(r.Finding)})
	}
	if err := c.table(nil, "INSTANCE CONFIG TOPIC PART AGE_MS BEHIND_BY FAILED FINDING", table); err != nil {
		return err
	}
	return joinErrors(errs)
}

// topicPart identifies a partition of a topic.
type topicPart struct {
	topic string
	part  int
}

// readerRows returns the rows of all instances by topic and partition, those that are
// furthest behind first.
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

// readerFinding returns what is wrong with a reader, or "".
func readerFinding(r readerRow, version int64) string {
	var found []string
	if r.Failed > 0 {
		found = append(found, "the store doesn't answer it")
	}
	if r.AgeMs < 0 {
		found = append(found, "it has not caught up yet")
	}
	if r.BehindBy > 0 && r.AgeMs > staleAge.Milliseconds() {
		found = append(found, "it is behind others")
	}
	if r.Config < version {
		found = append(found, fmt.Sprintf("its configuration is older than version %d", version))
	}
	return strings.Join(found, "; ")
}
