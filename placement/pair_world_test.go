package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// ownerState is how an owner process fares.
type ownerState int

const (
	ownerRuns ownerState = iota
	// ownerPaused stands still, and may wake up later as a replaced owner.
	ownerPaused
	// ownerCutOff runs on without the log and believes that it still owns.
	ownerCutOff
	ownerGone
)

type pairShard struct {
	*Shard
	unit  ownership.Unit
	state ownerState
}

// pairHome gives its twin the same events, which must give the same actions.
type pairHome struct {
	*Home
	twin  *Home
	state ownerState
}

func (h *pairHome) both(f func(*Home)) {
	f(h.Home)
	f(h.twin)
}

// pairWorld joins homes and shards of two racks through a network that loses,
// delays, repeats and reorders.
type pairWorld struct {
	rng     *rand.Rand
	now     time.Duration
	loss    int
	delay   time.Duration
	epoch   infra.Offset
	workers map[string]*simWorker
	racks   map[ownership.Unit][]infra.Worker
	shards  map[ownership.Unit][]*pairShard
	homes   map[ownership.Unit][]*pairHome
	jobs    map[string]*Job
	units   []ownership.Unit
	packets []packet
	broken  []string
	// halfSince is when a gang was first seen running in part.
	halfSince map[string]time.Duration
	// failing workers fail whatever they start.
	failing map[string]bool
	runFor  time.Duration
	referee *world
	// quota of the one team; none is no limit.
	quota     infra.Resources
	submitted int
	// quotaMessages counts what homes and ledgers tell each other.
	quotaMessages int
	static        bool
}

func newPairWorld(seed uint64, loss int, delay time.Duration, slots int) *pairWorld {
	w := &pairWorld{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Second, loss: loss, delay: delay, epoch: 100,
		workers: map[string]*simWorker{}, racks: map[ownership.Unit][]infra.Worker{}, shards: map[ownership.Unit][]*pairShard{},
		homes: map[ownership.Unit][]*pairHome{}, jobs: map[string]*Job{}, halfSince: map[string]time.Duration{}, failing: map[string]bool{},
		runFor: 8 * time.Second}
	w.referee = &world{workers: w.workers, rng: w.rng, done: map[string]bool{}, plan: w.plan}
	for r := range 2 {
		u := ownership.ShardUnit(fmt.Sprintf("r%d", r))
		w.units = append(w.units, u)
		for i := range 2 {
			p := infra.Worker{ID: fmt.Sprintf("w%d%d", r, i), Rack: fmt.Sprintf("r%d", r), Capacity: times(small, slots)}
			w.workers[p.ID] = &simWorker{Worker: p, booted: -time.Hour, boot: 1, tasks: map[string]*simTask{}}
			w.racks[u] = append(w.racks[u], p)
		}
		w.replaceShard(u)
	}
	return w
}

func newest[T any](list []T) T { return list[len(list)-1] }

func (w *pairWorld) replaceShard(u ownership.Unit) {
	w.epoch += 10
	for _, s := range w.shards[u] {
		if s.state == ownerRuns {
			s.state = ownerGone
		}
	}
	s := &pairShard{Shard: NewShard(u, w.epoch, DefaultShardConfig), unit: u}
	s.SetWorkers(w.now, w.racks[u])
	for home, list := range w.homes {
		s.FenceHome(home, newest(list).epoch)
	}
	w.shards[u] = append(w.shards[u], s)
	for _, list := range w.homes {
		if h := newest(list); h.state == ownerRuns {
			h.both(func(h *Home) { h.SetOwner(w.now, u, w.epoch) })
		}
	}
}

func (w *pairWorld) replaceHome(u ownership.Unit) {
	w.epoch += 10
	for _, h := range w.homes[u] {
		if h.state == ownerRuns {
			h.state = ownerGone
		}
	}
	h := &pairHome{Home: NewHome(u, w.epoch, DefaultHomeConfig), twin: NewHome(u, w.epoch, DefaultHomeConfig)}
	h.both(func(h *Home) {
		h.SetShards(w.units)
		for _, s := range w.units {
			h.SetOwner(w.now, s, newest(w.shards[s]).Epoch())
		}
		if w.quota != nothing && w.static {
			splitQuota(h, "workshop", w.quota)
		} else if w.quota != nothing {
			h.SetTeam(w.now, "workshop", settings.Team{Quota: w.quota})
		}
	})
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; ownership.HomeOf(id) == u && j.State == JobOpen {
			h.both(func(h *Home) { h.AddJob(w.now, *j) })
		}
	}
	w.homes[u] = append(w.homes[u], h)
}

func (w *pairWorld) submit(spec JobSpec) {
	u := ownership.HomeOf(spec.ID)
	if len(w.homes[u]) == 0 {
		w.replaceHome(u)
	}
	w.epoch++
	spec.Team, spec.Need = "workshop", small
	w.submitted++
	j := &Job{Spec: spec, Accepted: w.epoch, State: JobOpen}
	w.jobs[spec.ID] = j
	for _, h := range w.homes[u] {
		if h.state == ownerRuns {
			h.both(func(h *Home) { h.AddJob(w.now, *j) })
		}
	}
}

func (w *pairWorld) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %s: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *pairWorld) post(deliver func()) {
	copies := 1
	if roll := w.rng.IntN(100); roll < w.loss {
		copies = 0
	} else if roll >= 100-w.loss {
		copies = 2
	}
	for range copies {
		// A sound network keeps the order of what it carries.
		d := w.delay
		if w.loss > 0 {
			d = time.Millisecond + time.Duration(w.rng.Int64N(int64(w.delay)))
		}
		if w.loss > 0 && w.rng.IntN(30) == 0 {
			d *= 20
		}
		w.packets = append(w.packets, packet{w.now + d, deliver})
	}
}

// route brings messages to the unit's newest owner, and to cut-off ones that still
// believe to be it.
func (w *pairWorld) route(msgs []Message) {
	for _, m := range msgs {
		switch m.(type) {
		case QuotaReport, QuotaGrant, QuotaAsk:
			w.quotaMessages++
		}
		for _, s := range w.shards[m.To()] {
			if s.state == ownerRuns || s.state == ownerCutOff {
				w.post(func() {
					if s.state == ownerRuns || s.state == ownerCutOff {
						w.route(s.Handle(w.now, m))
					}
				})
			}
		}
		for _, h := range w.homes[m.To()] {
			if h.state == ownerRuns || h.state == ownerCutOff {
				w.post(func() {
					if h.state == ownerRuns || h.state == ownerCutOff {
						msgs := h.Handle(w.now, m)
						w.same(msgs, h.twin.Handle(w.now, m))
						w.route(msgs)
					}
				})
			}
		}
	}
}

func (w *pairWorld) same(a, b any) {
	if !reflect.DeepEqual(a, b) {
		w.fault("the same events gave %+v and %+v", a, b)
	}
}

func (w *pairWorld) tick() {
	w.now += 50 * time.Millisecond
	for _, id := range sortedKeys(w.workers) {
		w.workers[id].advance(w.now)
	}
	var later []packet
	due := []packet{}
	for _, p := range w.packets {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			later = append(later, p)
		}
	}
	w.packets = later
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, p := range due {
		p.deliver()
	}
	for _, u := range w.units {
		for _, s := range w.shards[u] {
			w.stepShard(s)
		}
	}
	for _, u := range sortedKeys(w.homes) {
		for _, h := range w.homes[u] {
			w.stepHome(h)
		}
	}
	w.checkGangs()
}

func (w *pairWorld) stepShard(s *pairShard) {
	if s.state != ownerRuns && s.state != ownerCutOff {
		return
	}
	if s.state == ownerRuns {
		s.ConfirmOwner(w.now)
	}
	orders, msgs := s.Step(w.now)
	for _, o := range orders {
		w.post(func() { w.sync(s, o) })
	}
	w.route(msgs)
	if w.now%(300*time.Millisecond) == 0 {
		d := s.Digest()
		for _, list := range w.homes {
			for _, h := range list {
				if h.state == ownerRuns {
					h.both(func(h *Home) { h.SetDigest(w.now, d) })
				}
			}
		}
	}
}

