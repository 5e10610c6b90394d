package main

import (
	"fmt"
	"sort"
	"strings"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
)

// checks are the doctor's checks, in the order of its report.
var checks = []func(o *observations) []finding{checkAnswers, checkConditions, checkReach, checkOffsets, checkSettings, checkOwners, checkLiveness, checkDivergence, checkWorkers, checkBuilds}

// latest returns the newest dump of each scheduler.
func (o *observations) latest() map[string]schedulerDump {
	if o.recheckedDumps != nil {
		return o.recheckedDumps
	}
	return o.dumps
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (o *observations) newestOffset() infra.Offset {
	var newest infra.Offset
	for _, d := range o.latest() {
		newest = max(newest, d.Offset)
	}
	return newest
}

// checkAnswers reports entries and schedulers that did not answer.
func checkAnswers(o *observations) []finding {
	var found []finding
	for _, p := range o.probes {
		switch {
		case p.err != nil:
			found = append(found, finding{Subject: p.id, What: "does not answer: " + p.err.Error()})
		case p.schedulerErr != nil:
			found = append(found, finding{Subject: p.id, What: "its scheduler does not answer: " + p.schedulerErr.Error()})
		}
	}
	return found
}

// checkConditions reports the conditions of each process.
func checkConditions(o *observations) []finding {
	var found []finding
	add := func(id string, p []finding) {
		for _, t := range p {
			t.Subject = id
			found = append(found, t)
		}
	}
	for _, p := range o.probes {
		add(p.id, conditionsOf(p.dump.Process.Conditions))
	}
	dumps := o.latest()
	for _, id := range sortedKeys(dumps) {
		add(id, conditionsOf(dumps[id].Process.Conditions))
	}
	return found
}

// checkReach reports entries that can't reach a scheduler.
func checkReach(o *observations) []finding {
	var found []finding
	for _, p := range o.probes {
		for _, r := range p.reach.Schedulers {
			if !r.OK {
				found = append(found, finding{Subject: p.id, What: fmt.Sprintf("does not reach scheduler %s at %s: %s", r.Scheduler, r.Addr, r.Error)})
			}
		}
	}
	return found
}

// checkOffsets reports schedulers that have not read the log as far as others had read it
// in their first dumps.
func checkOffsets(o *observations) []finding {
	var newest infra.Offset
	for _, d := range o.dumps {
		newest = max(newest, d.Offset)
	}
	var found []finding
	dumps := o.latest()
	for _, id := range sortedKeys(dumps) {
		if d := dumps[id]; d.Offset < newest {
			found = append(found, finding{Subject: id, What: fmt.Sprintf("has read the log to offset %d, others were at %d %s earlier", d.Offset, newest, recheckDelay)})
		}
	}
	return found
}

// checkSettings reports entries that lack a settings change that others have.
func checkSettings(o *observations) []finding {
	newest := map[string]infra.Offset{}
	versions := map[string]entry.SettingsBody{}
	for _, p := range o.probes {
		if p.err != nil {
			continue
		}
		for _, t := range p.settings.Teams {
			newest[t.Team] = max(newest[t.Team], t.Version)
		}
		versions[p.id] = p.settings
	}
	for id, st := range o.recheckedSettings {
		versions[id] = st
	}
	var found []finding
	for _, id := range sortedKeys(versions) {
		have := map[string]infra.Offset{}
		for _, t := range versions[id].Teams {
			have[t.Team] = t.Version
		}
		for _, team := range sortedKeys(newest) {
			if have[team] < newest[team] {
				found = append(found, finding{Subject: id, What: fmt.Sprintf("has version %d of the settings of team %s, others have %d", have[team], team, newest[team])})
			}
		}
	}
	return found
}

// checkOwners reports units without an owner, with two owners, or whose owner does not
// answer.
func checkOwners(o *observations) []finding {
	var found []finding
	if len(o.instances.Unowned) > 0 {
		found = append(found, finding{Subject: "ownership", What: fmt.Sprintf("nobody owns %v", o.instances.Unowned)})
	}
	dumps := o.latest()
	owners := map[string][]string{}
	for _, id := range sortedKeys(dumps) {
		for _, s := range dumps[id].Shards {
			owners[string(s.Unit)] = append(owners[string(s.Unit)], fmt.Sprintf("%s (epoch %d)", id, s.Epoch))
		}
		for _, h := range dumps[id].Homes {
			owners[string(h.Unit)] = append(owners[string(h.Unit)], fmt.Sprintf("%s (epoch %d)", id, h.Epoch))
		}
	}
	for _, unit := range sortedKeys(owners) {
		if len(owners[unit]) > 1 {
			found = append(found, finding{Subject: unit, What: "held by " + strings.Join(owners[unit], " and ") + "; the higher epoch is the owner, workers refuse the other"})
		}
	}
	for _, i := range o.instances.Instances {
		if _, answers := dumps[i.ID]; i.Service == control.SchedService && !answers && i.Shards+i.Homes > 0 {
			found = append(found, finding{Subject: i.ID, What: fmt.Sprintf("owns %d shards and %d homes and does not answer", i.Shards, i.Homes)})
		}
	}
	return found
}

// checkLiveness reports schedulers that consider another one dead although it answers.
func checkLiveness(o *observations) []finding {
	var found []finding
	dumps := o.latest()
	for _, id := range sortedKeys(dumps) {
		live := map[string]bool{}
		for _, m := range dumps[id].Live {
			live[membership.ID(m)] = true
		}
		for _, other := range sortedKeys(dumps) {
			if other != id && !live[other] && !dumps[other].Leaving {
				found = append(found, finding{Subject: id, What: fmt.Sprintf("takes scheduler %s for dead, which answers", other)})
			}
		}
	}
	return found
}

// checkDivergence reports schedulers that have read the same records and reached different
// states, which must never happen.
func checkDivergence(o *observations) []finding {
	var found []finding
	dumps := o.latest()
	first := map[infra.Offset]string{}
	for _, id := range sortedKeys(dumps) {
		d := dumps[id]
		other, seen := first[d.Offset]
		if !seen {
			first[d.Offset] = id
			continue
		}
		if a, b := fmt.Sprint(d.Teams), fmt.Sprint(dumps[other].Teams); a != b {
			found = append(found, finding{Subject: id, What: fmt.Sprintf("is at offset %d like %s and knows other teams: %s and %s. Do their builds differ?", d.Offset, other, a, b)})
		}
	}
	return found
}

// checkWorkers reports workers that have not answered the owner of their shard yet, and
// quarantined ones, which get no tasks.
func checkWorkers(o *observations) []finding {
	var found []finding
	dumps := o.latest()
	for _, id := range sortedKeys(dumps) {
		for _, s := range dumps[id].Shards {
			var silent []string
			for _, w := range s.Workers {
				if !w.Reconciled {
					silent = append(silent, w.ID)
				}
				if w.Quarantine != "" {
					found = append(found, finding{Subject: w.ID, What: "gets no tasks, quarantined: " + w.Quarantine})
				}
			}
			if len(silent) > 0 {
				found = append(found, finding{Subject: string(s.Unit), What: fmt.Sprintf("%d of %d workers not heard by %s: %s", len(silent), len(s.Workers), id, strings.Join(silent, ", "))})
			}
		}
	}
	return found
}

// checkBuilds reports the builds if more than one is running.
func checkBuilds(o *observations) []finding {
	builds := map[string][]string{}
	for _, p := range o.probes {
		if p.err == nil {
			builds[p.dump.Process.Build] = append(builds[p.dump.Process.Build], p.id)
		}
	}
	dumps := o.latest()
	for _, id := range sortedKeys(dumps) {
		b := dumps[id].Process.Build
		builds[b] = append(builds[b], id)
	}
	if len(builds) < 2 {
		return nil
	}
	var parts []string
	for _, b := range sortedKeys(builds) {
		parts = append(parts, fmt.Sprintf("%q runs as %s", b, strings.Join(builds[b], ", ")))
	}
	return []finding{{Subject: "builds", What: "differ: " + strings.Join(parts, "; ")}}
}

func conditionsOf(list []daemon.Condition) []finding {
	var found []finding
	for _, c := range list {
		what := c.Name
		if c.Subject != "" {
			what += " " + c.Subject
		}
		if c.Detail != "" {
			what += ": " + c.Detail
		}
		found = append(found, finding{What: what, Since: &c.Since})
	}
	return found
}
