package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/pool/returns"
)

func (c *console) roomCommand() *command {
	var dumps, job string
	return &command{console: c, name: "room", args: "[ADDRESS...]", maxArgs: unlimitedArgs,
		run: func(ctx context.Context, args []string) error { return c.room(ctx, args, dumps, job) },
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dumps, "dump", "", "`file` with dumps of instances, one after the other, - is standard input; nobody is asked then")
			f.StringVar(&job, "job", "", "print the grounds on which this `job` was refused")
		},
		synopsis: "tell each queue's head room, whether it refuses jobs now, and when callers should return",
		help: "ADDRESS is where a kw-node serves its counters; without one $KW_ENTRY is asked. Only a pool's\n" +
			"owner knows its room, so name all instances, or any one, which names the owners.\n" +
			"A row is what the queue's next job finds: the work ahead of it that can still be in time, the\n" +
			"cores that work it off, and how long it would wait for room, for advice and for starts, beside\n" +
			"the wait that is seen; SCARCE is the longest. HANDED_IN is the work handed in of late over the\n" +
			"room. REFUSES and RETURN_MS tell what a job like the queue's newest would be told now,\n" +
			"RETURNING how many callers of refused jobs hold a turn."}
}

// nodeDump holds the fields of a kw-node's dump that kwctl uses.
type nodeDump struct {
	Process daemon.Status `json:"process"`
	node.Dump
}

// poolView is the state of a pool as its owner reports it, or without an admission report
// if another instance does.
type poolView struct {
	// ReportedBy is the instance whose dump it is from.
	ReportedBy string `json:"told"`
	node.PoolDump
}

func (c *console) room(ctx context.Context, addrs []string, file, job string) error {
	dumps, errs := c.nodeDumps(ctx, addrs, file)
	pools := newestPools(dumps)
	if len(pools) == 0 {
		return joinErrors(append(errs, errors.New("no dump names a pool; is it a kw-node's?")))
	}
	if job != "" {
		return c.printRefusals(pools, job)
	}
	if c.output == outputJSON {
		if err := c.json(pools); err != nil {
			return err
		}
		return joinErrors(errs)
	}
	for _, p := range pools {
		if err := c.printPool(p); err != nil {
			return err
		}
	}
	return joinErrors(errs)
}

// nodeDumps reads dumps from a file, or fetches them from the instances.
func (c *console) nodeDumps(ctx context.Context, addrs []string, file string) (dumps []nodeDump, errs []error) {
	if file != "" {
		data, err := c.file(file)
		if err != nil {
			return nil, []error{err}
		}
		dumps, err = decodeDumps(data)
		if err != nil {
			return dumps, []error{errors.Wrap(err, file)}
		}
		return dumps, nil
	}
	if len(addrs) == 0 && c.entry == "" {
		return nil, []error{&usageError{"which instance? give an ADDRESS, -entry, $KW_ENTRY or -dump"}}
	}
	if len(addrs) == 0 {
		addrs = []string{c.entry}
	}
	answers, failed := make([]nodeDump, len(addrs)), make([]error, len(addrs))
	forEachConcurrently(addrs, func(i int, addr string) {
		failed[i] = errors.Wrap(c.get(ctx, addr, "/dump", &answers[i]), addr)
	})
	for i := range addrs {
		if failed[i] != nil {
			errs = append(errs, failed[i])
			continue
		}
		dumps = append(dumps, answers[i])
	}
	return dumps, errs
}

// decodeDumps decodes a sequence of JSON documents.
func decodeDumps(data []byte) ([]nodeDump, error) {
	var dumps []nodeDump
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var d nodeDump
		err := dec.Decode(&d)
		if errors.Is(err, io.EOF) {
			return dumps, nil
		}
		if err != nil {
			return dumps, errors.Wrapf(err, "dump %d", len(dumps)+1)
		}
		dumps = append(dumps, d)
	}
}

