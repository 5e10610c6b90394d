package experiment

import (
	"fmt"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Cell is a list of workers to experiment with.
type Cell struct {
	Name    string
	Workers []infra.Worker
}

// group is a number of equal workers.
type group struct {
	name           string
	count, perRack int
	capacity       infra.Resources
}

const zones = 3

func newCell(name string, groups ...group) Cell {
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

// Workshop is the workshop's cell of today.
func Workshop() Cell {
	return newCell("workshop", group{"desk", 35, 5, infra.Resources{MilliCPU: 16000, MemoryMiB: 32 << 10}}, group{"bench", 13, 3, accelerated})
}

// Association is the association's cell of today.
func Association() Cell {
	return newCell("association", group{"listing", 35, 5, large}, group{"mapping", 13, 3, accelerated})
}

// Letter is a part of the cell of 17,000 workers, 32,000 accelerators among
// them: one of so many equal parts.
func Letter(parts int) Cell {
	return newCell(fmt.Sprintf("letter/%d", parts), group{"plain", 13000 / parts, 5, large}, group{"accel", 4000 / parts, 5, accelerated})
}

func (c Cell) total() infra.Resources {
	var sum infra.Resources
	for _, w := range c.Workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}
