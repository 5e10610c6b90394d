package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	pendingWorkers = 8
	pendingJobs    = 8
	// visible is visible_ms and the 2 s that the rule adds.
	visible = 5 * time.Second
)

// casePending asks how many jobs wait while jobs wait for room. First the owner of the pool is killed as a worker
// crashes, then, after 15 calm seconds, the next owner freezes for 4 s.
func casePending(r *record, trouble bool) (int, error) {
	cfg := node.Config{Version: 1, Services: []string{machines.Service}, Routes: []node.Route{queue("full", "/full/", 0), queue("waiting", "/waiting/", 2)}}
	d, err := newDeployment(r, 7, cfg, func(w *machines.World) {
		for n := range pendingWorkers {
			w.AddWorker(pool.Resources{CPU: 16000, Mem: 32768}, "a", fmt.Sprintf("r%d", n/3))
		}
	})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return failed, err
	}
	work := machines.Work(time.Hour, false, false)
	for n := range pendingWorkers {
		if !d.submit(d.instances[n%7], "/full/", fmt.Sprintf("%016x", 0xa0+n), work, stepBody{Count: 1, CPU: 12000, Mem: 1000, EstimateMs: 2000, LongRunning: true}) {
			return failed, fmt.Errorf("a job that fills a worker was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	for _, w := range d.world.Workers() {
		d.line("%s runs %d tasks, 4000 of 16000 are free", w, d.world.Runs(w))
	}
	for n := range pendingJobs {
		if !d.submit(d.instances[n%7], "/waiting/", fmt.Sprintf("%016x", 0xb0+n), work, stepBody{Count: 1, CPU: 8000, Mem: 1000, EstimateMs: 2000, LongRunning: true}) {
			return failed, fmt.Errorf("a waiting job was not accepted")
		}
	}
	time.Sleep(visible + 2*time.Second)
	worst := d.askPending(d.instances, 300*time.Millisecond)
	if worst < pendingJobs/2 {
		return failed, fmt.Errorf("the count is wrong before any disruption")
	}
	first := d.owner()
	if trouble {
		d.line("SIGKILL to %s, which owns the pool, and w1 crashes", first.name)
		first.kill()
		d.world.Crash("w1")
		time.Sleep(1500 * time.Millisecond)
		if err := first.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(15 * time.Second)
	var asked []*instance
	second := d.owner()
	for _, i := range d.instances {
		if i != second {
			asked = append(asked, i)
		}
	}
	d.askPending(asked, 300*time.Millisecond)
	if trouble {
		d.line("SIGSTOP to %s, which owns the pool now", second.name)
		second.signal(syscall.SIGSTOP)
	}
	worst = d.askPending(asked, 4*time.Second)
	if trouble {
		d.line("SIGCONT to %s", second.name)
		second.signal(syscall.SIGCONT)
	}
	for id := range pendingJobs {
		d.line("GET /waiting/%016x: %s", 0xb0+id, d.call(asked[0], http.MethodGet, fmt.Sprintf("/waiting/%016x", 0xb0+id), "", 3*time.Second).body)
	}
	running := 0
	for _, w := range d.world.Workers() {
		running += d.world.Runs(w)
	}
	d.line("%d tasks run; those of /waiting/ never began: each needs 8000 and no worker had more than 4000 free", running)
	d.line("least count that a process in touch gave after the last disruption: %d of %d jobs that wait; less than %d breaks the rule", worst, pendingJobs, (pendingJobs+1)/2)
	if worst < (pendingJobs+1)/2 {
		return broken, nil
	}
	return held, nil
}

// askPending asks processes in touch for the number of waiting jobs for a while, and returns the least count that one of
// them gave.
func (d *deployment) askPending(asked []*instance, during time.Duration) int {
	worst := pendingJobs
	var mu sync.Mutex
	var all sync.WaitGroup
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range asked {
			if !i.inTouch() {
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				a := d.call(i, http.MethodGet, "/waiting/", "", 3*time.Second)
				var body struct {
					Pending *int `json:"pending"`
				}
				d.line("GET /waiting/ to %s: %d %s", i.name, a.status, a.body)
				if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil || body.Pending == nil {
					return
				}
				mu.Lock()
				worst = min(worst, *body.Pending)
				mu.Unlock()
			}()
		}
	}
	all.Wait()
	return worst
}
