package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	machines     = 7
	deskRunners  = 35
	timedJobs    = 400  // unless the variable JOBS says otherwise
	timedEvery   = 1000 // milliseconds
	timedRepeats = 40
	consumers    = 10
	rollGap      = 2 * time.Second // gap_s of a rolling restart
	afterRoll    = 5 * time.Second
)

func init() { cases[4] = timedJobsInARoll }

// timedJobsInARoll: consumers have 400 jobs that repeat every second. Each machine is stopped by SIGTERM and
// started again once, one after the other, first the one that leads a part of the system.
func timedJobsInARoll(w *world, trouble bool) {
	w.addRunners(desk, deskRunners)
	w.configure(1, []string{desk}, quoteRoute(desk))
	w.addNodes(machines)
	settle()
	jobs := timedJobs
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil && n > 0 {
		jobs = n
	}
	first := time.Now().Add(4 * time.Second).UnixMilli()
	var submitted sync.WaitGroup
	for c := range consumers {
		submitted.Go(func() {
			for n := c; n < jobs; n += consumers {
				w.mustSubmit("/quote/"+fmt.Sprintf("%016x", 1+n), job{Spec: "work 300", RepeatCount: timedRepeats, IntervalMs: timedEvery,
					FirstRunMs: first + int64(n*timedEvery/jobs), Steps: []step{{Count: 1, CPU: taskCPU, MemMB: 64, EstimateMs: 300}}})
			}
		})
	}
	submitted.Wait()
	w.watchTwice()
	stopped := map[*node]bool{}
	for n := 0; n < machines && !w.isBroken(); n++ {
		time.Sleep(rollGap)
		leader := w.store.leader(n)
		var next *node
		for _, x := range w.nodes {
			if !stopped[x] && (next == nil || x.name == leader) {
				next = x
			}
		}
		stopped[next] = true
		if trouble {
			w.record("SIGTERM to %s", next.name)
			go next.stopAndStart()
		}
	}
	time.Sleep(afterRoll)
}

// stopAndStart stops the process as the platform does: SIGTERM, and SIGKILL after graceS. Then it starts again.
func (x *node) stopAndStart() {
	x.mu.Lock()
	ended, running := x.ended, x.cmd != nil
	x.mu.Unlock()
	if !running {
		return
	}
	x.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(grace):
		x.kill()
	}
	time.Sleep(restartDelay)
	x.start()
}

// watchTwice checks the rule TWICE at each start from now on.
func (w *world) watchTwice() {
	w.whenStarted(func(x *runner, r *run, before taskHistory) {
		switch {
		case before.active > 0:
			w.breaks("TWICE: run %d of %s starts on runner %s while another run of it is active", r.number, r.task, x.id)
		case before.noted:
			w.breaks("TWICE: run %d of %s starts on runner %s after its end as done was taken note of", r.number, r.task, x.id)
		}
	})
}

func (w *world) isBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken) > 0
}
