package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/platform"
)

// ShardConfig is the timing of a shard's owner.
type ShardConfig struct {
	// Lease is how long a worker runs tasks after its owner's last renewal.
	Lease time.Duration
	// SyncEvery is the time between two requests to a worker without orders.
	SyncEvery time.Duration
	// SyncTimeout is when a request without an answer is given up.
	SyncTimeout time.Duration
	// TellAgain is how long news of an ended task waits before it is repeated.
	TellAgain time.Duration
	// HoldFor is how long a reservation stands without a Confirm.
	HoldFor time.Duration
}

// DefaultShardConfig suits a cell on one site.
var DefaultShardConfig = ShardConfig{
	Lease:       15 * time.Second,
	SyncEvery:   200 * time.Millisecond,
	SyncTimeout: 2 * time.Second,
	TellAgain:   time.Second,
	HoldFor:     5 * time.Second,
}

// leaseMargin is added to a lease before its tasks are taken for stopped: a
// share of the lease for clocks that run at different speeds.
const leaseMargin = 20

type slotState int

const (
	slotHeld slotState = iota
	slotStarting
	slotRunning
	slotEnded
)

type slot struct {
	attempt Attempt
	home    ownership.Unit
	task    platform.Task
	state   slotState
	final   AttemptState
	reason  string
	run     time.Duration
	heldAt  time.Duration
	stop    bool
	noted   bool
	toldAt  time.Duration
}

type worker struct {
	platform.Worker
	// reconciled means that this owner has heard from the worker under its own
	// token: predecessors are fenced out and slots holds all the worker runs.
	reconciled bool
	sequence   uint64
	inflight   bool
	sentAt     time.Duration
	heardAt    time.Duration
	reading    int64
	urgent     bool
	slots      map[string]*slot
	forgets    []string
	firstAt    time.Duration
}

func (w *worker) free() platform.Resources {
	free := w.Capacity
	for _, s := range w.slots {
		if s.state != slotEnded {
			free = free.Sub(s.task.Need)
		}
	}
	return free
}

// SyncOrder asks the caller to send a request to a worker and to bring the
// answer back with Synced.
type SyncOrder struct {
	Shard   ownership.Unit
	Worker  string
	Request platform.SyncRequest
}

// Shard is the step machine of one worker shard's owner.
type Shard struct {
	unit    ownership.Unit
	epoch   platform.Offset
	cfg     ShardConfig
	workers map[string]*worker
	order   []string
	// homes holds the newest epoch seen of each home: requests of an older
	// one come from a home that has been replaced.
	homes map[ownership.Unit]platform.Offset
}

// NewShard returns the owner's state under an epoch. It knows no workers yet.
func NewShard(unit ownership.Unit, epoch platform.Offset, cfg ShardConfig) *Shard {
	return &Shard{unit: unit, epoch: epoch, cfg: cfg, workers: map[string]*worker{}, homes: map[ownership.Unit]platform.Offset{}}
}

// Epoch is the fencing token of this owner.
func (s *Shard) Epoch() platform.Offset { return s.epoch }

// SetWorkers takes over the platform's list of the shard's workers.
func (s *Shard) SetWorkers(now time.Duration, list []platform.Worker) {
	s.order = s.order[:0]
	for _, w := range list {
		s.order = append(s.order, w.ID)
		if known, ok := s.workers[w.ID]; ok {
			known.Worker = w
			continue
		}
		s.workers[w.ID] = &worker{Worker: w, slots: map[string]*slot{}, firstAt: now, heardAt: now}
	}
	sort.Strings(s.order)
}

// FenceHome notes the newest epoch of a home.
func (s *Shard) FenceHome(home ownership.Unit, epoch platform.Offset) {
	s.homes[home] = max(s.homes[home], epoch)
}

// Step returns the requests to send to workers now and news for homes.
func (s *Shard) Step(now time.Duration) ([]SyncOrder, []Message) {
	var orders []SyncOrder
	var out []Message
	for _, id := range s.order {
		w := s.workers[id]
		out = append(out, s.lapse(now, w)...)
		out = append(out, s.tellAgain(now, w)...)
		s.expireHolds(now, w)
		if w.inflight && now-w.sentAt < s.cfg.SyncTimeout {
			continue
		}
		if w.urgent || w.sequence == 0 || now-w.sentAt >= s.cfg.SyncEvery {
			orders = append(orders, s.sync(now, w))
		}
	}
	return orders, out
}

