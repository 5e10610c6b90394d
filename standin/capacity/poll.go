package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
)

// exchangeOverhead is the size of one HTTP request and its answer without their bodies,
// in bytes: 255 of headers as net/http writes them, and TCP and IP headers of 52 for each
// of four packets.
const exchangeOverhead = 255 + 4*52

// pollSimulation simulates the workers of one instance in virtual time and counts the
// bytes exchanged between them and their owner.
type pollSimulation struct {
	full    bool
	now     time.Duration
	shards  []*placement.Shard
	workers map[string]*polledWorker
	ids     []string
	bytes   int
	sent    int
	placed  int
}

type polledWorker struct {
	shard        *placement.Shard
	change       uint64
	tasks        map[string]*polledTask
	poll         *placement.SyncOrder
	pollDeadline time.Duration
}

type polledTask struct {
	infra.TaskReport
	change uint64
	ends   time.Duration
}

// PollRate is the traffic per second between an instance and its workers at a steady rate
// of starts and ends.
type PollRate struct {
	Bytes, Exchanges float64
}

// Step and phases of the simulation. Traffic is counted after the warm-up.
const (
	pollStep     = 50 * time.Millisecond
	warmupTime   = 6 * time.Minute
	measuredTime = 4 * time.Minute
)

// MeasurePolls simulates the workers of an instance with the given lease. With full, the
// owner polls the complete task list at a fixed interval, without long polls and
// incremental reports, as the first version did.
func MeasurePolls(racks int, startsPerSecond float64, taskTime, lease time.Duration, full bool) PollRate {
	r := newPollSimulation(racks, lease, full)
	next := r.now
	interval := time.Duration(float64(time.Second) / startsPerSecond)
	for r.now < warmupTime+measuredTime {
		if r.now < warmupTime {
			r.bytes, r.sent = 0, 0
		}
		for ; next <= r.now; next += interval {
			r.place(taskTime)
		}
		r.step()
	}
	return PollRate{float64(r.bytes) / measuredTime.Seconds(), float64(r.sent) / measuredTime.Seconds()}
}

func newPollSimulation(racks int, lease time.Duration, full bool) *pollSimulation {
	r := &pollSimulation{full: full, workers: map[string]*polledWorker{}, now: pollStep}
	cfg := placement.DefaultShardConfig
	cfg.Lease, cfg.PollWait = lease, lease/4
	if full {
		cfg.PollWait, cfg.FullReportInterval = 0, 0
	}
	for i := range racks {
		rack := newRackWith(i, cfg)
		r.shards = append(r.shards, rack.shard)
		for id := range rack.reports {
			r.workers[id] = &polledWorker{shard: rack.shard, tasks: map[string]*polledTask{}}
			r.ids = append(r.ids, id)
		}
	}
	sort.Strings(r.ids)
	return r
}

func (r *pollSimulation) place(taskTime time.Duration) {
	r.placed++
	job := spec(r.placed, 1)
	job.Payload, _ = json.Marshal(map[string]int64{"runMillis": taskTime.Milliseconds()})
	s := r.shards[r.placed%len(r.shards)]
	s.Handle(r.now, placement.Place{Home: ownership.HomeOf(job.ID), HomeEpoch: 5, AskedEpoch: s.Epoch(), Sequence: uint64(r.placed),
		Attempt: placement.Attempt{Job: job.ID, Epoch: 5, Number: r.placed}, Team: job.Team, Name: job.Name, Kind: job.Kind, Need: job.Need, Payload: job.Payload})
}

func (r *pollSimulation) step() {
	r.now += pollStep
	for _, id := range r.ids {
		w := r.workers[id]
		w.advance(r.now)
		if w.poll != nil && (w.change > w.poll.Request.Known || r.now >= w.pollDeadline) {
			order := *w.poll
			w.poll = nil
			r.answer(w, order)
		}
	}
	for _, s := range r.shards {
		s.ConfirmOwner(r.now)
		orders, msgs := s.Step(r.now)
		r.forgetEnded(s, msgs)
		for _, o := range orders {
			r.exchange(o)
		}
	}
}

