package machines

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

// View is the world as one instance reaches it.
type View struct {
	w     *World
	name  string
	mu    sync.Mutex
	fault StoreFault
	// faultEnds is closed when another fault begins, or none.
	faultEnds chan struct{}
	delay     time.Duration
	cut       bool // from the workers
	// calmSince is when the last trouble of the instance ended.
	calmSince time.Time
}

// View returns the world as an instance reaches it.
func (w *World) View(name string) *View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &View{w: w, name: name, faultEnds: make(chan struct{})}
	w.views[name] = v
	return v
}

// inTouchAfter is how long an instance must have been without trouble for the
// promises that have a bound in time.
const inTouchAfter = 3 * time.Second

// InTouch reports whether the instance has been without trouble for so long that what is
// promised within a time holds for it.
func (v *View) InTouch() bool { return v.calmFor() > inTouchAfter }

// calmFor is how long the instance has been without trouble.
func (v *View) calmFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != StoreUp || v.delay != 0 || v.cut {
		return 0
	}
	return time.Since(v.calmSince)
}

// Troubled tells that the instance was restarted or frozen just now.
func (v *View) Troubled() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calmSince = time.Now()
}

// SetStore sets how the store treats the instance.
func (v *View) SetStore(f StoreFault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	v.calmSince = time.Now()
	close(v.faultEnds)
	v.faultEnds = make(chan struct{})
}

// SlowStore delays every answer of the store.
func (v *View) SlowStore(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
	v.calmSince = time.Now()
}

// CutWorkers cuts the instance off from all workers, or heals the cut.
func (v *View) CutWorkers(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
	v.calmSince = time.Now()
}

// StoreFault is how the store treats the instance.
func (v *View) StoreFault() StoreFault {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault
}

// whileFault returns how the store treats the instance and what is closed when that ends.
func (v *View) whileFault() (StoreFault, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault, v.faultEnds
}

func (v *View) storeDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.delay
}

func (v *View) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
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

// reach passes an order through the network. It returns the worker if the order
// arrives now and its answer will arrive too.
func (v *View) reach(ctx context.Context, id string, late func()) *worker {
	if !pause(ctx, wayBack) {
		return nil
	}
	v.w.mu.Lock()
	x := v.w.workers[id]
	alive := x != nil && x.alive && !x.dark
	lateOrders := v.w.lateOrders
	v.w.mu.Unlock()
	if !alive || v.isCut() {
		<-ctx.Done()
		return nil
	}
	if late != nil && v.w.Chance(lateOrders) {
		time.AfterFunc(2*time.Second+time.Duration(v.w.IntN(10000))*time.Millisecond, late)
		<-ctx.Done()
		return nil
	}
	return x
}

// Start implements node.Workers.
func (v *View) Start(ctx context.Context, s pool.Start) pool.Outcome {
	do := func() pool.Outcome {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		return v.w.workers[s.Worker].start(s, v.name)
	}
	if v.reach(ctx, s.Worker, func() { do() }) == nil {
		return pool.NoAnswer
	}
	return do()
}

// Stop implements node.Workers.
func (v *View) Stop(ctx context.Context, s pool.Stop) pool.Outcome {
	do := func() pool.Outcome {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		return v.w.workers[s.Worker].stop(s)
	}
	if v.reach(ctx, s.Worker, func() { do() }) == nil {
		return pool.NoAnswer
	}
	return do()
}

// Pace implements node.Workers.
func (v *View) Pace(ctx context.Context, p pool.Pace) pool.Outcome {
	x := v.reach(ctx, p.Worker, nil)
	if x == nil {
		return pool.NoAnswer
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return x.pace(p)
}

// Hold implements node.Workers.
func (v *View) Hold(ctx context.Context, h pool.Hold) pool.HoldAnswered {
	answer := pool.HoldAnswered{Worker: h.Worker, SentAt: h.SentAt, Outcome: pool.NoAnswer}
	x := v.reach(ctx, h.Worker, nil)
	if x == nil {
		return answer
	}
	timeout := after(h.Wait)
	for {
		v.w.mu.Lock()
		fresh, ended := x.hold(h, &answer)
		v.w.mu.Unlock()
		if fresh || answer.Outcome != pool.OK {
			return answer
		}
		select {
		case <-ended:
		case <-timeout:
			v.w.mu.Lock()
			x.hold(h, &answer)
			v.w.mu.Unlock()
			return answer
		case <-ctx.Done():
			answer.Outcome = pool.NoAnswer
			return answer
		}
	}
}

// Forget implements node.Workers.
func (v *View) Forget(string) {}

// Advise implements node.Advisor. Which workers may run a step follows from
// their names alone.
func (v *View) Advise(ctx context.Context, a pool.Advise) pool.Advised {
	answer := pool.Advised{Step: a.Step, Asked: a.Workers, Validity: ticketValidity}
	if !pause(ctx, a.Cost) {
		answer.Failed = true
		return answer
	}
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	for _, id := range a.Workers {
		if x := v.w.workers[id]; x != nil && x.alive && mayRun(a.Step, id) {
			answer.Good = append(answer.Good, pool.Ticket{Worker: id, Ticket: x.newTicket(a.Step)})
		}
	}
	return answer
}
