package main

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/infra"
)

// recheckDelay is the delay after which answers that differ are requested again; only
// differences that persist are reported. Processes answer at slightly different times while
// the cell's state changes, so transient differences are normal.
const recheckDelay = 2 * time.Second

func (c *console) doctorCommand() *command {
	return &command{console: c, name: "doctor", run: func(ctx context.Context, _ []string) error { return c.doctor(ctx) },
		synopsis: "ask every entry and scheduler what it sees, and say what is wrong and since when",
		help: "Compared are offsets, versions of settings, owners, builds, who reaches whom, and what\n" +
			"each process says is wrong with it. What differs only for a moment is asked again.\n" +
			"The exit status is 0 if nothing is wrong, 1 otherwise."}
}

// entryDump holds the fields of an entry's dump that the doctor uses.
type entryDump struct {
	Process   daemon.Status `json:"process"`
	Scheduler string        `json:"scheduler"`
	Offset    infra.Offset  `json:"offset"`
	LogDown   bool          `json:"logDown"`
}

// probe holds the answers of one entry and of its scheduler.
type probe struct {
	id, addr     string
	err          error
	dump         entryDump
	settings     entry.SettingsBody
	reach        entry.ReachBody
	scheduler    *schedulerDump
	schedulerErr error
}

// observations holds everything that the doctor has read from the cell.
type observations struct {
	instances entry.InstancesBody
	probes    []probe
	// dumps are the first dumps of the schedulers; recheckedDumps are those
	// fetched after recheckDelay, nil if there was no recheck.
	dumps, recheckedDumps map[string]schedulerDump
	// recheckedSettings are the entries' settings versions fetched after recheckDelay.
	recheckedSettings map[string]entry.SettingsBody
}

func (c *console) doctor(ctx context.Context) error {
	var o observations
	if err := c.ask(ctx, "/v1/instances", &o.instances); err != nil {
		return err
	}
	var entries []entry.InstanceRow
	for _, i := range o.instances.Instances {
		if i.Service == control.EntryService {
			entries = append(entries, i)
		}
	}
	c.logf("asking %d entries and their schedulers", len(entries))
	o.probes = make([]probe, len(entries))
	forEachConcurrently(entries, func(i int, inst entry.InstanceRow) { o.probes[i] = c.probe(ctx, inst) })
	o.dumps = c.remainingDumps(ctx, &o)
	if o.needsRecheck() {
		c.logf("not all agree; asking again in %s", recheckDelay)
		if err := pause(ctx, recheckDelay); err != nil {
			return err
		}
		c.recheck(ctx, &o)
	}
	return c.report(&o)
}

// query is one GET request to an entry; out is where its answer is decoded.
type query struct {
	path string
	out  any
}

func (c *console) probe(ctx context.Context, inst entry.InstanceRow) probe {
	p := probe{id: inst.ID, addr: inst.Addr}
	var d schedulerDump
	queries := []query{{"/dump", &p.dump}, {"/v1/settings", &p.settings}, {"/v1/reach", &p.reach}, {"/v1/scheduler/dump", &d}}
	errs := make([]error, len(queries))
	forEachConcurrently(queries, func(i int, q query) { errs[i] = c.get(ctx, inst.Addr, q.path, q.out) })
	p.err = cmp.Or(errs[0], errs[1], errs[2])
	if p.schedulerErr = errs[3]; p.schedulerErr == nil {
		p.scheduler = &d
	}
	return p
}

// remainingDumps returns the dumps of all schedulers. Those that the probes lack are
// fetched through the entry of the command line.
func (c *console) remainingDumps(ctx context.Context, o *observations) map[string]schedulerDump {
	dumps := map[string]schedulerDump{}
	for _, p := range o.probes {
		if p.scheduler != nil {
			dumps[p.scheduler.Process.ID] = *p.scheduler
		}
	}
	var missing []string
	for _, i := range o.instances.Instances {
		if _, have := dumps[i.ID]; !have && i.Service == control.SchedService {
			missing = append(missing, i.ID)
		}
	}
	answers := make([]*schedulerDump, len(missing))
	forEachConcurrently(missing, func(i int, id string) {
		var d schedulerDump
		if c.ask(ctx, "/v1/schedulers/"+url.PathEscape(id)+"/dump", &d) == nil {
			answers[i] = &d
		}
	})
	for i, d := range answers {
		if d != nil {
			dumps[missing[i]] = *d
		}
	}
	return dumps
}

// needsRecheck reports whether any finding may be a transient difference.
func (o *observations) needsRecheck() bool {
	return len(checkOffsets(o)) > 0 || len(checkSettings(o)) > 0 || len(checkOwners(o)) > 0 || len(checkLiveness(o)) > 0
}

// recheck fetches again what may have differed only transiently.
func (c *console) recheck(ctx context.Context, o *observations) {
	o.recheckedDumps = c.remainingDumps(ctx, &observations{instances: o.instances})
	answers := make([]*entry.SettingsBody, len(o.probes))
	forEachConcurrently(o.probes, func(i int, p probe) {
		if st, err := c.entryStatus(ctx, p.addr); p.err == nil && err == nil {
			answers[i] = &st
		}
	})
	o.recheckedSettings = map[string]entry.SettingsBody{}
	for i, st := range answers {
		if st != nil {
			o.recheckedSettings[o.probes[i].id] = *st
		}
	}
	var fresh entry.InstancesBody
	if c.ask(ctx, "/v1/instances", &fresh) == nil {
		o.instances = fresh
	}
}

// finding is one problem that the doctor has found.
type finding struct {
	// Subject is the process, unit or worker that has the problem.
	Subject string     `json:"subject"`
	What    string     `json:"what"`
	Since   *time.Time `json:"since,omitempty"`
}

// doctorReport is the JSON output of the doctor.
type doctorReport struct {
	Entries    int          `json:"entries"`
	Schedulers int          `json:"schedulers"`
	Offset     infra.Offset `json:"offset"`
	Findings   []finding    `json:"troubles"`
}

func (c *console) report(o *observations) error {
	v := doctorReport{Entries: len(o.probes), Schedulers: len(o.latest()), Offset: o.newestOffset(), Findings: []finding{}}
	for _, check := range checks {
		v.Findings = append(v.Findings, check(o)...)
	}
	if err := c.printReport(v); err != nil {
		return err
	}
	if len(v.Findings) > 0 {
		return errReported
	}
	return nil
}

func (c *console) printReport(v doctorReport) error {
	if c.output == outputJSON {
		return c.json(v)
	}
	if len(v.Findings) == 0 {
		c.printf("nothing is wrong: %d entries and %d schedulers agree at offset %d", v.Entries, v.Schedulers, v.Offset)
		return nil
	}
	var rows [][]string
	for _, t := range v.Findings {
		since := "-"
		if t.Since != nil {
			since = fmt.Sprintf("%s (%s)", t.Since.Local().Format(time.DateTime), time.Since(*t.Since).Round(time.Second))
		}
		rows = append(rows, []string{t.Subject, since, t.What})
	}
	if err := c.table(v, "SUBJECT SINCE WHAT", rows); err != nil {
		return err
	}
	c.printf("%d things are wrong at %d entries and %d schedulers", len(v.Findings), v.Entries, v.Schedulers)
	return nil
}