// forgetEnded acknowledges ended tasks at once, as the job's home does when the job ends.
func (r *pollSimulation) forgetEnded(s *placement.Shard, msgs []placement.Message) {
	for _, m := range msgs {
		if c, ok := m.(placement.Changed); ok && c.State == placement.AttemptDone {
			s.Handle(r.now, placement.Forget{Shard: c.Shard, Home: c.Home, HomeEpoch: 5, Attempt: c.Attempt})
		}
	}
}

func (r *pollSimulation) exchange(o placement.SyncOrder) {
	w := r.workers[o.Worker]
	if w.poll != nil {
		r.count(w.poll.Request, infra.SyncReply{Refused: "a newer request has come"})
		w.poll = nil
	}
	w.applyRequest(r.now, o.Request)
	if o.Request.WaitMillis > 0 && w.change <= o.Request.Known {
		w.poll, w.pollDeadline = &o, r.now+time.Duration(o.Request.WaitMillis)*time.Millisecond
		return
	}
	r.answer(w, o)
}

func (r *pollSimulation) answer(w *polledWorker, o placement.SyncOrder) {
	reply := infra.SyncReply{Token: o.Request.Token, Reading: r.now.Milliseconds(), Change: w.change, Partial: o.Request.Known > 0 && !r.full}
	ids := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if t := w.tasks[id]; !reply.Partial || t.change > o.Request.Known {
			report := t.TaskReport
			report.Task = t.Task.Reported(reply.Partial)
			reply.Tasks = append(reply.Tasks, report)
		}
	}
	r.count(o.Request, reply)
	r.forgetEnded(w.shard, w.shard.Synced(r.now, o.Worker, o.Request, reply, nil))
}

func (r *pollSimulation) count(req infra.SyncRequest, reply infra.SyncReply) {
	out, _ := json.Marshal(req)
	in, _ := json.Marshal(reply)
	r.bytes += len(out) + len(in) + exchangeOverhead
	r.sent++
}

func (w *polledWorker) advance(now time.Duration) {
	for _, t := range w.tasks {
		if t.State == infra.TaskRunning && t.ends <= now {
			t.State = infra.TaskDone
			w.markChanged(t)
		}
	}
}

func (w *polledWorker) markChanged(t *polledTask) {
	w.change++
	t.change = w.change
}

func (w *polledWorker) applyRequest(now time.Duration, req infra.SyncRequest) {
	for _, id := range req.Forgets {
		delete(w.tasks, id)
	}
	for _, t := range req.Starts {
		if w.tasks[t.ID] != nil {
			continue
		}
		var plan struct{ RunMillis int64 }
		_ = json.Unmarshal(t.Payload, &plan)
		run := &polledTask{TaskReport: infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need},
			ends: now + time.Duration(plan.RunMillis)*time.Millisecond}
		w.tasks[t.ID] = run
		w.markChanged(run)
	}
}

// PrintPolls prints the traffic between an instance and its 90 workers with 3.65 tasks
// each, for complete reports at a fixed interval and for long polls that report only
// changes.
func PrintPolls(w io.Writer) {
	const workers, perWorker = 3 * workersPerRack, 3.65
	fmt.Fprintln(w, "| Starts a second | Lease | Reports | Exchanges a second | Bytes a second |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, starts := range []float64{1, 2, 4.45} {
		taskTime := time.Duration(workers * perWorker / starts * float64(time.Second))
		for _, lease := range []time.Duration{15 * time.Second, time.Minute} {
			for _, full := range []bool{true, false} {
				rate := MeasurePolls(3, starts, taskTime, lease, full)
				kind := map[bool]string{true: "all tasks every 200 ms", false: "changes, held back"}[full]
				fmt.Fprintf(w, "| %.4g | %s | %s | %.1f | %.0f |\n", starts, lease, kind, rate.Exchanges, rate.Bytes)
			}
		}
	}
}
