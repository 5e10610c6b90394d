package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdWait is how long a hold waits for an end. Each hold renews the leases, so a lease of
	// 5 s survives four lost holds.
	holdWait = time.Second
	// idlePollInterval is the time between two holds of an idle worker that don't wait for an end.
	idlePollInterval = holdWait
	// holdTimeout is how long the answer to a hold may take before the worker counts as
	// silent. Workers answer within milliseconds once the wait is over.
	holdTimeout = holdWait + 400*time.Millisecond
	// unsavedHoldDelay is the delay between holds while ends wait to be stored, since a hold
	// would return the same ends at once.
	unsavedHoldDelay = 250 * time.Millisecond
	// minRestartTime is how long a worker takes at least to crash and start again. A hold that is sent
	// later after the worker's last answer may reach the next incarnation.
	minRestartTime = 150 * time.Millisecond
	// MaxHandlingLag is how late an answer may be handled, or a hold sent, that counts as in time for
	// minRestartTime. An owner short of processor time is often late, and without acknowledgements
	// workers list the same ends again and again. Restarts usually take longer than both.
	MaxHandlingLag = 500 * time.Millisecond
	// retryDelay is the delay after a hold without an answer.
	retryDelay = 200 * time.Millisecond
	// firstContactRetryDelay replaces retryDelay until a new owner has its first answer from a
	// worker, since all inherited jobs wait for it, and for a worker that may get late starts, see fencing.
	firstContactRetryDelay = 50 * time.Millisecond
	// stoppedAfter is the time between two events, of which ticks are 50 ms apart, after which the
	// process counts as having been stopped. resumeGrace is how long workers then have to answer: two
	// holds that don't wait.
	stoppedAfter = time.Second
	resumeGrace  = time.Second
	// unhealthyPause is how long a worker that refused a start because it is unhealthy gets no
	// new tasks.
	unhealthyPause = 2 * time.Second
)

type pendingEnd struct {
	number  uint64
	unsaved bool   // in no save yet
	save    uint64 // sequence number of the save that holds it
}

type worker struct {
	WorkerInfo
	index  int // position in the order in which workers were first seen
	listed bool
	// trackedSave is the first save whose list of tracked workers includes the worker, and tracked is
	// set once the store holds it. A successor that doesn't know a worker misses what runs there.
	trackedSave   uint64
	tracked       bool
	inMaintenance bool // its machine is evacuated for maintenance
	fenced        bool // it has answered under this owner's token
	// reconciled is set once it has listed all its ends to this owner. An answer may hold only some of them,
	// and the others follow once these are stored and acknowledged. What a predecessor started there isn't
	// known before.
	reconciled bool
	// availableIndex is the worker's index in Core.availableWorkers, valid only while it is listed
	// there.
	availableIndex int
	// isAvailable is set if the worker accepted new tasks when free capacity was last measured, freeChanged
	// if it may have changed since.
	isAvailable, freeChanged bool
	// pendingCPU is the CPU demand attributed to the worker by unanswered advice requests, in
	// thousandths of a core.
	pendingCPU int
	// inherited workers may run tasks that a predecessor started.
	inherited   bool
	absentLists int  // consecutive lists of machines without it
	silent      bool // its last hold had no answer
	silence     silenceRecord
	firstSeenAt time.Duration
	silentSince time.Duration // when it fell silent
	lost        []lostRun     // runs that were lost with it, if it has crashed
	isolation   isolation
	runsKnown   bool  // a predecessor's silence record lists all that may run on it
	incarnation int64 // whose runs and ends are known here, see WorkerInfo.Born; 0: unknown
	restarts    int   // noticed under the same ID
	// incarnationMetAt is when this owner first had an answer of the incarnation, unless a predecessor had one.
	incarnationMetAt time.Duration
	fencing          workerFencing
	// unansweredStartAt is when a start was last found to have no answer; 0: never.
	unansweredStartAt time.Duration
	clockMs           int64
	clockReadAt       time.Duration
	// restartShown is set if a start's answer or an earlier start in the worker's entry shows that another incarnation
	// than the known one runs, and that hasn't answered a hold.
	restartShown   bool
	restartShownAt time.Duration
	// earlierBorn is the start that an entry has named last while it was earlier than the known incarnation's, or the start of
	// the incarnation before; 0: there is none. A further entry that names it shows no restart.
	earlierBorn int64
	// inheritedFrom is when predecessors renewed its leases last, at the latest; never: they may still renew them.
	// inheritsLongestLease is set if calls of theirs by the clock of a former incarnation may have reached it.
	inheritedFrom        time.Duration
	inheritsLongestLease bool
	// grantedEnd is when the leases are over that this owner has granted, and longestLeaseEnd when those are that it has by
	// the clock of a former incarnation; 0: it has none.
	grantedEnd, longestLeaseEnd time.Duration
	wasRemoved                  bool          // it was removed, and is back
	longestLeaseTracked         bool          // the list of tracked workers has it with LongestLease
	formerCalls                 bool          // calls meant for a former incarnation may still reach it
	hostDown                    bool          // no running machine hosts it; it hasn't answered since
	hostDownAt                  time.Duration // when that was found
	holdPending                 bool
	nextHold                    time.Duration
	// reportedNothing is set if its last answer listed neither runs nor ends.
	reportedNothing bool
	provenAt        time.Duration // when the known incarnation was certainly the newest: answers may be handled late
	ack             uint64
	lastEnd         uint64
	ends            []pendingEnd
	runs            map[runKey]*run
	sorted          []*run // see sortedRuns; nil: the runs have changed
	lists           int    // number of lists of its runs that it has answered
	used            Resources
	longRunning     Resources     // the part of used whose runs don't end by themselves
	booked          Resources     // for tickets that are requested and for migrations
	pausedUntil     time.Duration // no new tasks before this time
	// reserved is the reservation of the worker for a step; nil: none.
	reserved *reservation
	// expectedEnds are the cached expected ends of its runs, computed at expectedEndsAt.
	expectedEnds   []expectedEnd
	expectedEndsAt time.Duration
	answeredAt     time.Duration
	bestEffortRuns int // number of best-effort tasks
	servingRuns    int // number of tasks with a latency target
	// pace is the pace of its best-effort tasks in percent, since paceAt.
	pace   int
	paceAt time.Duration
	// exclusiveFailures are the jobs that failed here in a row, and on no other worker.
	exclusiveFailures map[string]bool
	// slowness holds the latest results of Core.slowness.
	slowness []cachedSlowness
	// answeredAddr is the address where it last answered, or where a predecessor called it; empty: unknown.
	answeredAddr string
	// bornListedAt is when its entry first named its incarnation. bornWrong is set if there has never been such a one.
	bornListedAt time.Duration
	bornWrong    bool
	// misdirectedLoggedAt is when a call that another worker had answered was last logged; 0: never.
	misdirectedLoggedAt time.Duration
	// seenToken is the newest token under which it has answered; 0: unknown.
	seenToken uint64
}

func (c *Core) newWorker(info WorkerInfo) *worker {
	w := &worker{WorkerInfo: info, index: c.workersSeen, runs: map[runKey]*run{}, inherited: !c.listed, firstSeenAt: c.now, pace: fullPace}
	w.inheritedFrom = never
	if c.boundsInheritedLeases() {
		w.inheritedFrom = c.now
	}
	c.restoreToken(w)
	c.workers[info.ID] = w
	c.workerList = append(c.workerList, w)
	c.workersSeen++
	c.workersChanged()
	return w
}

func (c *Core) listWorkers(list []WorkerInfo) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, info := range list {
		w := c.workers[info.ID]
		if w == nil {
			w = c.newWorker(info)
			c.retractCrash(info.ID, info.Born)
		}
		w.listed = true
		if w.bornWrong && info.Born == w.Born {
			continue // about no incarnation
		}
		isKnown := info.Born == w.incarnation && info.Born != 0
		if !isKnown && ((info.Born < w.Born && !w.bornWrong) || (info.Born < w.incarnation && info.Born != 0)) {
			c.noteEarlierEntry(w, info.Born)
			continue // about a former incarnation, or about none that is named
		}
		isNewlyNamed := info.Born != w.Born
		if isNewlyNamed {
			w.bornListedAt, w.bornWrong = c.now, false
		}
		if info.Born > w.incarnation && w.incarnation != 0 {
			w.nextHold = c.now // it has started again
		}
		c.fenceFormerIncarnation(w, info.Born)
		w.WorkerInfo = info
		if isNewlyNamed {
			c.noteUnmetIncarnation(w)
		}
		w.chargeOrphans()
		if _, ok := c.trackedWorkers[info.ID]; !ok {
			c.trackedWorkers[info.ID] = TrackedWorker{ID: info.ID, Addr: info.Addr, Service: info.Service, Born: w.incarnation}
			c.trackedChanged = true
			c.trackIncarnation(w)
		}
		c.tickWorker(w)
	}
	if !c.boundsInheritedLeases() {
		c.boundInheritedLeases()
	}
	c.watchInheritedSuspects()
	c.listed = true
	c.workersChanged()
	c.replan = true
}

// chargeOrphans makes orphaned runs take up all of the worker's capacity. The capacity may
// become known only after the runs: a new owner asks its predecessor's workers what they run
// before it has read the list of workers. Otherwise such a run would count as using nothing,
// and tasks started while it stops would exceed the worker's capacity.
func (w *worker) chargeOrphans() {
	for _, r := range w.runs {
		if r.isOrphan() {
			w.used = w.used.Minus(r.need).Plus(w.Capacity)
			r.need = w.Capacity
		}
	}
}

func (c *Core) inheritWorkers(e TrackedWorkersStored) {
	if e.Part != "" {
		if c.trackedParts == nil {
			c.trackedParts = map[string][]byte{}
		}
		c.trackedParts[e.Part] = Encode(e.Workers)
	}
	for _, h := range e.Workers {
		w := c.workers[h.ID]
		if w == nil {
			w = c.newWorker(WorkerInfo{ID: h.ID})
		}
		if !w.listed {
			w.Addr, w.Service = h.Addr, h.Service
		}
		w.answeredAddr = h.Addr
		c.trackedWorkers[h.ID] = h
		w.tracked = true
		c.workersChanged()
		w.incarnation = max(w.incarnation, h.Born)
		w.longestLeaseTracked = h.LongestLease
		w.inheritsLongestLease = w.inheritsLongestLease || h.LongestLease
		c.noteUnmetIncarnation(w)
		if w.Born != 0 && w.Born < w.incarnation && w.answeredAt == 0 {
			c.noteRestart(w)
		}
	}
}

// trackedWorkersSaved lets workers get tasks that the stored list of tracked workers includes.
func (c *Core) trackedWorkersSaved() {
	for _, w := range c.workerList {
		if !w.tracked && w.trackedSave != 0 && w.trackedSave <= c.savedSeq {
			w.tracked = true
			c.workersChanged()
			c.replan, c.retryAllSteps = true, true
		}
	}
}

// tickWorker carries out what is due for a worker.
func (c *Core) tickWorker(w *worker) {
	if w.longestLeaseTracked && !c.mayHaveLongestLease(w) {
		c.trackIncarnation(w)
	}
	if c.leaseOver(w) {
		if expired := c.expiredRuns(w); len(expired) > 0 {
			c.rememberLostRuns(w, expired)
			c.logLeaseOver(w, len(expired))
			c.loseRuns(w, expired, "lease expired")
		}
		c.unblockTasks(w, false)
	}
	for _, r := range w.sortedRuns() {
		if r.stopping && r.stopConfirmedAt == 0 && c.now-r.stopSentAt >= stopRetryInterval {
			c.sendStop(r)
		}
	}
	if !w.holdPending && c.now >= w.nextHold && (w.listed || len(w.runs) > 0 || !w.fenced) {
		c.hold(w)
	}
}

// hold sends a hold, which lists the worker's runs and renews its leases.
func (c *Core) hold(w *worker) {
	h := Hold{Worker: w.ID, Addr: w.Addr, Born: cmp.Or(w.incarnation, w.Born), Token: c.token(w), SentAt: c.now}
	if !c.mayHaveRestarted(w) {
		h.Ack = w.ack
	}
	if w.fenced && !c.pollsIdle(w) {
		h.Wait = holdWait
	}
	if w.fenced && c.mayRenew(w) {
		h.DeadlineMs = c.lease(w)
	}
	if w.silent || c.isOutdated(w, w.seenToken) || w.hasUnmetIncarnation() {
		h.Wait = 0 // a late start may have reached it before this token does, and its answer tells which incarnation runs
	}
	w.holdPending = true
	c.emit(h)
}

// pollsIdle reports whether holds of the worker return at once, since it runs nothing and connections are
// scarce: a hold that waits occupies one, and each start would need another.
func (c *Core) pollsIdle(w *worker) bool {
	limit := c.settings.MaxWorkerConns
	return limit > 0 && 2*len(c.workerList) > limit && len(w.runs) == 0 && w.reportedNothing
}

// mayHaveRestarted reports whether the worker may have started again since its last answer. It counts its
// ends anew then, and an acknowledgement would make it forget ends that nobody has read. A worker that
// isn't listed and runs nothing isn't asked.
func (c *Core) mayHaveRestarted(w *worker) bool {
	return w.silent || c.now-w.provenAt >= minRestartTime || (w.Born > w.incarnation && !w.bornWrong)
}