func (w *pairWorld) sync(s *pairShard, o SyncOrder) {
	wk := w.workers[o.Worker]
	if wk.frozen {
		return
	}
	reply := w.obey(wk, o.Request)
	w.post(func() {
		if s.state == ownerRuns || s.state == ownerCutOff {
			w.route(s.Synced(w.now, o.Worker, o.Request, reply, nil))
		}
	})
}

// obey lets the worker carry out a request; the referee of the shard's own tests
// watches that no worker is overfilled and no task runs twice.
func (w *pairWorld) obey(wk *simWorker, req infra.SyncRequest) infra.SyncReply {
	w.referee.now = w.now
	reply := w.referee.obey(wk, req, w.now)
	w.broken, w.referee.broken = append(w.broken, w.referee.broken...), nil
	return reply
}

// plan is asked for each task that a worker starts.
func (w *pairWorld) plan(wk *simWorker, a Attempt) (time.Duration, bool) {
	if w.jobs[a.Job].State == JobDone {
		w.fault("%s starts after its job is done", a.TaskID())
	}
	if used := w.used().Add(small); w.quota != nothing && !used.Fits(w.quota) {
		w.fault("%s starts and %s of the quota %s is used", a.TaskID(), used, w.quota)
	}
	if w.jobs[a.Job].Spec.Kind == Service {
		return time.Hour, false
	}
	return w.runFor, w.failing[wk.ID]
}

// used is what all workers run.
func (w *pairWorld) used() infra.Resources {
	var used infra.Resources
	for _, wk := range w.workers {
		used = used.Add(wk.used())
	}
	return used
}

func (w *pairWorld) stepHome(h *pairHome) {
	if h.state != ownerRuns && h.state != ownerCutOff {
		return
	}
	msgs, ends := h.Step(w.now)
	msgs2, ends2 := h.twin.Step(w.now)
	w.same(msgs, msgs2)
	w.same(ends, ends2)
	w.route(msgs)
	if h.state == ownerCutOff {
		return
	}
	for _, e := range ends {
		w.end(e)
	}
}

// end puts a job's end into the log, which all that read it see.
func (w *pairWorld) end(e End) {
	j := w.jobs[e.ID]
	if j.State != JobOpen {
		return
	}
	j.State, j.Reason = e.State, e.Reason
	for _, h := range w.homes[ownership.HomeOf(e.ID)] {
		if h.state == ownerRuns {
			h.both(func(h *Home) { h.JobEnded(w.now, e.ID) })
		}
	}
	for _, u := range w.units {
		for _, s := range w.shards[u] {
			if s.state == ownerRuns {
				s.JobEnded(e.ID)
			}
		}
	}
}

// running returns the indexes of a job's tasks that run or have run to their end.
func (w *pairWorld) running(job string) (runs, done map[int]bool) {
	runs, done = map[int]bool{}, map[int]bool{}
	for _, wk := range w.workers {
		for id, t := range wk.tasks {
			a, _ := ParseAttempt(id)
			if a.Job == job && !t.State.Ended() {
				runs[a.Index] = true
			}
			if a.Job == job && t.State == infra.TaskDone {
				done[a.Index] = true
			}
		}
	}
	return runs, done
}

// halfGangFor is how long a part of a gang may run alone: until the loss of the
// rest is known (a silent worker's lease) and the Stop has arrived.
const halfGangFor = 40 * time.Second

func (w *pairWorld) checkGangs() {
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if j.Spec.Kind != Gang {
			continue
		}
		runs, done := w.running(id)
		if len(runs) == 0 || len(runs)+len(done) >= j.Spec.Tasks {
			delete(w.halfSince, id)
			continue
		}
		if _, ok := w.halfSince[id]; !ok {
			w.halfSince[id] = w.now
		}
		if w.now-w.halfSince[id] > halfGangFor {
			w.fault("of gang %s only %d of %d tasks run since %s", id, len(runs), j.Spec.Tasks, w.halfSince[id])
		}
	}
}
