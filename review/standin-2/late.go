package main

import (
	"sync"
	"time"
)

const (
	lateBy      = 10 * time.Second // late orders are carried out 2 to 12 s later
	downFor     = 2 * time.Second  // a crashed runner is back after some seconds
	lateTasks   = 20               // one late order of 20
	lateRunners = 8                // one crash of 8 runners
)

func init() { cases[8] = lateStart }

// lateStart: the order to start one task gets no answer and arrives 10 s later. Meanwhile the task is done, its
// job is shown as completed, and the runner has crashed and started again under its ID.
func lateStart(w *world, trouble bool) {
	var mu sync.Mutex
	var at *runner
	if trouble {
		w.delayOf = func(x *runner, _ order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if at != nil {
				return 0
			}
			at = x
			return lateBy
		}
	}
	w.addRunners(desk, lateRunners)
	w.configure(1, []string{desk}, quoteRoute(desk), planRoute(desk))
	w.addNodes(3)
	settle()
	j := job{Spec: "work 1500", Steps: []step{{Count: lateTasks, CPU: taskCPU, MemMB: taskMem, EstimateMs: 1500}}}
	w.mustSubmit("/plan/"+jobID, j)
	w.awaitDone(jobID, lateTasks, 6*time.Second)
	completed := false
	for began := time.Now(); time.Since(began) < 2*time.Second && !completed; time.Sleep(100 * time.Millisecond) {
		_, body := w.call(w.nodes[1], "GET", host, "/plan/"+jobID, nil)
		completed = isCompleted(body)
	}
	if !completed {
		cannotRun("the job isn't shown as completed")
	}
	shown := time.Now()
	w.whenStarted(func(x *runner, r *run, before taskHistory) {
		if before.noted {
			w.breaks("TWICE: run %d of %s starts on runner %s after its end as done was taken note of, %.1f s after its job was shown as completed",
				r.number, r.task, x.id, time.Since(shown).Seconds())
		}
	})
	if trouble {
		mu.Lock()
		x := at
		mu.Unlock()
		if x == nil {
			cannotRun("no start was delayed")
		}
		x.restart(downFor)
	}
	time.Sleep(lateBy + 2*time.Second)
}
