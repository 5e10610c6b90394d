package pool

import (
	"encoding/json"
	"slices"
	"time"
)

// A maintenance wave requires that each of a set of machines goes down for a moment, only a few
// at a time, within a given duration. A pool's owner evacuates its machines first: long-running
// tasks migrate one by one, as far as their step permits; other tasks end by themselves or are
// stopped after a grace period.
const (
	// evacuationsPerDown is how many machines are evacuated for each that may be down.
	evacuationsPerDown = 2
	// defaultOrderLease applies if Settings.OrderLease is not set.
	defaultOrderLease = 3 * time.Second
	// orderLeaseMargin and the part of the lease that orderLeaseDivisor defines are added for orders on their way and
	// for clocks that run at different speeds.
	orderLeaseMargin  = 350 * time.Millisecond
	orderLeaseDivisor = 20
)

// Wave is a maintenance wave as requested by the operators.
type Wave struct {
	Number   int
	Machines []string
	Duration time.Duration
	Cap      int // maximum number of machines that are down at the same time
}

// WavesRequested replaces the list of requested waves.
type WavesRequested struct{ Waves []Wave }

// WaveStored restores which machines of a wave are done.
type WaveStored struct {
	Wave int
	Done []string
}

// MaintenanceAnswered is the answer to a StartMaintenance. Stale means that the machine has
// left or isn't part of the wave.
type MaintenanceAnswered struct {
	Wave    int
	Machine string
	Outcome Outcome
}

func (WavesRequested) event()      {}
func (WaveStored) event()          {}
func (MaintenanceAnswered) event() {}

// StartMaintenance orders the maintenance of a machine, which ends all its runs.
type StartMaintenance struct {
	Wave    int
	Machine string
	Token   uint64
}

// WaveFinished reports that this pool's machines of a wave are done. Services are all pools
// affected by the wave.
type WaveFinished struct {
	Wave     int
	Services []string
}

// WaveStarted reports that work on a wave has started.
type WaveStarted struct{ Wave int }

func (StartMaintenance) action() {}
func (WaveFinished) action()     {}
func (WaveStarted) action()      {}

type wave struct {
	Wave
	machines []*waveMachine // of this pool
	services []string
	cap      int // this pool's share
	started  bool
	finished bool
}

type waves struct {
	requested map[int]Wave
	done      map[int][]string // as stored
	active    map[int]*wave
	order     []int
	machines  map[string]knownMachine
	listing   bool
	listedAt  time.Duration
}

func (c *Core) wavesRequested(e WavesRequested) {
	for _, w := range e.Waves {
		if _, known := c.waves.requested[w.Number]; known {
			continue
		}
		if c.waves.requested == nil {
			c.waves.requested, c.waves.active = map[int]Wave{}, map[int]*wave{}
		}
		c.waves.requested[w.Number] = w
		c.waves.order = append(c.waves.order, w.Number)
	}
	slices.Sort(c.waves.order)
}

func (c *Core) waveStored(e WaveStored) {
	if c.waves.done == nil {
		c.waves.done = map[int][]string{}
	}
	c.waves.done[e.Wave] = e.Done
}

// openWave determines this pool's machines of a wave, and the pool's share of the limit.
func (c *Core) openWave(requested Wave) {
	wv := &wave{Wave: requested}
	done := c.waves.done[requested.Number]
	owned, all := 0, 0
	for _, id := range requested.Machines {
		m, listed := c.waves.machines[id]
		if !listed {
			continue // it has left
		}
		all++
		if !slices.Contains(wv.services, m.Service) {
			wv.services = append(wv.services, m.Service)
		}
		if !c.ownsService(m.Service) {
			continue
		}
		owned++
		x := &waveMachine{id: id}
		if slices.Contains(done, id) {
			x.phase = machineDone
		}
		wv.machines = append(wv.machines, x)
	}
	slices.Sort(wv.services)
	if all > 0 {
		// Owners of different pools can't count the machines that are down together, so each
		// gets a proportional share of the limit, rounded down. A pool whose share is 0 skips
		// the wave, which violates no guarantee.
		wv.cap = requested.Cap * owned / all
	}
	c.waves.active[requested.Number] = wv
}

// runWaves advances each wave.
func (c *Core) runWaves() {
	working := false
	for _, n := range c.waves.order {
		wv := c.waves.active[n]
		if wv == nil {
			working = true
			continue
		}
		if wv.finished || wv.cap == 0 || len(wv.machines) == 0 {
			continue
		}
		working = true
		c.runWave(wv)
	}
	if working || c.waitsForInheritedWorkers() {
		c.listMachines()
	}
}

func (c *Core) runWave(wv *wave) {
	if !wv.started {
		wv.started = true
		c.emit(WaveStarted{Wave: wv.Number})
	}
	down, evacuating, left := 0, 0, 0
	for _, m := range wv.machines {
		c.updateMachine(wv, m)
		switch m.phase {
		case machineOrdered:
			down++
		case machineEvacuating:
			evacuating++
		}
		if m.phase != machineDone {
			left++
		}
	}
	if left == 0 {
		wv.finished = true
		c.emit(WaveFinished{Wave: wv.Number, Services: wv.services})
		return
	}
	for _, m := range wv.machines {
		switch {
		case m.phase == machineWaiting && c.now >= m.nextAttempt && c.waves.machines[m.id].Up && evacuating+down < evacuationsPerDown*wv.cap:
			m.phase, m.since = machineEvacuating, c.now
			evacuating++
		case m.phase == machineEvacuating && c.evacuate(m) && down < wv.cap && c.mayOrderMaintenance():
			m.phase, m.since = machineOrdered, c.now
			down++
		case m.phase == machineEvacuating && c.now-m.since >= maxEvacuation:
			c.suspendEvacuation(m)
		}
		if m.phase == machineOrdered && !m.orderPending && !m.accepted && c.now >= m.nextAttempt && c.IsConfirmed() {
			m.orderPending = true
			c.emit(StartMaintenance{Wave: wv.Number, Machine: m.id, Token: c.settings.Token})
		}
	}
}

// mayOrderMaintenance reports whether no other owner's orders can take effect any more, which would count beside this
// one's against the limit of machines that are down.
func (c *Core) mayOrderMaintenance() bool {
	return c.IsConfirmed() && c.predecessorsOver && c.now-c.predecessorsOverAt >= c.predecessorOrderTimeout()
}

// predecessorOrderTimeout is how long a new owner waits, once predecessors can't be confirmed any more, before it orders
// maintenance of a machine, since one of them may just have ordered the maintenance of the same machine.
func (c *Core) predecessorOrderTimeout() time.Duration {
	lease := c.settings.OrderLease
	if lease <= 0 {
		lease = defaultOrderLease
	}
	return lease + lease/orderLeaseDivisor + orderLeaseMargin
}

// readyPercent is the progress of a long-running task that is fully up, in percent.
const readyPercent = 100

// WaveKey returns the key under which a wave's finished machines are stored.
func WaveKey(number int) string { return wavePrefix + string(Encode(number)) }

func parseWave(suffix string) (int, bool) {
	var n int
	return n, json.Unmarshal([]byte(suffix), &n) == nil
}
