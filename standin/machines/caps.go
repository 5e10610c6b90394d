package machines

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// maxConfigLag is how long an instance may use a version of the configuration after a newer one was
// stored, with faults of the store.
const maxConfigLag = 15 * time.Second

// capsOfVersion are the caps of a version of the configuration, by organisation.
type capsOfVersion struct {
	storedAt time.Time
	caps     map[string]organisation.Amounts
}

// configured records the caps of a new version of the configuration.
func (r *Referee) configured(list []organisation.Entry) {
	v := capsOfVersion{storedAt: time.Now(), caps: map[string]organisation.Amounts{}}
	for _, o := range list {
		v.caps[o.Name] = o.Cap
	}
	r.caps = append(r.caps, v)
}

// highestCap returns the highest cap of an organisation that may be in use; ok is false if there may be no
// limit.
func (r *Referee) highestCap(org string) (highest organisation.Amounts, ok bool) {
	for i, v := range r.caps {
		if i+1 < len(r.caps) && time.Since(r.caps[i+1].storedAt) > maxConfigLag {
			continue // no longer in use
		}
		limits, limited := v.caps[org]
		if !limited {
			return highest, false
		}
		for res, amount := range limits {
			if amount == 0 {
				amount = 1 << 60
			}
			highest[res] = max(highest[res], amount)
		}
	}
	return highest, len(r.caps) > 0
}

// Use returns what an organisation's tasks use on all workers.
func (w *World) Use(org string) organisation.Amounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Referee.use(org)
}

func (r *Referee) use(org string) (sum organisation.Amounts) {
	for _, x := range r.w.order {
		if !x.alive {
			continue
		}
		for _, o := range x.runs {
			if j := r.jobs[o.task.Job]; j != nil && j.Organisation == org {
				sum = sum.Plus(o.spec.Need.Amounts())
			}
		}
	}
	return sum
}

// checkCap checks that a start doesn't bring an organisation over its cap. The run isn't listed yet.
func (r *Referee) checkCap(j *jobRecord, s pool.Start) {
	if j.Organisation == "" {
		return
	}
	limit, limited := r.highestCap(j.Organisation)
	if used := r.use(j.Organisation).Plus(j.Steps[s.Task.Step].Need.Amounts()); limited && !used.Within(limit) {
		r.finding("QUOTA", "%v brings %s to %v of %v; it runs %s", s.Task, j.Organisation, used, limit, r.runsOf(j.Organisation))
	}
}

// runsOf lists an organisation's runs on all workers.
func (r *Referee) runsOf(org string) string {
	var list []string
	for _, x := range r.w.order {
		for _, o := range x.runs {
			if j := r.jobs[o.task.Job]; x.alive && j != nil && j.Organisation == org {
				list = append(list, fmt.Sprintf("%v run %d on %s (stops %t, gang waits %t)", o.task, o.number, x.id, !o.stopAt.IsZero(), o.waitingForGang))
			}
		}
	}
	return strings.Join(list, ", ")
}