// lapse gives up the tasks of a worker that has been silent for its whole
// lease. The worker counts the lease from a reading it took before the last
// answer we heard, so by then it has stopped them by itself.
func (s *Shard) lapse(now time.Duration, w *worker) []Message {
	if now-w.heardAt < s.cfg.Lease+s.cfg.Lease/leaseMargin {
		return nil
	}
	var out []Message
	for _, id := range sortedSlots(w) {
		sl := w.slots[id]
		if sl.state == slotEnded {
			continue
		}
		sl.state, sl.final = slotEnded, AttemptLost
		sl.reason = fmt.Sprintf("worker %s was silent for its whole lease", w.ID)
		out = append(out, s.changed(w, sl))
	}
	w.reconciled, w.reading = false, 0
	return out
}

// tellAgain repeats the news of ended tasks: the first telling may have gone to
// a home that was just then changing hands.
func (s *Shard) tellAgain(now time.Duration, w *worker) []Message {
	var out []Message
	for _, id := range sortedSlots(w) {
		sl := w.slots[id]
		if sl.state != slotEnded || sl.noted || now-sl.toldAt < s.cfg.TellAgain {
			continue
		}
		sl.toldAt = now
		out = append(out, s.changed(w, sl))
	}
	return out
}

// expireHolds drops reservations whose home never confirmed them, so that a
// dead home can't keep resources from others.
func (s *Shard) expireHolds(now time.Duration, w *worker) {
	for id, sl := range w.slots {
		if sl.state == slotHeld && now-sl.heldAt >= s.cfg.HoldFor {
			delete(w.slots, id)
		}
	}
}

func (s *Shard) sync(now time.Duration, w *worker) SyncOrder {
	w.sequence++
	w.inflight, w.urgent, w.sentAt = true, false, now
	req := platform.SyncRequest{Token: s.epoch, Sequence: w.sequence, AsOf: w.reading, LeaseMillis: s.cfg.Lease.Milliseconds()}
	req.Forgets = append(req.Forgets, w.forgets...)
	if w.reconciled {
		for _, id := range sortedSlots(w) {
			sl := w.slots[id]
			switch {
			case sl.stop && sl.state != slotEnded:
				req.Stops = append(req.Stops, id)
			case sl.state == slotStarting:
				req.Starts = append(req.Starts, sl.task)
			}
		}
	}
	return SyncOrder{Shard: s.unit, Worker: w.ID, Request: req}
}

// Synced takes in a worker's answer, or the error instead of one.
func (s *Shard) Synced(now time.Duration, id string, req platform.SyncRequest, reply platform.SyncReply, err error) []Message {
	w, ok := s.workers[id]
	if !ok || req.Token != s.epoch || req.Sequence != w.sequence {
		return nil
	}
	w.inflight = false
	if err != nil || reply.Refused != "" {
		return nil
	}
	w.heardAt, w.reading = now, reply.Reading
	w.forgets = without(w.forgets, req.Forgets)
	started := map[string]bool{}
	for _, t := range req.Starts {
		started[t.ID] = true
	}
	out := s.reconcile(w, reply.Tasks, started)
	if !w.reconciled {
		w.reconciled, w.urgent = true, true
	}
	return out
}

// reconcile brings the slots in line with what the worker says, which is the
// truth: a start it does not list was not obeyed, a task it lists is running.
func (s *Shard) reconcile(w *worker, reports []platform.TaskReport, started map[string]bool) []Message {
	var out []Message
	seen := map[string]bool{}
	for _, r := range reports {
		seen[r.Task.ID] = true
		sl, ok := w.slots[r.Task.ID]
		if !ok {
			sl = s.adopt(w, r)
			if sl == nil {
				continue
			}
		}
		if s.update(sl, r) || !ok {
			out = append(out, s.changed(w, sl))
		}
	}
	for _, id := range sortedSlots(w) {
		sl := w.slots[id]
		if seen[id] || sl.state == slotHeld || sl.state == slotEnded {
			continue
		}
		if sl.state == slotRunning || (sl.state == slotStarting && started[id]) {
			sl.state, sl.final, sl.reason = slotEnded, AttemptLost, "worker "+w.ID+" no longer has the task"
			out = append(out, s.changed(w, sl))
		}
	}
	return out
}

// adopt takes over a task that a predecessor started.
func (s *Shard) adopt(w *worker, r platform.TaskReport) *slot {
	attempt, err := ParseAttempt(r.Task.ID)
	if err != nil {
		return nil
	}
	sl := &slot{attempt: attempt, home: ownership.HomeOf(attempt.Job), task: r.Task, state: slotStarting}
	w.slots[r.Task.ID] = sl
	return sl
}

func (s *Shard) update(sl *slot, r platform.TaskReport) bool {
	before := sl.state
	if before == slotEnded {
		return false
	}
	sl.run = time.Duration(r.RunTime) * time.Millisecond
	switch r.State {
	case platform.TaskRunning:
		sl.state = slotRunning
	case platform.TaskDone:
		sl.state, sl.final = slotEnded, AttemptDone
	case platform.TaskFailed, platform.TaskStopped:
		sl.state, sl.final, sl.reason = slotEnded, AttemptFailed, r.Reason
	}
	return sl.state != before
}

func (s *Shard) changed(w *worker, sl *slot) Changed {
	c := Changed{Home: sl.home, Shard: s.unit, Attempt: sl.attempt, Worker: w.ID, Reason: sl.reason, RunTime: sl.run, Need: sl.task.Need}
	switch sl.state {
	case slotHeld:
		c.State = AttemptHeld
	case slotEnded:
		c.State = sl.final
	default:
		c.State = AttemptRunning
	}
	return c
}

// Handle takes in a message from a home.
func (s *Shard) Handle(now time.Duration, m Message) []Message {
	switch m := m.(type) {
	case Place:
		return s.place(now, m)
	case Confirm:
		return s.confirm(m)
	case Noted:
		s.with(Confirm(m), func(_ *worker, sl *slot) { sl.noted = true })
	case Release:
		s.with(Confirm(m), func(w *worker, sl *slot) {
			if sl.state == slotHeld {
				delete(w.slots, sl.task.ID)
			}
		})
	case Stop:
		s.with(Confirm(m), func(w *worker, sl *slot) { s.stop(w, sl) })
	case Forget:
		s.with(Confirm(m), func(w *worker, sl *slot) {
			if sl.state == slotEnded {
				s.forget(w, sl)
			}
		})
	case Collect:
		return s.collect(m)
	}
	return nil
}

// confirm starts a held attempt. A repeated Confirm is answered with what became
// of the attempt, also when its reservation has expired.
func (s *Shard) confirm(m Confirm) []Message {
	if !s.current(m.Home, m.HomeEpoch) {
		return nil
	}
	answer := Changed{Home: m.Home, Shard: s.unit, Attempt: m.Attempt, State: AttemptLost, Reason: "the reservation has expired"}
	s.with(m, func(w *worker, sl *slot) {
		if sl.state == slotHeld {
			sl.state, w.urgent = slotStarting, true
		}
		answer = s.changed(w, sl)
	})
	return []Message{answer}
}

func (s *Shard) with(m Confirm, f func(*worker, *slot)) {
	if !s.current(m.Home, m.HomeEpoch) {
		return
	}
	for _, id := range s.order {
		w := s.workers[id]
		if sl, ok := w.slots[m.Attempt.TaskID()]; ok {
			f(w, sl)
			return
		}
	}
}

// current reports whether a home's epoch is the newest seen. A home that was
// replaced while it was paused must not place anything any more: its successor
// may already run the same task elsewhere.
func (s *Shard) current(home ownership.Unit, epoch platform.Offset) bool {
	if epoch < s.homes[home] {
		return false
	}
	s.homes[home] = epoch
	return true
}

func (s *Shard) stop(w *worker, sl *slot) {
	if sl.state == slotHeld {
		delete(w.slots, sl.task.ID)
		return
	}
	sl.stop, w.urgent = true, true
}

func (s *Shard) forget(w *worker, sl *slot) {
	delete(w.slots, sl.task.ID)
	w.forgets = append(w.forgets, sl.task.ID)
}

// JobEnded stops what still runs of a job and forgets what has ended.
func (s *Shard) JobEnded(job string) {
	for _, id := range s.order {
		w := s.workers[id]
		for _, tid := range sortedSlots(w) {
			sl := w.slots[tid]
			if sl.attempt.Job != job {
				continue
			}
			if sl.state == slotEnded {
				s.forget(w, sl)
			} else {
				s.stop(w, sl)
			}
		}
	}
}

