package placement

import (
	"fmt"
	"slices"
	"time"
)

// When a worker is taken for bad, and for how long.
const (
	// suspectWeight is how much evidence makes a worker suspect: it then gets one
	// task at a time, which bounds what it can take from a queue.
	suspectWeight = 3
	// quarantineJobs and quarantineTeams are how many jobs, of how many teams, must
	// have failed on a worker for a quarantine. A bad job alone never fills them.
	quarantineJobs  = 3
	quarantineTeams = 2
	// quarantineOneTeam is the number of jobs that does when all are of one team.
	quarantineOneTeam = 5
	// quarantineTasks is how many tasks of one job must have failed that the job
	// runs elsewhere.
	quarantineTasks = 3
	// quarantineFirst is the first time out; each failed probe doubles it.
	quarantineFirst = 30 * time.Second
	quarantineMax   = 10 * time.Minute
	// keepOutcomes bounds the jobs whose outcomes a shard remembers.
	keepOutcomes = 256
)

// jobKey names what is alike: a job's tasks, and jobs of one name in one team.
type jobKey struct{ team, name string }

func jobKeyOf(sl *slot) jobKey {
	if sl.hints.name != "" {
		return jobKey{sl.hints.team, sl.hints.name}
	}
	return jobKey{sl.hints.team, sl.attempt.Job}
}

// jobFailures counts the tasks of one job that have failed on a worker.
type jobFailures struct {
	key   jobKey
	tasks int
}

// health is what the outcomes since a worker's last success say of it.
type health struct {
	failed  []jobFailures
	suspect bool
	// until is the end of a quarantine; zero when there is none.
	until  time.Duration
	length time.Duration
	// probing means that the quarantine is over and the next outcome decides.
	probing bool
	reason  string
}

// outcome is where a job has failed, and one worker where it has succeeded.
type outcome struct {
	succeededOn string
	failedOn    []string
}

// ranWell clears a worker: whatever failed on it, it can run tasks. Other workers
// on which the same job failed look worse now.
func (s *Shard) ranWell(now time.Duration, sl *slot) {
	key := jobKeyOf(sl)
	sl.worker.health = health{}
	s.outcome(key).succeededOn = sl.worker.ID
	for _, w := range s.order {
		if w.health.of(key) != nil {
			s.weigh(now, w)
		}
	}
}

// ranBadly notes a task's failure at its worker and at its job.
func (s *Shard) ranBadly(now time.Duration, sl *slot) {
	w, key := sl.worker, jobKeyOf(sl)
	h := &w.health
	if f := h.of(key); f != nil {
		f.tasks++
	} else if len(h.failed) < keepOutcomes {
		h.failed = append(h.failed, jobFailures{key, 1})
	}
	if o := s.outcome(key); !slices.Contains(o.failedOn, w.ID) {
		o.failedOn = append(o.failedOn, w.ID)
	}
	if h.probing {
		h.quarantine(now)
		return
	}
	s.weigh(now, w)
}

func (h *health) of(key jobKey) *jobFailures {
	for i := range h.failed {
		if h.failed[i].key == key {
			return &h.failed[i]
		}
	}
	return nil
}

// weigh judges a worker by its failures. A job that runs elsewhere counts with
// each failed task, any other job once: its fault may be its own. A job that
// fails also where other jobs succeed is bad itself and doesn't count.
func (s *Shard) weigh(now time.Duration, w *worker) {
	h := &w.health
	weight, jobs, runsElsewhere := 0, 0, 0
	var teams []string
	for _, f := range h.failed {
		o := s.outcomes[f.key]
		elsewhere := o != nil && o.succeededOn != "" && o.succeededOn != w.ID
		if !elsewhere && s.isBadJob(o, w) {
			continue
		}
		jobs++
		weight++
		if elsewhere {
			weight += f.tasks - 1
			runsElsewhere = max(runsElsewhere, f.tasks)
		}
		if !slices.Contains(teams, f.key.team) {
			teams = append(teams, f.key.team)
		}
	}
	h.suspect = weight >= suspectWeight
	bad := runsElsewhere >= quarantineTasks || jobs >= quarantineOneTeam || (jobs >= quarantineJobs && len(teams) >= quarantineTeams)
	if bad && now >= h.until {
		h.quarantine(now)
	}
}

// isBadJob reports whether a job has failed on another worker that is not
// suspect. On a rack where everything fails all workers are, and the jobs are not
// blamed.
func (s *Shard) isBadJob(o *outcome, here *worker) bool {
	if o == nil {
		return false
	}
	for _, id := range o.failedOn {
		if w := s.workers[id]; w != nil && w != here && !w.health.suspect {
			return true
		}
	}
	return false
}

func (h *health) quarantine(now time.Duration) {
	h.length = min(max(2*h.length, quarantineFirst), quarantineMax)
	h.until, h.probing, h.suspect = now+h.length, false, true
	h.reason = fmt.Sprintf("tasks of %d jobs failed here and none succeeded since; out for %s, then probed", len(h.failed), h.length)
}

// outcome returns the record of a job. The oldest is dropped for a new one: a
// shard that remembered every job would grow for good.
func (s *Shard) outcome(key jobKey) *outcome {
	if o := s.outcomes[key]; o != nil {
		return o
	}
	if len(s.outcomeOrder) >= keepOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
	o := &outcome{}
	s.outcomes[key] = o
	s.outcomeOrder = append(s.outcomeOrder, key)
	return o
}

// quarantined removes workers that fail what others run. After its time a worker
// is probed: it gets one task, and the outcome decides. A suspect worker gets one
// task at a time too.
type quarantined struct{}

func (quarantined) name() Filter { return FilterQuarantined }
func (quarantined) removes(q *query, w *worker) bool {
	return w.health.suspect && (q.now < w.health.until || w.busy())
}

// takesTasks reports whether a worker's room counts in the shard's digest. One
// that is due for a probe counts: if it did not, a rack of them would never be
// asked again.
func (w *worker) takesTasks() bool {
	h := &w.health
	return w.reconciled && (!h.suspect || ((h.until == 0 || h.probing) && !w.busy()))
}

// busy reports whether anything holds a worker's room.
func (w *worker) busy() bool { return len(w.slots) > w.ended }

// endQuarantine begins the probe of a worker whose time is over.
func (w *worker) endQuarantine(now time.Duration) {
	if w.health.until > 0 && now >= w.health.until {
		w.health.probing = true
	}
}