// newestPools returns each pool once: from the dump of its owner with the newest epoch, or
// else from an instance that has the newest epoch.
func newestPools(dumps []nodeDump) []poolView {
	best := map[int]poolView{}
	for _, d := range dumps {
		for _, p := range d.Pools {
			if old, known := best[p.Pool]; !known || supersedes(p, old.PoolDump) {
				best[p.Pool] = poolView{ReportedBy: d.Process.ID, PoolDump: p}
			}
		}
	}
	list := make([]poolView, 0, len(best))
	for _, p := range best {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b poolView) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

func supersedes(a, b node.PoolDump) bool {
	if a.Owned != b.Owned {
		return a.Owned
	}
	return a.Epoch > b.Epoch
}

// printPool prints one pool's queues.
func (c *console) printPool(p poolView) error {
	switch {
	case p.Error != "":
		c.printf("pool %d: %s says: %s", p.Pool, p.ReportedBy, p.Error)
		return nil
	case !p.Owned:
		c.printf("%s", remotePoolText(p))
		return nil
	}
	c.printf("pool %d, owned by %s under epoch %d", p.Pool, p.ReportedBy, p.Epoch)
	if p.Unjudged != "" {
		c.printf("takes all jobs: %s", p.Unjudged)
	}
	for _, f := range p.Predecessors {
		c.printf("tasks of workers that it doesn't reach wait: the predecessor %s (epoch %d) may be confirmed by %s", f.Owner, f.Epoch, strings.Join(f.Electors, ", "))
	}
	if p.AdmissionReport == nil {
		return nil
	}
	var rows [][]string
	for _, q := range p.Queues {
		rows = append(rows, queueRow(q))
	}
	return c.table(nil, "QUEUE PRIORITY NOT_BEGUN AHEAD_CORE_S ROOM_CORES ROOM_MS ADVICE_MS STARTS_MS DELAY_MS SCARCE HANDED_IN REFUSES RETURN_MS RETURNING", rows)
}

// remotePoolText returns the owner of a pool whose owner was not asked.
func remotePoolText(p poolView) string {
	owner := cmp.Or(p.Owner, p.OwnerAddress)
	if owner == "" {
		return fmt.Sprintf("pool %d has no owner that %s knows of", p.Pool, p.ReportedBy)
	}
	return fmt.Sprintf("pool %d is owned by %s, as %s knows; ask it for its head room", p.Pool, owner, p.ReportedBy)
}

func queueRow(q pool.QueueAdmission) []string {
	row := []string{q.Queue, fmt.Sprint(q.Priority), fmt.Sprint(q.NotStarted)}
	if q.NoEstimateReason != "" {
		return append(row, "-", "-", "-", "-", "-", "-", "-", "-", "no: "+q.NoEstimateReason, "-", "-")
	}
	row = append(row, fmt.Sprintf("%.1f", q.WorkAhead.Cores), fmt.Sprintf("%.1f", q.CapacityRate.Cores))
	for _, by := range []pool.Bottleneck{pool.CapacityBottleneck, pool.AdviceBottleneck, pool.StartsBottleneck, pool.DelayBottleneck} {
		row = append(row, fmt.Sprint(q.WaitMillis[by]))
	}
	refuses, retryAfter := "no", "-"
	switch {
	case q.NewestJob == nil:
		refuses = "-" // the owner has decided on no job of this queue yet
	case q.RefusesNewest:
		refuses, retryAfter = "yes", fmt.Sprint(q.NewestJob.RetryAfterMillis)
	}
	return append(row, orDash(string(q.Bottleneck)), fmt.Sprintf("%.2f", q.OfferedLoad), refuses, retryAfter, fmt.Sprint(q.Returning))
}

// printRefusals prints the reasons for each refusal of one job.
func (c *console) printRefusals(pools []poolView, job string) error {
	found := []pool.Refusal{}
	for _, p := range pools {
		if p.AdmissionReport == nil {
			continue
		}
		for _, r := range p.Refusals {
			if r.Job == job {
				found = append(found, r)
			}
		}
	}
	if len(found) == 0 {
		return errors.Errorf("job %s is not among the newest refusals; the logs have all: kwctl why -logs FILE %s", job, job)
	}
	if c.output == outputJSON {
		return c.json(found)
	}
	for _, r := range found {
		c.printf("%s queue %s: %s", time.UnixMilli(r.AtUnixMillis).UTC().Format("15:04:05.000"), r.Queue, detailsText(r.EstimateDetails))
	}
	return nil
}

// waitReasons are the texts for what a refused job would have waited for.
var waitReasons = map[pool.Bottleneck]string{
	pool.CapacityBottleneck: "for want of room",
	pool.AdviceBottleneck:   "for want of answers of the advice service",
	pool.StartsBottleneck:   "for want of starts by the owner",
	pool.DelayBottleneck:    "by the wait that is seen in its queue",
	pool.CapBottleneck:      "for its organisation's cap",
	pool.WeightBottleneck:   "beyond its organisation's weight while jobs wait",
}

// standingTexts are the texts for how a refused caller stood with the return schedule.
var standingTexts = map[string]string{returns.Early.String(): "it came before its turn, which stays", returns.Due.String(): "it came at its turn and keeps its place"}

// capCores returns the cores that a cap allows here.
func capCores(c *pool.CapEstimate) string {
	if c.Level[organisation.CPU] == 0 {
		return "no limit of cores"
	}
	return fmt.Sprintf("%.1f cores", float64(c.Level[organisation.CPU])/1000)
}

// detailsText returns why a job was refused.
func detailsText(g pool.EstimateDetails) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: would wait %d ms and run %d ms", cmp.Or(waitReasons[g.Bottleneck], string(g.Bottleneck)), g.WaitMillis, g.RunTimeMillis)
	fmt.Fprintf(&b, ", has %d ms", g.LimitMillis)
	if g.SinceFirstTryMillis > 0 {
		fmt.Fprintf(&b, " less the %d since its first try", g.SinceFirstTryMillis)
	}
	fmt.Fprintf(&b, "; %.1f core-seconds ahead at %.1f cores", g.BacklogCoreSeconds, g.CapacityCores)
	if g.PromisedCoreSeconds > 0 {
		fmt.Fprintf(&b, ", %.1f of them promised to returning callers", g.PromisedCoreSeconds)
	}
	if g.Cap != nil {
		fmt.Fprintf(&b, "; cap: %s, %.1f cores in use, %.1f core-seconds ahead, fits in %d ms", capCores(g.Cap), float64(g.Cap.Used[organisation.CPU])/1000,
			g.Cap.AheadCoreSeconds, g.Cap.WaitMillis)
	}
	fmt.Fprintf(&b, "; come back in %d ms", g.RetryAfterMillis)
	if text := standingTexts[g.Standing]; text != "" {
		fmt.Fprintf(&b, " (%s)", text)
	}
	return b.String()
}
