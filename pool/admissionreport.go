package pool

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxReportedRefusals is how many of the newest refusals an owner can explain: about one second's
// worth at the 208 refusals per second that 6 times the normal load caused.
const maxReportedRefusals = 256

// Reasons for not having an estimate of a queue.
const (
	noEstimateNewOwner      = "this owner is new and doesn't know all workers yet"
	noEstimateSilentWorkers = "less than half of the room is on workers that answer"
	noEstimateNoWorkers     = "no worker of its service is listed, or all are leaving"
)

// EstimateDetails explains the estimate of one job to operators.
type EstimateDetails struct {
	Bottleneck          Bottleneck `json:"scarce,omitempty"`
	WaitMillis          int64      `json:"waitMillis"`
	RunTimeMillis       int64      `json:"runsMillis"`
	LimitMillis         int64      `json:"limitMillis"`
	SinceFirstTryMillis int64      `json:"sinceFirstTryMillis"`
	BacklogCoreSeconds  float64    `json:"aheadCoreSeconds"`
	CapacityCores       float64    `json:"roomCores"`
	RetryAfterMillis    int64      `json:"comeBackMillis,omitempty"`
	// Standing is how the caller stood with the return schedule: new, early or due.
	Standing string `json:"standing,omitempty"`
	// PromisedCoreSeconds is the part of the work ahead that is promised to callers of refused jobs.
	PromisedCoreSeconds float64 `json:"promisedCoreSeconds,omitempty"`
	// Cap is the estimate for the organisation's cap; nil without one.
	Cap *CapEstimate `json:"cap,omitempty"`
	// BacklogAgeMillis is the age of the summary that the estimate is based on.
	BacklogAgeMillis int64 `json:"ageMillis,omitempty"`
}

// Details returns the details of the estimate.
func (a Admission) Details() EstimateDetails {
	return EstimateDetails{Bottleneck: a.Bottleneck, WaitMillis: a.Wait.Milliseconds(), RunTimeMillis: a.RunTime.Milliseconds(),
		LimitMillis: a.Limit.Milliseconds(), SinceFirstTryMillis: a.SinceFirstTry.Milliseconds(),
		BacklogCoreSeconds: a.BacklogCoreSeconds, CapacityCores: a.CapacityCores, RetryAfterMillis: a.RetryAfter.Milliseconds(),
		Standing: a.Standing.String(), PromisedCoreSeconds: a.PromisedCoreSeconds, Cap: a.Cap, BacklogAgeMillis: a.BacklogAge.Milliseconds()}
}

// Refusal is a job that was refused.
type Refusal struct {
	Job          string `json:"job"`
	Queue        string `json:"queue"`
	AtUnixMillis int64  `json:"atUnixMillis"`
	EstimateDetails
}

// ResourceAmounts is an amount of work, or the amount processed per second.
type ResourceAmounts struct {
	// Cores, MemoryMB and Accelerators are multiplied by seconds in an amount of work.
	Cores        float64 `json:"cores"`
	MemoryMB     float64 `json:"memoryMB"`
	Accelerators float64 `json:"accelerators"`
	// Advice is in seconds of the advice service. In a rate, an Advice or Starts of 0 means that it
	// isn't a bottleneck.
	Advice float64 `json:"adviceSeconds"`
	Starts float64 `json:"starts"`
}

func (d demand) amounts() ResourceAmounts {
	return ResourceAmounts{Cores: d.cpu / 1000, MemoryMB: d.mem, Accelerators: d.gpu, Advice: d.advice, Starts: d.starts}
}

