// Command kw-load sends the requests and jobs of a sample file to a cell and reports the
// outcomes. It is a tool for experiments.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/standin/load"
	"github.com/knapweedweir/knapweedweir/standin/load/plot"
)

const usage = `kw-load -sample FILE -entries ADDRESS,ADDRESS... [-balance] [-plot FILE.svg] [-json FILE]

Sends callers' requests and operators' jobs to a cell at their planned times,
whether or not earlier ones have an answer (open loop). Waiting is counted from
the planned time to the final answer, so a cell that stalls can't hide it.

The sample is JSON with comments; docs/reference/settings.md ("Load") has every
setting. A small one:

  {"streams": [{"name": "quote", "team": "order-desk", "service": "order-desk",
    "every": "10ms", "count": 1000, "arrivals": "poisson",
    "deadline": "2s", "worth": 1, "idempotent": true, "retries": 2}]}

The table has a row for each stream: WORTH is the part of the offered worth that was
delivered whole and on time, LATE counts answers after the deadline, the percentiles
are of all requests. An answer that no caller should see is printed as BROKEN and
ends the command with status 1. Wrong usage or a bad sample: 2.

`

func main() {
	sample := flag.String("sample", "", "sample `file`")
	entries := flag.String("entries", os.Getenv("KW_ENTRY"), "`addresses` of the entries, separated by commas; default $KW_ENTRY")
	balance := flag.Bool("balance", false, "send only to entries that say they are ready, as a balancer does")
	id := flag.String("run", fmt.Sprintf("%x", time.Now().Unix()), "`name` of this run, part of every request's ID; one that is given again gets the first run's answers")
	picture := flag.String("plot", "", "draw percentile curves into this `file`: .svg, .png or .pdf")
	report := flag.String("json", "", "write the figures into this `file`")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if *sample == "" || *entries == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	s, err := load.Read(*sample)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	list := strings.Split(*entries, ",")
	choose := func() []string { return list }
	if *balance {
		choose = load.NewBalancer(list).Entries
	}
	r := load.Runner{Entries: choose, Client: client(), ID: *id}
	rows := r.Run(s)
	load.Print(os.Stdout, rows)
	if err := write(rows, *picture, *report); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, row := range rows {
		if len(row.Broken) > 0 {
			os.Exit(1)
		}
	}
}

// client keeps enough idle connections for all callers: with a smaller connection pool
// callers would wait inside this program.
func client() *http.Client {
	const idle = 1024
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConns: idle, MaxIdleConnsPerHost: idle}}
}

func write(rows []*load.Row, picture, report string) error {
	if picture != "" {
		f, err := os.Create(picture)
		if err != nil {
			return errors.Wrap(err, "create plot")
		}
		defer f.Close()
		if err := plot.Write(f, rows, strings.TrimPrefix(filepath.Ext(picture), ".")); err != nil {
			return err
		}
	}
	if report == "" {
		return nil
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(report, data, 0o600), "write report")
}
