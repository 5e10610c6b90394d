package fairshare

const (
	// slack is by how much the service that an organisation got may exceed that of the least served
	// waiting one before it loses its place, in seconds of service at mean weight. Within it, due times
	// decide: a gang's request costs up to 1.2 s, and strict turns would make a late one of a well
	// served organisation wait for many early ones.
	slack = 1.0
	// maxLead bounds how far ahead an organisation can be of the least served one, in the same unit.
	// Service at a more urgent priority counts too, and would otherwise keep its less urgent requests
	// waiting for as long as it lasted.
	maxLead = 10.0
)

// Clock ranks organisations by the service that they got from a server, by start-time fair queueing: the
// virtual time is the least service of those that wait, and one that begins to wait starts from it, so
// that time without requests earns no credit. The zero value is ready to use.
type Clock struct {
	flows   map[string]*served
	virtual float64
}

type served struct {
	weight  float64
	service float64 // seconds divided by weight
	waiting int
}

// Wait counts a request of an organisation that begins to wait. The weight is relative to the mean one, and
// replaces the previous one; 0 or less promises no share.
func (c *Clock) Wait(name string, weight float64) {
	if c.flows == nil {
		c.flows = map[string]*served{}
	}
	f := c.flows[name]
	if f == nil {
		f = &served{service: c.virtual}
		c.flows[name] = f
	}
	f.weight = weight
	if f.waiting == 0 {
		f.service = max(f.service, c.virtual)
	}
	f.waiting++
}

// Serve counts a waiting request as served for some seconds.
func (c *Clock) Serve(name string, seconds float64) {
	f := c.flows[name]
	if f == nil || f.waiting == 0 {
		return
	}
	f.waiting--
	if f.weight > 0 {
		f.service += seconds / f.weight
	}
	c.advance()
}

// Refund takes back service that a request didn't get.
func (c *Clock) Refund(name string, seconds float64) {
	if f := c.flows[name]; f != nil && f.weight > 0 {
		f.service = max(c.virtual, f.service-seconds/f.weight)
	}
}

// Excess returns by how much an organisation's service exceeds that of the least served waiting one, less
// the slack; 0: it is within its share.
func (c *Clock) Excess(name string) float64 {
	f := c.flows[name]
	switch {
	case f == nil:
		return 0
	case f.weight <= 0:
		return unweighted
	}
	return max(0, f.service-c.virtual-slack)
}

// Len returns the number of organisations that are remembered.
func (c *Clock) Len() int { return len(c.flows) }

// advance moves the virtual time to the least service of the waiting organisations with a weight, bounds
// the leads, and drops those that neither wait nor are ahead. If none waits, all start anew.
func (c *Clock) advance() {
	least, found := 0.0, false
	for _, f := range c.flows {
		if f.waiting > 0 && f.weight > 0 && (!found || f.service < least) {
			least, found = f.service, true
		}
	}
	if found {
		c.virtual = max(c.virtual, least)
	}
	for name, f := range c.flows {
		f.service = min(f.service, c.virtual+maxLead)
		if f.waiting == 0 && (!found || f.service <= c.virtual) {
			delete(c.flows, name)
		}
	}
}
