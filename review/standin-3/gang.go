package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	gangJob     = "00000000000000f0"
	gangMembers = 7
	memberCPU   = 4000
	lastingCPU  = 4000
	runnerCPU   = 16000
	// finish is finish_s.
	finish = 14 * time.Second
)

// caseGang hands in a gang that would run faster on one rack. Tasks that last run on each runner of three of four racks. A
// runner of the fourth rack is lost for good before.
func caseGang(r *record, trouble bool) (int, error) {
	cfg := node.Config{Version: 1, Services: []string{machines.Service}, Routes: []node.Route{queue("lasting", "/lasting/", 1), queue("gangs", "/gangs/", 1)}}
	d, err := newDeployment(r, 7, cfg, func(*machines.World) {})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return failed, err
	}
	var runners []*runner
	add := func(id, rack string) error {
		x, err := d.addRunner(id, rack)
		runners = append(runners, x)
		return err
	}
	for n := range 6 {
		if err := add(fmt.Sprintf("i-%d", n+1), fmt.Sprintf("r-%d", n/2+1)); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	// One task on each runner of the racks r-1, r-2 and r-3.
	if !d.submit(d.instances[0], "/lasting/", "00000000000000d0", "0", stepBody{Count: 6, CPU: lastingCPU, Mem: 100, EstimateMs: 2000, LongRunning: true, PerRunner: 1}) {
		return failed, fmt.Errorf("the job of tasks that last was not accepted")
	}
	time.Sleep(2 * time.Second)
	// The rack r-4 comes later.
	for n := range 2 {
		if err := add(fmt.Sprintf("i-%d", n+7), "r-4"); err != nil {
			return failed, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		runners[7].loseForGood()
		time.Sleep(8 * time.Second) // until the system takes its runs for over
	}
	d.gangSizes[gangJob] = gangMembers
	if !d.submit(d.instances[1], "/gangs/", gangJob, "1000", stepBody{Count: gangMembers, CPU: memberCPU, Mem: 100, EstimateMs: 1000, Gang: true, SameRack: true}) {
		return failed, fmt.Errorf("the gang was not accepted")
	}
	d.line("the traffic ends")
	time.Sleep(finish)
	idle := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
		if fits, used, total := d.room(runners); d.runs.count(gangJob) > 0 || fits < 2*gangMembers || 2*used >= total {
			idle = 0
			begin = begin.Add(-time.Second)
			continue
		}
		idle += 100 * time.Millisecond
	}
	fits, used, total := d.room(runners)
	d.line("GET: %s", d.call(d.instances[2], http.MethodGet, "/gangs/"+gangJob, "", 3*time.Second).body)
	d.line("%d runs of the gang's tasks; %d more such tasks fit on the runners, twice the gang is %d; %d of %d in use", d.runs.count(gangJob), fits, 2*gangMembers, used, total)
	d.line("%v on end without a run, %v after the end of the traffic; 3 s break the rule", idle, finish)
	if idle >= 3*time.Second {
		return broken, nil
	}
	return held, nil
}

// loseForGood ends a runner for good. Its entry is removed after three check-in intervals.
func (r *runner) loseForGood() {
	r.d.line("%s is lost for good", r.id)
	r.mu.Lock()
	r.cut, r.cutOver, r.gone = true, make(chan struct{}), true
	r.mu.Unlock()
	time.AfterFunc(4500*time.Millisecond, func() {
		if err := r.unlist(); err != nil {
			r.d.line("%s: %v", r.id, err)
		}
	})
}

// count returns the number of runs of a job's tasks so far.
func (h *history) count(job string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.runs {
		if strings.HasPrefix(i.task, job) {
			n++
		}
	}
	return n
}

// room returns how many members of the gang fit on the runners, and what is in use of how much, in thousandths of a core.
func (d *deployment) room(runners []*runner) (fits, used, total int) {
	for _, r := range runners {
		r.mu.Lock()
		if !r.gone {
			here := 0
			for _, a := range r.life.active {
				if a.gang != nil {
					here += memberCPU
				} else {
					here += lastingCPU
				}
			}
			fits += (runnerCPU - here) / memberCPU
			used, total = used+here, total+runnerCPU
		}
		r.mu.Unlock()
	}
	return fits, used, total
}
