package experiment

import (
	"math"
	"sort"
	"time"
)

// Oracle returns an upper bound of the value that any policy can deliver. It knows all arrivals
// in advance, never waits and packs slots without gaps, but like every policy learns the run
// time of a request only by running it. It fills the slot-seconds of the run with the classes
// that have the highest value per slot-second.
func (c Cell) Oracle(arrivals []Arrival) float64 {
	return c.packSlots(arrivals, func(a Arrival) (float64, float64) {
		k := c.Classes[a.Class]
		onTimeOdds, used := c.completionOdds(k.MeanRunTime, k.Deadline)
		return k.Value * onTimeOdds, used
	})
}

// Clairvoyant returns the bound for a policy that also knows each run time in advance. No real
// policy can come close to it when run times vary.
func (c Cell) Clairvoyant(arrivals []Arrival) float64 {
	return c.packSlots(arrivals, func(a Arrival) (float64, float64) {
		k := c.Classes[a.Class]
		if a.Run > k.Deadline {
			return 0, k.Deadline.Seconds()
		}
		return k.Value, a.Run.Seconds()
	})
}

func (c Cell) packSlots(arrivals []Arrival, valueOf func(Arrival) (value, used float64)) float64 {
	type item struct{ value, used float64 }
	items := make([]item, 0, len(arrivals))
	var last time.Duration
	for _, a := range arrivals {
		w, u := valueOf(a)
		items = append(items, item{w, u})
		last = max(last, a.At+c.Classes[a.Class].Deadline)
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].value*items[j].used > items[j].value*items[i].used })
	left := last.Seconds() * float64(c.Slots())
	total := 0.0
	for _, it := range items {
		if it.used > left {
			return total + it.value*left/it.used
		}
		left -= it.used
		total += it.value
	}
	return total
}

// completionOdds returns the probability that a run ends before the deadline, and the mean
// slot-seconds it uses if it is stopped there.
func (c Cell) completionOdds(mean, deadline time.Duration) (chance, used float64) {
	mu := math.Log(mean.Seconds()) - c.Spread*c.Spread/2
	z := (math.Log(deadline.Seconds()) - mu) / c.Spread
	chance = normalCDF(z)
	return chance, mean.Seconds()*normalCDF(z-c.Spread) + deadline.Seconds()*(1-chance)
}

func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }
