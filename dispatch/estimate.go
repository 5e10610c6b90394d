package dispatch

import "time"

// estimate is a learned run time: a moving average and the average distance
// from it.
type estimate struct {
	mean, dev time.Duration
	samples   int
}

const (
	// firstRun is the expected run time before any answer has come.
	firstRun = 50 * time.Millisecond
	// estimateWindow is the number of answers an estimate looks back on.
	estimateWindow = 64
	// knownSamples is the number of answers from which on an estimate tells a stuck
	// attempt from a long one.
	knownSamples = 16
	// maxClasses bounds the estimates kept; further teams share one estimate
	// for each service.
	maxClasses = 1024
)

func (e *estimate) learn(took time.Duration) {
	if e.samples < estimateWindow {
		e.samples++
	}
	if e.samples == 1 {
		e.mean, e.dev = took, took/2
		return
	}
	off := took - e.mean
	n := time.Duration(e.samples)
	e.mean += off / n
	e.dev += (off.Abs() - e.dev) / n
}

// within is the run time that is exceeded rarely: the more distances from the
// mean, the more rarely.
func (e *estimate) within(distances time.Duration) time.Duration { return e.mean + distances*e.dev }

// known reports whether enough was learned to judge single runs by it.
func (e *estimate) known() bool { return e.samples >= knownSamples }

// class is the requests that are expected to run alike.
type class struct{ team, service string }

// estimates keeps what was learned of each class, in bounded memory.
type estimates map[class]*estimate

func (m estimates) of(team, service string) *estimate {
	key := class{team, service}
	if e, ok := m[key]; ok {
		return e
	}
	if len(m) >= maxClasses {
		key.team = ""
		if e, ok := m[key]; ok {
			return e
		}
	}
	e := &estimate{mean: firstRun, dev: firstRun / 2}
	m[key] = e
	return e
}
