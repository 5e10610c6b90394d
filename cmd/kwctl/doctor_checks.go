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

// checks are all checks of the doctor, in the order of its report.
var checks = []func(k *checkup) []trouble{checkAnswers, checkConditions, checkReach, checkOffsets, checkSettings, checkOwners, checkLive, checkReducers, checkWorkers, checkBuilds}

// latest returns the newest dump of each scheduler.
func (k *checkup) latest() map[string]schedulerDump {
	if k.settled != nil {
		return k.settled
	}
	return k.dumps
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (k *checkup) newestOffset() infra.Offset {
	var newest infra.Offset
	for _, d := range k.latest() {
		newest = max(newest, d.Offset)
	}
	return newest
}

// checkAnswers names what did not answer.
func checkAnswers(k *checkup) []trouble {
	var found []trouble
	for _, p := range k.probes {
		switch {
		case p.err != nil:
			found = append(found, trouble{Subject: p.id, What: "does not answer: " + p.err.Error()})
		case p.schedulerErr != nil:
			found = append(found, trouble{Subject: p.id, What: "its scheduler does not answer: " + p.schedulerErr.Error()})
		}
	}
	return found
}

// checkConditions repeats what each process says is wrong.
func checkConditions(k *checkup) []trouble {
	var found []trouble
	add := func(id string, p []trouble) {
		for _, t := range p {
			t.Subject = id
			found = append(found, t)
		}
	}
	for _, p := range k.probes {
		add(p.id, conditionsOf(p.dump.Process.Conditions))
	}
	dumps := k.latest()
	for _, id := range sortedKeys(dumps) {
		add(id, conditionsOf(dumps[id].Process.Conditions))
	}
	return found
}

// checkReach names the entries that don't reach a scheduler.
func checkReach(k *checkup) []trouble {
	var found []trouble
	for _, p := range k.probes {
		for _, r := range p.reach.Schedulers {
			if !r.OK {
				found = append(found, trouble{Subject: p.id, What: fmt.Sprintf("does not reach scheduler %s at %s: %s", r.Scheduler, r.Addr, r.Error)})
			}
		}
	}
	return found
}

// checkOffsets names the schedulers that have not read the log as far as others
// had when they were first asked.
func checkOffsets(k *checkup) []trouble {
	var newest infra.Offset
	for _, d := range k.dumps {
		newest = max(newest, d.Offset)
	}
	var found []trouble
	dumps := k.latest()
	for _, id := range sortedKeys(dumps) {
		if d := dumps[id]; d.Offset < newest {
			found = append(found, trouble{Subject: id, What: fmt.Sprintf("has read the log to offset %d, others were at %d %s earlier", d.Offset, newest, settleTime)})
		}
	}
	return found
}

// checkSettings names the entries that lack a change which others have.
func checkSettings(k *checkup) []trouble {
	newest := map[string]infra.Offset{}
	versions := map[string]entry.SettingsBody{}
	for _, p := range k.probes {
		if p.err != nil {
			continue
		}
		for _, t := range p.settings.Teams {
			newest[t.Team] = max(newest[t.Team], t.Version)
		}
		versions[p.id] = p.settings
	}
	for id, st := range k.settledVersions {
		versions[id] = st
	}
	var found []trouble
	for _, id := range sortedKeys(versions) {
		have := map[string]infra.Offset{}
		for _, t := range versions[id].Teams {
			have[t.Team] = t.Version
		}
		for _, team := range sortedKeys(newest) {
			if have[team] < newest[team] {
				found = append(found, trouble{Subject: id, What: fmt.Sprintf("has version %d of the settings of team %s, others have %d", have[team], team, newest[team])})
			}
		}
	}
	return found
}

// checkOwners names units that nobody owns, that two schedulers work for, or
// whose owner does not answer.
func checkOwners(k *checkup) []trouble {
	var found []trouble
	if len(k.instances.Unowned) > 0 {
		found = append(found, trouble{Subject: "ownership", What: fmt.Sprintf("nobody owns %v", k.instances.Unowned)})
	}
	dumps := k.latest()
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
			found = append(found, trouble{Subject: unit, What: "held by " + strings.Join(owners[unit], " and ") + "; the higher epoch is the owner, workers refuse the other"})
		}
	}
	for _, i := range k.instances.Instances {
		if _, answers := dumps[i.ID]; i.Service == control.SchedService && !answers && i.Shards+i.Homes > 0 {
			found = append(found, trouble{Subject: i.ID, What: fmt.Sprintf("owns %d shards and %d homes and does not answer", i.Shards, i.Homes)})
		}
	}
	return found
}

// checkLive names schedulers that answer here and that another one takes for dead.
func checkLive(k *checkup) []trouble {
	var found []trouble
	dumps := k.latest()
	for _, id := range sortedKeys(dumps) {
		live := map[string]bool{}
		for _, m := range dumps[id].Live {
			live[membership.ID(m)] = true
		}
		for _, other := range sortedKeys(dumps) {
			if other != id && !live[other] && !dumps[other].Leaving {
				found = append(found, trouble{Subject: id, What: fmt.Sprintf("takes scheduler %s for dead, which answers", other)})
			}
		}
	}
	return found
}

// checkReducers names schedulers that read the same records and reached another
// state: the one thing that must never happen.
func checkReducers(k *checkup) []trouble {
	var found []trouble
	dumps := k.latest()
	first := map[infra.Offset]string{}
	for _, id := range sortedKeys(dumps) {
		d := dumps[id]
		other, seen := first[d.Offset]
		if !seen {
			first[d.Offset] = id
			continue
		}
		if a, b := fmt.Sprint(d.Teams), fmt.Sprint(dumps[other].Teams); a != b {
			found = append(found, trouble{Subject: id, What: fmt.Sprintf("is at offset %d like %s and knows other teams: %s and %s. Do their builds differ?", d.Offset, other, a, b)})
		}
	}
	return found
}

// checkWorkers names workers that their shard's owner has not heard, and those
// that get no tasks.
func checkWorkers(k *checkup) []trouble {
	var found []trouble
	dumps := k.latest()
	for _, id := range sortedKeys(dumps) {
		for _, s := range dumps[id].Shards {
			var silent []string
			for _, w := range s.Workers {
				if !w.Reconciled {
					silent = append(silent, w.ID)
				}
				if w.Quarantine != "" {
					found = append(found, trouble{Subject: w.ID, What: "gets no tasks, quarantined: " + w.Quarantine})
				}
			}
			if len(silent) > 0 {
				found = append(found, trouble{Subject: string(s.Unit), What: fmt.Sprintf("%d of %d workers not heard by %s: %s", len(silent), len(s.Workers), id, strings.Join(silent, ", "))})
			}
		}
	}
	return found
}

// checkBuilds names the builds that run side by side.
func checkBuilds(k *checkup) []trouble {
	builds := map[string][]string{}
	for _, p := range k.probes {
		if p.err == nil {
			builds[p.dump.Process.Build] = append(builds[p.dump.Process.Build], p.id)
		}
	}
	dumps := k.latest()
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
	return []trouble{{Subject: "builds", What: "differ: " + strings.Join(parts, "; ")}}
}

func conditionsOf(list []daemon.Condition) []trouble {
	var found []trouble
	for _, c := range list {
		what := c.Name
		if c.Subject != "" {
			what += " " + c.Subject
		}
		if c.Detail != "" {
			what += ": " + c.Detail
		}
		found = append(found, trouble{What: what, Since: &c.Since})
	}
	return found
}
