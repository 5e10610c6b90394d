package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/pool/capload"
	"github.com/knapweedweir/knapweedweir/pool/returns"
)

// Admission control refuses a job at submission if it can't be served in time. If it were accepted,
// it would wait for a result that is worth nothing when it comes, and meanwhile its requests to the
// advice service, its starts and its saves would delay jobs that could still be on time.
//
// The estimate divides the work ahead of the job by the rate at which the pool processes it, for
// each resource that can be a bottleneck. It errs towards accepting: resources about which nothing
// is known count as free.
const (
	// waitSafetyFactor multiplies the estimated wait, because run times are known only roughly. Jobs are
	// admitted up to their objective: up to 3 times that they still have some value, but then nearly all
	// are late.
	waitSafetyFactor = 1.25
	// minCapacityShare is the share of the capacity that a queue can count on whatever more urgent
	// queues demanded recently, as that demand may end at any time.
	minCapacityShare = 0.5
	// overloadThreshold is the offered load, refused jobs included, as a multiple of the pool's
	// capacity, from which on jobs are refused. Below it a job is refused only if running tasks leave no
	// capacity in time for firstTasksShare of it. Smaller backlogs drain by themselves.
	overloadThreshold = 1.5
	firstTasksShare   = 0.01
	// minOfferedWindow is the shortest window over which a new owner averages the offered load.
	minOfferedWindow = 8 * time.Second
	// minWaitShare is the share of a job's limit that both its estimated wait and the observed wait of
	// its queue's steps must reach before it is refused. If there is free capacity, a job is accepted
	// even if its caller's earlier tries have used up its time.
	minWaitShare = 0.1
	// resumeFactor is applied to the limit of a queue that refused a job within resumeWindow, so that
	// the queue doesn't switch between accepting and refusing whenever a task ends.
	resumeFactor = 0.9
	resumeWindow = time.Second
)

// Bottleneck is the resource that a job would wait for longest.
type Bottleneck string

// Values of Bottleneck, as they appear in logs and reports.
const (
	NoBottleneck       Bottleneck = ""
	CapacityBottleneck Bottleneck = "room"
	AdviceBottleneck   Bottleneck = "advice"
	StartsBottleneck   Bottleneck = "starts"
	// WeightBottleneck: the job is beyond its organisation's weight, and the pool can't keep up.
	WeightBottleneck Bottleneck = "weight"
	// DelayBottleneck: the queue's steps wait that long at present, whatever the cause.
	DelayBottleneck Bottleneck = "delay"
	// MemoryBottleneck: the memory of the pool's owner.
	MemoryBottleneck Bottleneck = "memory"
	// CapBottleneck: the organisation's cap over all pools.
	CapBottleneck Bottleneck = "cap"
)

// Admission is the decision on a submitted job.
type Admission struct {
	Refused    bool
	Bottleneck Bottleneck
	// RetryAfter is the time until the caller's turn: capacity is expected for its job then.
	RetryAfter time.Duration
	// Standing is how the caller stood with the return schedule when it came.
	Standing returns.Standing
	// Estimated is set if there was an estimate; the fields below explain it.
	Estimated bool
	// Wait is the estimated wait for the bottleneck, RunTime the estimated run time after it, and
	// Limit the time allowed for both since the first submission.
	Wait, RunTime, Limit time.Duration
	// SinceFirstTry is the time since the first submission, which is taken off Limit.
	SinceFirstTry time.Duration
	// Excess is how much too late the job would end by the estimate, with its safety factor.
	Excess time.Duration
	// Takes is the time for which the bottleneck processes the job.
	Takes time.Duration
	// BacklogCoreSeconds is the work ahead of the job, and CapacityCores the cores that process it.
	// PromisedCoreSeconds is the part of the work ahead that is promised to callers of refused jobs.
	BacklogCoreSeconds, CapacityCores, PromisedCoreSeconds float64
	// Cap explains the estimate for the organisation's cap; nil without one.
	Cap *CapEstimate
	// BacklogAge is the age of the summary of what waits and runs.
	BacklogAge time.Duration
}

// admittedJob is a job that was accepted since the last refresh of the backlog or isn't stored yet.
type admittedJob struct {
	job        string
	stored     bool // and counted by the next refresh
	admittedAt time.Duration
	entry      backlogEntry
	// beyondWeight is set if the job is beyond its organisation's weight.
	beyondWeight bool
}

