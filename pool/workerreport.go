package pool

import "math"

// WorkerReport is the state of one worker for operators.
type WorkerReport struct {
	Worker  string `json:"worker"`
	Address string `json:"address,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// Incarnation is when the worker started, in Unix milliseconds, as its answers say; 0: unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
	// ListedIncarnation is the same from the list of workers. While it differs, the worker gets no
	// tasks.
	ListedIncarnation int64 `json:"listedIncarnation,omitempty"`
	// Restarts counts the restarts under the same ID that this owner has noticed.
	Restarts int  `json:"restarts,omitempty"`
	Runs     int  `json:"runs"`
	Silent   bool `json:"silent,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// Isolated is set while the worker is prepared for, or runs, a quarantined task.
	Isolated bool `json:"isolated,omitempty"`
	// Slowness is the run time of tasks here as a multiple of that on a typical worker, as learned from
	// SpeedRuns runs, or that of the worker's kind if there are none.
	Slowness  float64 `json:"slowness"`
	SpeedRuns int     `json:"speedRuns,omitempty"`
	// Slow is set from a slowness of 1.5 until it is below 1.3 again.
	Slow bool `json:"slow,omitempty"`
}

// WorkerReports lists the pool's workers, in the order in which they were first seen.
func (c *Core) WorkerReports() []WorkerReport {
	list := []WorkerReport{}
	for _, w := range c.workerList {
		list = append(list, WorkerReport{Worker: w.ID, Address: w.Addr, Rack: w.Rack, Incarnation: w.incarnation, ListedIncarnation: w.Born, Restarts: w.restarts,
			Runs: len(w.runs), Silent: w.silent, Draining: w.Draining, Isolated: c.now < w.isolation.until,
			Slowness:  math.Round(100*c.newestSlowness(w, "")) / 100,
			SpeedRuns: c.runtimes.Runs(w.ID, w.incarnation), Slow: c.runtimes.IsSlow(w.ID, w.incarnation)})
	}
	return list
}
