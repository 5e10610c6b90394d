// Package fairshare decides which organisation is served next while a resource is scarce: capacity by
// dominant-resource fairness over what is in use (Capacity), and the advice service by start-time fair
// queueing of the time that was spent (Clock). Turns gives jobs that can't earn anything any more a
// bounded part of the work. The package does no I/O and has no clock.
package fairshare

import "github.com/knapweedweir/knapweedweir/organisation"

// unweighted is the excess of organisations without a weight. It is larger than any excess of the others:
// even an organisation of weight 1 beside others of 1,000,000 has a smaller one.
const unweighted = 1e9

// Capacity ranks organisations by how far their use of a pool exceeds their shares. An organisation's use
// is its dominant one: the largest fraction of the total of any resource. Its share is its weight divided
// by the weights of all organisations that use the pool or wait for it. Organisations within their
// shares rank equally, so that due times decide among them.
//
// Nothing is kept from one pass to the next, so the state needs no recovery: it follows from what runs.
type Capacity struct {
	total   organisation.Amounts
	flows   map[string]*flow
	weights float64
}

type flow struct {
	weight float64
	used   organisation.Amounts
}

// Reset begins a pass over a pool of the given total capacity. It forgets all organisations.
func (c *Capacity) Reset(total organisation.Amounts) {
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	clear(c.flows)
	c.total, c.weights = total, 0
}

// Set sets the weight of an organisation and what it uses. A weight of 0 or less promises no share.
func (c *Capacity) Set(name string, weight float64, used organisation.Amounts) {
	if f := c.flows[name]; f != nil {
		c.weights -= f.weight
	}
	weight = max(0, weight)
	c.flows[name] = &flow{weight: weight, used: used}
	c.weights += weight
}

// Charge returns the organisation's excess, and counts an amount as used from now on. The results for one
// organisation don't decrease within a pass. An unknown organisation has no weight.
func (c *Capacity) Charge(name string, amount organisation.Amounts) float64 {
	f := c.flows[name]
	if f == nil {
		c.Set(name, 0, organisation.Amounts{})
		f = c.flows[name]
	}
	excess := c.excess(f)
	f.used = f.used.Plus(amount)
	return excess
}

// Use returns an organisation's dominant use and its share, both as fractions of the pool.
func (c *Capacity) Use(name string) (used, share float64) {
	f := c.flows[name]
	if f == nil {
		return 0, 0
	}
	if c.weights > 0 {
		share = f.weight / c.weights
	}
	return c.dominant(f.used), share
}

func (c *Capacity) excess(f *flow) float64 {
	used := c.dominant(f.used)
	if f.weight <= 0 {
		return unweighted + used
	}
	return max(0, used*c.weights/f.weight-1)
}

func (c *Capacity) dominant(used organisation.Amounts) float64 {
	largest := 0.0
	for r, amount := range used {
		if c.total[r] > 0 {
			largest = max(largest, float64(amount)/float64(c.total[r]))
		}
	}
	return largest
}
