package pool

import "time"

const (
	// firstInterval, intervalGrowth and intervals divide the next 60 s or so into intervals, each a
	// quarter longer than the one before, starting with 0.05 s. The near future matters more and is
	// known better.
	firstInterval  = 50 * time.Millisecond
	intervalGrowth = 1.25
	intervals      = 26
)

// intervalEnds are the ends of the intervals, in seconds from now.
var intervalEnds = func() (ends [intervals]float64) {
	length, end := firstInterval.Seconds(), 0.0
	for n := range ends {
		end += length
		ends[n] = end
		length *= intervalGrowth
	}
	return ends
}()

// capacityProfile is the capacity of a service's workers, and how much of it running tasks use over
// time.
type capacityProfile struct {
	listedCPU, respondingCPU int // CPUs of the listed workers, and of those that respond
	estimable                bool
	largestWorker            Resources // largest capacity of any responding worker, by resource
	fullRate                 demand    // processed per second when nothing runs; 0: not a bottleneck
	// inUse is the capacity in use per second during each interval. Like fullRate, it is counted at
	// the speed of the workers.
	inUse [intervals]demand
}

// addWorker adds a worker that works at a relative speed.
func (r *capacityProfile) addWorker(capacity Resources, speed float64) {
	r.fullRate.addTasks(capacity, 1, time.Duration(speed*float64(time.Second)))
}

// addRun adds a run on a worker of a relative speed that is expected to last for the given time.
func (r *capacityProfile) addRun(need Resources, speed float64, left time.Duration) {
	// Find the interval in which the run ends; accumulate adds it to the earlier ones.
	last := 0
	for last < intervals-1 && intervalEnds[last] < left.Seconds() {
		last++
	}
	r.inUse[last].addTasks(need, 1, time.Duration(speed*float64(time.Second)))
}

// accumulate adds to each interval the runs that go on beyond it.
func (r *capacityProfile) accumulate() {
	for n := intervals - 2; n >= 0; n-- {
		r.inUse[n].add(r.inUse[n+1])
	}
}

// timeToProcess returns how long the pool takes to process work at a rate, next to what runs
// already, and the bottleneck that determines it. Work that exceeds the last interval continues at
// that interval's rate.
func (r *capacityProfile) timeToProcess(work, rate demand) (time.Duration, Bottleneck) {
	longest, bottleneck := 0.0, NoBottleneck
	works, rates := work.resources(), rate.resources()
	for i := range works {
		if works[i] <= 0 || rates[i] <= 0 {
			continue
		}
		if t := r.secondsFor(works[i], rates[i], i); t > longest {
			longest, bottleneck = t, bottlenecks[i]
		}
	}
	return time.Duration(min(longest, unbounded.Seconds()) * float64(time.Second)), bottleneck
}

func (r *capacityProfile) secondsFor(work, rate float64, resource int) float64 {
	start := 0.0
	for n, end := range intervalEnds {
		free := rate
		if full := r.fullRate.resources()[resource]; full > 0 {
			// Future demand of more urgent queues replaces what they run now.
			free = max(0, min(rate, full-r.inUse[n].resources()[resource]))
		}
		if n == intervals-1 {
			free = max(free, minCapacityShare*rate)
		}
		if processed := free * (end - start); processed < work && n < intervals-1 {
			work -= processed
			start = end
			continue
		}
		return start + work/max(free, 1e-9)
	}
	return start
}
