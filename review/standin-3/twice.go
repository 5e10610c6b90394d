package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	victimJob = "00000000000000c1"
	// otherTasks are started beside it, so that one late order is 1 of 21.
	otherJob   = "00000000000000c0"
	otherTasks = 20
	// lateBy is how much later the start is carried out, cutFor how long its runner is cut off.
	lateBy = 6 * time.Second
	cutFor = 5500 * time.Millisecond
)

// caseLate starts a task that runs for 8 s. Its first start gets no answer and is carried out late. The owner of the pool is killed, while
// the tasks of another job end, so that the next owner prefers another runner for the task. Later the first runner is cut off, and crashes
// behind the cut and starts again.
func caseLate(r *record, trouble bool) (int, error) {
	cfg := node.Config{Version: 1, Services: []string{machines.Service}, Routes: []node.Route{queue("jobs", "/jobs/", 0)}}
	d, err := newDeployment(r, 7, cfg, func(*machines.World) {})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return failed, err
	}
	var once sync.Once
	hit := make(chan *runner, 1)
	for n := range 8 {
		x, err := d.addRunner(fmt.Sprintf("i-%d", n+1), fmt.Sprintf("r-%d", n/2))
		if err != nil {
			return failed, err
		}
		if trouble {
			x.late = func(task string, _ int) (after time.Duration, late bool) {
				if task != victimJob+".0.0.0" {
					return 0, false
				}
				once.Do(func() { hit <- x; after, late = lateBy, true })
				return after, late
			}
		}
	}
	time.Sleep(4 * time.Second)
	owner := d.owner()
	d.line("%s owns the pool", owner.name)
	if !d.submit(d.instances[1], "/jobs/", otherJob, "1600", stepBody{Count: otherTasks, CPU: 1000, Mem: 100, EstimateMs: 1600}) {
		return failed, fmt.Errorf("the other job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	if !d.submit(d.instances[0], "/jobs/", victimJob, "8000", stepBody{Count: 1, CPU: 4000, Mem: 1000, EstimateMs: 8000}) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	if trouble {
		var x *runner
		select {
		case x = <-hit:
		case <-time.After(5 * time.Second):
			return failed, fmt.Errorf("no start was sent")
		}
		time.Sleep(180 * time.Millisecond) // the tasks of the other job end 0.1 s after the start
		d.line("SIGKILL to %s, which owns the pool", owner.name)
		owner.kill()
		time.Sleep(2500 * time.Millisecond)
		if err := owner.start(); err != nil {
			return failed, err
		}
		time.Sleep(1500 * time.Millisecond)
		x.cutOff(cutFor)
		time.Sleep(500 * time.Millisecond)
		x.crash()
		if err := x.report(); err != nil {
			return failed, err
		}
	}
	time.Sleep(20 * time.Second)
	d.line("GET: %s", d.call(d.instances[1], "GET", "/jobs/"+victimJob, "", 3*time.Second).body)
	longest, a, b := d.runs.overlap()
	if a == nil {
		d.line("no two runs of one task were active at the same time")
		return held, nil
	}
	d.line("%s: run %d on %s and run %d on %s were active together for %v", a.task, a.run, a.runner, b.run, b.runner, longest.Round(time.Millisecond))
	return broken, nil
}
