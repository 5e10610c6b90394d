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
	// taskQueued: no attempt exists.
	taskQueued taskPhase = iota
	// taskPlacing: a Place was sent and not answered.
	taskPlacing
	// taskHeld: a shard holds the resources and waits for a Confirm.
	taskHeld
	// taskStarting: a Confirm was sent and not answered.
	taskStarting
	taskRunning
	// taskStopping: a Stop was sent; the task may be placed again only after
	// the attempt is known to have ended.
	taskStopping
	taskDone
	taskPhases
)

var phaseNames = [taskPhases]string{"queued", "placing", "held", "starting", "running", "stopping", "done"}

// occupies reports whether a task in this phase may use a worker's resources.
func (p taskPhase) occupies() bool { return p != taskQueued && p != taskDone }

// Limits on the history that is kept of each task.
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
	// sequence is the one of the newest Place.
	sequence uint64
	worker   string
	// digestVersion is the version of the shard's digest from which the
	// attempt's need was deducted.
	digestVersion uint64
	// need is the resources requested for the current attempt.
	need       infra.Resources
	lastSentAt time.Duration
	startedAt  time.Duration
	borrowed   bool
	// avoidWorkers and avoidShards are where attempts have failed.
	avoidWorkers []string
	avoidShards  []ownership.Unit
	history      []AttemptEnd
}

// homeTeam is the state of one team in this home.
type homeTeam struct {
	name     string
	policies map[string]settings.Policy
	quota    infra.Resources
	borrow   infra.Resources
	used     infra.Resources
	// wanted is the total need of all queued tasks.
	wanted infra.Resources
	allowance
	// share is the team's dominant share; the team with the lowest is served
	// first.
	share      float64
	classes    classHeap
	allClasses map[classKey]*class
	index      int
	starts     rate
}

type homeJob struct {
	Job
	team   *homeTeam
	tasks  []*homeTask
	counts [taskPhases]int
	// queued holds the indexes of queued tasks in the order in which they are
	// placed.
	queued []int
	// need is the resources requested for each task: as declared, or more after
	// the declared memory was insufficient.
	need    infra.Resources
	backoff time.Duration
	readyAt time.Duration
	addedAt time.Duration
	// waitingSince is when the job last began to wait for capacity; negative
	// while it does not wait.
	waitingSince time.Duration
	startedAt    time.Duration
	endedAt      time.Duration
	end          *End
	closed       bool
	gang         gangState
	// reserveUntil is when a period of reservations ends, reserveAgainAt when
	// the next may begin.
	reserveUntil   time.Duration
	reserveAgainAt time.Duration
	// unadvertisedAsks counts the requests to shards without advertised
	// capacity since unadvertisedSince.
	unadvertisedAsks  int
	unadvertisedSince time.Duration
	refusal           refusal
	displaced         []DisplacedTask
	// tasksPerShard counts the job's tasks on each shard if its policy spreads
	// them.
	tasksPerShard map[ownership.Unit]int
	class         *class
	prev, next    *homeJob
}

func newHomeJob(now time.Duration, j Job, team *homeTeam) *homeJob {
	job := &homeJob{Job: j, team: team, addedAt: now, waitingSince: now}
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

// setPhase changes a task's phase and updates the job's counters and the team's
// usage and demand.
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
		h.addUsage(job.team, t.need)
	}
	if from.occupies() && !to.occupies() {
		if job.tasksPerShard != nil {
			job.tasksPerShard[t.shard]--
		}
		h.removeUsage(job.team, t.need)
	}
}

func (h *Home) addUsage(t *homeTeam, need infra.Resources) {
	t.used = t.used.Add(need)
	h.queue.updateShare(t, h.shards.total)
}

func (h *Home) removeUsage(t *homeTeam, need infra.Resources) {
	t.used = t.used.Sub(need)
	h.queue.updateShare(t, h.shards.total)
	if t.quota == noResources {
		return
	}
	h.queue.unblockTeam(t)
	if !limited(t.used, t.quota).Fits(t.level) {
		// The level was lowered while more was in use; another home waits for
		// the difference.
		h.reports.reportSoon(t)
	}
}

// countPlaced adds a task to the count of its shard.
func (j *homeJob) countPlaced(t *homeTask) {
	if j.tasksPerShard == nil {
		j.tasksPerShard = map[ownership.Unit]int{}
	}
	j.tasksPerShard[t.shard]++
}

// dequeue removes a task's index from the queued ones. Tasks are placed in the
// order of the slice, so it is nearly always the first.
func (j *homeJob) dequeue(index int) {
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

// orphan is an attempt that must end.
type orphan struct {
	attempt Attempt
	shard   ownership.Unit
	// team is set while the attempt counts towards the team's quota.
	team *homeTeam
	need infra.Resources
}

// orphanStopDelay is how long the home waits for the end of an attempt whose
// job has ended before it sends a Stop.
const orphanStopDelay = 3 * time.Second

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
