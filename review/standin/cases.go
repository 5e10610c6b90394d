package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// scenario is one case: the deployment and what happens on it.
type scenario struct {
	site              site
	machines, runners int
	cpu, mem          int // of each runner, in thousandths of a core and in MB
	play              func(w *world) (findings []string)
}

var cases = map[int]scenario{
	1: {site: vdpgVoorraad, machines: 3, runners: 48, cpu: 64000, mem: 131072, play: rackLoss},
	3: {site: kovacsElezes, machines: 3, runners: 3, cpu: 64000, mem: 262144, play: restartOfAll},
	// 4 to 6 have no folder, see REPORT.md.
	4: {site: kovacsElezes, machines: 3, runners: 12, cpu: 64000, mem: 262144, play: crashLoop},
	5: {site: kovacsElezes, machines: 3, runners: 8, cpu: 16000, mem: 32768, play: droppedRoute},
	6: {site: kovacsElezes, machines: 3, runners: 8, cpu: 16000, mem: 32768, play: manyDueTimes},
}

const (
	quotePrefix = "/lohu930/"
	watchPrefix = "/puxa403/"
	planPrefix  = "/pufi791/"
)

func (w *world) quoteRoute() route { return w.route("r-ji9n73h", quotePrefix, 1, 4) }

// ranTwice returns the tasks that were started after a run had ended as done, if that end was taken note
// of, and those with two runs at the same time.
func ranTwice(spans []runSpan) (findings []string) {
	byTask := map[string][]runSpan{}
	for _, s := range spans {
		byTask[s.task] = append(byTask[s.task], s)
	}
	for task, runs := range byTask {
		for _, a := range runs {
			for _, b := range runs {
				switch {
				case !b.from.After(a.from):
				case a.to.IsZero() || b.from.Before(a.to):
					findings = append(findings, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s at the same time", task, a.run, a.runner, b.run, b.runner))
				case a.how == "done" && a.noted:
					findings = append(findings, fmt.Sprintf("TWICE: %s run %d on %s ended done, its end was acknowledged, and run %d was started on %s %.1f s after the end",
						task, a.run, a.runner, b.run, b.runner, b.from.Sub(a.to).Seconds()))
				}
			}
		}
	}
	return findings
}

// doneCount returns how many tasks of the spans' job have a run that ended as done, and how many such
// runs there are.
func doneCount(spans []runSpan) (tasks, runs int) {
	done := map[string]bool{}
	for _, s := range spans {
		if s.how == "done" {
			done[s.task] = true
			runs++
		}
	}
	return len(done), runs
}

// restartOfAll kills all machines while a job runs whose tasks end before the machines are back, so that
// each runner has more ends to list than one answer holds. With FREEZE=1 it freezes the owner of the
// service's pool instead, and another machine takes over.
func restartOfAll(w *world) []string {
	const tasksPerRunner = 620
	freeze := os.Getenv("FREEZE") == "1"
	runMs := 1500
	if freeze {
		runMs = 500 // the tasks end before another machine takes over
	}
	w.begin(w.quoteRoute())
	time.Sleep(1500 * time.Millisecond)
	count := tasksPerRunner * len(w.fleet.runners)
	id := newID()
	if !w.submit(quotePrefix, id, work{RunMs: []int{runMs}}, step{"count": count, "cpu": 100, "memMb": 128, "estimateMs": runMs}) {
		cannotRun("the job was not accepted")
	}
	for until := time.Now().Add(10 * time.Second); len(w.fleet.spans(id)) < count; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("only %d of %d tasks have begun", len(w.fleet.spans(id)), count)
		}
	}
	switch {
	case w.trouble && freeze:
		w.freezeOwner(4 * time.Second)
	case w.trouble:
		w.restartMachines(2 * time.Second)
	}
	time.Sleep(finishTime)
	tasks, runs := doneCount(w.fleet.spans(id))
	w.rec.line("state %q; %d of %d tasks done, in %d runs", w.state(quotePrefix, id), tasks, count, runs)
	return ranTwice(w.fleet.spans(id))
}

// restartMachines kills all machines and starts their processes again after a time.
func (w *world) restartMachines(down time.Duration) {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for _, r := range w.fleet.runners {
		w.rec.line("%s runs %d tasks and has %d ends to list", r.id, r.activeCount(), r.endsCount())
	}
	for _, m := range w.machines {
		w.start(m)
	}
}

// freezeOwner freezes the machine whose log says that it owns the service's pool.
func (w *world) freezeOwner(length time.Duration) {
	for _, m := range w.machines {
		log, err := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
		if err != nil || !bytes.Contains(log, []byte(`"pool.owned"`)) {
			continue
		}
		w.rec.line("machine %s freezes for %v", m.name, length)
		m.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { m.signal(syscall.SIGCONT) })
		return
	}
	cannotRun("no machine owns the pool")
}

// crashLoop hands in a lasting job whose tasks fail right after each start, with sound jobs beside it, and
// cancels it in the end.
func crashLoop(w *world) (findings []string) {
	const (
		maxTraffic = 80 * time.Second
		// trafficAfter is how long sound jobs are handed in after the store has first refused a record.
		trafficAfter = 22 * time.Second
	)
	w.begin(w.route("r-n2ctnfz", watchPrefix, 1, 3), w.quoteRoute())
	time.Sleep(time.Second)
	w.fleet.setFailing(w.trouble)
	lasting := newID()
	w.fleet.unlogged = lasting
	if !w.submit(watchPrefix, lasting, work{RunMs: []int{0}, FailMs: []int{10}}, step{"count": 150, "cpu": 4000, "memMb": 5800, "estimateMs": 620, "longRunning": true}) {
		cannotRun("the lasting job was not accepted")
	}
	var jobs []string
	begun := time.Now()
	for until := begun.Add(maxTraffic); time.Now().Before(until); time.Sleep(time.Second) {
		id := newID()
		if w.submit(quotePrefix, id, work{RunMs: []int{300, 300}}, step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300},
			step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300, "dependsOn": []int{0}}) {
			jobs = append(jobs, id)
		}
		largest, tooLarge := w.store.largest()
		w.rec.line("the lasting job has had %d runs; largest record sent %d bytes; %d appends refused as too large", len(w.fleet.spans(lasting)), largest, tooLarge)
		if end := time.Now().Add(trafficAfter); tooLarge > 0 && until.After(end) && w.trouble {
			until = end
		}
	}
	w.rec.line("end of the traffic")
	for _, id := range jobs {
		w.state(quotePrefix, id)
	}
	w.cancel(watchPrefix, lasting)
	time.Sleep(finishTime)
	for _, id := range jobs {
		spans := w.fleet.spans(id)
		tasks, runs := doneCount(spans)
		w.rec.line("job %s: state %q; %d of 4 tasks done, in %d runs", id, w.state(quotePrefix, id), tasks, runs)
		findings = append(findings, ranTwice(spans)...)
	}
	return findings
}

// droppedRoute removes a queue's route while accepted jobs of it have steps that haven't begun.
func droppedRoute(w *world) (findings []string) {
	plan, quote := w.route("r-h2b9wu3", planPrefix, 1, 4), w.quoteRoute()
	w.begin(plan, quote)
	time.Sleep(time.Second)
	steps := []step{{"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 1500}, {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 1000, "dependsOn": []int{0}}}
	spec := work{RunMs: []int{1500, 1000}}
	var jobs []string
	for range 6 {
		if id := newID(); w.submit(quotePrefix, id, spec, steps...) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) == 0 {
		cannotRun("no job was accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.configure(plan)
	} else {
		w.configure(plan, quote)
	}
	time.Sleep(3 * time.Second)
	other := newID()
	if !w.submit(planPrefix, other, spec, steps...) {
		cannotRun("the other queue's job was not accepted")
	}
	w.rec.line("end of the traffic")
	time.Sleep(finishTime + idleLimit + 500*time.Millisecond)
	if s := w.state(planPrefix, other); s != "completed" {
		cannotRun("the other queue's job is %q", s)
	}
	for _, id := range jobs {
		findings = append(findings, w.ranNothing(id, 6)...)
	}
	return findings
}

// rackLoss takes the power from all runners of a rack for a time while a large job runs on it, whose data is there,
// with small jobs beside it.
func rackLoss(w *world) (findings []string) {
	const (
		count       = 3500
		runMs       = 8000
		lostRunners = 6
		crashAfter  = 3 * time.Second
		down        = 4500 * time.Millisecond
		trafficTime = 30 * time.Second
	)
	w.begin(w.quoteRoute())
	time.Sleep(2 * time.Second)
	large := newID()
	w.fleet.unlogged = large
	if !w.submit(quotePrefix, large, work{RunMs: []int{runMs}}, step{"count": count, "cpu": 100, "memMb": 128, "estimateMs": runMs, "dataRack": "r1-0"}) {
		cannotRun("the large job was not accepted")
	}
	for until := time.Now().Add(10 * time.Second); len(w.fleet.spans(large)) < count; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("only %d of %d tasks have begun", len(w.fleet.spans(large)), count)
		}
	}
	time.Sleep(crashAfter)
	rack := w.fleet.runners[:lostRunners]
	for _, r := range rack {
		w.rec.line("%s runs %d tasks", r.id, r.activeCount())
	}
	if w.trouble {
		w.rec.line("the rack loses power for %v", down)
		for _, r := range rack {
			r.losePower()
		}
		time.AfterFunc(down, func() {
			w.rec.line("the rack has power again")
			for _, r := range rack {
				r.startAgain()
			}
		})
	}
	tasks := map[string]int{large: count}
	for until := time.Now().Add(trafficTime); time.Now().Before(until); time.Sleep(time.Second) {
		id := newID()
		if w.submit(quotePrefix, id, work{RunMs: []int{300, 300}}, step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300},
			step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300, "dependsOn": []int{0}}) {
			tasks[id] = 4
		}
		spans := w.fleet.spans(large)
		done, _ := doneCount(spans)
		largest, tooLarge := w.store.largest()
		w.rec.line("large job: %d runs begun, %d tasks done; largest record sent %d bytes; %d appends refused as too large", len(spans), done, largest, tooLarge)
	}
	w.rec.line("end of the traffic")
	time.Sleep(finishTime + idleLimit + 500*time.Millisecond)
	for id, count := range tasks {
		findings = append(findings, w.ranNothing(id, count)...)
		w.rec.line("job %s: state %q", id, w.state(quotePrefix, id))
	}
	return findings
}

