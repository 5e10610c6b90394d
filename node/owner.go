package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// appendTimeout bounds an append; the store answers in 4 ms, and in
	// 240 ms on slow days.
	appendTimeout = 1200 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 60 * time.Millisecond
	// orderTimeout bounds a start or stop; workers answer in 3 ms. Asking
	// again early is cheap, as a worker has a run once.
	orderTimeout = 250 * time.Millisecond
	// holdSlack is how late the answer to a hold may be.
	holdSlack = 400 * time.Millisecond
	// keepEnded is how long an ended job's state can be asked for: the users
	// promise their callers two minutes.
	keepEnded = 120 * time.Second
	// longPlan is a plan after which the owner does other work first, for so many
	// times as long in all. Plans take 0.1 ms; with hundreds of jobs waiting after
	// seconds without an owner they take longer, and an owner that only plans
	// neither renews leases nor takes ends in.
	longPlan = 2 * time.Millisecond
	planRest = 4
	// workersPause is how often the list of workers is read at most.
	workersPause = 250 * time.Millisecond
)

// fromOwner is an event of one ownership; those of an older one are dropped.
type fromOwner struct {
	own   *ownership
	event any
}

// ownership is the time in which this instance owns a pool.
type ownership struct {
	unit     *unit
	claim    claim
	offset   int64 // the claim's
	core     *pool.Core
	ctx      context.Context
	cancel   context.CancelFunc
	loaded   bool // the core knows all that was stored before the claim
	listed   bool // the list of workers has been read
	sequence uint64
	saves    chan pendingSave
	lastBeat time.Duration
	// planAfter is when the next plan may follow.
	planAfter time.Duration
	beating   bool
	workers   map[string]pool.WorkerInfo
	asks      *askQueue
	// intake holds what callers hand in until the next append.
	intake    []submission
	appending bool // intake is on its way
	// turnedAway tells that the newest append failed; away is the same for
	// the goroutine that appends.
	turnedAway, away bool
	awaySince        time.Duration // an append last succeeded, as far as is known
}

// submission is a record that a caller waits for.
type submission struct {
	record pool.Record
	stored chan<- error // gets one value
}

type pendingSave struct {
	kind    saveKind
	seq     uint64 // the core's number
	records []pool.Record
	waiting []submission
}

type saveKind int

const (
	coreSave saveKind = iota
	heartbeat
	intakeSave
)

// saveDone tells that the store holds a save, or why it never will. Certain tells
// that no try of it went without an answer.
type saveDone struct {
	pendingSave
	err     error
	certain bool
}

func newOwnership(ctx context.Context, u *unit, c claim, offset int64) *ownership {
	o := &ownership{unit: u, claim: c, offset: offset, saves: make(chan pendingSave, 8), workers: map[string]pool.WorkerInfo{}}
	o.ctx, o.cancel = context.WithCancel(ctx)
	set := u.node.set
	o.core = pool.New(pool.Settings{
		Token: c.Epoch, Generation: c.Generation, HoldMax: set.HoldMax, StopTimeout: set.StopTimeout, KeepEnded: keepEnded,
	}, u.node.now())
	o.asks = newAskQueue(o)
	go o.saveLoop()
	f := &follower{store: u.node.store, topic: u.node.directory.WorkersTopic(), wait: readWait,
		pause: func() time.Duration { return workersPause }}
	go f.run(o.ctx, func(b batch) { o.send(b) })
	o.load()
	return o
}

// close ends the ownership. What has not been sent to the store is for another.
func (o *ownership) close() {
	o.cancel()
	answerAll(o.intake, errNotOwner)
	o.intake = nil
}

func (o *ownership) send(ev any) { o.unit.send(o.ctx, fromOwner{own: o, event: ev}) }

// load tells the core what the store holds, once the copy has reached the claim:
// everything a predecessor could have stored lies before it.
func (o *ownership) load() {
	if o.loaded || o.unit.replica.next < o.offset {
		return
	}
	o.loaded = true
	o.step(pool.Tick{UnixMs: time.Now().UnixMilli()})
	if cfg := o.unit.node.Config(); cfg != nil {
		o.step(pool.QueuesChanged{Queues: cfg.Queues()})
	}
	var later []pool.Event
	for _, rec := range o.unit.replica.inOrder() {
		ev, err := event(rec.Record, fromStore)
		switch {
		case err != nil:
			o.unit.log.Error().Err(err).Msg("record.unreadable")
		case ev == nil:
		default:
			if _, isJob := ev.(pool.JobStored); isJob {
				o.step(ev)
			} else {
				later = append(later, ev)
			}
		}
	}
	for _, ev := range later {
		o.step(ev)
	}
	o.askWaves()
	o.listWorkers()
}

