package pool

import (
	"cmp"
	"slices"
)

// States of a task under which workers have crashed.
const (
	taskSuspected   = "suspected"
	taskQuarantined = "quarantined"
	taskGivenUp     = "given up"
)

// TaskCrashes shows operators the workers that crashed in a row while they ran a task.
type TaskCrashes struct {
	Job   string `json:"job"`
	Queue string `json:"queue,omitempty"`
	K     int    `json:"k"`
	Step  int    `json:"step"`
	Task  int    `json:"task"`
	// State is "suspected"; "quarantined" if the task runs on workers of its own; "given up" if its
	// job failed because of it.
	State   string          `json:"state"`
	Workers []CrashedWorker `json:"workers"`
	// Uncounted is set if one more worker may have crashed under it that an earlier owner of the pool
	// didn't count.
	Uncounted bool `json:"uncounted,omitempty"`
}

// CrashedWorker is a worker that crashed while it ran a task.
type CrashedWorker struct {
	Worker string `json:"worker"`
	// Incarnation is its start in Unix milliseconds; 0: unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
	Run         int   `json:"run,omitempty"`
	LivedMillis int64 `json:"livedMillis"`
	Outage      bool  `json:"outage,omitempty"`
	Isolated    bool  `json:"isolated,omitempty"`
	// Doubtful is set if it is unknown whether the worker ever got the run's start.
	Doubtful bool `json:"doubtful,omitempty"`
}

// CrashReport lists the tasks under which workers have crashed, those given up first. Ended jobs are
// listed as long as their state can be queried.
func (c *Core) CrashReport() []TaskCrashes {
	list := []TaskCrashes{}
	for _, j := range c.ended {
		if g := j.givenUp; g != nil {
			list = append(list, taskCrashes(j, TaskID{K: g.K, Step: g.Step, Ordinal: g.Ordinal}, taskGivenUp, g.Crashes, g.Uncounted))
		}
	}
	givenUp := len(list)
	for t := range c.suspects {
		state := taskSuspected
		if t.isQuarantined() {
			state = taskQuarantined
		}
		if !t.step.job.state.Ended() && len(t.crashes) > 0 {
			list = append(list, taskCrashes(t.step.job, t.id(), state, t.crashes, t.uncounted))
		}
	}
	slices.SortFunc(list[givenUp:], func(a, b TaskCrashes) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.K, b.K), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
	})
	return list
}

func taskCrashes(j *job, id TaskID, state string, crashes []Crash, uncounted bool) TaskCrashes {
	out := TaskCrashes{Job: j.ID, Queue: j.Queue, K: id.K, Step: id.Step, Task: id.Ordinal, State: state, Uncounted: uncounted}
	for _, x := range crashes {
		out.Workers = append(out.Workers, CrashedWorker{Worker: x.Worker, Incarnation: x.Born, Run: x.Run, LivedMillis: x.LivedMs, Outage: x.Outage, Isolated: x.Isolated, Doubtful: x.Doubtful})
	}
	return out
}

// CrashCounts returns the numbers of open tasks under which workers have crashed, and of those that
// are quarantined.
func (c *Core) CrashCounts() (suspected, quarantined int) {
	for t := range c.suspects {
		if len(t.crashes) > 0 {
			suspected++
		}
		if t.isQuarantined() {
			quarantined++
		}
	}
	return suspected, quarantined
}
