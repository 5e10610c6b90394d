package main

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	memoryMB     = 284    // memoryMb of the settings
	repeats      = 525600 // the minutes of a year
	fewRepeats   = 10
	waitForOther = 45 * time.Second
)

func init() { cases[7] = repeatsThatAreDue }

// repeatsThatAreDue: an accepted job repeats every minute, and its first time was a year ago. Another accepted
// job of the same service has work to do meanwhile.
func repeatsThatAreDue(w *world, trouble bool) {
	w.addRunners(desk, 6)
	w.configure(1, []string{desk}, quoteRoute(desk), planRoute(desk))
	w.addNodes(3)
	settle()
	go w.watchMemory()
	other := twoSteps(3000)
	w.mustSubmit("/quote/"+otherID, other)
	j := job{Spec: "work 500", RepeatCount: fewRepeats, IntervalMs: 60000, Steps: []step{{Count: 1, CPU: taskCPU, MemMB: taskMem, EstimateMs: 500}}}
	if trouble {
		j.RepeatCount = repeats
	}
	j.FirstRunMs = time.Now().UnixMilli() - int64(j.RepeatCount)*j.IntervalMs
	if !w.submit(host, "/plan/"+jobID, j) {
		w.record("the repeated job was not accepted")
	}
	completed := false
	for began := time.Now(); time.Since(began) < waitForOther && !completed; time.Sleep(time.Second) {
		for _, x := range w.nodes {
			_, body := w.call(x, "GET", host, "/quote/"+otherID, nil)
			completed = completed || isCompleted(body)
		}
	}
	for _, x := range w.nodes {
		w.record("process %s was killed %d times for its memory", x.name, x.timesOverMemory())
	}
	h := w.history(otherID)
	if idle := time.Since(h.lastEnded); !completed && h.active == 0 && idle > idleLimit {
		room, used := w.room(desk)
		w.breaks("LOST: nothing of the accepted job %s has run for %.1f s, and %d of %d thousandths of a core are in use", otherID, idle.Seconds(), used, room)
	}
}

// watchMemory kills a process that exceeds its memory and starts it again after a short delay, as the platform
// does.
func (w *world) watchMemory() {
	for ; ; time.Sleep(100 * time.Millisecond) {
		for _, x := range w.nodes {
			if mb := x.residentMB(); mb > memoryMB {
				w.record("process %s takes %d MB of its %d MB and is killed", x.name, mb, memoryMB)
				x.killForMemory()
			}
		}
	}
}

// residentMB returns the resident memory of the node's process; 0: none runs.
func (x *node) residentMB() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(x.cmd.Process.Pid) + "/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (x *node) killForMemory() {
	x.mu.Lock()
	x.overMemory++
	x.mu.Unlock()
	x.signal(syscall.SIGKILL, true)
	go func() {
		time.Sleep(restartDelay)
		x.start()
	}()
}

func (x *node) timesOverMemory() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.overMemory
}
