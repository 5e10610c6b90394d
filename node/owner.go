package node

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/node/planpace"
	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// commandTimeout limits a start or stop call to a worker; workers answer in 3 ms. Retrying
	// early is safe, since a worker executes a run only once.
	commandTimeout = 250 * time.Millisecond
	// holdTimeoutMargin is how much later than its wait the answer to a hold may arrive.
	holdTimeoutMargin = 400 * time.Millisecond
	// firstHoldTimeout replaces it for the first hold that a new owner sends to a worker: no lease
	// depends on that one. If 1 of 20 calls gets no answer, 2 of 48 workers don't answer their
	// first hold, and with holdTimeoutMargin all older jobs waited 1.05 s for them.
	firstHoldTimeout = 200 * time.Millisecond
	// maxConcurrentFirstHolds limits the number of first holds in flight. One takes 5 ms including
	// its connection setup, so 350 workers are asked within 50 ms.
	maxConcurrentFirstHolds = 64
	// defaultEndedRetention applies if Settings.EndedRetention is not set. Clients guarantee their
	// own callers two minutes.
	defaultEndedRetention = 120 * time.Second
	// workerListPause is the minimum pause between two reads of the list of workers.
	workerListPause = 250 * time.Millisecond
	// workerListWait is how long a read of the list of workers waits for a change. The list is known
	// as of the request, so its age is up to twice that: pool.Core starts nothing with a list older
	// than 3 s.
	workerListWait = time.Second
)

// ownershipEvent is an event for one ownership. It is dropped if that ownership has ended.
type ownershipEvent struct {
	own   *ownership
	event any
}

