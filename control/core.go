// Package control joins the decision cores of one scheduler: the log's view,
// membership, ownership, the job homes and the worker shards. Core is a step
// machine without I/O: the same events at the same times give the same actions.
package control

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/settings"
)

// Service names of our own processes in the platform's instance list.
const (
	SchedService = "kw-sched"
	EntryService = "kw-entry"
)

// Config is the timing of a scheduler.
type Config struct {
	ID          string
	Incarnation uint64
	Members     membership.Config
	// LogHealth says when the log is taken for unavailable and proposals are
	// turned away.
	LogHealth   logstream.HealthConfig
	DigestEvery time.Duration
	SweepEvery  time.Duration
	Shard       placement.ShardConfig
	Home        placement.HomeConfig
	Committer   logstream.CommitterConfig
	Schedule    logstream.ScheduleConfig
	// Peers are addresses of schedulers to ask for their state when the log is
	// down at the start, besides those in the platform's list.
	Peers []string
}

// DefaultLogAppends is how many appends a second all instances together make at
// most; the platform takes several hundred.
const DefaultLogAppends = 300

// DefaultConfig returns the timing for a cell on one site.
func DefaultConfig(id string, incarnation uint64) Config {
	return Config{
		ID: id, Incarnation: incarnation,
		Members:     membership.DefaultConfig(id, incarnation),
		LogHealth:   logstream.HealthConfig{FailFor: 250 * time.Millisecond, SilentFor: 3 * time.Second},
		DigestEvery: 300 * time.Millisecond, SweepEvery: 5 * time.Second,
		Shard: placement.DefaultShardConfig, Home: placement.DefaultHomeConfig,
		Committer: logstream.CommitterConfig{Writer: id, Incarnation: incarnation, MaxBatch: 200,
			MinInterval: 20 * time.Millisecond, RetryAfter: time.Second, GiveUp: 4 * time.Second, Budget: DefaultLogAppends},
		Schedule: logstream.ScheduleConfig{Every: 15 * time.Minute, Records: 20000, Grace: 10 * time.Second},
	}
}

const (
	// claimEvery is the time between two rounds of claims.
	claimEvery = 300 * time.Millisecond
	// claimAgain is when a claim that brought no ruling is made once more.
	claimAgain = 2 * time.Second
)

// Core is one scheduler's control state.
type Core struct {
	cfg       Config
	self      string
	view      *logstream.View
	follower  *logstream.Follower
	schedule  *logstream.Schedule
	tree      *settings.Tree
	table     *ownership.Table
	registry  *placement.Registry
	claims    *dispatch.Claims
	committer *logstream.Committer
	members   *membership.Core
	panel     *panel
	flow      *digestFlow
	shards    map[ownership.Unit]*placement.Shard
	homes     map[ownership.Unit]*placement.Home

	workers   map[ownership.Unit][]platform.Worker
	units     []ownership.Unit
	shardIDs  []ownership.Unit
	racks     *rackList
	largest   []platform.Worker
	listedAt  uint64
	instances []platform.Instance
	addrs     map[string]string
	digests   map[ownership.Unit]placement.Digest

	tickets    map[uint64]api.Question
	nextTicket uint64
	health     *logstream.Health
	ready      bool
	writing    bool
	fetchedAt  time.Duration
	fetching   bool
	startedAt  time.Duration
	started    bool
	claimedAt  time.Duration
	claimed    map[ownership.Unit]proposedClaim
	parked     map[ownership.Unit]*parking
	claimedFor []string
	moves      map[ownership.Unit]moves
	claimsDue  bool
	// ownersChanged means that the owned shards and homes may differ from the
	// table's. touched are the homes that have something new to act on.
	ownersChanged bool
	touched       map[ownership.Unit]bool
	digestAt      time.Duration
	sweptAt       time.Duration
	version       uint64
	outbox        map[string]*api.Envelope
	actions       []Action
}

// ownTickets marks tickets of proposals that this core makes by itself.
const ownTickets = 1 << 63

// New returns a scheduler that has read nothing yet.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, self: membership.Member(cfg.ID, cfg.Incarnation),
		tree: settings.NewTree(), table: ownership.NewTable(), registry: placement.NewRegistry(), claims: dispatch.NewClaims(),
		committer: logstream.NewCommitter(cfg.Committer),
		members:   membership.New(cfg.Members),
		shards:    map[ownership.Unit]*placement.Shard{}, homes: map[ownership.Unit]*placement.Home{},
		workers: map[ownership.Unit][]platform.Worker{}, racks: newRackList(), addrs: map[string]string{},
		digests: map[ownership.Unit]placement.Digest{}, tickets: map[uint64]api.Question{}, nextTicket: ownTickets}
	c.parked = map[ownership.Unit]*parking{}
	c.moves = map[ownership.Unit]moves{}
	c.claimed, c.touched = map[ownership.Unit]proposedClaim{}, map[ownership.Unit]bool{}
	c.panel, c.flow = &panel{self: cfg.ID}, newDigestFlow()
	c.view = logstream.NewView(c.tree, c.table, c.registry, c.claims)
	c.follower, c.schedule = logstream.NewFollower(c.view), logstream.NewSchedule(cfg.Schedule)
	c.health = logstream.NewHealth(cfg.LogHealth)
	// Versions start beyond those of earlier lives: an entry that asks for what
	// is newer than a version of an earlier life must get the whole state.
	c.version = cfg.Incarnation
	for i := range ownership.HomeSlots {
		c.units = append(c.units, ownership.HomeUnit(i))
	}
	return c
}

// Step takes in one event and returns what has to be done.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions, c.outbox = nil, map[string]*api.Envelope{}
	if !c.started {
		c.started, c.startedAt = true, now
	}
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case LogRead:
		c.logRead(now, ev)
	case AppendDone:
		c.appendDone(now, ev)
	case SnapshotStored:
		c.snapshotStored(now, ev)
	case PeerStates:
		c.peerStates(now, ev)
	case InstancesListed:
		c.instancesListed(now, ev)
	case WorkersListed:
		c.workersListed(now, ev)
	case WorkerSynced:
		if s, ok := c.shards[ev.Order.Shard]; ok {
			c.route(now, s.Synced(now, ev.Order.Worker, ev.Order.Request, ev.Reply, ev.Err))
			c.stepShard(now, s)
		}
	case Delivered:
		c.delivered(now, ev.Envelope)
	case Asked:
		// The log may have been lost since the last tick; a question taken in
		// now would be answered "in doubt" seconds later instead of at once.
		c.resolve(c.committer.SetDown(c.LogDown(now)))
		c.asked(now, ev)
	case LeaveNow:
		c.members.Leave()
		c.claimedAt = 0
	}
	c.unpark(now)
	c.stepTouched(now)
	c.commit(now)
	c.flush()
	return c.actions
}

func (c *Core) tick(now time.Duration) {
	down := c.LogDown(now)
	c.resolve(c.committer.SetDown(down))
	// An owner that must not renew leases can't keep its units either: told so,
	// its peers take them over before the leases lapse.
	c.members.SetFit(now, c.panel.mayRenew(now))
	c.sendPackets(c.members.Step(now))
	if !down && c.follower.CaughtUp() && c.members.Settled(now) && now-c.claimedAt >= claimEvery {
		c.claimedAt = now
		c.proposeClaims(now)
	}
	c.committer.SetInstances(now, max(len(c.members.Live(now)), c.listedSchedulers()))
	c.snapshotIfDue(now, down)
	c.fetchIfCutOff(now, down)
	c.askPanel(now)
	if now-c.digestAt >= c.cfg.DigestEvery {
		c.digestAt = now
		c.tellDigests(now)
		c.subscribe(now)
	}
	if now-c.sweptAt >= c.cfg.SweepEvery {
		c.sweptAt = now
		if c.racks.forget(now, rememberLeases*c.cfg.Shard.Lease) {
			c.layOutShards(now)
		}
		c.sweep()
	}
	for _, u := range c.ownedShards() {
		c.stepShard(now, c.shards[u])
	}
	for _, u := range c.ownedHomes() {
		c.stepHome(now, c.homes[u])
	}
}

// stepShard sends orders to a shard's workers, unless this scheduler may have
// been replaced without having heard of it.
func (c *Core) stepShard(now time.Duration, s *placement.Shard) {
	if !c.panel.mayRenew(now) {
		return
	}
	orders, msgs := s.Step(now)
	for _, o := range orders {
		c.actions = append(c.actions, SyncWorker{Order: o})
	}
	c.route(now, msgs)
}

// maxTouchRounds bounds the rounds in which homes and shards of this scheduler
// answer each other within one step.
const maxTouchRounds = 4

// stepTouched lets the homes act on what this step brought them.
func (c *Core) stepTouched(now time.Duration) {
	for range maxTouchRounds {
		if len(c.touched) == 0 {
			return
		}
		list := sortedUnits(c.touched)
		clear(c.touched)
		for _, u := range list {
			if h, ok := c.homes[u]; ok {
				c.stepHome(now, h)
			}
		}
	}
}

func (c *Core) touchHomes() {
	for u := range c.homes {
		c.touched[u] = true
	}
}

func (c *Core) stepHome(now time.Duration, h *placement.Home) {
	msgs, ends := h.Step(now)
	c.route(now, msgs)
	for _, e := range ends {
		c.propose(now, placement.KindEnd, e)
	}
}

// proposeClaims claims what this scheduler should own. A claim that is on its way
// is not repeated: under load there is always some append in flight, so waiting
// for none would keep a dead owner's units unclaimed.
func (c *Core) proposeClaims(now time.Duration) {
	live := c.members.Live(now)
	// At 200 members ranking every unit costs milliseconds, so it is done only
	// when members, units or owners have changed, or claims are on their way.
	if !c.claimsDue && slices.Equal(live, c.claimedFor) {
		return
	}
	wanted := ownership.Wanted(c.table, c.units, c.self, live)
	c.claimsDue, c.claimedFor = len(wanted) > 0, live
	for _, claim := range wanted {
		if claim.Owner == c.self && !c.mayTake(now, claim.Unit) {
			continue
		}
		last, ok := c.claimed[claim.Unit]
		if ok && last.claim == claim && now-last.at < claimAgain {
			continue
		}
		c.claimed[claim.Unit] = proposedClaim{claim, now}
		c.propose(now, ownership.KindClaim, claim)
	}
}

type proposedClaim struct {
	claim ownership.Claim
	at    time.Duration
}

// takeOver brings the owned shards and homes in line with the table.
func (c *Core) takeOver(now time.Duration) {
	c.ownersChanged, c.claimsDue = false, true
	defer c.touchHomes()
	for _, u := range c.units {
		h := c.table.Holder(u)
		mine := h.Owner == c.self
		if s, ok := c.shards[u]; ok && (!mine || s.Epoch() != h.Epoch) {
			delete(c.shards, u)
		}
		if s, ok := c.homes[u]; ok && (!mine || s.Epoch() != h.Epoch) {
			delete(c.homes, u)
		}
		if !mine {
			continue
		}
		if workers, ok := c.workers[u]; ok {
			c.takeShard(now, u, h.Epoch, workers)
		} else if u[0] == 'h' {
			c.takeHome(now, u, h.Epoch)
		}
	}
}

func (c *Core) takeShard(now time.Duration, u ownership.Unit, epoch platform.Offset, workers []platform.Worker) {
	s, ok := c.shards[u]
	if !ok {
		s = placement.NewShard(u, epoch, c.cfg.Shard)
		c.shards[u] = s
		// A worker that has just left the list may still run what a predecessor
		// started there; the new owner has to count it until its lease is over.
		s.SetWorkers(now, c.racks.remembered(u))
	}
	s.SetWorkers(now, workers)
	for i := range ownership.HomeSlots {
		home := ownership.HomeUnit(i)
		s.FenceHome(home, c.table.Holder(home).Epoch)
	}
}

func (c *Core) takeHome(now time.Duration, u ownership.Unit, epoch platform.Offset) {
	if _, ok := c.homes[u]; ok {
		return
	}
	h := placement.NewHome(u, epoch, c.cfg.Home)
	c.tellShards(now, h)
	for _, u := range sortedUnits(c.digests) {
		h.SetDigest(now, c.digests[u])
	}
	for _, name := range c.tree.Teams() {
		v, _ := c.tree.Team(name)
		h.SetTeam(now, name, v.Team)
	}
	for _, j := range c.openJobs(u) {
		h.AddJob(now, j)
	}
	c.homes[u] = h
}

func (c *Core) jobAccepted(now time.Duration, out logstream.Outcome) {
	id := jobID(out.Record)
	if h, ok := c.homes[ownership.HomeOf(id)]; ok {
		j, _ := c.registry.Job(id)
		h.AddJob(now, j)
		c.touched[ownership.HomeOf(id)] = true
	}
}

func (c *Core) jobEnded(now time.Duration, out logstream.Outcome) {
	id := jobID(out.Record)
	if h, ok := c.homes[ownership.HomeOf(id)]; ok {
		h.JobEnded(now, id)
	}
	for _, u := range c.ownedShards() {
		c.shards[u].JobEnded(id)
	}
}

// tellShards tells a home which shards there are and who owns them.
func (c *Core) tellShards(now time.Duration, h *placement.Home) {
	h.SetShards(c.shardIDs)
	for _, s := range c.shardIDs {
		h.SetOwner(now, s, c.table.Holder(s).Epoch)
		h.SetCapacity(s, largestOf(c.workers[s]))
	}
}

// largestOf is the capacity of the largest worker in each dimension.
func largestOf(workers []platform.Worker) platform.Resources {
	var largest platform.Resources
	for _, w := range workers {
		largest = platform.Resources{
			MilliCPU:     max(largest.MilliCPU, w.Capacity.MilliCPU),
			MemoryMiB:    max(largest.MemoryMiB, w.Capacity.MemoryMiB),
			Accelerators: max(largest.Accelerators, w.Capacity.Accelerators),
		}
	}
	return largest
}

// ownerChanged tells the homes of a shard's new owner.
func (c *Core) ownerChanged(now time.Duration, out logstream.Outcome) {
	var claim ownership.Claim
	// The reducer has decoded the same body before.
	_ = json.Unmarshal(out.Record.Body, &claim)
	for _, u := range c.ownedHomes() {
		c.homes[u].SetOwner(now, claim.Unit, out.Offset)
	}
}

// teamChanged brings a team's new settings to the homes of its jobs.
func (c *Core) teamChanged(now time.Duration, out logstream.Outcome) {
	var change settings.Change
	// The reducer has decoded the same body before.
	_ = json.Unmarshal(out.Record.Body, &change)
	v, ok := c.tree.Team(change.Team)
	if !ok {
		return
	}
	for _, u := range c.ownedHomes() {
		c.homes[u].SetTeam(now, change.Team, v.Team)
	}
}

// sweep stops tasks whose job has ended: a shard taken over after the job's end
// has not seen that record go by.
func (c *Core) sweep() {
	for _, u := range c.ownedShards() {
		s := c.shards[u]
		for _, id := range s.Jobs() {
			if j, ok := c.registry.Job(id); ok && j.State != placement.JobOpen {
				s.JobEnded(id)
			}
		}
	}
}

func (c *Core) instancesListed(now time.Duration, ev InstancesListed) {
	if !slices.Equal(c.instances, ev.Instances) {
		c.instances = ev.Instances
		c.version++
	}
	var ids []string
	for _, i := range ev.Instances {
		if i.Service == SchedService {
			ids = append(ids, i.ID)
			c.addrs[i.ID] = i.Addr
		}
	}
	c.members.SetListed(now, ids)
}

func (c *Core) workersListed(now time.Duration, ev WorkersListed) {
	if ev.List.Version == c.listedAt {
		return
	}
	c.listedAt = ev.List.Version
	c.largest = ev.List.Workers
	c.racks.take(now, ev.List.Workers)
	c.layOutShards(now)
}

// layOutShards brings the units in line with the racks that are listed, or were
// until a short time ago.
func (c *Core) layOutShards(now time.Duration) {
	c.workers = c.racks.listed()
	c.shardIDs, c.units = nil, nil
	for u := range c.workers {
		c.shardIDs = append(c.shardIDs, u)
	}
	sort.Slice(c.shardIDs, func(i, j int) bool { return c.shardIDs[i] < c.shardIDs[j] })
	for i := range ownership.HomeSlots {
		c.units = append(c.units, ownership.HomeUnit(i))
	}
	c.units = append(c.units, c.shardIDs...)
	for _, u := range c.ownedShards() {
		if _, ok := c.workers[u]; !ok {
			delete(c.shards, u)
		}
	}
	c.flow.sample = nil
	for _, h := range c.homes {
		c.tellShards(now, h)
	}
	c.takeOver(now)
}

func (c *Core) ownedShards() []ownership.Unit { return sortedUnits(c.shards) }
func (c *Core) ownedHomes() []ownership.Unit  { return sortedUnits(c.homes) }

func sortedUnits[V any](m map[ownership.Unit]V) []ownership.Unit {
	units := make([]ownership.Unit, 0, len(m))
	for u := range m {
		units = append(units, u)
	}
	sort.Slice(units, func(i, j int) bool { return units[i] < units[j] })
	return units
}
