package pool

import "time"

// machineListInterval is the time between two listings of the machines while a wave is active.
const machineListInterval = 700 * time.Millisecond

// MachineInfo describes a machine as listed by the platform.
type MachineInfo struct {
	ID      string
	Service string // the pool that it belongs to
	Up      bool
	Worker  string // the worker that runs on it
}

// MachinesListed replaces the list of machines. A partial list lacks machines that couldn't be
// read. What was known of them is kept, since a missing machine would otherwise count as gone.
type MachinesListed struct {
	Machines []MachineInfo
	Partial  bool
}

// knownMachine is the last known state of a machine, and when it was requested, since a partial
// list may lack the machine.
type knownMachine struct {
	MachineInfo
	requestedAt time.Duration
}

// ListMachines requests the list of machines.
type ListMachines struct{}

func (MachinesListed) event() {}

func (ListMachines) action() {}

func (c *Core) machinesListed(e MachinesListed) {
	c.waves.listing = false
	if len(e.Machines) == 0 {
		return // the platform didn't answer
	}
	if c.waves.machines == nil || !e.Partial {
		c.waves.machines = map[string]knownMachine{}
	}
	for _, m := range e.Machines {
		c.waves.machines[m.ID] = knownMachine{MachineInfo: m, requestedAt: c.waves.listedAt}
	}
	if e.Partial {
		return // the shares of a wave depend on all of its machines
	}
	c.expireGoneWorkers(e.Machines)
	for _, n := range c.waves.order {
		if c.waves.active[n] == nil {
			c.openWave(c.waves.requested[n])
		}
	}
}

// ownsService reports whether the workers of a service belong to this pool.
func (c *Core) ownsService(service string) bool {
	for _, w := range c.workerList {
		if w.Service == service {
			return true
		}
	}
	return false
}

// listMachines requests the list of machines periodically once the workers are known. A list
// that is older than a worker's incarnation says nothing about it.
func (c *Core) listMachines() {
	if !c.listed || c.waves.listing || c.now-c.waves.listedAt < machineListInterval {
		return
	}
	c.waves.listing, c.waves.listedAt = true, c.now
	c.emit(ListMachines{})
}
