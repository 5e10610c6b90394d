package experiment

import (
	"math"
	"sort"
	"time"
)

// Oracle is an upper bound of the worth that any way of serving can deliver: it
// knows all arrivals beforehand, never waits and packs slots without gaps, but
// like everybody it learns the run time of a request only by running it. It fills
// the slot-seconds of the run with the classes that bring most for each.
func (c Cell) Oracle(arrivals []Arrival) float64 {
	return c.fill(arrivals, func(a Arrival) (float64, float64) {
		k := c.Classes[a.Class]
		inTime, used := c.within(k.Mean, k.Deadline)
		return k.Worth * inTime, used
	})
}

// Clairvoyant is the bound for one that also knows each run time beforehand.
// Nobody can come near it when run times vary.
func (c Cell) Clairvoyant(arrivals []Arrival) float64 {
	return c.fill(arrivals, func(a Arrival) (float64, float64) {
		k := c.Classes[a.Class]
		if a.Run > k.Deadline {
			return 0, k.Deadline.Seconds()
		}
		return k.Worth, a.Run.Seconds()
	})
}

func (c Cell) fill(arrivals []Arrival, value func(Arrival) (worth, used float64)) float64 {
	type item struct{ worth, used float64 }
	items := make([]item, 0, len(arrivals))
	var last time.Duration
	for _, a := range arrivals {
		w, u := value(a)
		items = append(items, item{w, u})
		last = max(last, a.At+c.Classes[a.Class].Deadline)
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].worth*items[j].used > items[j].worth*items[i].used })
	left := last.Seconds() * float64(c.Slots())
	total := 0.0
	for _, it := range items {
		if it.used > left {
			return total + it.worth*left/it.used
		}
		left -= it.used
		total += it.worth
	}
	return total
}

// within returns the chance that a run ends before the deadline, and the
// slot-seconds it uses on average when it is stopped there.
func (c Cell) within(mean, deadline time.Duration) (chance, used float64) {
	mu := math.Log(mean.Seconds()) - c.Spread*c.Spread/2
	z := (math.Log(deadline.Seconds()) - mu) / c.Spread
	chance = normalCDF(z)
	return chance, mean.Seconds()*normalCDF(z-c.Spread) + deadline.Seconds()*(1-chance)
}

func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }
