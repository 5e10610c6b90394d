package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Epochs and intervals of the simulated homes and shards.
const (
	homeEpoch      = 1
	shardEpoch     = 2
	firstAccepted  = 100
	digestInterval = 300 * time.Millisecond
)

// schedulerPolicy runs real homes and shards, connected without a network.
type schedulerPolicy struct {
	now      time.Duration
	homes    []*placement.Home
	homeOf   map[ownership.Unit]*placement.Home
	units    []ownership.Unit
	shards   map[ownership.Unit]*placement.Shard
	workers  map[string]*worker
	jobs     map[string]*jobRecord
	accepted infra.Offset
	digestAt time.Duration
	digests  map[ownership.Unit]placement.Digest
	// pendingShards are the shards that have received messages since their last
	// step.
	pendingShards map[ownership.Unit]bool
	cost          costs
}

// worker answers the requests of a shard from the state of its machine.
type worker struct {
	*machine
	reports []*report
}

type report struct {
	infra.TaskReport
	*running
}

// costs is the wall time and the memory used by homes and shards.
type costs struct {
	// decisions are the processing times of single Place messages.
	decisions []time.Duration
	// deciding is the time spent in homes and in handling the homes' messages
	// in shards; syncing is the time shards spend on the exchange with their
	// workers, which depends on elapsed time and not on the number of starts.
	deciding, syncing, digesting time.Duration
	// givenUp counts the attempts that were given up, by cause.
	givenUp map[placement.Cause]int
	counted map[placement.Attempt]bool
}

func (c *costs) record(m placement.Message) {
	if ch, ok := m.(placement.Changed); ok && ch.State == placement.AttemptLost && !c.counted[ch.Attempt] {
		c.counted[ch.Attempt] = true
		c.givenUp[ch.Cause]++
	}
}

func newSchedulerPolicy(s *simulation) *schedulerPolicy {
	p := &schedulerPolicy{homeOf: map[ownership.Unit]*placement.Home{}, shards: map[ownership.Unit]*placement.Shard{},
		workers: map[string]*worker{}, jobs: map[string]*jobRecord{}, digests: map[ownership.Unit]placement.Digest{}, accepted: firstAccepted,
		pendingShards: map[ownership.Unit]bool{}, cost: costs{givenUp: map[placement.Cause]int{}, counted: map[placement.Attempt]bool{}}}
	racks := map[ownership.Unit][]infra.Worker{}
	for _, m := range s.machines {
		u := ownership.ShardUnit(m.Rack)
		if racks[u] == nil {
			p.units = append(p.units, u)
		}
		racks[u] = append(racks[u], m.Worker)
		p.workers[m.ID] = &worker{machine: m}
	}
	for _, u := range p.units {
		p.shards[u] = placement.NewShard(u, shardEpoch, placement.DefaultShardConfig)
		p.shards[u].SetWorkers(0, racks[u])
	}
	for i := range ownership.HomeSlots {
		u := ownership.HomeUnit(i)
		h := placement.NewHome(u, homeEpoch, placement.DefaultHomeConfig)
		h.SetShards(p.units)
		for _, value := range []int{1, 5, 10} {
			policy := settings.Policy{Priority: value, Spread: true, MaxAttempts: 20}
			h.SetTeam(0, team(value), settings.Team{Policies: map[string]settings.Policy{"batch": policy, "gang": policy,
				"service": {Priority: 50, Spread: true}}})
		}
		p.homes, p.homeOf[u] = append(p.homes, h), h
	}
	return p
}

func team(value int) string { return fmt.Sprintf("worth-%d", value) }

func (p *schedulerPolicy) name() string { return "knapweedweir" }

func (p *schedulerPolicy) submit(jobs []*jobRecord) {
	for _, j := range jobs {
		p.accepted++
		p.jobs[j.ID] = j
		spec := placement.JobSpec{ID: j.ID, Team: team(j.Value), Name: j.Name, Kind: j.Kind, Tasks: j.Tasks, Need: j.Need,
			Urgent: j.Urgent, Checkpointable: j.Checkpointable, ExpectedRun: jsonc.Duration(j.DeclaredRun)}
		h := p.homeOf[ownership.HomeOf(j.ID)]
		timed(&p.cost.deciding, func() { h.AddJob(p.now, placement.Job{Spec: spec, Accepted: p.accepted, State: placement.JobOpen}) })
	}
}

// step advances homes, shards and workers until nothing is left to do.
func (p *schedulerPolicy) step(s *simulation) {
	p.now = s.now
	if p.digestAt == 0 || p.now-p.digestAt >= digestInterval {
		p.digestAt = p.now
		p.sendDigests()
	}
	for _, u := range p.units {
		p.stepShard(s, p.shards[u])
	}
	for _, h := range p.homes {
		var msgs []placement.Message
		var ends []placement.End
		timed(&p.cost.deciding, func() { msgs, ends = h.Step(p.now) })
		p.route(s, msgs)
		for _, e := range ends {
			p.end(h, e.ID)
		}
	}
	// A real scheduler sends orders to a worker right after the message that
	// caused them.
	for len(p.pendingShards) > 0 {
		for _, u := range p.units {
			if p.pendingShards[u] {
				delete(p.pendingShards, u)
				p.stepShard(s, p.shards[u])
			}
		}
	}
}

