package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Result is what came of a play.
type Result struct {
	Queues map[string]*QueueResult
	// Owed and Earned are sums over all jobs.
	Owed, Earned float64
	// Used is the mean share of the processors in use while jobs came.
	Used  float64
	ticks int
	// Wasted is in core-seconds.
	Wasted            float64
	Starts, Questions int
	Asked             time.Duration // of the advice service's time
	// Overfilled counts starts beyond a worker's room: there must be none.
	Overfilled int
	// Deciding is the time that the core took, on a real clock.
	Deciding time.Duration
}

// QueueResult is what came of one queue's jobs.
type QueueResult struct {
	Jobs, InTime, Late int
	Owed, Earned       float64
	Took               []time.Duration
}

// Share is the part of what was owed that was earned.
func (r *Result) Share() float64 { return r.Earned / r.Owed }

// Share is the part of what was owed that was earned.
func (q *QueueResult) Share() float64 { return q.Earned / q.Owed }

func (r *Result) ended(j *plannedJob, took time.Duration) {
	q := r.Queues[j.kind.Name]
	earned := j.earned(took)
	q.Earned += earned
	r.Earned += earned
	q.Took = append(q.Took, took)
	switch {
	case took <= j.objective:
		q.InTime++
	case earned > 0:
		q.Late++
	}
}

// Play plays a load once.
func Play(load Load, seed uint64) Result {
	luck := rand.New(rand.NewPCG(seed, 1))
	w := &world{load: &load, now: began, jobs: map[string]*plannedJob{}, workers: map[string]*worker{}, seed: seed,
		result: Result{Queues: map[string]*QueueResult{}}}
	w.core = pool.New(pool.Settings{Token: 1, HoldMax: 10 * time.Second, StopTimeout: 200 * time.Millisecond, KeepEnded: time.Minute}, w.now)
	w.tell(pool.Tick{UnixMs: w.unixMs()})
	w.tell(pool.QueuesChanged{Queues: load.queues()})
	w.tell(pool.WorkersListed{Workers: w.hire()})
	for _, j := range load.plan(luck) {
		w.jobs[j.ID] = j
		q := w.result.Queues[j.kind.Name]
		if q == nil {
			q = &QueueResult{}
			w.result.Queues[j.kind.Name] = q
		}
		q.Jobs++
		q.Owed += j.worth
		w.result.Owed += j.worth
		w.after(j.at, func() {
			j.AcceptedMs = w.unixMs()
			w.tell(pool.JobStored{Job: j.Job})
		})
	}
	w.after(tickEvery, w.tick)
	for end := began + load.Length + afterwards; w.now < end; {
		next := heap.Pop(&w.timeline).(timed)
		w.now = next.at
		next.do()
	}
	w.result.Used /= float64(max(1, w.result.ticks))
	return w.result
}

func (l *Load) queues() map[string]pool.Queue {
	queues := map[string]pool.Queue{}
	for _, k := range l.Kinds {
		queues[k.Name] = pool.Queue{Name: k.Name, Service: "s", Priority: k.Priority, Attempts: 4, Slack: k.Slack, Target: k.Target,
			Advice: &pool.AdviceTerms{Decision: k.Decision, PerWorker: k.PerWorker, Validity: ticketsHold}}
	}
	return queues
}

// hire makes the workers: two in three are usual, the third runs a third longer.
func (w *world) hire() []pool.WorkerInfo {
	var list []pool.WorkerInfo
	for n := range w.load.Workers {
		id := fmt.Sprintf("w%03d", n)
		speed := 1.0
		if n%3 == 2 {
			speed = 1.3
		}
		w.workers[id] = &worker{id: id, speed: speed}
		list = append(list, pool.WorkerInfo{ID: id, Addr: id, Service: "s", Rack: fmt.Sprint("r", n/6), Capacity: w.load.Capacity})
	}
	return list
}
