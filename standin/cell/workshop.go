package cell

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Workshop is the cell of the workshop: 35 workers of the order desk in racks of five, 13 of
// inspection in racks of three, three availability zones, and 7 pairs of entry and scheduler.
func Workshop() Spec {
	spec := Spec{Pairs: 7, Zones: 3, ListLag: time.Second, Runners: []RunnerGroup{
		{Service: "order-desk", Count: 35, Work: 20 * time.Millisecond},
		{Service: "inspection", Count: 13, Work: 150 * time.Millisecond},
	}}
	spec.Workers = append(spec.Workers, Workers("desk", 35, 5, 3, infra.Resources{MilliCPU: 16000, MemoryMiB: 32 << 10})...)
	spec.Workers = append(spec.Workers, Workers("bench", 13, 3, 3, infra.Resources{MilliCPU: 64000, MemoryMiB: 256 << 10, Accelerators: 8})...)
	return spec
}

// Workers returns workers of equal capacity in racks that are distributed over the zones.
func Workers(name string, count, perRack, zones int, capacity infra.Resources) []infra.Worker {
	list := make([]infra.Worker, 0, count)
	for i := range count {
		rack := i / perRack
		list = append(list, infra.Worker{ID: fmt.Sprintf("%s-%d", name, i+1), Rack: fmt.Sprintf("%s-rack-%d", name, rack+1),
			Zone: fmt.Sprintf("zone-%d", rack%zones+1), Capacity: capacity})
	}
	return list
}
