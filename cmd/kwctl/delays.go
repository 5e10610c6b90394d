package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

func (c *console) delaysCommand() *command {
	var logs, plotFile string
	return &command{console: c, name: "delays", minArgs: 0, maxArgs: 0,
		run: func(context.Context, []string) error { return c.delays(logs, plotFile) },
		flags: func(f *flag.FlagSet) {
			f.StringVar(&logs, "logs", "-", "file with the instances' logs, - is standard input")
			f.StringVar(&plotFile, "plot", "", "draw waits and refusals over time, by queue, into this `file` (.svg or .png)")
		},
		synopsis: "tell where jobs' time went, by queue, from the instances' logs",
		help: "Reads what kw-node processes wrote, as why does. A row is one queue and one part of its jobs'\n" +
			"time: until the store held them, until their first task started, until their last task ended,\n" +
			"and until that was stored; beside the middle and the slowest twentieth, the sum over all jobs.\n" +
			"Under them stand the jobs that were never accepted, by what their callers were last told, and\n" +
			"those that were accepted and had not begun, or not ended, when the logs end.\n" +
			"-plot also draws the day: how long half and 95 of 100 of the jobs waited from hand-in to first\n" +
			"start, and how many a second were refused or not run. A job that never began counts with its\n" +
			"wait until the logs end."}
}

// jobTimes holds the times of one job's events in the logs; the zero time means never.
type jobTimes struct {
	queue, verdict                                     string
	submitted, accepted, started, lastEnded, completed time.Time
	cancelled                                          bool
}

// stage is a part of a job's lifetime.
type stage struct {
	name     string
	from, to func(*jobTimes) time.Time
}

var stages = []stage{
	{"hand-in to stored", func(j *jobTimes) time.Time { return j.submitted }, func(j *jobTimes) time.Time { return j.accepted }},
	{"stored to first start", func(j *jobTimes) time.Time { return j.accepted }, func(j *jobTimes) time.Time { return j.started }},
	{"first start to last end", func(j *jobTimes) time.Time { return j.started }, func(j *jobTimes) time.Time { return j.lastEnded }},
	{"last end to completed", func(j *jobTimes) time.Time { return j.lastEnded }, func(j *jobTimes) time.Time { return j.completed }},
	{"in all", func(j *jobTimes) time.Time { return j.submitted }, func(j *jobTimes) time.Time { return j.completed }},
}

// delayRow is one row of the table.
type delayRow struct {
	Queue string        `json:"queue"`
	Part  string        `json:"part"`
	Jobs  int           `json:"jobs"`
	P50   time.Duration `json:"p50_ns,omitempty"`
	P95   time.Duration `json:"p95_ns,omitempty"`
	Sum   time.Duration `json:"sum_ns,omitempty"`
}

var errNoJobs = errors.New("says nothing of any job")

func (c *console) delays(logs, plotFile string) error {
	data, err := c.file(logs)
	if err != nil {
		return err
	}
	lines := parseLog(data)
	rows := delayRows(timesOf(lines))
	if len(rows) == 0 {
		return errors.Wrap(errNoJobs, logs)
	}
	if plotFile != "" {
		if err := plotLog(lines, plotFile); err != nil {
			return errors.Wrap(err, logs)
		}
	}
	table := make([][]string, 0, len(rows))
	for _, r := range rows {
		line := []string{r.Queue, r.Part, fmt.Sprint(r.Jobs), "", "", ""}
		if r.Sum > 0 {
			line = append(line[:3], millis(r.P50), millis(r.P95), fmt.Sprintf("%.1f", r.Sum.Seconds()))
		}
		table = append(table, line)
	}
	return c.table(rows, "QUEUE\tPART\tJOBS\tP50_MS\tP95_MS\tSUM_S", table)
}

func millis(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond)) }

// timesOf collects the times of each job from the log lines.
func timesOf(lines []logLine) []*jobTimes {
	byID := map[string]*jobTimes{}
	var list []*jobTimes
	for _, l := range lines {
		if l.Job == "" {
			continue
		}
		j := byID[l.Job]
		if j == nil {
			j = &jobTimes{}
			byID[l.Job] = j
			list = append(list, j)
		}
		j.apply(l)
	}
	return slices.DeleteFunc(list, func(j *jobTimes) bool { return j.queue == "" })
}

func (j *jobTimes) apply(l logLine) {
	switch l.Event {
	case "job.submitted":
		j.queue = l.Queue
		if arrived := l.Time.Add(-time.Duration(l.Took * float64(time.Millisecond))); j.submitted.IsZero() || arrived.Before(j.submitted) {
			j.submitted = arrived
		}
		if j.accepted.IsZero() {
			j.verdict = l.Verdict
		}
		if l.Verdict == "accepted" && j.accepted.IsZero() {
			j.accepted = l.Time
		}
	case "run.start":
		if j.started.IsZero() {
			j.started = l.Time
		}
	case "run.ended":
		j.lastEnded = l.Time
	case "job.completed":
		j.completed = l.Time
	case "job.cancelled", "job.failed":
		j.cancelled = true
	}
}

func delayRows(jobs []*jobTimes) []delayRow {
	queues := map[string][]*jobTimes{}
	var names []string
	for _, j := range jobs {
		if queues[j.queue] == nil {
			names = append(names, j.queue)
		}
		queues[j.queue] = append(queues[j.queue], j)
	}
	slices.Sort(names)
	var rows []delayRow
	for _, name := range names {
		for _, s := range stages {
			rows = append(rows, s.row(name, queues[name]))
		}
		rows = append(rows, incompleteRows(name, queues[name])...)
	}
	return rows
}

// row summarises one stage over the jobs that were completed.
func (s stage) row(queue string, jobs []*jobTimes) delayRow {
	r := delayRow{Queue: queue, Part: s.name}
	var took []time.Duration
	for _, j := range jobs {
		from, to := s.from(j), s.to(j)
		if j.completed.IsZero() || from.IsZero() || to.IsZero() {
			continue
		}
		d := max(0, to.Sub(from))
		took = append(took, d)
		r.Sum += d
	}
	if r.Jobs = len(took); r.Jobs > 0 {
		slices.Sort(took)
		r.P50, r.P95 = took[len(took)/2], took[len(took)*95/100]
	}
	return r
}

// incompleteRows counts the jobs that were not completed, by the state that they reached.
func incompleteRows(queue string, jobs []*jobTimes) []delayRow {
	counts := map[string]int{}
	for _, j := range jobs {
		switch {
		case !j.completed.IsZero() || j.cancelled:
		case j.accepted.IsZero():
			counts["never accepted, last told: "+j.verdict]++
		case j.started.IsZero():
			counts["accepted, not begun"]++
		default:
			counts["begun, not completed"]++
		}
	}
	var rows []delayRow
	for part, n := range counts {
		rows = append(rows, delayRow{Queue: queue, Part: part, Jobs: n})
	}
	slices.SortFunc(rows, func(a, b delayRow) int { return cmp.Compare(a.Part, b.Part) })
	return rows
}