// take hands new records to the core. Its own come back too and are passed over.
func (o *ownership) take(fresh []Stored) {
	if !o.loaded {
		o.load()
		return
	}
	for _, rec := range fresh {
		if kind, _ := pool.ParseKey(rec.Key); kind == pool.JobRecord || kind == pool.CancelRecord {
			o.takeRecord(rec.Record, fromStore)
		}
	}
}

func (o *ownership) takeRecord(rec pool.Record, from origin) {
	ev, err := event(rec, from)
	if err != nil {
		o.unit.log.Error().Err(err).Msg("record.unreadable")
		return
	}
	if ev != nil {
		o.step(ev)
	}
}

func (o *ownership) tick() {
	if o.loaded {
		o.step(pool.Tick{UnixMs: time.Now().UnixMilli()})
	}
	if now := o.unit.node.now(); !o.beating && now-o.lastBeat > ownerBeat {
		o.beating = true
		o.lastBeat = now
		o.saves <- pendingSave{kind: heartbeat, records: []pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(o.claim)}}}
	}
}

// submit stores a record that a caller handed in, together with all others that
// come while an append is on its way. A part of the store takes one append after
// the other; with one append a job, 40 jobs a second were more than a slow store
// took (26 times its usual 2 ms), and callers got no answer.
//
// While the store turns this instance away, it is refused at once: nothing of it
// was sent, so the caller may come back, and another instance may store it.
func (o *ownership) submit(s submission) {
	switch {
	case o.unit.heir != "":
		s.stored <- errNotOwner
		return
	case o.turnedAway:
		s.stored <- ErrRefused
		return
	}
	o.intake = append(o.intake, s)
	o.appendIntake()
}

func (o *ownership) appendIntake() {
	if o.appending || len(o.intake) == 0 {
		return
	}
	save := pendingSave{kind: intakeSave, waiting: o.intake}
	for _, s := range o.intake {
		save.records = append(save.records, s.record)
	}
	o.intake = nil
	o.appending = true
	o.saves <- save
}

// refuseIntake tells callers that the store did nothing.
func (o *ownership) refuseIntake(save pendingSave) {
	o.appending = false
	answerAll(append(save.waiting, o.intake...), ErrRefused)
	o.intake = nil
}

func answerAll(waiting []submission, err error) {
	for _, s := range waiting {
		s.stored <- err
	}
}

// intakeStored answers the callers and tells the core.
func (o *ownership) intakeStored(save pendingSave) {
	o.appending = false
	answerAll(save.waiting, nil)
	// Before the core knows what a predecessor did, a repeated request would
	// look like a new job, and its tasks would be started a second time. It is
	// read back from the store then.
	if o.loaded {
		for _, rec := range save.records {
			o.takeRecord(rec, fromCaller)
		}
	}
	o.appendIntake()
}

func (o *ownership) handle(ev any) {
	switch e := ev.(type) {
	case batch:
		o.takeWorkers(e)
	case saveDone:
		o.saveAnswered(e)
	case pool.Event:
		o.step(e)
	}
}

func (o *ownership) saveAnswered(e saveDone) {
	if errors.Is(e.err, ErrRefused) {
		o.refuseIntake(e.pendingSave)
		return
	}
	if e.err != nil {
		why := ErrInDoubt
		if e.certain {
			why = errNotOwner
		}
		answerAll(e.waiting, why)
		o.unit.dropOwnership(e.err.Error())
		return
	}
	o.lastBeat = o.unit.node.now()
	switch e.kind {
	case heartbeat:
		o.beating = false
	case intakeSave:
		o.intakeStored(e.pendingSave)
	default:
		o.step(pool.Saved{Seq: e.seq})
	}
}

// saveLoop appends what is to be stored, one append after the other, each with all
// that has come since. A part of the store takes one append at a time: on a slow
// one (156 ms each) jobs that callers hand in and ends of tasks waited for each
// other, twice as long.
func (o *ownership) saveLoop() {
	for {
		select {
		case s := <-o.saves:
			if !o.appendUntilDone(o.withWaiting(s)) {
				return
			}
		case <-o.ctx.Done():
			return
		}
	}
}

// withWaiting returns a save and those that wait behind it.
func (o *ownership) withWaiting(s pendingSave) []pendingSave {
	batch := []pendingSave{s}
	for {
		select {
		case s = <-o.saves:
			batch = append(batch, s)
		default:
			return batch
		}
	}
}

