package experiment

import (
	"fmt"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Cell is a list of workers for a simulation.
type Cell struct {
	Name    string
	Workers []infra.Worker
}

// workerGroup is a number of equal workers.
type workerGroup struct {
	name           string
	count, perRack int
	capacity       infra.Resources
}

const zones = 3

func newCell(name string, groups ...workerGroup) Cell {
	c := Cell{Name: name}
	for _, g := range groups {
		for i := range g.count {
			rack := i / g.perRack
			c.Workers = append(c.Workers, infra.Worker{ID: fmt.Sprintf("%s-%05d", g.name, i),
				Rack: fmt.Sprintf("%s-rack-%04d", g.name, rack), Zone: fmt.Sprintf("zone-%d", rack%zones), Capacity: g.capacity})
		}
	}
	return c
}

var (
	large       = infra.Resources{MilliCPU: 64000, MemoryMiB: 256 << 10}
	accelerated = infra.Resources{MilliCPU: 64000, MemoryMiB: 256 << 10, Accelerators: 8}
)

// Workshop returns a cell of the size of the workshop deployment.
func Workshop() Cell {
	return newCell("workshop", workerGroup{"desk", 35, 5, infra.Resources{MilliCPU: 16000, MemoryMiB: 32 << 10}}, workerGroup{"bench", 13, 3, accelerated})
}

// Association returns a cell of the size of the association deployment.
func Association() Cell {
	return newCell("association", workerGroup{"listing", 35, 5, large}, workerGroup{"mapping", 13, 3, accelerated})
}

// LargeCell returns one of the given number of equal parts of a cell of 17,000
// workers with 32,000 accelerators.
func LargeCell(parts int) Cell {
	return newCell(fmt.Sprintf("letter/%d", parts), workerGroup{"plain", 13000 / parts, 5, large}, workerGroup{"accel", 4000 / parts, 5, accelerated})
}

func (c Cell) total() infra.Resources {
	var sum infra.Resources
	for _, w := range c.Workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}