// admissionState holds what admission estimates are based on.
type admissionState struct {
	updatedAt time.Duration
	updated   bool
	backlog   []backlogEntry
	profiles  map[string]*capacityProfile // by service
	// admitted is in the order of acceptance.
	admitted []admittedJob
	// returns tells when the callers of refused jobs come back.
	returns     *returns.Schedule[refusedWork]
	lastRefused map[string]time.Duration // by queue: time of its last refusal
	// lastShort is, by queue, when a job within its weight was last refused for what the pool lacks.
	lastShort map[string]time.Duration
	delays    map[waitClass]*delays
	ages      map[waitClass]*ages      // of the steps that still wait
	capLoads  map[string]*capload.Load // by organisation
	// capWaits is the longest time that a step has waited so far while its organisation's cap is used up.
	capWaits     map[capWaitClass]time.Duration
	answeredCost map[int]*meter // cost of the answered advice requests, by priority
	inflow       []*inflow
	offeredWork  map[string]*inflow // by service: all jobs submitted, refused ones included
	starts       meter
	// firstRequestCost is the cost of the steps' first advice requests, totalRequestCost that of
	// all of them.
	firstRequestCost, totalRequestCost float64
	allowedByQueue                     map[string]allowedCounts // by queue
	// requestsLate is set for priorities with an advice request that has waited for too long.
	requestsLate map[int]bool
	// pendingRequestCost is the cost of the pending advice requests, by priority.
	pendingRequestCost map[int]float64
	runsDone           float64
	runsFailed         float64
	// newestJob holds each queue's newest job with an admission decision, and refusals the newest
	// refusals. Both are for AdmissionReport.
	newestJob map[string]*Job
	refusals  []Refusal
}

func newAdmissionState() admissionState {
	return admissionState{returns: returns.New[refusedWork](), lastShort: map[string]time.Duration{}, offeredWork: map[string]*inflow{}, allowedByQueue: map[string]allowedCounts{}, answeredCost: map[int]*meter{}, delays: map[waitClass]*delays{}, lastRefused: map[string]time.Duration{}, newestJob: map[string]*Job{}}
}

// Admit decides whether a submitted job can be served in time. Jobs that are known already are
// never refused, and timed, long-running and best-effort jobs only for lack of memory: these earn their
// value over times that the estimate doesn't cover.
func (c *Core) Admit(now time.Duration, j Job) Admission {
	c.now = max(c.now, now)
	h := &c.admission
	if _, known := c.jobs[j.ID]; known {
		return Admission{}
	}
	if slices.ContainsFunc(h.admitted, func(x admittedJob) bool { return x.job == j.ID }) {
		return Admission{}
	}
	if a := c.refuseForMemory(&j); a.Refused {
		return a
	}
	q, known := c.queues[j.Queue]
	if !known || j.Repeat > 0 || j.hasNoFixedEnd() {
		return Admission{}
	}
	entry, runTime := c.newBacklogEntry(&j, q)
	if _, again := h.returns.FirstTry(j.ID); !again {
		c.recordOffered(entry)
	}
	h.recordNewest(j)
	a := c.judge(&j, q, entry, runTime)
	if a.Refused {
		a.RetryAfter = h.returns.Refuse(c.now, c.returnRequest(&j, &entry, a))
		h.lastRefused[j.Queue] = c.now
		if a.isForWantOfPool() && !entry.beyondWeight {
			h.lastShort[j.Queue] = c.now
		}
		h.recordRefusal(&j, c.unixMs, a)
		return a
	}
	h.returns.Accept(c.now, j.ID)
	c.countTowardsWeight(&j, c.now)
	h.admitted = append(h.admitted, admittedJob{job: j.ID, admittedAt: c.now, entry: entry, beyondWeight: entry.beyondWeight})
	c.recordInflow(entry)
	return a
}

// judge decides on a job and, if it is refused, says what its caller's turn would be. It changes nothing.
func (c *Core) judge(j *Job, q Queue, entry backlogEntry, runTime time.Duration) Admission {
	a := c.estimateAdmission(j, q, entry, runTime)
	if !a.Refused && a.Estimated {
		c.estimateCap(j, &entry, &a)
	}
	if !a.Refused && entry.beyondWeight {
		if b := c.refuseBeyondWeight(j, q, &entry, runTime); b.Refused {
			a = b
		}
	}
	a.Standing, _ = c.admission.returns.Standing(c.now, j.ID)
	a.BacklogAge = c.now - c.admission.updatedAt
	if a.Refused {
		a.RetryAfter = c.admission.returns.Preview(c.now, c.returnRequest(j, &entry, a))
	}
	return a
}

// isForWantOfPool reports whether the pool couldn't serve the job in time, so that it isn't its
// organisation's weight or cap that it was refused for.
func (a *Admission) isForWantOfPool() bool {
	return a.Bottleneck != CapBottleneck && a.Bottleneck != WeightBottleneck
}

func (j *Job) hasNoFixedEnd() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning || j.Steps[i].Fills {
			return true
		}
	}
	return false
}

