package pool

import (
	"math"
	"time"
)

// availableWorker is a worker that accepts new tasks in this pass.
type availableWorker struct {
	*worker
	// free is its free capacity when it was last measured in this pass, an upper bound afterwards.
	free Resources
}

// freeCapacity is what the last call of measureFreeCapacity was based on. In a pool of 252 workers, few of
// them change between two passes, and measuring all of them took a fifth of the core's time.
type freeCapacity struct {
	changed []*worker // workers whose free capacity may have changed since then
	// remeasure is set if the set of available workers or a capacity may have changed.
	remeasure bool
	// validUntil is when time alone may change the set of available workers.
	validUntil  time.Duration
	listWasOld  bool      // the list of workers was outdated
	draining    []*worker // listed workers that drain
	initialized bool
}

// freeChanged notes that a worker's free capacity, or whether it accepts tasks, may have changed.
func (c *Core) freeChanged(w *worker) {
	if !w.freeChanged {
		w.freeChanged = true
		c.capacity.changed = append(c.capacity.changed, w)
	}
}

// workersChanged notes that any worker's capacity, or which workers accept tasks, may have changed.
func (c *Core) workersChanged() { c.capacity.remeasure = true }

// measureFreeCapacity updates the workers that accept new tasks, the most free capacity on any of
// them by resource, and the smallest capacity by resource. Most passes come while the pool is full:
// steps that need more than is free anywhere are skipped at once, and so are steps that are small
// on every worker when workers are reserved for large ones.
func (c *Core) measureFreeCapacity() {
	f := &c.capacity
	if f.remeasure || !f.initialized || c.now >= f.validUntil || c.listOutdated() != f.listWasOld || !c.updateChangedWorkers() {
		c.measureAllWorkers()
	}
	for _, w := range f.changed {
		w.freeChanged = false
	}
	clear(f.changed)
	f.changed = f.changed[:0]
}

// updateChangedWorkers measures the workers that have changed. It returns false if other workers than
// before accept tasks now.
func (c *Core) updateChangedWorkers() bool {
	for _, w := range c.capacity.changed {
		if c.now < w.pausedUntil {
			c.capacity.validUntil = min(c.capacity.validUntil, w.pausedUntil)
		}
		if w.isAvailable != c.canPlaceOn(w) {
			return false
		}
	}
	largestReduced := false
	for _, w := range c.capacity.changed {
		if !w.isAvailable {
			continue
		}
		entry, now := &c.availableWorkers[w.availableIndex], w.free()
		largestReduced = largestReduced || entry.free.reducesLargest(now, c.largestFree)
		entry.free = now
		c.largestFree = c.largestFree.largest(now)
	}
	if largestReduced {
		c.findLargestFree()
	}
	return true
}

// canPlaceOn reports whether a worker can be sent new tasks of some step in this pass.
func (c *Core) canPlaceOn(w *worker) bool {
	return w.listed && !w.Draining && !w.inMaintenance && c.acceptsTasks(w)
}

// measureAllWorkers measures all workers.
func (c *Core) measureAllWorkers() {
	f := &c.capacity
	clear(c.availableWorkers) // don't keep removed workers alive
	clear(f.draining)
	f.remeasure, f.initialized, f.listWasOld, f.validUntil, f.draining = false, true, c.listOutdated(), math.MaxInt64, f.draining[:0]
	c.availableWorkers, c.smallestCapacity = c.availableWorkers[:0], Resources{}
	for _, w := range c.workerList {
		if w.listed && w.Draining {
			f.draining = append(f.draining, w)
		}
		if c.now < w.pausedUntil {
			f.validUntil = min(f.validUntil, w.pausedUntil)
		}
		w.isAvailable = c.canPlaceOn(w)
		if !w.isAvailable {
			continue
		}
		f.validUntil = min(f.validUntil, w.answeredAt+silentAfter)
		w.availableIndex = len(c.availableWorkers)
		c.availableWorkers = append(c.availableWorkers, availableWorker{worker: w, free: w.free()})
		c.smallestCapacity = Resources{CPU: minNonzero(c.smallestCapacity.CPU, w.Capacity.CPU), Mem: minNonzero(c.smallestCapacity.Mem, w.Capacity.Mem),
			GPU: minNonzero(c.smallestCapacity.GPU, w.Capacity.GPU)}
	}
	c.findLargestFree()
}

// findLargestFree finds the most free capacity on any available worker by resource.
func (c *Core) findLargestFree() {
	c.largestFree = Resources{}
	for i := range c.availableWorkers {
		c.largestFree = c.largestFree.largest(c.availableWorkers[i].free)
	}
}

// reducesLargest reports whether a change of a worker's free capacity to now may reduce the largest free
// capacity of any worker.
func (r Resources) reducesLargest(now, largest Resources) bool {
	return now.CPU < r.CPU && r.CPU >= largest.CPU || now.Mem < r.Mem && r.Mem >= largest.Mem || now.GPU < r.GPU && r.GPU >= largest.GPU
}
