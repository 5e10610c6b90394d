package pool

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// demand is an amount of work for each resource that can be a bottleneck.
type demand struct {
	cpu, mem, gpu float64 // amount times seconds
	advice        float64 // seconds of the advice service
	starts        float64
}

func (d *demand) add(o demand) {
	d.cpu += o.cpu
	d.mem += o.mem
	d.gpu += o.gpu
	d.advice += o.advice
	d.starts += o.starts
}

func (d demand) plus(o demand) demand {
	d.add(o)
	return d
}

func (d *demand) addTasks(need Resources, count int, each time.Duration) {
	seconds := float64(count) * each.Seconds()
	d.cpu += float64(need.CPU) * seconds
	d.mem += float64(need.Mem) * seconds
	d.gpu += float64(need.GPU) * seconds
}

func (d demand) scaled(factor float64) demand {
	return demand{cpu: d.cpu * factor, mem: d.mem * factor, gpu: d.gpu * factor, advice: d.advice * factor, starts: d.starts * factor}
}

// resources returns the amounts in the order of bottlenecks.
func (d demand) resources() [5]float64 { return [...]float64{d.cpu, d.mem, d.gpu, d.advice, d.starts} }

// bottlenecks names the amounts of a demand.
var bottlenecks = [...]Bottleneck{CapacityBottleneck, CapacityBottleneck, CapacityBottleneck, AdviceBottleneck, StartsBottleneck}

// backlogEntry is the remaining demand of one job.
type backlogEntry struct {
	service, queue, organisation string
	priority                     int
	due                          int64
	// started is set if a task of the job has started, beyondWeight if the job is beyond its
	// organisation's weight.
	started, beyondWeight bool
	demand                demand
	// ready is the part of demand whose steps are ready, and late is set if the job is past its objective.
	ready demand
	late  bool
	// unit is the largest amount that its tasks need at once under a cap, or one of its gangs.
	unit organisation.Amounts
	// unusableShare is the share of the workers that a gang can't use because the advice service
	// forbids them.
	unusableShare float64
}