// newBacklogEntry returns the demand of a new job, and its run time with all the capacity that it
// can use.
func (c *Core) newBacklogEntry(j *Job, q Queue) (backlogEntry, time.Duration) {
	ratio := c.estimateRatio(j.Queue)
	runTime := time.Duration(float64(j.criticalPathMs())*ratio) * time.Millisecond
	entry := backlogEntry{service: j.Service, queue: j.Queue, organisation: j.Organisation, priority: q.Priority,
		due: c.firstSubmittedMs(j) + objectiveMs(q, j.criticalPathMs()), beyondWeight: c.isBeyondWeight(j)}
	for i := range j.Steps {
		s := &j.Steps[i]
		each := time.Duration(float64(s.EstimateMs)*ratio) * time.Millisecond
		entry.demand.addTasks(s.Reserved(), s.Count, each)
		entry.demand.starts += float64(s.Count)
		entry.unit = largestAmounts(entry.unit, s.countedUse().Times(int64(s.atOnce())))
		if q.Advice != nil {
			entry.demand.advice += c.adviceCost(q)
		}
	}
	entry.demand = entry.demand.scaled(c.runsPerTask())
	if len(j.Steps) > 0 {
		entry.unusableShare = c.shareLeftToOthers(&j.Steps[0], j.Queue)
	}
	return entry, runTime
}

func objectiveMs(q Queue, criticalPathMs int64) int64 {
	return int64(q.Slack*float64(criticalPathMs)) + q.Target.Milliseconds()
}

// firstSubmittedMs returns when the job was first submitted, as far as that is remembered.
func (c *Core) firstSubmittedMs(j *Job) int64 {
	if first, known := c.admission.returns.FirstTry(j.ID); known {
		return c.unixMs - (c.now - first).Milliseconds()
	}
	return j.AcceptedMs
}

// adviceCost returns the expected cost of all advice requests of one step, based on past requests.
func (c *Core) adviceCost(q Queue) float64 {
	cost := q.Advice.cost(min(maxWorkersPerRequest, len(c.workerList))).Seconds()
	if h := &c.admission; h.firstRequestCost > 1 {
		cost *= max(1, h.totalRequestCost/h.firstRequestCost)
	}
	return cost
}

// runsPerTask returns the mean number of runs that a task needs.
func (c *Core) runsPerTask() float64 {
	h := &c.admission
	if h.runsDone < minRunSamples {
		return 1
	}
	return min(maxRunsPerTask, (h.runsDone+h.runsFailed)/h.runsDone)
}

func (c *Core) estimateAdmission(j *Job, q Queue, entry backlogEntry, runTime time.Duration) Admission {
	c.refreshBacklog()
	h := &c.admission
	profile := h.profiles[j.Service]
	if profile == nil || !profile.estimable {
		return Admission{}
	}
	rate := c.availableRate(entry, profile.fullRate)
	rate.advice = c.adviceRate(entry.priority)
	// The caller's estimate is as wrong in the objective as in the run time.
	objective := time.Duration(q.Slack*float64(runTime)) + q.Target
	promised := c.promisedWork(j.ID, &entry)
	ahead, rest := c.workAhead(&entry, promised)
	wait, bottleneck := profile.timeToProcess(ahead, rate)
	end, endBottleneck := profile.timeToProcess(ahead.plus(entry.demand), rate)
	if rest.workerShare > 0 {
		// On the workers that the gangs ahead can't use, the job waits only for the other work.
		share := 1 / rest.workerShare
		if w, b := profile.timeToProcess(rest.demand.scaled(share), rate); w < wait {
			wait, bottleneck = w, b
			end, endBottleneck = profile.timeToProcess(rest.demand.plus(entry.demand).scaled(share), rate)
		}
	}
	if end > wait+runTime {
		bottleneck = endBottleneck
	}
	if observed := time.Duration(j.criticalPathSteps()) * h.meanDelay(c.now, waitClass{j.Queue, entry.beyondWeight}); observed > wait {
		wait, bottleneck = observed, DelayBottleneck
	}
	a := Admission{
		Estimated: true, Takes: entry.demand.timeAt(rate), PromisedCoreSeconds: coreSecondsOf(promised), Bottleneck: bottleneck, Wait: wait, RunTime: max(runTime, end-wait), BacklogCoreSeconds: ahead.cpu / 1000, CapacityCores: rate.cpu / 1000,
		Limit: objective,
	}
	a.SinceFirstTry = max(0, time.Duration(c.unixMs-c.firstSubmittedMs(j))*time.Millisecond)
	limit := a.Limit - a.SinceFirstTry
	if last, ok := h.lastShort[j.Queue]; ok && c.now-last < resumeWindow {
		limit = time.Duration(resumeFactor * float64(limit))
	}
	excess := time.Duration(waitSafetyFactor*float64(a.Wait)) + a.RunTime - limit
	a.Excess = excess
	firstTasksWait, _ := profile.timeToProcess(entry.demand.scaled(firstTasksShare), rate)
	overload := c.offeredLoad(entry.service, profile) >= overloadThreshold || firstTasksWait+a.RunTime > limit
	a.Refused = excess > 0 && overload && a.Wait >= time.Duration(minWaitShare*float64(a.Limit)) && h.observedWait(c.now, waitClass{j.Queue, entry.beyondWeight}) >= time.Duration(minWaitShare*float64(a.Limit))
	return a
}

