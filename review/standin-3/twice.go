package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	victimJob = "00000000000000c1"
	// cutFor is how long the runner is cut off.
	cutFor = 12 * time.Second
)

// caseLasting starts a task that lasts. Its first start gets no answer and is carried out 10 s later; meanwhile the runner is
// cut off, and starts again behind the cut.
func caseLasting(r *record, trouble bool) (int, error) {
	return playLateStart(r, trouble, stepBody{Count: 1, CPU: 4000, Mem: 1000, EstimateMs: 2000, LongRunning: true}, "0", 10*time.Second, false)
}

// caseLate does the same to a task that runs for 8 s, and kills the owner of the pool 0.7 s after the start.
func caseLate(r *record, trouble bool) (int, error) {
	return playLateStart(r, trouble, stepBody{Count: 1, CPU: 4000, Mem: 1000, EstimateMs: 8000}, "8000", 11500*time.Millisecond, true)
}

func playLateStart(r *record, trouble bool, step stepBody, spec string, lateBy time.Duration, killOwner bool) (int, error) {
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
	for n := range 6 {
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
	d.world.Referee.Submitted(pool.Job{ID: victimJob}, 4)
	if !d.submit(d.instances[0], "/jobs/", victimJob, spec, step) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	if trouble {
		var x *runner
		select {
		case x = <-hit:
		case <-time.After(5 * time.Second):
			return failed, fmt.Errorf("no start was sent")
		}
		x.cutOff(cutFor)
		if killOwner {
			time.Sleep(700 * time.Millisecond)
			d.line("SIGKILL to %s, which owns the pool", owner.name)
			owner.kill()
		}
		time.Sleep(500 * time.Millisecond)
		x.crash()
		if err := x.report(); err != nil {
			return failed, err
		}
		if killOwner {
			time.Sleep(time.Second)
			if err := owner.start(); err != nil {
				return failed, err
			}
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
