package main

import (
	"fmt"
	"strings"
	"time"
)

// Names and bounds of the deployment, as its pages give them.
const (
	host       = "ficu95.example"
	desk       = "order-desk"
	inspection = "inspection"
	jobID      = "5c0e7a21d94b36f8"
	otherID    = "00000000000000a1"
	attempts   = 4
	finish     = 14 * time.Second // finish_s
	grace      = 6 * time.Second  // graceS
	// restartDelay is the short delay after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	idleLimit    = 3 * time.Second // for how long a job may have nothing running while a task's turn has come
	runnerCPU    = 16000
	runnerMem    = 32768
	taskCPU      = 1500
	taskMem      = 512
)

func quoteRoute(service string) route {
	return route{Name: "quote", Host: host, Prefix: "/quote/", Service: service, Priority: 0, Attempts: attempts, Slack: 3, TargetMs: 250}
}

func planRoute(service string) route {
	return route{Name: "plan", Host: host, Prefix: "/plan/", Service: service, Priority: 1, Attempts: attempts, Slack: 3, TargetMs: 3000}
}

// addRunners starts runners of a service, spread over the zones.
func (w *world) addRunners(service string, n int) {
	for i := range n {
		w.addRunner(service, zones[i%len(zones)], "r-"+zones[i%len(zones)], runnerCPU, runnerMem)
	}
}

// settle lets the system become steady before the consumers come.
func settle() { time.Sleep(4 * time.Second) }

// twoSteps is a job whose second step is due when its first one is done.
func twoSteps(ms int) job {
	s := step{Count: 4, CPU: taskCPU, MemMB: taskMem, EstimateMs: ms}
	second := s
	second.DependsOn = []int{0}
	return job{Spec: fmt.Sprintf("work %d", ms), Steps: []step{s, second}}
}

// checkWaits checks the rule LOST for a job whose next step is due. The job breaks it if for 3 s nothing of it
// runs while the runners of its service have room for the step twice over, and less than half of their room is
// in use.
func (w *world) checkWaits(id string, j job, service string) {
	need := 2 * j.Steps[1].Count * j.Steps[1].CPU
	for began := time.Now(); time.Since(began) < idleLimit; time.Sleep(50 * time.Millisecond) {
		room, used := w.room(service)
		h := w.history(id)
		if h.active > 0 || h.starts > j.Steps[0].Count || room-used < need || 2*used >= room {
			w.record("the rule LOST holds for %s: %d runs so far, %d active, %d of %d thousandths of a core in use", id, h.starts, h.active, used, room)
			return
		}
	}
	h := w.history(id)
	room, used := w.room(service)
	w.breaks("LOST: nothing of the accepted job %s has run for %.1f s. Its first step is done, its second has not started, and %d of %d thousandths of a core of %s are in use",
		id, time.Since(h.lastEnded).Seconds(), used, room, service)
}

// room returns what the runners of a service have, and what is in use of it, in thousandths of a core.
func (w *world) room(service string) (room, used int) {
	w.mu.Lock()
	runners := append([]*runner{}, w.runners...)
	w.mu.Unlock()
	for _, x := range runners {
		x.mu.Lock()
		if x.service == service && !x.gone {
			room += x.cpu
			used += taskCPU * len(x.runs)
		}
		x.mu.Unlock()
	}
	return room, used
}

// awaitDone waits until as many tasks of a job have ended as done.
func (w *world) awaitDone(id string, tasks int, within time.Duration) {
	for began := time.Now(); time.Since(began) < within; time.Sleep(20 * time.Millisecond) {
		if w.history(id).ended >= tasks {
			return
		}
	}
	cannotRun("%d tasks of %s aren't done within %v", tasks, id, within)
}

func isCompleted(body string) bool { return strings.Contains(body, `"completed"`) }