// ranNothing returns a finding if a job of so many tasks isn't done and has had nothing running for longer
// than the rule allows. The caller sees to it that most of the room is free.
func (w *world) ranNothing(job string, count int) []string {
	now := time.Now()
	spans := w.fleet.spans(job)
	done, runs := doneCount(spans)
	idle, active := now.Sub(w.rec.from), 0
	for _, s := range spans {
		if s.to.IsZero() {
			active++
		} else {
			idle = min(idle, now.Sub(s.to))
		}
	}
	w.rec.line("job %s: %d of %d tasks done, in %d runs; %d active", job, done, count, runs, active)
	if done == count || active > 0 || idle <= idleLimit {
		return nil
	}
	if len(spans) == 0 {
		return []string{fmt.Sprintf("LOST: job %s was accepted, and none of its %d tasks has begun, with most runners free", job, count)}
	}
	return []string{fmt.Sprintf("LOST: job %s has had nothing running for %.1f s, with most runners free; %d of its %d tasks are done", job, idle.Seconds(), done, count)}
}

// manyDueTimes hands in one job with many due times, with small jobs beside it, and cancels it in the end. No
// disruption is needed; with TROUBLE=0 there are fewer due times.
func manyDueTimes(w *world) (findings []string) {
	const (
		steps       = 8
		trafficTime = 66 * time.Second
	)
	dueTimes, interval := 1400, 40*time.Millisecond
	if !w.trouble {
		dueTimes, interval = 350, 160*time.Millisecond
	}
	w.begin(w.quoteRoute())
	time.Sleep(time.Second)
	var list []step
	runMs := make([]int, steps)
	for i := range steps {
		runMs[i] = 100
		list = append(list, step{"count": 1, "cpu": 100, "memMb": 64, "estimateMs": runMs[i]})
	}
	repeating := newID()
	w.fleet.unlogged = repeating
	if !w.submitJob(quotePrefix, repeating, work{RunMs: runMs}, map[string]any{"steps": list,
		"repeatCount": dueTimes, "firstRunMs": time.Now().Add(time.Second).UnixMilli(), "intervalMs": interval.Milliseconds()}) {
		cannotRun("the job with due times was not accepted")
	}
	tasks := map[string]int{repeating: dueTimes * steps}
	for until := time.Now().Add(trafficTime); time.Now().Before(until); time.Sleep(time.Second) {
		id := newID()
		if w.submit(quotePrefix, id, work{RunMs: []int{300, 300}}, step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300},
			step{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300, "dependsOn": []int{0}}) {
			tasks[id] = 4
		}
		spans := w.fleet.spans(repeating)
		done, _ := doneCount(spans)
		largest, tooLarge := w.store.largest()
		w.rec.line("job with due times: %d runs begun, %d tasks done; largest record sent %d bytes; %d appends refused as too large", len(spans), done, largest, tooLarge)
	}
	w.rec.line("end of the traffic")
	for id := range tasks {
		w.rec.line("job %s: state %q", id, w.state(quotePrefix, id))
	}
	w.cancel(quotePrefix, repeating)
	time.Sleep(finishTime)
	for id, count := range tasks {
		done, runs := doneCount(w.fleet.spans(id))
		w.rec.line("job %s: %d of %d tasks done, in %d runs", id, done, count, runs)
		findings = append(findings, ranTwice(w.fleet.spans(id))...)
		w.rec.line("job %s: state %q", id, w.state(quotePrefix, id))
	}
	return findings
}