// workAhead returns the work that is processed before a job: waiting work that comes before it, and what
// is promised to callers of refused jobs.
func (c *Core) workAhead(entry *backlogEntry, promised []backlogEntry) (all demand, rest nonGangWork) {
	h := &c.admission
	for _, priority := range slices.Sorted(maps.Keys(h.pendingRequestCost)) {
		if priority <= entry.priority {
			all.advice += h.pendingRequestCost[priority]
		}
	}
	rest.demand = all
	rest.workerShare = 1
	add := func(x *backlogEntry) {
		if !x.comesBefore(entry) {
			return
		}
		work := x.workBefore(entry)
		all.add(work)
		if x.unusableShare > 0 {
			rest.workerShare = min(rest.workerShare, x.unusableShare)
		} else {
			rest.demand.add(work)
		}
	}
	for i := range h.backlog {
		add(&h.backlog[i])
	}
	for i := range h.admitted {
		add(&h.admitted[i].entry)
	}
	for i := range promised {
		add(&promised[i])
	}
	return all, rest
}

// nonGangWork is the part of the work ahead that doesn't belong to gangs, and the share of the
// workers that the gangs can't use; 1 without gangs.
type nonGangWork struct {
	demand      demand
	workerShare float64
}

// availableRate returns the rate at which the pool processes work like the job's: its full rate
// without what more urgent queues demand.
func (c *Core) availableRate(entry backlogEntry, rate demand) demand {
	h := &c.admission
	left := rate
	for _, f := range h.inflow {
		if f.service == entry.service && f.priority < entry.priority {
			f.decay(c.now)
			left.add(f.work.scaled(-1 / inflowWindow.Seconds()))
		}
	}
	floor := func(left, whole float64) float64 { return max(left, minCapacityShare*whole) }
	return demand{cpu: floor(left.cpu, rate.cpu), mem: floor(left.mem, rate.mem), gpu: floor(left.gpu, rate.gpu),
		starts: floor(left.starts, rate.starts)}
}

func (c *Core) recordInflow(entry backlogEntry) {
	h := &c.admission
	i := slices.IndexFunc(h.inflow, func(f *inflow) bool { return f.service == entry.service && f.priority == entry.priority })
	if i < 0 {
		i = len(h.inflow)
		h.inflow = append(h.inflow, &inflow{service: entry.service, priority: entry.priority, at: c.now})
	}
	h.inflow[i].decay(c.now)
	h.inflow[i].work.add(entry.demand)
}

// criticalPathSteps returns the number of steps on the longest path through the job's step graph.
func (j *Job) criticalPathSteps() int {
	depth := make([]int, len(j.Steps))
	longest := 0
	for i := range j.Steps {
		for _, p := range j.Steps[i].After {
			if p < i {
				depth[i] = max(depth[i], depth[p])
			}
		}
		depth[i]++
		longest = max(longest, depth[i])
	}
	return longest
}

// markStored notes that an accepted job is stored: the next refresh counts it among the waiting
// jobs. It returns what was decided at its admission, or nil if it wasn't admitted here.
func (h *admissionState) markStored(job string) *admittedJob {
	for i := range h.admitted {
		if h.admitted[i].job == job {
			h.admitted[i].stored = true
			return &h.admitted[i]
		}
	}
	return nil
}

// recordOffered adds a job's first submission to the offered load.
func (c *Core) recordOffered(entry backlogEntry) {
	h := &c.admission
	if h.offeredWork[entry.service] == nil {
		h.offeredWork[entry.service] = &inflow{service: entry.service, at: c.now, since: c.now}
	}
	f := h.offeredWork[entry.service]
	f.decay(c.now)
	f.work.add(entry.demand)
}

// offeredLoad returns the demand of the jobs submitted recently as a share of the capacity, for the
// resource with the largest share.
func (c *Core) offeredLoad(service string, profile *capacityProfile) float64 {
	f := c.admission.offeredWork[service]
	if f == nil {
		return 0
	}
	f.decay(c.now)
	window := min(inflowWindow, max(minOfferedWindow, c.now-f.since)).Seconds()
	load := 0.0
	work, capacity := f.work.resources(), profile.fullRate.resources()
	for i := range work {
		if capacity[i] > 0 {
			load = max(load, work[i]/capacity[i]/window)
		}
	}
	return load
}
