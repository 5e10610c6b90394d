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

// Epochs and times of the product's cores in an experiment.
const (
	homeEpoch   = 1
	shardEpoch  = 2
	firstJob    = 100
	digestEvery = 300 * time.Millisecond
)

// product is the homes and shards of knapweedweir, joined without any network.
type product struct {
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
	// touched are the shards that got messages since they were last stepped.
	touched map[ownership.Unit]bool
	cost    costs
}

// worker answers a shard's requests from what its machine runs.
type worker struct {
	*machine
	reports []*report
}

type report struct {
	infra.TaskReport
	*running
}

// costs are the wall time and memory of the cores' steps.
type costs struct {
	// decisions are the answers to single Places.
	decisions []time.Duration
	// deciding is the time of homes, and of shards with messages of homes; syncing
	// that of shards with their workers, which goes by time and not by starts.
	deciding, syncing, digesting time.Duration
	// given counts the attempts that were given up, by cause.
	given map[placement.Cause]int
	told  map[placement.Attempt]bool
}

func (c *costs) note(m placement.Message) {
	if ch, ok := m.(placement.Changed); ok && ch.State == placement.AttemptLost && !c.told[ch.Attempt] {
		c.told[ch.Attempt] = true
		c.given[ch.Cause]++
	}
}

func newProduct(s *site) *product {
	p := &product{homeOf: map[ownership.Unit]*placement.Home{}, shards: map[ownership.Unit]*placement.Shard{},
		workers: map[string]*worker{}, jobs: map[string]*jobRecord{}, digests: map[ownership.Unit]placement.Digest{}, accepted: firstJob,
		touched: map[ownership.Unit]bool{}, cost: costs{given: map[placement.Cause]int{}, told: map[placement.Attempt]bool{}}}
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
		for _, worth := range []int{1, 5, 10} {
			policy := settings.Policy{Priority: worth, Spread: true, MaxAttempts: 20}
			h.SetTeam(0, team(worth), settings.Team{Policies: map[string]settings.Policy{"batch": policy, "gang": policy,
				"service": {Priority: 50, Spread: true}}})
		}
		p.homes, p.homeOf[u] = append(p.homes, h), h
	}
	return p
}

func team(worth int) string { return fmt.Sprintf("worth-%d", worth) }

func (p *product) name() string { return "knapweedweir" }

func (p *product) arrive(jobs []*jobRecord) {
	for _, j := range jobs {
		p.accepted++
		p.jobs[j.ID] = j
		spec := placement.JobSpec{ID: j.ID, Team: team(j.Worth), Name: j.Name, Kind: j.Kind, Tasks: j.Tasks, Need: j.Need,
			Urgent: j.Urgent, Checkpointable: j.Checkpointable, ExpectedRun: jsonc.Duration(j.Declared)}
		h := p.homeOf[ownership.HomeOf(j.ID)]
		timed(&p.cost.deciding, func() { h.AddJob(p.now, placement.Job{Spec: spec, Accepted: p.accepted, State: placement.JobOpen}) })
	}
}

// step lets the cores act and the workers answer until nothing is left to do.
func (p *product) step(s *site) {
	p.now = s.now
	if p.digestAt == 0 || p.now-p.digestAt >= digestEvery {
		p.digestAt = p.now
		p.tellDigests()
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
	// The product sends a worker its orders right after the message that caused
	// them.
	for len(p.touched) > 0 {
		for _, u := range p.units {
			if p.touched[u] {
				delete(p.touched, u)
				p.stepShard(s, p.shards[u])
			}
		}
	}
}

func (p *product) end(h *placement.Home, id string) {
	timed(&p.cost.deciding, func() {
		h.JobEnded(p.now, id)
		for _, u := range p.units {
			p.shards[u].JobEnded(id)
		}
	})
}

func (p *product) tellDigests() {
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

func (p *product) stepShard(s *site, shard *placement.Shard) {
	for range 8 {
		var orders []placement.SyncOrder
		var msgs []placement.Message
		timed(&p.cost.syncing, func() {
			shard.ConfirmOwner(p.now)
			orders, msgs = shard.Step(p.now)
		})
		p.route(s, msgs)
		for _, o := range orders {
			reply := p.answer(s, o)
			timed(&p.cost.syncing, func() { msgs = shard.Synced(p.now, o.Worker, o.Request, reply, nil) })
			p.route(s, msgs)
		}
		if len(orders) == 0 {
			return
		}
	}
}

// route delivers messages at once. A shard that got one sends its orders.
func (p *product) route(s *site, msgs []placement.Message) {
	for len(msgs) > 0 {
		m := msgs[0]
		msgs = msgs[1:]
		p.cost.note(m)
		var out []placement.Message
		if h, ok := p.homeOf[m.To()]; ok {
			timed(&p.cost.deciding, func() { out = h.Handle(p.now, m) })
		} else if shard, ok := p.shards[m.To()]; ok {
			p.touched[m.To()] = true
			took := timed(&p.cost.deciding, func() { out = shard.Handle(p.now, m) })
			if _, ok := m.(placement.Place); ok {
				p.cost.decisions = append(p.cost.decisions, took)
			}
		}
		msgs = append(msgs, out...)
	}
}

// timed adds the wall time of a call to one of the costs.
func timed(sum *time.Duration, f func()) time.Duration {
	begin := time.Now()
	f()
	took := time.Since(begin)
	*sum += took
	return took
}

// answer carries out a request as docs/PLATFORM.md promises.
func (p *product) answer(s *site, o placement.SyncOrder) infra.SyncReply {
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

func (p *product) start(s *site, w *worker, t infra.Task) {
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

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