// hold asks a worker which tasks run on it. A new owner's first holds are limited by
// firstHoldSlots: when 350 workers were asked at once, most calls timed out for lack of processor
// time.
func (o *ownership) hold(h pool.Hold) {
	timeout := h.Wait + holdTimeoutMargin
	if h.DeadlineMs == 0 && h.Wait == 0 {
		timeout = firstHoldTimeout
		select {
		case o.firstHoldSlots <- struct{}{}:
			defer func() { <-o.firstHoldSlots }()
		case <-o.ctx.Done():
			return
		}
	}
	if o.pc.node.now()-h.SentAt >= pool.MaxHandlingLag {
		h.Ack = 0 // it may reach the worker's next incarnation
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	answer := o.pc.node.workers.Hold(ctx, h)
	cancel()
	answer.Addr, answer.Token, answer.ReceivedAt = h.Addr, h.Token, o.pc.node.now()
	if answer.Unreadable != nil {
		o.pc.node.unreadable.report(sourceHolds, h.Worker, noOffset, answer.Unreadable)
	}
	o.send(answer)
}

// ownership is the state of a pool while this instance owns it.
type ownership struct {
	pc            *poolController
	claim         claim
	offset        int64 // of the claim
	core          *pool.Core
	ctx           context.Context
	cancel        context.CancelFunc
	loaded        bool          // the core has received everything that was stored before the claim
	workersListed bool          // the list of workers has been read
	workersAsOf   time.Duration // everything that workers reported before this time has been read
	sequence      uint64
	saves         *saveQueue
	lastHeartbeat time.Duration
	// recordChanged is set until the owner's record is stored with its newest content.
	recordChanged bool
	pace          planpace.Pacer
	// planScheduled is set while a planDue event is on its way.
	planScheduled    bool
	heartbeatPending bool
	workers          map[string]pool.WorkerInfo
	// unlistedServices are the services of workers that aren't passed to the core, and keptServices those
	// that are no longer configured and whose workers are, as the owner has had jobs of theirs.
	unlistedServices, keptServices map[string]bool
	adviceQueue                    *adviceQueue
	starts                         startQueue
	// firstHoldSlots is a semaphore that holds one token for each first hold in flight.
	firstHoldSlots chan struct{}
	// appendsFailing is set if the newest append failed or has had no answer for too long. It
	// belongs to the pool's goroutine; appendsFailingShared is the same for the goroutines that
	// append and watch appends.
	appendsFailing       bool
	appendsFailingShared atomic.Bool
	// streamEnd is the end of the stream after the newest append.
	streamEnd   atomic.Int64
	appendsOKAt time.Duration // time of the last successful append, as far as is known
	confirmed   confirmation
	electorate  *electorate
	// electorsCheckedAt is when electors that had to be replaced were last looked for.
	electorsCheckedAt time.Duration
	// confirmedBy is what the ownership is confirmed by, as last logged.
	confirmedBy confirmedBy
	queues      queueTable
	// rootSought is set once the root of the shares of caps is being looked up.
	rootSought  bool
	crashCounts [2]int // as last recorded in the metrics
	// ready is closed when the ownership has loaded.
	ready chan struct{}
}

func newOwnership(ctx context.Context, pc *poolController, c ownerRecord, offset int64, claimedAt time.Duration) *ownership {
	o := &ownership{pc: pc, claim: c.claim, electorate: newElectorate(c, claimedAt), confirmedBy: byStore, offset: offset, saves: newSaveQueue(), workers: map[string]pool.WorkerInfo{}, keptServices: map[string]bool{},
		firstHoldSlots: make(chan struct{}, maxConcurrentFirstHolds), queues: newQueueTable(), ready: make(chan struct{})}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.streamEnd.Store(offset + 1)
	raise(&o.confirmed.byStore, claimedAt)
	opts := pc.node.opts
	o.core = pool.New(pool.Settings{
		Pool: pc.topic.Part, Token: c.Epoch, Tokens: tokensPerEpoch, Generation: c.Generation, MaxLease: opts.MaxLease, StopTimeout: opts.StopTimeout, OrderLease: opts.OrderLease, EndedRetention: opts.EndedRetention,
		MaxWorkerConns: opts.MaxWorkerConns, MaxRecord: opts.MaxRecord, MaxMemory: opts.MaxMemory,
		NeedsConfirmation: true, HasPredecessors: true, UnrecordedStarts: !c.RecordsStarts,
	}, pc.node.now())
	o.adviceQueue = newAdviceQueue(o)
	o.starts.own = o
	go o.saveLoop()
	f := &follower{store: pc.node.store, topic: pc.node.directory.WorkersTopic(), now: pc.node.now, wait: workerListWait,
		pause: func() time.Duration { return workerListPause }, readers: &pc.node.readers, log: pc.node.log}
	go f.run(o.ctx, func(b batch) { o.send(b) })
	o.load()
	return o
}

// close ends the ownership. Records that have not been sent to the store are rejected; their
// callers go to another owner.
func (o *ownership) close() {
	o.cancel()
	o.updateCrashMetrics(0, 0) // the next owner reports them
	waiting, _ := o.saves.take(math.MaxInt)
	for _, s := range waiting {
		answerAll(s.waiting, errNotOwner)
	}
}

func (o *ownership) send(ev any) { o.pc.send(o.ctx, ownershipEvent{own: o, event: ev}) }

// load passes the stored state to the core once the copy has reached the claim. Everything that a
// predecessor could have stored precedes the claim.
func (o *ownership) load() {
	if o.loaded || o.pc.replica.next < o.offset {
		return
	}
	o.loaded = true
	if !o.pc.replica.recordsStarts(o.claim.Epoch, o.pc.node.peers.isListed) {
		o.core.ExpectUnrecordedStarts() // of an owner that claimed the pool at the same time
	}
	o.step(pool.Tick{UnixMs: o.pc.node.opts.TimeOfDay().UnixMilli()})
	o.queues.load(o.pc.replica)
	if cfg := o.pc.node.Config(); cfg != nil {
		o.step(pool.QueuesChanged{Queues: cfg.Queues()})
		o.setOrganisations(cfg)
		o.requestConfiguredQueues(cfg)
	}
	o.loadRecords()
	o.startDeposition()
	close(o.ready)
	o.sendWaves()
	o.passWorkerList()
}

// loadRecords passes the records of the copy to the core: first the jobs, then their progress, its parts, and
// what refers to tasks.
func (o *ownership) loadRecords() {
	var jobs, progress, parts, others []pool.Event
	for _, rec := range o.pc.replica.inOrder() {
		ev, err := decodeEvent(rec.Record, fromStore)
		if err != nil {
			o.pc.reportBadRecord(rec, err)
			continue
		}
		switch ev.(type) {
		case nil:
		case pool.JobStored:
			jobs = append(jobs, ev)
		case pool.ProgressStored:
			progress = append(progress, ev)
		case pool.ProgressPartStored:
			parts = append(parts, ev)
		default:
			others = append(others, ev)
		}
	}
	for _, ev := range slices.Concat(jobs, progress, parts, others) {
		o.step(ev)
	}
}

// applyRecords passes new records to the core. The owner reads its own records too; they are
// ignored.
func (o *ownership) applyRecords(fresh []Stored) {
	if !o.loaded {
		o.load()
		return
	}
	// Newest returns the records ordered by key. If the core saw a cancellation before its job, it
	// would ignore the cancellation and run the job. So records are applied in the order in which
	// they were stored, and jobs before cancellations, since a caller that repeats its request
	// stores its job again after its cancellation.
	slices.SortFunc(fresh, func(a, b Stored) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, wanted := range []pool.KeyKind{pool.JobRecord, pool.CancelRecord} {
		for _, rec := range fresh {
			if kind, _ := pool.ParseKey(rec.Key); kind == wanted {
				o.applyRecord(rec, fromStore)
			}
		}
	}
}

func (o *ownership) applyRecord(rec Stored, from origin) {
	ev, err := decodeEvent(rec.Record, from)
	if err != nil {
		o.pc.reportBadRecord(rec, err)
		return
	}
	if ev != nil {
		o.step(ev)
	}
}

func (o *ownership) tick() {
	if o.loaded {
		o.step(pool.Tick{UnixMs: o.pc.node.opts.TimeOfDay().UnixMilli()})
		o.updateCrashMetrics(o.core.CrashCounts())
		o.startBinding()
		o.listNeededWorkers()
		o.exchangeCapShares()
	}
	if !o.electorate.recordsStarts && o.loaded && o.core.RecordsStarts() {
		o.electorate.setRecordsStarts()
		o.recordChanged = true
	}
	o.updateElectors()
	o.seekConfirmation()
	o.logConfirmation()
	o.pc.node.metrics.startWindow.Update(float64(o.pc.node.startWindow.Size()))
	if now := o.pc.node.now(); !o.heartbeatPending && (o.recordChanged || now-o.lastHeartbeat > heartbeatInterval) {
		o.heartbeatPending, o.recordChanged = true, false
		o.lastHeartbeat = now
		o.saves.add(o.heartbeatSave())
	}
}

// updateCrashMetrics records the numbers of suspected and of quarantined tasks if they have changed.
func (o *ownership) updateCrashMetrics(suspected, quarantined int) {
	if counts := [2]int{suspected, quarantined}; counts != o.crashCounts {
		o.crashCounts = counts
		o.pc.node.metrics.recordCrashes(o.pc.topic.Part, suspected, quarantined)
	}
}

func (o *ownership) handle(ev any) {
	switch e := ev.(type) {
	case planDue:
		o.planScheduled = false // the pool's loop plans after each event
	case batch:
		o.applyWorkerList(e)
	case saveDone:
		o.handleSaveDone(e)
	case bindResult:
		o.handleBindResult(e)
	case predecessorOver:
		o.handlePredecessorOver(e)
	case pool.Event:
		o.step(e)
		o.starts.send()
	}
}

func (o *ownership) applyWorkerList(b batch) {
	if b.err != nil {
		return // the list remains unchanged; the follower logs that its reads fail
	}
	if b.reset {
		o.workers = map[string]pool.WorkerInfo{}
	}
	for _, rec := range b.records {
		if len(rec.Value) == 0 && rec.Unreadable == nil {
			delete(o.workers, rec.Key)
			continue
		}
		info, err := o.decodeWorker(rec)
		var incomplete IncompleteError
		if errors.As(err, &incomplete) {
			o.reportBadWorker(rec, err)
			err = nil
		}
		switch {
		case err != nil:
			o.reportBadWorker(rec, err)
		case !o.isServed(info.Service):
			o.reportBadWorker(rec, errUnknownService) // a later configuration may include it
		}
		if err != nil || partOf(info.Service, o.pc.node.opts.Parts) != o.pc.topic.Part {
			delete(o.workers, rec.Key)
			continue
		}
		o.workers[rec.Key] = info
	}
	o.workersListed = true
	o.workersAsOf = max(o.workersAsOf, b.asOf)
	o.passWorkerList()
}

// decodeWorker decodes an entry of the list of workers. An unreadable entry lists no usable worker,
// even if the entry that it replaced did: the core then places nothing on the worker, but keeps the
// tasks that run there as long as the worker answers. The replaced entry may be long out of date,
// and a new owner doesn't know it at all.
func (o *ownership) decodeWorker(rec Stored) (pool.WorkerInfo, error) {
	if rec.Unreadable != nil {
		return pool.WorkerInfo{}, rec.Unreadable
	}
	if len(rec.Key) > pool.MaxWorkerID {
		return pool.WorkerInfo{}, errors.Errorf("the ID has %d bytes, and at most %d are possible", len(rec.Key), pool.MaxWorkerID)
	}
	return o.pc.node.directory.DecodeWorker(rec.Record)
}

var errUnknownService = errors.New("service: not in the configuration")

func (o *ownership) reportBadWorker(rec Stored, err error) {
	o.pc.node.unreadable.report(source(o.pc.node.directory.WorkersTopic().Name), rec.Key, rec.Offset, err)
}

func (o *ownership) configured(service string) bool {
	cfg := o.pc.node.Config()
	return cfg != nil && slices.Contains(cfg.Services, service)
}

// passWorkerList passes the list of workers to the core, but only after the jobs: a core without
// its jobs would regard all running tasks as unwanted and stop them, and record ends of tasks that
// it doesn't know.
func (o *ownership) passWorkerList() {
	if o.loaded && o.workersListed {
		o.step(pool.WorkersListed{Workers: o.usableWorkers(), AsOf: o.workersAsOf})
	}
}

// isServed reports whether workers of a service are used: it is configured, or accepted jobs depend on it.
func (o *ownership) isServed(service string) bool {
	if o.configured(service) {
		return true
	}
	if o.core.HasJobsOf(service) {
		o.keptServices[service] = true // until the last ends are acknowledged, and for other such jobs
	}
	return o.keptServices[service]
}

// listNeededWorkers passes the list of workers to the core if jobs have come that need more of them.
func (o *ownership) listNeededWorkers() {
	for service := range o.unlistedServices {
		if o.core.HasJobsOf(service) {
			o.passWorkerList()
			return
		}
	}
}

// usableWorkers returns the workers of services that are used. An entry of another service is a worker
// of a future configuration, or invalid. If the core sent a hold to a worker that doesn't exist, all
// older jobs would be delayed after a takeover.
func (o *ownership) usableWorkers() []pool.WorkerInfo {
	list := make([]pool.WorkerInfo, 0, len(o.workers))
	o.unlistedServices = map[string]bool{}
	for _, w := range o.workers {
		if o.isServed(w.Service) {
			list = append(list, w)
		} else {
			o.unlistedServices[w.Service] = true
		}
	}
	slices.SortFunc(list, func(a, b pool.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (o *ownership) step(ev pool.Event) {
	o.core.Confirm(o.confirmed.time(), o.confirmed.acceptedAt())
	for _, a := range o.core.Step(o.pc.node.now(), ev) {
		o.execute(a)
	}
}

// planDue is the event that the pause after a plan is over.
type planDue struct{}

// plan makes the core start waiting tasks, or schedules that while the last plan is too recent. It plans
// only as many starts as the start window admits, so that an urgent start isn't queued behind starts
// decided earlier.
func (o *ownership) plan() {
	o.starts.send()
	start := o.pc.node.now()
	available := o.pc.node.startWindow.Available(start)
	if available == 0 || len(o.starts.waiting) > 0 {
		return
	}
	if wait := o.pace.Wait(start); wait > 0 {
		o.schedulePlan(wait)
		return
	}
	o.core.Confirm(o.confirmed.time(), o.confirmed.acceptedAt())
	for _, a := range o.core.PlanWithin(start, available) {
		o.execute(a)
	}
	o.pace.Done(start, o.pc.node.now())
}

// schedulePlan causes a plan after the given time.
func (o *ownership) schedulePlan(after time.Duration) {
	if o.planScheduled || !o.core.NeedsPlan() {
		return
	}
	o.planScheduled = true
	time.AfterFunc(after, func() { o.send(planDue{}) })
}

func (o *ownership) execute(a pool.Action) {
	w := o.pc.node.workers
	switch a := a.(type) {
	case pool.Hold:
		go o.hold(a)
	case pool.Start:
		o.starts.add(a)
	case pool.Stop:
		go func() {
			ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
			out := w.Stop(ctx, a)
			cancel()
			o.send(pool.StopAnswered{Worker: a.Worker, Addr: a.Addr, Born: a.Born, Token: a.Token, Task: a.Task, Run: a.Run, Outcome: out})
		}()
	case pool.Pace:
		go func() {
			ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
			w.Pace(ctx, a)
			cancel()
		}()
	case pool.Advise:
		o.adviceQueue.add(a)
	case pool.Save:
		o.saves.add(pendingSave{kind: coreSave, seq: a.Seq, records: a.Records, isUrgent: a.HoldsStarts})
	case pool.Deposed:
		own := o
		go func() {
			o.pc.send(own.ctx, func() {
				if own.pc.own == own {
					own.pc.dropOwnership(a.Reason)
				}
			})
		}()
	case pool.WorkerRemoved:
		w.Forget(a.Worker)
	case pool.LogEntry:
		o.pc.node.logDecision(o.pc, a)
	default:
		o.executeWaveAction(a)
	}
}
