package placement

import (
	"fmt"
	"slices"
	"time"
)

// Thresholds and durations of the quarantine of workers.
const (
	// suspectThreshold is the weight of failures that makes a worker suspect:
	// it then gets one task at a time, which limits how many tasks it can fail.
	suspectThreshold = 3
	// quarantineJobs and quarantineTeams are how many jobs, of how many teams,
	// must have failed on a worker for a quarantine. One faulty job alone never
	// reaches them.
	quarantineJobs  = 3
	quarantineTeams = 2
	// quarantineOneTeam is the number of failed jobs that suffices if all are
	// of one team.
	quarantineOneTeam = 5
	// quarantineTasks is the number of failed tasks that suffices for a job
	// that succeeds on other workers.
	quarantineTasks = 3
	// minQuarantine is the first quarantine's duration; each failed probe
	// doubles it.
	minQuarantine = 30 * time.Second
	maxQuarantine = 10 * time.Minute
	// maxOutcomes limits the jobs whose outcomes a shard stores.
	maxOutcomes = 256
)

// jobKey identifies work that is alike: the tasks of a job, and jobs of one
// name in one team.
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

// health is the assessment of a worker from the failures since its last
// success.
type health struct {
	failed  []jobFailures
	suspect bool
	// until is the end of a quarantine; zero when there is none.
	until    time.Duration
	duration time.Duration
	// probing means that the quarantine is over and the next outcome decides.
	probing bool
	reason  string
}

// outcome records where a job has failed, and one worker on which it has
// succeeded.
type outcome struct {
	succeededOn string
	failedOn    []string
}

// recordSuccess clears a worker's failures, because it has proved able to run
// tasks. Other workers on which the same job failed are evaluated again.
func (s *Shard) recordSuccess(now time.Duration, sl *slot) {
	key := jobKeyOf(sl)
	sl.worker.health = health{}
	s.outcome(key).succeededOn = sl.worker.ID
	for _, w := range s.order {
		if w.health.failuresOf(key) != nil {
			s.evaluateHealth(now, w)
		}
	}
}

// recordFailure records a task's failure for its worker and for its job.
func (s *Shard) recordFailure(now time.Duration, sl *slot) {
	w, key := sl.worker, jobKeyOf(sl)
	h := &w.health
	if f := h.failuresOf(key); f != nil {
		f.tasks++
	} else if len(h.failed) < maxOutcomes {
		h.failed = append(h.failed, jobFailures{key, 1})
	}
	if o := s.outcome(key); !slices.Contains(o.failedOn, w.ID) {
		o.failedOn = append(o.failedOn, w.ID)
	}
	if h.probing {
		h.quarantine(now)
		return
	}
	s.evaluateHealth(now, w)
}

func (h *health) failuresOf(key jobKey) *jobFailures {
	for i := range h.failed {
		if h.failed[i].key == key {
			return &h.failed[i]
		}
	}
	return nil
}

// evaluateHealth evaluates a worker by its failures. For a job that succeeds
// elsewhere each failed task counts; any other job counts once, because the
// fault may be its own. A job that also fails on other workers that are not
// suspect is considered faulty and doesn't count.
func (s *Shard) evaluateHealth(now time.Duration, w *worker) {
	h := &w.health
	weight, jobs, runsElsewhere := 0, 0, 0
	var teams []string
	for _, f := range h.failed {
		o := s.outcomes[f.key]
		elsewhere := o != nil && o.succeededOn != "" && o.succeededOn != w.ID
		if !elsewhere && s.isFaultyJob(o, w) {
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
	h.suspect = weight >= suspectThreshold
	bad := runsElsewhere >= quarantineTasks || jobs >= quarantineOneTeam || (jobs >= quarantineJobs && len(teams) >= quarantineTeams)
	if bad && now >= h.until {
		h.quarantine(now)
	}
}

// isFaultyJob reports whether a job has failed on another worker that is not
// suspect. On a rack where everything fails all workers are suspect, and the
// jobs are not considered faulty.
func (s *Shard) isFaultyJob(o *outcome, here *worker) bool {
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
	h.duration = min(max(2*h.duration, minQuarantine), maxQuarantine)
	h.until, h.probing, h.suspect = now+h.duration, false, true
	h.reason = fmt.Sprintf("tasks of %d jobs failed here and none succeeded since; out for %s, then probed", len(h.failed), h.duration)
}

// outcome returns the record of a job. To bound the memory of a shard, a new
// record replaces the oldest.
func (s *Shard) outcome(key jobKey) *outcome {
	if o := s.outcomes[key]; o != nil {
		return o
	}
	if len(s.outcomeOrder) >= maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
	o := &outcome{}
	s.outcomes[key] = o
	s.outcomeOrder = append(s.outcomeOrder, key)
	return o
}

// quarantined removes workers on which tasks fail that succeed elsewhere. After
// the quarantine a worker is probed: it gets one task, and the outcome decides.
// A suspect worker also gets one task at a time.
type quarantined struct{}

func (quarantined) name() Filter { return FilterQuarantined }
func (quarantined) removes(q *query, w *worker) bool {
	return w.health.suspect && (q.now < w.health.until || w.busy())
}

// acceptsTasks reports whether a worker's free capacity counts in the shard's
// digest. A worker that is due for a probe counts: otherwise a rack of such
// workers would never be asked again.
func (w *worker) acceptsTasks() bool {
	h := &w.health
	return w.reconciled && (!h.suspect || ((h.until == 0 || h.probing) && !w.busy()))
}

// busy reports whether anything occupies the worker's capacity.
func (w *worker) busy() bool { return len(w.slots) > w.ended }

// startProbeIfDue starts the probe of a worker whose quarantine is over.
func (w *worker) startProbeIfDue(now time.Duration) {
	if w.health.until > 0 && now >= w.health.until {
		w.health.probing = true
	}
}
