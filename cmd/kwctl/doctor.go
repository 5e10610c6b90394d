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

// settleTime is how long what differs between two answers may take to become
// equal before it is reported: entries and schedulers are asked one after the
// other while the cell goes on.
const settleTime = 2 * time.Second

func (c *console) doctorCommand() *verb {
	return &verb{console: c, name: "doctor", run: func(ctx context.Context, _ []string) error { return c.doctor(ctx) },
		synopsis: "ask every entry and scheduler what it sees, and say what is wrong and since when",
		help: "Compared are offsets, versions of settings, owners, builds, who reaches whom, and what\n" +
			"each process says is wrong with it. What differs only for a moment is asked again.\n" +
			"The exit status is 0 if nothing is wrong, 1 otherwise."}
}

// entryDump is what the doctor reads of an entry's dump.
type entryDump struct {
	Process   daemon.Status `json:"process"`
	Scheduler string        `json:"scheduler"`
	Offset    infra.Offset  `json:"offset"`
	LogDown   bool          `json:"logDown"`
}

// probe is what one entry answered, and the scheduler of its instance.
type probe struct {
	id, addr     string
	err          error
	dump         entryDump
	settings     entry.SettingsBody
	reach        entry.ReachBody
	scheduler    *schedulerDump
	schedulerErr error
}

// checkup is everything the doctor has read.
type checkup struct {
	instances entry.InstancesBody
	probes    []probe
	// dumps are the schedulers' dumps, later those asked again after the
	// settle time.
	dumps, settled map[string]schedulerDump
	// versions are the entries' versions of settings, asked again.
	settledVersions map[string]entry.SettingsBody
}

func (c *console) doctor(ctx context.Context) error {
	var k checkup
	if err := c.ask(ctx, "/v1/instances", &k.instances); err != nil {
		return err
	}
	var entries []entry.InstanceRow
	for _, i := range k.instances.Instances {
		if i.Service == control.EntryService {
			entries = append(entries, i)
		}
	}
	c.note("asking %d entries and their schedulers", len(entries))
	k.probes = make([]probe, len(entries))
	each(entries, func(i int, inst entry.InstanceRow) { k.probes[i] = c.probe(ctx, inst) })
	k.dumps = c.remainingDumps(ctx, &k)
	if k.unsettled() {
		c.note("not all agree; asking again in %s", settleTime)
		if err := pause(ctx, settleTime); err != nil {
			return err
		}
		c.settle(ctx, &k)
	}
	return c.diagnose(&k)
}

// question is one question to an entry, and where its answer goes.
type question struct {
	path string
	out  any
}

func (c *console) probe(ctx context.Context, inst entry.InstanceRow) probe {
	p := probe{id: inst.ID, addr: inst.Addr}
	var d schedulerDump
	questions := []question{{"/dump", &p.dump}, {"/v1/settings", &p.settings}, {"/v1/reach", &p.reach}, {"/v1/scheduler/dump", &d}}
	errs := make([]error, len(questions))
	each(questions, func(i int, q question) { errs[i] = c.get(ctx, inst.Addr, q.path, q.out) })
	p.err = cmp.Or(errs[0], errs[1], errs[2])
	if p.schedulerErr = errs[3]; p.schedulerErr == nil {
		p.scheduler = &d
	}
	return p
}

// remainingDumps returns the dumps of all schedulers; those whose own entry did
// not answer are asked through the entry of the command line.
func (c *console) remainingDumps(ctx context.Context, k *checkup) map[string]schedulerDump {
	dumps := map[string]schedulerDump{}
	for _, p := range k.probes {
		if p.scheduler != nil {
			dumps[p.scheduler.Process.ID] = *p.scheduler
		}
	}
	var missing []string
	for _, i := range k.instances.Instances {
		if _, have := dumps[i.ID]; !have && i.Service == control.SchedService {
			missing = append(missing, i.ID)
		}
	}
	answers := make([]*schedulerDump, len(missing))
	each(missing, func(i int, id string) {
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

// unsettled says whether anything was seen that may be a matter of moments.
func (k *checkup) unsettled() bool {
	return len(checkOffsets(k)) > 0 || len(checkSettings(k)) > 0 || len(checkOwners(k)) > 0 || len(checkLive(k)) > 0
}

// settle asks again what may have differed only for a moment.
func (c *console) settle(ctx context.Context, k *checkup) {
	k.settled = c.remainingDumps(ctx, &checkup{instances: k.instances})
	answers := make([]*entry.SettingsBody, len(k.probes))
	each(k.probes, func(i int, p probe) {
		if st, err := c.entryStatus(ctx, p.addr); p.err == nil && err == nil {
			answers[i] = &st
		}
	})
	k.settledVersions = map[string]entry.SettingsBody{}
	for i, st := range answers {
		if st != nil {
			k.settledVersions[k.probes[i].id] = *st
		}
	}
	var fresh entry.InstancesBody
	if c.ask(ctx, "/v1/instances", &fresh) == nil {
		k.instances = fresh
	}
}

// trouble is one thing that is wrong.
type trouble struct {
	// Subject is the process or the thing it is about.
	Subject string     `json:"subject"`
	What    string     `json:"what"`
	Since   *time.Time `json:"since,omitempty"`
}

// verdict is what the doctor says in JSON.
type verdict struct {
	Entries    int          `json:"entries"`
	Schedulers int          `json:"schedulers"`
	Offset     infra.Offset `json:"offset"`
	Troubles   []trouble    `json:"troubles"`
}

func (c *console) diagnose(k *checkup) error {
	v := verdict{Entries: len(k.probes), Schedulers: len(k.latest()), Offset: k.newestOffset(), Troubles: []trouble{}}
	for _, check := range checks {
		v.Troubles = append(v.Troubles, check(k)...)
	}
	if err := c.printVerdict(v); err != nil {
		return err
	}
	if len(v.Troubles) > 0 {
		return errSaid
	}
	return nil
}

func (c *console) printVerdict(v verdict) error {
	if c.output == outputJSON {
		return c.json(v)
	}
	if len(v.Troubles) == 0 {
		c.say("nothing is wrong: %d entries and %d schedulers agree at offset %d", v.Entries, v.Schedulers, v.Offset)
		return nil
	}
	var rows [][]string
	for _, t := range v.Troubles {
		since := "-"
		if t.Since != nil {
			since = fmt.Sprintf("%s (%s)", t.Since.Local().Format(time.DateTime), time.Since(*t.Since).Round(time.Second))
		}
		rows = append(rows, []string{t.Subject, since, t.What})
	}
	if err := c.table(v, "SUBJECT SINCE WHAT", rows); err != nil {
		return err
	}
	c.say("%d things are wrong at %d entries and %d schedulers", len(v.Troubles), v.Entries, v.Schedulers)
	return nil
}