// appendUntilDone repeats an append until its outcome is certain. An append without
// an answer is repeated under the same number: the store has it once. What callers
// handed in is given up if the store has certainly done nothing. It reports whether
// the store still takes this owner's appends.
func (o *ownership) appendUntilDone(batch []pendingSave) bool {
	o.sequence++
	certain := true // no try went without an answer
	for len(batch) > 0 {
		err := o.append(batch)
		var wrong SequenceError
		switch {
		case o.ctx.Err() != nil:
			return false
		case err == nil, errors.As(err, &wrong) && wrong.Expected > o.sequence: // an earlier try took effect
			for _, s := range batch {
				o.send(saveDone{pendingSave: s})
			}
			return true
		case errors.As(err, &wrong), errors.Is(err, ErrFenced):
			all := pendingSave{}
			for _, s := range batch {
				all.waiting = append(all.waiting, s.waiting...)
			}
			o.send(saveDone{pendingSave: all, err: err, certain: certain})
			return false
		case !errors.Is(err, ErrRefused):
			certain = false
		case certain:
			batch = o.refuseCallers(batch, err)
		}
		if len(batch) > 0 {
			sleep(o.ctx, appendRetry)
		}
	}
	o.sequence-- // the store has not seen it
	return true
}

// append tries once, and tells the unit when the store begins or ceases to turn
// this instance away.
func (o *ownership) append(batch []pendingSave) error {
	var records []pool.Record
	for _, s := range batch {
		records = append(records, s.records...)
	}
	_, err := o.unit.node.store.Append(withTimeout(o.ctx, appendTimeout), o.unit.topic, records,
		&Writer{Name: "owner", Epoch: o.claim.Epoch, Sequence: o.sequence})
	if away := err != nil; away != o.away {
		o.away = away
		o.unit.send(o.ctx, func() { o.turnedAway = away })
	}
	return err
}

// refuseCallers gives up what callers handed in and returns the rest.
func (o *ownership) refuseCallers(batch []pendingSave, err error) []pendingSave {
	var rest []pendingSave
	for _, s := range batch {
		if s.kind == intakeSave {
			o.send(saveDone{pendingSave: s, err: err, certain: true})
		} else {
			rest = append(rest, s)
		}
	}
	return rest
}

func (o *ownership) takeWorkers(b batch) {
	if b.err != nil {
		return // the list stays as it was; the unit reports the store's loss
	}
	if b.reset {
		o.workers = map[string]pool.WorkerInfo{}
	}
	for _, rec := range b.records {
		if len(rec.Value) == 0 {
			delete(o.workers, rec.Key)
			continue
		}
		info, err := o.unit.node.directory.DecodeWorker(rec.Record)
		if err != nil {
			o.unit.log.Error().Err(err).Str("key", rec.Key).Msg("worker.unreadable")
			continue
		}
		if partOf(info.Service, o.unit.node.set.Parts) != o.unit.topic.Part {
			delete(o.workers, rec.Key)
			continue
		}
		o.workers[rec.Key] = info
	}
	o.listed = true
	o.listWorkers()
}

// listWorkers tells the core of the workers, but only after the jobs: a core
// without its jobs would take all that runs for unwanted and stop it, and note
// ends of tasks that it doesn't know.
func (o *ownership) listWorkers() {
	if o.loaded && o.listed {
		o.step(pool.WorkersListed{Workers: sortedWorkers(o.workers)})
	}
}

func (o *ownership) step(ev pool.Event) {
	for _, a := range o.core.Step(o.unit.node.now(), ev) {
		o.carryOut(a)
	}
}

// plan has the core start what can be started, unless the last plan took long.
func (o *ownership) plan() {
	began := o.unit.node.now()
	if began < o.planAfter {
		return
	}
	for _, a := range o.core.Plan(began) {
		o.carryOut(a)
	}
	if took := o.unit.node.now() - began; took > longPlan {
		o.planAfter = began + took*planRest
	}
}

func (o *ownership) carryOut(a pool.Action) {
	w := o.unit.node.workers
	switch a := a.(type) {
	case pool.Hold:
		go func() { o.send(w.Hold(withTimeout(o.ctx, a.Wait+holdSlack), a)) }()
	case pool.Start:
		go func() {
			out := w.Start(withTimeout(o.ctx, orderTimeout), a)
			o.send(pool.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Outcome: out})
		}()
	case pool.Stop:
		go func() {
			out := w.Stop(withTimeout(o.ctx, orderTimeout), a)
			o.send(pool.StopAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Outcome: out})
		}()
	case pool.Pace:
		go func() { w.Pace(withTimeout(o.ctx, orderTimeout), a) }()
	case pool.Advise:
		o.asks.add(a)
	case pool.Save:
		o.saves <- pendingSave{kind: coreSave, seq: a.Seq, records: a.Records}
	case pool.Deposed:
		own := o
		go func() {
			o.unit.send(own.ctx, func() {
				if own.unit.own == own {
					own.unit.dropOwnership("worker " + a.Worker + " has seen a newer owner")
				}
			})
		}()
	case pool.WorkerGone:
		w.Forget(a.Worker)
	case pool.Noted:
		o.unit.node.logDecision(o.unit, a)
	default:
		o.carryOutWave(a)
	}
}
