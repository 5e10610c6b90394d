package machines

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

// View is the access of one instance to the world, with its faults.
type View struct {
	w     *World
	name  string
	mu    sync.Mutex
	fault StoreFault
	// faultEnds is closed when the store's fault changes.
	faultEnds   chan struct{}
	delay       time.Duration
	partitioned bool            // from the workers
	unreachable map[string]bool // workers that it can't reach
	// resumed is closed at the end of a pause of the instance's process; nil: it isn't paused.
	resumed chan struct{}
	kills   int // how often the process has been killed
	// faultFreeSince is the end of the instance's last fault.
	faultFreeSince time.Time
}

// View returns the access of an instance to the world.
func (w *World) View(name string) *View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &View{w: w, name: name, faultEnds: make(chan struct{})}
	w.views[name] = v
	return v
}

// stableAfter is how long an instance must have been without faults before the guarantees
// with a time limit are checked.
const stableAfter = 3 * time.Second

// IsStable reports whether the instance has been without faults long enough for the
// guarantees with a time limit.
func (v *View) IsStable() bool { return v.faultFreeFor() > stableAfter }

// faultFreeFor returns how long the instance has been without faults.
func (v *View) faultFreeFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != StoreUp || v.delay != 0 || v.partitioned || v.resumed != nil {
		return 0
	}
	return time.Since(v.faultFreeSince)
}

// RecordFault records that the instance has just been restarted or frozen.
func (v *View) RecordFault() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faultFreeSince = time.Now()
}

// Pause holds back all calls of the instance and the answers to them, as if its process was stopped, until Resume or
// Kill.
func (v *View) Pause() (resumed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resumed == nil {
		v.resumed = make(chan struct{})
	}
	v.faultFreeSince = time.Now()
	return v.resumed
}

// Resume ends a pause.
func (v *View) Resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resumed != nil {
		close(v.resumed)
		v.resumed, v.faultFreeSince = nil, time.Now()
	}
}

// Kill drops the calls that a pause has held back.
func (v *View) Kill() {
	v.mu.Lock()
	v.kills++
	v.mu.Unlock()
	v.Resume()
}

// awaitResume waits until the instance isn't paused. It reports whether it has waited, and whether the process has been
// killed meanwhile.
func (v *View) awaitResume() (waited, killed bool) {
	v.mu.Lock()
	before := v.kills
	v.mu.Unlock()
	for {
		v.mu.Lock()
		resumed, kills := v.resumed, v.kills
		v.mu.Unlock()
		if resumed == nil {
			return waited, kills != before
		}
		<-resumed
		waited = true
	}
}

// SetStore sets the fault of the store for the instance.
func (v *View) SetStore(f StoreFault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	v.faultFreeSince = time.Now()
	close(v.faultEnds)
	v.faultEnds = make(chan struct{})
}

// SlowStore delays every answer of the store.
func (v *View) SlowStore(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
	v.faultFreeSince = time.Now()
}

// PartitionWorkers starts a network partition between the instance and all workers, or ends
// it.
func (v *View) PartitionWorkers(partitioned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.partitioned = partitioned
	v.faultFreeSince = time.Now()
}

// StoreFault returns the fault of the store for the instance.
func (v *View) StoreFault() StoreFault {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault
}

// currentFault returns the fault of the store for the instance, and a channel that is
// closed when the fault changes.
func (v *View) currentFault() (StoreFault, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault, v.faultEnds
}

func (v *View) storeDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.delay
}

// PartitionWorker starts a network partition between the instance and one worker, or ends it.
func (v *View) PartitionWorker(id string, partitioned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unreachable == nil {
		v.unreachable = map[string]bool{}
	}
	v.unreachable[id] = partitioned
	v.faultFreeSince = time.Now()
}

// reaches reports whether there is no network partition between the instance and a worker.
func (v *View) reaches(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.partitioned && !v.unreachable[id]
}

// ConfigTopic implements node.Directory.
func (v *View) ConfigTopic() node.Topic { return ConfigTopic }

// WorkersTopic implements node.Directory.
func (v *View) WorkersTopic() node.Topic { return WorkersTopic }

// DecodeConfig implements node.Directory.
func (v *View) DecodeConfig(r pool.Record) (*node.Config, error) {
	return decodeConfig(r)
}

// DecodeWave implements node.Directory.
func (v *View) DecodeWave(pool.Record) (*pool.Wave, error) { return nil, nil }

// StatusTopic implements node.Directory.
func (v *View) StatusTopic() node.Topic { return node.Topic{Name: "status"} }

// EncodeWave implements node.Directory.
func (v *View) EncodeWave(int, bool) pool.Record { return pool.Record{} }

// DecodeWorker implements node.Directory.
func (v *View) DecodeWorker(r pool.Record) (pool.WorkerInfo, error) {
	return decodeWorker(r)
}

// deliver sends an order to a worker's address over the network. It returns the worker at that address if
// the order arrives now and its answer will arrive too; late is called if the order arrives later. An order
// that is late is lost if the worker crashes before. An order that a pause of the instance has held back is
// sent after it, although its time is over, and held is called then.
func (v *View) deliver(ctx context.Context, id, addr string, late, held func(*worker)) *worker {
	if waited, killed := v.awaitResume(); waited && ctx.Err() != nil {
		if !killed && v.reaches(id) {
			afterFunc(networkDelay, func() { v.w.deliverHeld(id, held) })
		}
		return nil
	}
	if !pause(ctx, networkDelay) {
		return nil
	}
	v.w.mu.Lock()
	x := v.w.workers[id]
	if x != nil && addr != "" && addr != x.addr() {
		if x = v.w.workerAt(addr); x != nil {
			late = nil // it does nothing for another worker's order
		}
	}
	alive := x != nil && (x.alive || x.replaced) && !x.unreachable
	lateOrders := v.w.lateOrders
	v.w.mu.Unlock()
	if !alive || !v.reaches(id) {
		<-ctx.Done()
		return nil
	}
	if late != nil && v.w.Chance(lateOrders) {
		afterFunc(2*time.Second+time.Duration(v.w.IntN(10000))*time.Millisecond, func() { v.w.deliverLate(x, late) })
		<-ctx.Done()
		return nil
	}
	return x
}

