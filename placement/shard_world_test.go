package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// simTask is one task at a simWorker.
type simTask struct {
	infra.TaskReport
	// change is the machine's change count when the task last changed.
	change    uint64
	startedAt time.Duration
	endsAt    time.Duration
	fails     bool
}

// simWorker keeps the promises of docs/PLATFORM.md in memory, in virtual time.
type simWorker struct {
	infra.Worker
	// booted is the clock's zero: readings of a replaced worker start anew.
	booted   time.Duration
	boot     uint64
	shrunkAt time.Duration
	token    infra.Offset
	sequence uint64
	leaseEnd time.Duration
	change   uint64
	tasks    map[string]*simTask
	frozen   bool
}

func (w *simWorker) touch(t *simTask) {
	w.change++
	t.change = w.change
}

func (w *simWorker) end(t *simTask, state infra.TaskState) {
	t.State = state
	w.touch(t)
}

func (w *simWorker) reading(now time.Duration) int64 { return (now - w.booted).Milliseconds() + 1 }

// dead reports whether the machine has stopped for good.
func (w *simWorker) dead() bool { return w.leaseEnd < 0 }

func (w *simWorker) used() infra.Resources {
	var used infra.Resources
	for _, t := range w.tasks {
		if !t.State.Ended() {
			used = used.Add(t.Task.Need)
		}
	}
	return used
}

func (w *simWorker) advance(now time.Duration) {
	for _, t := range w.tasks {
		if t.State.Ended() {
			continue
		}
		switch {
		case t.endsAt <= now && t.endsAt <= w.leaseEnd && t.fails:
			w.end(t, infra.TaskFailed)
		case t.endsAt <= now && t.endsAt <= w.leaseEnd:
			w.end(t, infra.TaskDone)
		case w.leaseEnd < now:
			w.end(t, infra.TaskStopped)
		}
	}
}

// world joins shard owners, workers and a home through a network that loses,
// delays, repeats and reorders.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	loss    int // percent
	delay   time.Duration
	workers map[string]*simWorker
	// cutOff are machines that others have replaced under the same ID.
	cutOff  []*simWorker
	listed  []infra.Worker
	owners  []*simOwner
	homes   []*simHome
	packets []packet
	polls   []simPoll
	epoch   infra.Offset
	broken  []string
	starts  int
	done    map[string]bool
	// plan says how long a task runs and whether it fails.
	plan func(*simWorker, Attempt) (time.Duration, bool)
}

// simPoll is a request whose answer a machine holds back.
type simPoll struct {
	machine *simWorker
	request infra.SyncRequest
	until   time.Duration
	answer  func(infra.SyncReply)
}

type packet struct {
	at      time.Duration
	deliver func()
}

// simOwner is a scheduler that owns, or believes to own, the shard. Its twin gets the
// same events and must give the same actions.
type simOwner struct {
	shard, twin *Shard
	paused      bool
	cutOff      bool
	replaced    bool
}

func newWorld(seed uint64, loss int, delay time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, delay: delay, now: time.Second,
		workers: map[string]*simWorker{}, done: map[string]bool{}}
	w.plan = func(*simWorker, Attempt) (time.Duration, bool) {
		return time.Duration(2+w.rng.IntN(25)) * time.Second, w.rng.IntN(6) == 0
	}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		worker := infra.Worker{ID: id, Rack: "r", Zone: "z", Capacity: infra.Resources{MilliCPU: 4000, MemoryMiB: 4000, Accelerators: int64(i % 2)}}
		w.workers[id] = &simWorker{Worker: worker, booted: -time.Hour, boot: 1, tasks: map[string]*simTask{}}
		w.listed = append(w.listed, worker)
	}
	w.newOwner()
	w.newHome(12)
	return w
}

const simShard = ownership.Unit("shard/r")

var simHomeUnit = ownership.HomeOf("job")

// simConfig polls, and lists all tasks seldom enough for most reports to be
// partial.
func simConfig() ShardConfig {
	cfg := DefaultShardConfig
	cfg.PollWait, cfg.FullEvery = time.Second, 20*time.Second
	return cfg
}

func (w *world) newOwner() {
	w.epoch += 10
	for _, o := range w.owners {
		o.replaced = true
	}
	o := &simOwner{shard: NewShard(simShard, w.epoch, simConfig()), twin: NewShard(simShard, w.epoch, simConfig())}
	w.owners = append(w.owners, o)
	for _, s := range []*Shard{o.shard, o.twin} {
		s.SetWorkers(w.now, w.listed)
		if n := len(w.homes); n > 0 {
			s.FenceHome(simHomeUnit, w.homes[n-1].epoch)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %s: ", w.now)+fmt.Sprintf(format, args...))
}

// send hands a packet to the network.
func (w *world) send(deliver func()) {
	copies := 1
	if roll := w.rng.IntN(100); roll < w.loss {
		copies = 0
	} else if roll >= 100-w.loss/2 {
		copies = 2
	}
	for range copies {
		d := time.Millisecond + time.Duration(w.rng.Int64N(int64(w.delay)))
		if w.rng.IntN(40) == 0 && w.loss > 0 {
			d *= 20
		}
		w.packets = append(w.packets, packet{w.now + d, deliver})
	}
}

func (w *world) deliver() {
	due, later := []packet{}, []packet{}
	for _, p := range w.packets {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			later = append(later, p)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	w.packets = later
	for _, p := range due {
		p.deliver()
	}
}

// tick lets a short time pass and checks what must hold at every moment.
func (w *world) tick() {
	w.now += 50 * time.Millisecond
	for _, wk := range w.machines() {
		wk.advance(w.now)
	}
	w.answerPolls()
	w.deliver()
	for _, o := range w.owners {
		w.stepOwner(o)
	}
	w.homes[len(w.homes)-1].step()
	w.check()
}

func (w *world) stepOwner(o *simOwner) {
	if o.paused {
		return
	}
	if !o.cutOff {
		if o.replaced {
			o.paused = true
			return
		}
		w.confirmOwner(o)
	}
	orders, msgs := o.shard.Step(w.now)
	orders2, msgs2 := o.twin.Step(w.now)
	w.same("Step", orders, orders2)
	w.same("Step", msgs, msgs2)
	for _, order := range orders {
		made := w.now
		w.send(func() { w.syncWorker(o, order, made) })
	}
	w.toHome(msgs)
}

func (w *world) same(call string, a, b any) {
	if !reflect.DeepEqual(a, b) {
		w.fault("%s gave %+v and for the same events %+v", call, a, b)
	}
}

func (w *world) syncWorker(o *simOwner, order SyncOrder, made time.Duration) {
	wk := w.workers[order.Worker]
	if wk == nil || wk.frozen {
		return
	}
	reply := w.obey(wk, order.Request, made)
	answer := func(reply infra.SyncReply) {
		w.send(func() {
			if o.paused {
				return
			}
			msgs := o.shard.Synced(w.now, order.Worker, order.Request, reply, nil)
			w.same("Synced", msgs, o.twin.Synced(w.now, order.Worker, order.Request, reply, nil))
			w.toHome(msgs)
		})
	}
	if wait := order.Request.WaitMillis; wait > 0 && reply.Partial && len(reply.Tasks) == 0 && reply.Refused == "" {
		w.polls = append(w.polls, simPoll{wk, order.Request, w.now + time.Duration(wait)*time.Millisecond, answer})
		return
	}
	answer(reply)
}

// answerPolls answers the requests whose time or news has come.
func (w *world) answerPolls() {
	kept := w.polls[:0]
	for _, p := range w.polls {
		superseded := p.machine.token != p.request.Token || p.machine.sequence != p.request.Sequence
		switch {
		case p.machine.frozen:
		case superseded || p.machine.change > p.request.Known || w.now >= p.until:
			p.answer(w.tell(p.machine, p.request, ""))
		default:
			kept = append(kept, p)
		}
	}
	w.polls = kept
}

func (w *world) obey(wk *simWorker, req infra.SyncRequest, made time.Duration) infra.SyncReply {
	wk.advance(w.now)
	refused := ""
	switch {
	case req.Token < wk.token:
		refused = "token"
	case req.Token == wk.token && req.Sequence <= wk.sequence:
		refused = "sequence"
	default:
		wk.token, wk.sequence = req.Token, req.Sequence
		w.carryOut(wk, req, made)
	}
	return w.tell(wk, req, refused)
}

// tell lists all tasks, or those that changed after what the owner knows.
func (w *world) tell(wk *simWorker, req infra.SyncRequest, refused string) infra.SyncReply {
	reply := infra.SyncReply{Boot: wk.boot, UpMillis: (w.now - wk.booted).Milliseconds(), Reading: wk.reading(w.now),
		Refused: refused, Token: wk.token, Change: wk.change, Partial: req.Known > 0 && req.Boot == wk.boot && req.Known <= wk.change}
	for _, id := range sortedIDs(wk.tasks) {
		t := wk.tasks[id]
		if reply.Partial && t.change <= req.Known {
			continue
		}
		t.RunTime = (w.now - t.startedAt).Milliseconds()
		report := t.TaskReport
		report.Task = t.Task.Reported(reply.Partial)
		reply.Tasks = append(reply.Tasks, report)
	}
	return reply
}

func (w *world) carryOut(wk *simWorker, req infra.SyncRequest, made time.Duration) {
	if req.AsOf > 0 && req.Boot == wk.boot {
		wk.leaseEnd = max(wk.leaseEnd, wk.booted+time.Duration(req.AsOf+req.LeaseMillis)*time.Millisecond)
	}
	for _, id := range req.Forgets {
		if t, ok := wk.tasks[id]; ok && t.State.Ended() {
			delete(wk.tasks, id)
		}
	}
	for _, id := range req.Stops {
		if t, ok := wk.tasks[id]; ok && !t.State.Ended() {
			t.Reason = "stopped"
			wk.end(t, infra.TaskStopped)
		}
	}
	if w.now > wk.leaseEnd || req.Boot != wk.boot {
		return
	}
	for _, t := range req.Starts {
		if _, ok := wk.tasks[t.ID]; !ok {
			w.start(wk, t, made)
		}
	}
}

func (w *world) start(wk *simWorker, t infra.Task, made time.Duration) {
	w.starts++
	// A start that was on its way when the worker became smaller is nobody's fault.
	if used := wk.used().Add(t.Need); made > wk.shrunkAt && !used.Fits(wk.Capacity) {
		w.fault("worker %s got %s and holds %s of %s", wk.ID, t.ID, used, wk.Capacity)
	}
	attempt, err := ParseAttempt(t.ID)
	if err != nil {
		w.fault("%v", err)
		return
	}
	key := fmt.Sprintf("%s/%d", attempt.Job, attempt.Index)
	if w.done[key] {
		w.fault("%s starts again after its home took note of its end", key)
	}
	for _, other := range w.machines() {
		for id, o := range other.tasks {
			a, _ := ParseAttempt(id)
			if !o.State.Ended() && a.Job == attempt.Job && a.Index == attempt.Index {
				w.fault("task %s runs as %s on %s and as %s on %s", key, id, other.ID, t.ID, wk.ID)
			}
		}
	}
	run, fails := w.plan(wk, attempt)
	wk.tasks[t.ID] = &simTask{TaskReport: infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need},
		startedAt: w.now, endsAt: w.now + run, fails: fails}
	wk.touch(wk.tasks[t.ID])
}

// machines are all that may run tasks, in a fixed order.
func (w *world) machines() []*simWorker {
	list := append([]*simWorker(nil), w.cutOff...)
	for _, id := range sortedIDs(w.workers) {
		list = append(list, w.workers[id])
	}
	return list
}

// check verifies that no owner has committed more than a worker has, and that
// its sums are those of its slots.
func (w *world) check() {
	for _, o := range w.owners {
		for _, wk := range o.shard.order {
			if !w.shrunk(wk.ID) && !wk.committed.Fits(wk.Capacity) {
				w.fault("the owner of epoch %d has committed %s at %s, which has %s", o.shard.Epoch(), wk.committed, wk.ID, wk.Capacity)
			}
			if sum := sumOf(wk); sum != [3]infra.Resources{wk.committed, wk.claimed, wk.leaving} {
				w.fault("the owner of epoch %d counts %v at %s, its slots sum up to %v", o.shard.Epoch(),
					[3]infra.Resources{wk.committed, wk.claimed, wk.leaving}, wk.ID, sum)
			}
		}
	}
}

func sumOf(w *worker) (sum [3]infra.Resources) {
	for _, sl := range w.slots {
		switch sl.state {
		case slotWaiting:
			sum[1] = sum[1].Add(sl.task.Need)
		case slotHeld, slotStarting, slotRunning:
			sum[0] = sum[0].Add(sl.task.Need)
			if sl.stop {
				sum[2] = sum[2].Add(sl.task.Need)
			}
		}
	}
	return sum
}

func (w *world) shrunk(id string) bool {
	return w.workers[id] == nil || w.workers[id].Capacity.MilliCPU < 4000
}

func (w *world) toHome(msgs []Message) {
	for _, m := range msgs {
		w.send(func() { w.homes[len(w.homes)-1].handle(m) })
	}
}

// toShard delivers to the owner that the home believes in.
func (w *world) toShard(epoch infra.Offset, m Message) {
	w.send(func() {
		for _, o := range w.owners {
			if o.shard.Epoch() == epoch && !o.paused {
				msgs := o.shard.Handle(w.now, m)
				w.same("Handle", msgs, o.twin.Handle(w.now, m))
				w.toHome(msgs)
			}
		}
	})
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