func (s *Shard) place(now time.Duration, m Place) []Message {
	answer := Placed{Home: m.Home, Shard: s.unit, Attempt: m.Attempt, Sequence: m.Sequence}
	if !s.current(m.Home, m.HomeEpoch) {
		return nil
	}
	id := m.Attempt.TaskID()
	for _, wid := range s.order {
		w := s.workers[wid]
		if sl, ok := w.slots[id]; ok {
			answer.OK, answer.Worker, answer.Held = true, wid, sl.state == slotHeld
			return []Message{answer}
		}
	}
	w, reason := s.choose(m)
	if w == nil {
		answer.Reason = reason
		return []Message{answer}
	}
	sl := &slot{attempt: m.Attempt, home: m.Home, state: slotStarting, heldAt: now, task: platform.Task{
		ID: id, Need: m.Need, Payload: m.Payload, Labels: map[string]string{"team": m.Team, "kind": string(m.Kind)}}}
	if m.Hold {
		sl.state = slotHeld
	}
	w.slots[id], w.urgent = sl, true
	answer.OK, answer.Worker, answer.Held = true, w.ID, m.Hold
	return []Message{answer}
}

// choose filters the workers and scores the rest: the least room left over on
// the dominant resource wins, and workers with accelerators are kept for tasks
// that need them.
func (s *Shard) choose(m Place) (*worker, string) {
	var best *worker
	var bestScore float64
	var silent, full int
	for _, id := range s.order {
		w := s.workers[id]
		if !w.reconciled {
			silent++
			continue
		}
		free := w.free()
		if !m.Need.Fits(free) {
			full++
			continue
		}
		if score := fitScore(m.Need, free, w.Capacity); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return nil, fmt.Sprintf("of %d workers %d lack room and %d have not answered yet", len(s.order), full, silent)
	}
	return best, ""
}

func fitScore(need, free, capacity platform.Resources) float64 {
	left := free.Sub(need)
	score := -max(share(left.MilliCPU, capacity.MilliCPU), share(left.MemoryMiB, capacity.MemoryMiB))
	if need.Accelerators == 0 && capacity.Accelerators > 0 {
		score--
	}
	return score
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// collect answers once all workers have been heard; until then the home asks
// again.
func (s *Shard) collect(m Collect) []Message {
	if !s.current(m.Home, m.HomeEpoch) {
		return nil
	}
	answer := Collected{Home: m.Home, Shard: s.unit, HomeEpoch: m.HomeEpoch}
	for _, id := range s.order {
		w := s.workers[id]
		if !w.reconciled {
			return nil
		}
		for _, tid := range sortedSlots(w) {
			if sl := w.slots[tid]; sl.home == m.Home {
				answer.Attempts = append(answer.Attempts, s.changed(w, sl))
			}
		}
	}
	return []Message{answer}
}

// Jobs returns the IDs of the jobs that have tasks in the shard.
func (s *Shard) Jobs() []string {
	set := map[string]bool{}
	for _, w := range s.workers {
		for _, sl := range w.slots {
			set[sl.attempt.Job] = true
		}
	}
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Digest returns the shard's free room.
func (s *Shard) Digest() Digest {
	d := Digest{Shard: s.unit, Epoch: s.epoch, Workers: len(s.order)}
	for _, id := range s.order {
		w := s.workers[id]
		c := w.Capacity
		d.Total = d.Total.Add(c)
		d.Largest = platform.Resources{
			MilliCPU:     max(d.Largest.MilliCPU, c.MilliCPU),
			MemoryMiB:    max(d.Largest.MemoryMiB, c.MemoryMiB),
			Accelerators: max(d.Largest.Accelerators, c.Accelerators),
		}
		if w.reconciled {
			d.Free = d.Free.Add(w.free())
		}
	}
	return d
}

// WorkerStatus is one worker as its owner sees it.
type WorkerStatus struct {
	ID         string             `json:"id"`
	Rack       string             `json:"rack"`
	Zone       string             `json:"zone"`
	Capacity   platform.Resources `json:"capacity"`
	Free       platform.Resources `json:"free"`
	Reconciled bool               `json:"reconciled"`
	Tasks      []string           `json:"tasks"`
}

// Status lists the shard's workers.
func (s *Shard) Status() []WorkerStatus {
	list := make([]WorkerStatus, 0, len(s.order))
	for _, id := range s.order {
		w := s.workers[id]
		list = append(list, WorkerStatus{ID: id, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity,
			Free: w.free(), Reconciled: w.reconciled, Tasks: sortedSlots(w)})
	}
	return list
}

func sortedSlots(w *worker) []string {
	ids := make([]string, 0, len(w.slots))
	for id := range w.slots {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func without(list, drop []string) []string {
	gone := map[string]bool{}
	for _, d := range drop {
		gone[d] = true
	}
	kept := list[:0]
	for _, l := range list {
		if !gone[l] {
			kept = append(kept, l)
		}
	}
	return kept
}