func (c *Core) holdAnswered(e HoldAnswered) {
	w := c.answeringWorker(e.Worker, e.Addr, e.Token, e.Outcome)
	if w == nil {
		return
	}
	w.holdPending = false
	if e.Outcome == Fenced {
		w.nextHold = c.now // a call with a higher token has overtaken it
		c.tickWorker(w)
		return
	}
	if e.Outcome != OK {
		// A call may get lost, so the first hold without an answer is repeated immediately.
		switch {
		case w.silent && (!w.fenced || c.mayGetLateStarts(w)):
			w.nextHold = c.now + firstContactRetryDelay
		case w.silent:
			w.nextHold = c.now + retryDelay
		default:
			w.silent, w.silentSince = true, c.now
			c.queueSilenceRecord(w)
		}
		c.tickWorker(w)
		return
	}
	if !c.firstAnswered {
		c.firstAnswered = true
		c.boundInheritedLeases()
	}
	if !c.checkIncarnation(w, &e) {
		c.tickWorker(w) // the answer is late, and lists what a former incarnation ran
		return
	}
	if w.silent || !w.fenced {
		c.replan, c.retryAllSteps = true, true
	}
	w.answeredAddr = cmp.Or(e.Addr, w.answeredAddr)
	w.seenToken = max(w.seenToken, e.Token)
	if w.formerCalls || w.inheritsLongestLease {
		reason := "calls meant for a former incarnation may have reached it"
		if w.inheritsLongestLease {
			reason = "a predecessor's calls meant for a former incarnation may have reached it"
		}
		c.noteFormerClock(w, reason)
		w.formerCalls = w.formerCalls && c.isOutdated(w, e.Token) // from the present token on, it refuses them
		w.inheritsLongestLease = false
	}
	c.trackIncarnation(w)
	w.silent, w.hostDown = false, false
	w.takeLostRuns()
	w.answeredAt = c.now
	w.provenAt = c.now
	if e.SentAt < c.interruptedAt || c.now-cmp.Or(e.ReceivedAt, c.now) >= MaxHandlingLag {
		w.provenAt = e.SentAt
	}
	w.clockMs, w.clockReadAt = e.ClockMs, c.now
	c.syncActiveRuns(w, e)
	c.processEnds(w, e)
	c.removeVanishedRuns(w, e)
	c.checkStalledRuns(w)
	c.clearProvenRuns(w)
	c.adjustPace(w)
	if !w.fenced {
		w.fenced = true
		c.boundInheritedLease(w) // it refuses predecessors from now on
	}
	if !e.Truncated && !w.reconciled {
		w.reconciled = true
		c.replan, c.retryAllSteps = true, true
	}
	if w.reconciled {
		c.unblockTasks(w, true)
	}
	c.queueSilenceRecord(w)
	w.reportedNothing = len(e.Active) == 0 && len(e.Ended) == 0
	w.nextHold = c.now
	switch {
	case len(w.ends) > 0:
		w.nextHold = c.now + unsavedHoldDelay
	case c.pollsIdle(w) && !c.isOutdated(w, e.Token):
		w.nextHold = c.now + idlePollInterval
	}
	c.ackStoredEnds(w, c.savedSeq)
	c.flush()
	c.tickWorker(w)
}

func (c *Core) depose(reason string) {
	c.deposed = true
	c.emit(Deposed{Reason: reason})
}

func (c *Core) removeWorker(w *worker) {
	c.emit(WorkerRemoved{Worker: w.ID})
	c.keepToken(w)
	delete(c.workers, w.ID)
	w.listed, w.isAvailable = false, false // bookings may still refer to it
	c.runtimes.Forget(w.ID)
	c.workerList = slices.DeleteFunc(c.workerList, func(o *worker) bool { return o == w })
	c.workersChanged()
	if _, ok := c.trackedWorkers[w.ID]; ok {
		delete(c.trackedWorkers, w.ID)
		c.trackedChanged = true
	}
	if w.silence.stored {
		c.otherRecords = append(c.otherRecords, Record{Key: SilentKey(w.ID)})
	}
	c.unblockTasks(w, false)
	c.replan = true
}

// forgetWorkers removes workers that have left and can't run anything any more.
func (c *Core) forgetWorkers() {
	for _, w := range slices.Clone(c.workerList) {
		if !w.listed && len(w.runs) == 0 && c.leaseOver(w) {
			if w.silent {
				c.workerCrashed(w, false)
			}
			c.removeWorker(w)
		}
	}
}
