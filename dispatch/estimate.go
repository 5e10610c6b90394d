package dispatch

import "time"

// estimate is a learned run time: its moving mean and mean absolute deviation.
type estimate struct {
	mean, deviation time.Duration
	samples         int
}

const (
	// initialRunTime is the assumed run time before any answer.
	initialRunTime = 50 * time.Millisecond
	// estimateWindow is the number of answers that the moving averages cover.
	estimateWindow = 64
	// minSamples is the number of answers after which an estimate can tell a stuck attempt from
	// a long one.
	minSamples = 16
	// maxEstimates bounds the number of estimates. Teams beyond it share one estimate per
	// service.
	maxEstimates = 1024
)

func (e *estimate) add(took time.Duration) {
	if e.samples < estimateWindow {
		e.samples++
	}
	if e.samples == 1 {
		e.mean, e.deviation = took, took/2
		return
	}
	offset := took - e.mean
	n := time.Duration(e.samples)
	e.mean += offset / n
	e.deviation += (offset.Abs() - e.deviation) / n
}

// meanPlus returns the mean plus n mean absolute deviations. A larger n is exceeded more rarely;
// a negative n gives a lower bound.
func (e *estimate) meanPlus(n time.Duration) time.Duration { return e.mean + n*e.deviation }

// isReliable reports whether there are enough samples to judge single attempts.
func (e *estimate) isReliable() bool { return e.samples >= minSamples }

// estimateKey identifies requests with similar run times.
type estimateKey struct{ team, service string }

// estimates holds the run time estimate of each team and service, bounded by maxEstimates.
type estimates map[estimateKey]*estimate

func (m estimates) get(team, service string) *estimate {
	key := estimateKey{team, service}
	if e, ok := m[key]; ok {
		return e
	}
	if len(m) >= maxEstimates {
		key.team = ""
		if e, ok := m[key]; ok {
			return e
		}
	}
	e := &estimate{mean: initialRunTime, deviation: initialRunTime / 2}
	m[key] = e
	return e
}
