package load

import (
	"math/rand/v2"
	"strings"
	"time"
)

// arrivalTimes returns the planned times of a stream's requests, relative to the start of
// the sample.
func (s Stream) arrivalTimes() []time.Duration {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	times := make([]time.Duration, s.Count)
	at := s.Start.D()
	for i := range times {
		times[i] = at
		step := s.Every.D()
		if s.Arrivals == "poisson" {
			step = time.Duration(random.ExpFloat64() * float64(step))
		}
		at += step
	}
	return times
}

// body returns the body of each request, padded to its size.
func (s Stream) body() string {
	if missing := int(s.BodySize) - len(s.Body); missing > 0 {
		return s.Body + strings.Repeat(".", missing)
	}
	return s.Body
}
