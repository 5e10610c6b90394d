package placement

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

type taskPhase int

const (
	// taskQueued: no attempt is out.
	taskQueued taskPhase = iota
	// taskAsked: a shard was asked and has not answered.
	taskAsked
	// taskHeld: a shard holds room and waits for a Confirm.
	taskHeld
	// taskStarting: a Confirm was sent and has not been answered.
	taskStarting
	taskRunning
	// taskStopping: the attempt must be known to have ended before the task
	// may be placed again.
	taskStopping
	taskDone
	taskPhases
)

var phaseNames = [taskPhases]string{"queued", "placing", "held", "starting", "running", "stopping", "done"}

// occupies reports whether a task in this phase may use a worker's resources.
func (p taskPhase) occupies() bool { return p != taskQueued && p != taskDone }

// Bounds of what is kept of a task's past.
const (
	maxAvoided = 8
	maxHistory = 5
)

type homeTask struct {
	index      int
	phase      taskPhase
	failures   int
	attempt    Attempt
	shard      ownership.Unit
	askedEpoch infra.Offset
	// sequence is that of the newest Place.
	sequence uint64
	worker   string
	// roomVersion is that of the shard's digest that the attempt was taken from.
	roomVersion uint64
	// need is what the current attempt was asked for.
	need     infra.Resources
	askedAt  time.Duration
	startAt  time.Duration
	borrowed bool
	// avoid and badShards name where attempts have failed.
	avoid     []string
	badShards []ownership.Unit
	history   []AttemptEnd
}

// homeTeam is one team's work in this home.
type homeTeam struct {
	name     string
	policies map[string]settings.Policy
	quota    infra.Resources
	borrow   infra.Resources
	used     infra.Resources
	// wanted is the need of all queued tasks.
	wanted infra.Resources
	allowance
	// share orders the teams: the smallest is served first.
	share   float64
	classes classHeap
	all     map[classKey]*class
	index   int
	starts  rate
}

type homeJob struct {
	Job
	team   *homeTeam
	tasks  []*homeTask
	counts [taskPhases]int
	// queued holds the indexes of queued tasks, in the order they are served.
	queued []int
	// need is what each task is asked for: what was declared, or more after it
	// proved too small.
	need    infra.Resources
	backoff time.Duration
	readyAt time.Duration
	since   time.Duration
	// waitSince is when the job last began to wait for room.
	waitSince time.Duration
	started   time.Duration
	endedAt   time.Duration
	end       *End
	over      bool
	gang      gangState
	// reserveUntil is when asking shards to keep room stops, reservePause when
	// it may start again.
	reserveUntil time.Duration
	reservePause time.Duration
	// askedAnywhere and anywhereSince bound the asks of shards without room.
	askedAnywhere int
	anywhereSince time.Duration
	refusal       refusal
	displaced     []DisplacedTask
	// placed counts the job's tasks per shard where its policy spreads them.
	placed     map[ownership.Unit]int
	class      *class
	prev, next *homeJob
}

func newHomeJob(now time.Duration, j Job, team *homeTeam) *homeJob {
	job := &homeJob{Job: j, team: team, since: now, waitSince: now}
	tasks := make([]homeTask, j.Spec.Tasks)
	job.tasks = make([]*homeTask, j.Spec.Tasks)
	for i := range tasks {
		tasks[i].index = i
		job.tasks[i] = &tasks[i]
	}
	job.counts[taskQueued] = len(tasks)
	return job
}

func (j *homeJob) policy() settings.Policy { return j.team.policies[string(j.Spec.Kind)] }

func (j *homeJob) maxAttempts(cfg HomeConfig) int {
	if n := j.policy().MaxAttempts; n > 0 {
		return n
	}
	return cfg.MaxAttempts
}

// setPhase moves a task and keeps the counts, the team's use and its demand.
func (h *Home) setPhase(job *homeJob, t *homeTask, to taskPhase) {
	from := t.phase
	if from == to {
		return
	}
	job.counts[from]--
	job.counts[to]++
	t.phase = to
	if from == taskQueued {
		job.team.wanted = job.team.wanted.Sub(job.need)
	}
	if to == taskQueued {
		job.queued = append(job.queued, t.index)
		job.team.wanted = job.team.wanted.Add(job.need)
	}
	if !from.occupies() && to.occupies() {
		t.need = job.need
		h.use(job.team, t.need)
	}
	if from.occupies() && !to.occupies() {
		if job.placed != nil {
			job.placed[t.shard]--
		}
		h.unuse(job.team, t.need)
	}
}

func (h *Home) use(t *homeTeam, need infra.Resources) {
	t.used = t.used.Add(need)
	h.queue.reorder(t, h.rooms.total)
}

func (h *Home) unuse(t *homeTeam, need infra.Resources) {
	t.used = t.used.Sub(need)
	h.queue.reorder(t, h.rooms.total)
	if t.quota == nothing {
		return
	}
	h.queue.wakeTeam(t)
	if !limited(t.used, t.quota).Fits(t.level) {
		// The level was taken back while more ran; another home waits for it.
		h.reports.changed(t)
	}
}

// spread counts a task at its shard.
func (j *homeJob) spread(t *homeTask) {
	if j.placed == nil {
		j.placed = map[ownership.Unit]int{}
	}
	j.placed[t.shard]++
}

// unqueue takes a task's index out of the queued ones. Tasks are asked for in
// the order of the slice, so it is nearly always the first.
func (j *homeJob) unqueue(index int) {
	for i, q := range j.queued {
		if q == index {
			if i == 0 {
				j.queued = j.queued[1:]
			} else {
				j.queued = append(j.queued[:i:i], j.queued[i+1:]...)
			}
			return
		}
	}
}

// stray is an attempt that must end.
type stray struct {
	attempt Attempt
	shard   ownership.Unit
	// team is set while the attempt counts against its quota.
	team *homeTeam
	need infra.Resources
}

// strayPatience is how long news of a stopped attempt may take before the home
// asks for it.
const strayPatience = 3 * time.Second

func times(r infra.Resources, n int) infra.Resources {
	return infra.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMiB: r.MemoryMiB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