// deliverHeld delivers an order that a pause of its sender has held back.
func (w *World) deliverHeld(id string, held func(*worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.workers[id]; x != nil && x.alive && !x.unreachable {
		held(x)
	}
}

// deliverLate delivers an order that is late, to the worker's newest incarnation if it may outlive that for
// which it was meant.
func (w *World) deliverLate(x *worker, late func(*worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	y := w.workers[x.id]
	switch {
	case w.LateOrdersAwaitRestarts && y != nil && !y.alive && !y.replaced:
		afterFunc(tickInterval, func() { w.deliverLate(x, late) })
	case y == x || y == nil || !w.LateOrdersOutliveWorkers:
		late(x)
	case w.LateOrdersAwaitHolds && y.alive && !y.heldTwice:
		afterFunc(tickInterval, func() { w.deliverLate(x, late) })
	default:
		late(y)
	}
}

// Start implements node.Workers.
func (v *View) Start(ctx context.Context, s pool.Start) pool.StartAnswered {
	defer v.awaitResume()
	o := order{sender: v.name, sentAt: time.Now()}
	x := v.deliver(ctx, s.Worker, s.Addr, func(x *worker) { x.start(s, o) }, func(x *worker) {
		x.start(s, order{sender: v.name, sentAt: time.Now()}) // it is sent only now
	})
	if x == nil {
		return s.Answered(pool.NoAnswer, 0)
	}
	if x.id != s.Worker {
		return s.Answered(pool.WrongIncarnation, 0)
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return s.Answered(x.start(s, o), x.clock())
}

// Stop implements node.Workers.
func (v *View) Stop(ctx context.Context, s pool.Stop) pool.Outcome {
	defer v.awaitResume()
	late := func(x *worker) { x.stop(s) }
	x := v.deliver(ctx, s.Worker, s.Addr, late, late)
	if x == nil {
		return pool.NoAnswer
	}
	if x.id != s.Worker {
		return pool.WrongIncarnation
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return x.stop(s)
}

// Pace implements node.Workers.
func (v *View) Pace(ctx context.Context, p pool.Pace) pool.Outcome {
	defer v.awaitResume()
	x := v.deliver(ctx, p.Worker, p.Addr, nil, func(x *worker) { x.pace(p) })
	if x == nil {
		return pool.NoAnswer
	}
	if x.id != p.Worker {
		return pool.WrongIncarnation
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return x.pace(p)
}

// Hold implements node.Workers.
func (v *View) Hold(ctx context.Context, h pool.Hold) pool.HoldAnswered {
	defer v.awaitResume()
	answer := pool.HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, Outcome: pool.NoAnswer}
	x := v.deliver(ctx, h.Worker, h.Addr, nil, func(x *worker) { x.hold(h, &pool.HoldAnswered{}) })
	if x == nil {
		return answer
	}
	if x.id != h.Worker {
		answer.Outcome = pool.WrongIncarnation
		return answer
	}
	v.w.mu.Lock()
	x.heldTwice = x.heldTwice || x.holdAnswered
	v.w.mu.Unlock()
	timeout := after(h.Wait)
	defer func() {
		if answer.Outcome == pool.NoAnswer && v.w.CrashesBreakNoConnections {
			<-ctx.Done()
		}
	}()
	for {
		v.w.mu.Lock()
		fresh, ended := x.hold(h, &answer)
		x.holdAnswered = x.holdAnswered || fresh && answer.Outcome == pool.OK && ctx.Err() == nil
		v.w.mu.Unlock()
		if fresh || answer.Outcome != pool.OK {
			return answer
		}
		timedOut := false
		select {
		case <-ended:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			answer.Outcome = pool.NoAnswer
			return answer
		}
		if !v.reaches(h.Worker) { // since the hold was sent, a partition has begun, which no answer passes
			<-ctx.Done()
			answer.Outcome = pool.NoAnswer
			return answer
		}
		if timedOut {
			v.w.mu.Lock()
			x.hold(h, &answer)
			x.holdAnswered = x.holdAnswered || answer.Outcome == pool.OK && ctx.Err() == nil
			v.w.mu.Unlock()
			return answer
		}
	}
}

// Forget implements node.Workers.
func (v *View) Forget(string) {}

// Advise implements node.Advisor. The names of step and worker determine whether a worker
// may run a step.
func (v *View) Advise(ctx context.Context, a pool.Advise) pool.Advised {
	v.awaitResume()
	defer v.awaitResume()
	answer := pool.Advised{Step: a.Step, Asked: a.Workers, Validity: v.w.Bounds.TicketValidity}
	if !pause(ctx, a.Cost) {
		answer.Failed = true
		return answer
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	for _, id := range a.Workers {
		if x := v.w.workers[id]; x != nil && x.alive && canRun(a.Step, id) {
			answer.Good = append(answer.Good, pool.Ticket{Worker: id, Ticket: x.newTicket(a.Step)})
		}
	}
	return answer
}
