package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Class is a class of similar requests: one team's requests to the service.
type Class struct {
	Team string
	// Share is the class's share of all arrivals.
	Share       float64
	Value       float64
	Deadline    time.Duration
	MeanRunTime time.Duration
	Idempotent  bool
}

// Cell is one service of a user: its runners and its callers.
type Cell struct {
	Name    string
	Service string
	Runners int
	Zones   int
	PerRack int
	Entries int
	Classes []Class
	// Spread is the sigma of the lognormal run times.
	Spread float64
}

// Slots returns the number of slots of all runners of the cell.
func (c Cell) Slots() int { return c.Runners * SlotsPerRunner }

// SlotsPerRunner is the slot limit of one runner in both users' cells.
const SlotsPerRunner = 8

// Cells returns the two users' services at their current sizes. Values, deadlines and run times
// are assumptions; only the numbers of runners are given.
func Cells() []Cell {
	cell := func(name, service string, runners, perRack int, classes ...Class) Cell {
		return Cell{Name: name, Service: service, Runners: runners, Zones: 3, PerRack: perRack, Entries: 7, Classes: classes, Spread: 0.5}
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return []Cell{
		cell("workshop order desk", "order-desk", 35, 5,
			Class{"quotes", 0.35, 10, ms(800), ms(120), true},
			Class{"planning", 0.15, 12, ms(2500), ms(400), true},
			Class{"watchers", 0.50, 1, ms(500), ms(40), true}),
		cell("workshop inspection", "inspection", 13, 3,
			Class{"certificates", 0.25, 20, ms(8000), ms(900), false},
			Class{"measuring", 0.55, 6, ms(3000), ms(500), true},
			Class{"archive", 0.20, 1, ms(6000), ms(700), true}),
		cell("association listing", "listing", 35, 5,
			Class{"prices", 0.25, 8, ms(700), ms(100), true},
			Class{"search", 0.70, 1, ms(1000), ms(60), true},
			Class{"publishing", 0.05, 30, ms(5000), ms(300), false}),
		cell("association mapping", "mapping", 13, 3,
			Class{"boundaries", 0.60, 5, ms(2000), ms(300), true},
			Class{"imagery", 0.40, 6, ms(5000), ms(1200), true}),
	}
}

// Arrival is one request of a caller.
type Arrival struct {
	ID    uint64
	At    time.Duration
	Class int
	Entry int
	// Run is the run time, which no policy knows in advance.
	Run time.Duration
}

// Workload describes the offered load and its distribution over the entries.
type Workload struct {
	// LoadFactor is the offered slot-seconds as a multiple of the cell's slots.
	LoadFactor float64
	// HotEntryShare is the share of callers that use the first entry; zero distributes them
	// evenly.
	HotEntryShare float64
	Duration      time.Duration
	Seed          uint64
}

// Arrivals generates the requests of a run, ordered by time.
func (c Cell) Arrivals(l Workload) []Arrival {
	rng := rand.New(rand.NewPCG(l.Seed, 7))
	perRequest := 0.0
	for _, k := range c.Classes {
		perRequest += k.Share * k.MeanRunTime.Seconds()
	}
	rate := l.LoadFactor * float64(c.Slots()) / perRequest
	var out []Arrival
	for k, class := range c.Classes {
		for at := rng.ExpFloat64() / (rate * class.Share); at < l.Duration.Seconds(); at += rng.ExpFloat64() / (rate * class.Share) {
			out = append(out, Arrival{At: seconds(at), Class: k, Entry: c.pickEntry(rng, l.HotEntryShare), Run: c.drawRunTime(rng, class.MeanRunTime)})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].ID = uint64(i + 1)
	}
	return out
}

func (c Cell) pickEntry(rng *rand.Rand, hot float64) int {
	if hot > 0 && rng.Float64() < hot {
		return 0
	}
	if hot > 0 && c.Entries > 1 {
		return 1 + rng.IntN(c.Entries-1)
	}
	return rng.IntN(c.Entries)
}

// drawRunTime draws a lognormal run time with the given mean.
func (c Cell) drawRunTime(rng *rand.Rand, mean time.Duration) time.Duration {
	mu := math.Log(mean.Seconds()) - c.Spread*c.Spread/2
	return seconds(math.Exp(mu + c.Spread*rng.NormFloat64()))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
