package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

func (c *console) whyCommand() *command {
	var logs string
	return &command{console: c, name: "why", args: "JOB", minArgs: 1, maxArgs: 1,
		run: func(_ context.Context, args []string) error { return c.why(args[0], logs) },
		flags: func(f *flag.FlagSet) {
			f.StringVar(&logs, "logs", "-", "file with the instances' logs, - is standard input")
		},
		synopsis: "tell one job's story in order, from the instances' logs",
		help: "Reads what kw-node processes wrote, of all instances and in any order, also where each line\n" +
			"begins with something else. Printed are the job's own lines, and those of its pool between\n" +
			"them that say who owned it and whether the store answered; a refusal is printed with its grounds.\n" +
			"No instance is asked."}
}

// refusedEvent is the log event with which a pool's owner refuses a job.
const refusedEvent = "job.refused"

// logLine is one line of the log of a kw-node process.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"id"`
	Event    string    `json:"message"`
	Job      string    `json:"job"`
	Pool     *int      `json:"pool"`
	Step     int       `json:"step"`
	Task     *int      `json:"task"`
	Run      int       `json:"run"`
	Worker   string    `json:"worker"`
	Reason   string    `json:"reason"`
	Queue    string    `json:"queue"`
	Verdict  string    `json:"verdict"`
	Error    string    `json:"error"`
	Epoch    uint64    `json:"epoch"`
	// Waited and Took are in milliseconds.
	Waited float64 `json:"waited"`
	Took   float64 `json:"took"`
	refusalDetails
}

// refusalDetails are the values in a log line on which a refusal was decided; times are in
// milliseconds.
type refusalDetails struct {
	Bottleneck         pool.Bottleneck `json:"scarce,omitempty"`
	Wait               float64         `json:"wait,omitempty"`
	RunTime            float64         `json:"runs,omitempty"`
	Limit              float64         `json:"limit,omitempty"`
	SinceFirstTry      float64         `json:"since_first_try,omitempty"`
	BacklogCoreSeconds float64         `json:"ahead_core_s,omitempty"`
	CapacityCores      float64         `json:"room_cores,omitempty"`
	Caller             string          `json:"caller,omitempty"`
	PromisedCoreSecs   float64         `json:"promised_core_s,omitempty"`
	CapCores           float64         `json:"cap_cores,omitempty"`
	CapUsedCores       float64         `json:"cap_used_cores,omitempty"`
	CapAheadCoreSecs   float64         `json:"cap_ahead_core_s,omitempty"`
	CapWait            *int64          `json:"cap_wait,omitempty"`
	// RetryAfter is also in the log line of the caller's request.
	RetryAfter float64 `json:"come_back,omitempty"`
}

func (g refusalDetails) text() string {
	var limit *pool.CapEstimate
	if g.CapWait != nil {
		limit = &pool.CapEstimate{AheadCoreSeconds: g.CapAheadCoreSecs, WaitMillis: *g.CapWait}
		limit.Level[organisation.CPU], limit.Used[organisation.CPU] = int64(g.CapCores*1000), int64(g.CapUsedCores*1000)
	}
	return detailsText(pool.EstimateDetails{Cap: limit, Standing: g.Caller, PromisedCoreSeconds: g.PromisedCoreSecs, Bottleneck: g.Bottleneck, WaitMillis: int64(g.Wait), RunTimeMillis: int64(g.RunTime), LimitMillis: int64(g.Limit),
		SinceFirstTryMillis: int64(g.SinceFirstTry), BacklogCoreSeconds: g.BacklogCoreSeconds, CapacityCores: g.CapacityCores, RetryAfterMillis: int64(g.RetryAfter)})
}

// why prints the log events that concern a job.
func (c *console) why(job, logs string) error {
	data, err := c.file(logs)
	if err != nil {
		return err
	}
	events := jobEvents(job, parseLog(data))
	if len(events) == 0 {
		return errors.Errorf("%s says nothing of job %s", logs, job)
	}
	if c.output == outputJSON {
		return c.table(events, "", nil)
	}
	rows := make([][]string, 0, len(events))
	for _, l := range events {
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.subject(), l.reason()})
	}
	return c.table(events, "TIME\tINSTANCE\tEVENT\tWHAT\tWHY", rows)
}

// parseLog returns the lines that are JSON log lines, sorted by time. Other lines are
// ignored, since they come from other programs.
func parseLog(data []byte) []logLine {
	var lines []logLine
	for _, text := range bytes.Split(data, []byte("\n")) {
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(text[i:], &l) == nil && l.Event != "" {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines
}

// jobEvents returns the lines of a job, and those of its pool between the first and the last
// of them.
func jobEvents(job string, lines []logLine) []logLine {
	first, last, poolID := -1, -1, -1
	for i, l := range lines {
		if l.Job != job {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		if l.Pool != nil {
			poolID = *l.Pool
		}
	}
	if first < 0 {
		return nil
	}
	var events []logLine
	for _, l := range lines[first : last+1] {
		if l.Job == job || (l.Job == "" && l.Pool != nil && *l.Pool == poolID) {
			events = append(events, l)
		}
	}
	return events
}

// subject returns the part of the job that a line is about.
func (l logLine) subject() string {
	switch {
	case l.Event == refusedEvent:
		return "queue " + l.Queue
	case l.Task == nil:
		return l.Verdict
	}
	return fmt.Sprintf("step %d task %d run %d on %s", l.Step, *l.Task, l.Run, l.Worker)
}

// reason returns the reason and the times given in a line.
func (l logLine) reason() string {
	if l.Event == refusedEvent {
		return l.text()
	}
	parts := []string{cmp.Or(l.Reason, l.Error)}
	if l.Waited > 0 {
		parts = append(parts, fmt.Sprintf("waited %.0f ms", l.Waited))
	}
	if l.Took > 0 {
		parts = append(parts, fmt.Sprintf("took %.0f ms", l.Took))
	}
	if l.RetryAfter > 0 {
		parts = append(parts, fmt.Sprintf("come back in %.0f ms", l.RetryAfter))
	}
	if l.Epoch > 0 && l.Job == "" {
		parts = append(parts, fmt.Sprintf("epoch %d", l.Epoch))
	}
	return strings.TrimPrefix(strings.Join(parts, ", "), ", ")
}