func (p *schedulerPolicy) end(h *placement.Home, id string) {
	timed(&p.cost.deciding, func() {
		h.JobEnded(p.now, id)
		for _, u := range p.units {
			p.shards[u].JobEnded(id)
		}
	})
}

func (p *schedulerPolicy) sendDigests() {
	for _, u := range p.units {
		timed(&p.cost.digesting, func() {
			d := p.shards[u].Digest()
			if d == p.digests[u] {
				return
			}
			p.digests[u] = d
			for _, h := range p.homes {
				h.SetDigest(p.now, d)
			}
		})
	}
}

func (p *schedulerPolicy) stepShard(s *simulation, shard *placement.Shard) {
	for range 8 {
		var orders []placement.SyncOrder
		var msgs []placement.Message
		timed(&p.cost.syncing, func() {
			shard.ConfirmOwner(p.now)
			orders, msgs = shard.Step(p.now)
		})
		p.route(s, msgs)
		for _, o := range orders {
			reply := p.executeSync(s, o)
			timed(&p.cost.syncing, func() { msgs = shard.Synced(p.now, o.Worker, o.Request, reply, nil) })
			p.route(s, msgs)
		}
		if len(orders) == 0 {
			return
		}
	}
}

// route delivers messages immediately and marks the receiving shards, which
// then send their orders.
func (p *schedulerPolicy) route(s *simulation, msgs []placement.Message) {
	for len(msgs) > 0 {
		m := msgs[0]
		msgs = msgs[1:]
		p.cost.record(m)
		var out []placement.Message
		if h, ok := p.homeOf[m.To()]; ok {
			timed(&p.cost.deciding, func() { out = h.Handle(p.now, m) })
		} else if shard, ok := p.shards[m.To()]; ok {
			p.pendingShards[m.To()] = true
			took := timed(&p.cost.deciding, func() { out = shard.Handle(p.now, m) })
			if _, ok := m.(placement.Place); ok {
				p.cost.decisions = append(p.cost.decisions, took)
			}
		}
		msgs = append(msgs, out...)
	}
}

// timed adds the wall time of a call to a sum and returns it.
func timed(sum *time.Duration, f func()) time.Duration {
	begin := time.Now()
	f()
	took := time.Since(begin)
	*sum += took
	return took
}

// executeSync executes a request as specified in docs/PLATFORM.md.
func (p *schedulerPolicy) executeSync(s *simulation, o placement.SyncOrder) infra.SyncReply {
	w := p.workers[o.Worker]
	for _, id := range o.Request.Forgets {
		w.reports = slices.DeleteFunc(w.reports, func(r *report) bool { return r.Task.ID == id && r.State.Ended() })
	}
	for _, r := range s.ended(w.machine) {
		w.endReport(r)
	}
	for _, id := range o.Request.Stops {
		for _, r := range w.reports {
			if r.Task.ID == id && !r.State.Ended() {
				s.stop(w.machine, r.running)
				r.State, r.RunTime = infra.TaskStopped, (s.now - r.started).Milliseconds()
			}
		}
	}
	if o.Request.AsOf > 0 {
		for _, t := range o.Request.Starts {
			p.start(s, w, t)
		}
	}
	reply := infra.SyncReply{Token: o.Request.Token, Reading: s.now.Milliseconds() + 1}
	for _, r := range w.reports {
		if !r.State.Ended() {
			r.RunTime = (s.now - r.started).Milliseconds()
		}
		reply.Tasks = append(reply.Tasks, r.TaskReport)
	}
	return reply
}

func (p *schedulerPolicy) start(s *simulation, w *worker, t infra.Task) {
	for _, r := range w.reports {
		if r.Task.ID == t.ID {
			return
		}
	}
	a, err := placement.ParseAttempt(t.ID)
	if err != nil {
		return
	}
	r := &report{TaskReport: infra.TaskReport{Task: t, State: infra.TaskRunning, Usage: t.Need}}
	r.running = s.start(w.machine, p.jobs[a.Job].tasks[a.Index])
	w.reports = append(w.reports, r)
}

func (w *worker) endReport(done *running) {
	for _, r := range w.reports {
		if r.running == done {
			r.State, r.RunTime = infra.TaskDone, (done.ends - done.started).Milliseconds()
			if done.fails {
				r.State, r.Reason = infra.TaskFailed, "the task exited with an error"
			}
		}
	}
}

// heap returns the heap size in bytes after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