// QueueAdmission describes what jobs encounter that are submitted to a queue now.
type QueueAdmission struct {
	Queue    string `json:"queue"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	// NotStarted counts the queue's accepted jobs of which no task has started, including those
	// past due.
	NotStarted int `json:"notBegun"`
	// NoEstimateReason is why there is no estimate, and so no refusal; empty if there is one.
	NoEstimateReason string `json:"unjudged,omitempty"`
	// WorkAhead is the work ahead of the queue's next job, without jobs that are past due, and
	// CapacityRate the amount processed per second.
	WorkAhead    ResourceAmounts `json:"ahead"`
	CapacityRate ResourceAmounts `json:"room"`
	// WaitMillis is how long the next job waits for each resource that can be a bottleneck, and
	// Bottleneck the one that it waits for longest.
	WaitMillis map[Bottleneck]int64 `json:"waitMillis,omitempty"`
	Bottleneck Bottleneck           `json:"scarce,omitempty"`
	// OfferedLoad is the demand of the jobs submitted recently, refused ones included, as a
	// multiple of the service's capacity. Below OverloadThreshold few jobs are refused.
	OfferedLoad       float64 `json:"handedIn"`
	OverloadThreshold float64 `json:"refusesFrom"`
	// NewestJob is the estimate for a job like the queue's newest one if it were first submitted
	// now; nil if no estimate was requested yet. RefusesNewest reports whether that job would be
	// refused.
	NewestJob     *EstimateDetails `json:"newest,omitempty"`
	RefusesNewest bool             `json:"refuses"`
	// Returning counts the callers of the queue's refused jobs that hold a place in the return schedule.
	Returning int `json:"returning"`
	// RefusedAgoMillis is the time since the queue's last refusal; nil without one.
	RefusedAgoMillis *int64 `json:"refusedAgoMillis,omitempty"`
}

// AdmissionReport describes the state of a pool's admission control to operators.
type AdmissionReport struct {
	Queues []QueueAdmission `json:"queues"`
	// Refusals are the newest refusals, oldest first.
	Refusals []Refusal `json:"refusals"`
}

// AdmissionReport reports what jobs encounter that are submitted now. Like an admission decision,
// it may refresh the backlog; it changes nothing else.
func (c *Core) AdmissionReport(now time.Duration) AdmissionReport {
	c.now = max(c.now, now)
	c.refreshBacklog()
	out := AdmissionReport{Queues: []QueueAdmission{}, Refusals: append([]Refusal{}, c.admission.refusals...)}
	for _, name := range slices.Sorted(maps.Keys(c.queues)) {
		out.Queues = append(out.Queues, c.queueAdmission(name, c.queues[name]))
	}
	return out
}

func (c *Core) queueAdmission(name string, q Queue) QueueAdmission {
	h := &c.admission
	o := QueueAdmission{Queue: name, Service: q.Service, Priority: q.Priority, NotStarted: c.Pending(name), OverloadThreshold: overloadThreshold,
		NoEstimateReason: c.noEstimateReason(q.Service), Returning: c.returningTo(name)}
	if at, refused := h.lastRefused[name]; refused {
		ago := (c.now - at).Milliseconds()
		o.RefusedAgoMillis = &ago
	}
	if o.NoEstimateReason != "" {
		return o
	}
	profile := h.profiles[q.Service]
	nextEntry := backlogEntry{service: q.Service, queue: name, priority: q.Priority, due: math.MaxInt64}
	rate := c.availableRate(nextEntry, profile.fullRate)
	rate.advice = c.adviceRate(q.Priority)
	ahead, rest := c.workAhead(&nextEntry, nil)
	o.WorkAhead, o.CapacityRate = ahead.amounts(), rate.amounts()
	o.OfferedLoad = c.offeredLoad(q.Service, profile)
	waits := shorterWaits(profile.timesByBottleneck(ahead, rate), profile.timesByBottleneck(rest.demand.scaled(1/rest.workerShare), rate))
	steps := 1
	if j := h.newestJob[name]; j != nil {
		steps = j.criticalPathSteps()
		o.estimateNewest(c, *j, q)
	}
	waits[DelayBottleneck] = time.Duration(steps) * h.meanDelay(c.now, waitClass{queue: name})
	o.WaitMillis = map[Bottleneck]int64{}
	for _, bottleneck := range []Bottleneck{CapacityBottleneck, AdviceBottleneck, StartsBottleneck, DelayBottleneck} {
		o.WaitMillis[bottleneck] = waits[bottleneck].Milliseconds()
		if waits[bottleneck] > waits[o.Bottleneck] {
			o.Bottleneck = bottleneck
		}
	}
	return o
}

// estimateNewest estimates the queue's newest job as if it were first submitted now.
func (o *QueueAdmission) estimateNewest(c *Core, j Job, q Queue) {
	j.ID, j.AcceptedMs = "", c.unixMs
	entry, runTime := c.newBacklogEntry(&j, q)
	a := c.judge(&j, q, entry, runTime)
	details := a.Details()
	o.NewestJob, o.RefusesNewest = &details, a.Refused
}

// noEstimateReason returns why there is no estimate for a service; empty if there is one.
func (c *Core) noEstimateReason(service string) string {
	r := c.admission.profiles[service]
	switch {
	case r == nil:
		return noEstimateNoWorkers
	case r.estimable:
		return ""
	case !c.takeoverComplete() || c.now-c.startedAt <= estimateDelay:
		return noEstimateNewOwner
	}
	return noEstimateSilentWorkers
}

// timesByBottleneck is like timeToProcess, but returns the time for each bottleneck.
func (r *capacityProfile) timesByBottleneck(work, rate demand) map[Bottleneck]time.Duration {
	times := map[Bottleneck]time.Duration{}
	works, rates := work.resources(), rate.resources()
	for i := range works {
		if works[i] <= 0 || rates[i] <= 0 {
			continue
		}
		t := time.Duration(min(r.secondsFor(works[i], rates[i], i), unbounded.Seconds()) * float64(time.Second))
		times[bottlenecks[i]] = max(times[bottlenecks[i]], t)
	}
	return times
}

// shorterWaits returns the set of waits whose longest wait is shorter: a job uses the workers on
// which it waits less.
func shorterWaits(a, b map[Bottleneck]time.Duration) map[Bottleneck]time.Duration {
	longest := func(times map[Bottleneck]time.Duration) (most time.Duration) {
		for _, t := range times {
			most = max(most, t)
		}
		return most
	}
	if longest(b) < longest(a) {
		return b
	}
	return a
}

// recordNewest keeps a queue's newest job as an example, without its payload.
func (h *admissionState) recordNewest(j Job) {
	j.Payload = ""
	h.newestJob[j.Queue] = &j
}

// recordRefusal keeps a refusal and the details of its estimate.
func (h *admissionState) recordRefusal(j *Job, unixMs int64, a Admission) {
	if len(h.refusals) == maxReportedRefusals {
		h.refusals = slices.Delete(h.refusals, 0, 1)
	}
	h.refusals = append(h.refusals, Refusal{Job: j.ID, Queue: j.Queue, AtUnixMillis: unixMs, EstimateDetails: a.Details()})
}
