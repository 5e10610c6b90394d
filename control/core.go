// Package control combines the state machines of one scheduler: the view of the log, membership,
// ownership, the job homes and the worker shards. Core is deterministic and without I/O: the
// same events at the same times give the same actions.
package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// Core is the control state of one scheduler.
type Core struct {
	cfg            Config
	self           string
	view           *logstream.View
	follower       *logstream.Follower
	schedule       *logstream.Schedule
	tree           *settings.Tree
	table          *ownership.Table
	registry       *placement.Registry
	claims         *dispatch.Claims
	committer      *logstream.Committer
	members        *membership.Core
	prober         *logProber
	digestExchange *digestExchange
	shards         map[ownership.Unit]*placement.Shard
	homes          map[ownership.Unit]*placement.Home

	workers        map[ownership.Unit][]infra.Worker
	units          []ownership.Unit
	shardIDs       []ownership.Unit
	racks          *rackList
	workerList     []infra.Worker
	workersVersion uint64
	instances      []infra.Instance
	addrs          map[string]string
	digests        map[ownership.Unit]placement.Digest

	tickets           map[uint64]api.Question
	nextTicket        uint64
	health            *logstream.Health
	ready             bool
	storingSnapshot   bool
	fetchedAt         time.Duration
	fetching          bool
	startedAt         time.Duration
	started           bool
	claimedAt         time.Duration
	proposedClaims    map[ownership.Unit]proposedClaim
	buffered          map[ownership.Unit]*messageBuffer
	claimedForMembers []string
	takeovers         map[ownership.Unit]takeoverCount
	claimsDue         bool
	// ownersChanged is set if the owned shards and homes may differ from the ownership table.
	// pendingHomes are the homes that have new input to act on.
	ownersChanged bool
	pendingHomes  map[ownership.Unit]bool
	digestsSentAt time.Duration
	sweptAt       time.Duration
	version       uint64
	outbox        map[string]*api.Envelope
	actions       []Action
}

// ownTicketBit is set in the tickets of proposals that the core makes itself.
const ownTicketBit = 1 << 63

// New returns a scheduler that has read nothing yet.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, self: membership.Member(cfg.ID, cfg.Incarnation),
		tree: settings.NewTree(), table: ownership.NewTable(), registry: placement.NewRegistry(), claims: dispatch.NewClaims(),
		committer: logstream.NewCommitter(cfg.Committer),
		members:   membership.New(withLease(cfg)),
		shards:    map[ownership.Unit]*placement.Shard{}, homes: map[ownership.Unit]*placement.Home{},
		workers: map[ownership.Unit][]infra.Worker{}, racks: newRackList(), addrs: map[string]string{},
		digests: map[ownership.Unit]placement.Digest{}, tickets: map[uint64]api.Question{}, nextTicket: ownTicketBit}
	c.buffered = map[ownership.Unit]*messageBuffer{}
	c.takeovers = map[ownership.Unit]takeoverCount{}
	c.proposedClaims, c.pendingHomes = map[ownership.Unit]proposedClaim{}, map[ownership.Unit]bool{}
	c.prober, c.digestExchange = &logProber{self: cfg.ID}, newDigestExchange()
	c.view = logstream.NewView(c.tree, c.table, c.registry, c.claims)
	c.follower, c.schedule = logstream.NewFollower(c.view), logstream.NewSchedule(cfg.Schedule)
	c.health = logstream.NewHealth(cfg.LogHealth)
	// Versions start above those of earlier incarnations: an entry that asks for changes since a
	// version of an earlier incarnation must get the complete state.
	c.version = cfg.Incarnation
	for i := range ownership.HomeSlots {
		c.units = append(c.units, ownership.HomeUnit(i))
	}
	return c
}

// Step handles one event and returns the actions to perform.
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
		c.handleEnvelope(now, ev.Envelope)
	case Asked:
		// The log may have become unavailable since the last tick. A request accepted now would
		// be answered "in doubt" seconds later instead of being rejected at once.
		c.resolve(c.committer.SetDown(c.LogDown(now)))
		c.handleQuestion(now, ev)
	case Leave:
		c.members.Leave()
		c.claimedAt = 0
	}
	c.deliverBuffered(now)
	c.stepPendingHomes(now)
	c.commit(now)
	c.flush()
	return c.actions
}

func (c *Core) tick(now time.Duration) {
	down := c.LogDown(now)
	c.resolve(c.committer.SetDown(down))
	// An owner that must not renew leases can't keep its units. If its peers are told so, they
	// take them over before the leases expire.
	c.members.SetEligible(now, c.prober.canRenewLeases(now))
	c.sendPackets(c.members.Step(now))
	if !down && c.follower.CaughtUp() && c.members.StartupComplete(now) && now-c.claimedAt >= claimInterval {
		c.claimedAt = now
		c.proposeClaims(now)
	}
	c.committer.SetInstances(now, max(len(c.members.Live(now)), c.listedSchedulers()))
	c.snapshotIfDue(now, down)
	c.fetchStatesIfNeeded(now, down)
	c.probeLog(now)
	if now-c.digestsSentAt >= c.cfg.DigestInterval {
		c.digestsSentAt = now
		c.publishDigests(now)
		c.subscribe(now)
	}
	if now-c.sweptAt >= c.cfg.SweepInterval {
		c.sweptAt = now
		if c.racks.dropUnlisted(now, c.retention) {
			c.rebuildUnits(now)
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

// stepShard sends orders to a shard's workers, unless this scheduler may have been replaced
// without knowing it.
func (c *Core) stepShard(now time.Duration, s *placement.Shard) {
	if !c.prober.canRenewLeases(now) {
		return
	}
	orders, msgs := s.Step(now)
	for _, l := range s.TakeLeasesOver() {
		c.actions = append(c.actions, LogLeaseOver{l})
	}
	for _, o := range orders {
		c.actions = append(c.actions, SyncWorker{Order: o})
	}
	c.route(now, msgs)
}

// maxHomeRounds bounds the rounds in which homes and shards of this scheduler answer each other
// within one step.
const maxHomeRounds = 4

// stepPendingHomes steps the homes that got new input in this step.
func (c *Core) stepPendingHomes(now time.Duration) {
	for range maxHomeRounds {
		if len(c.pendingHomes) == 0 {
			return
		}
		list := sortedUnits(c.pendingHomes)
		clear(c.pendingHomes)
		for _, u := range list {
			if h, ok := c.homes[u]; ok {
				c.stepHome(now, h)
			}
		}
	}
}

func (c *Core) markAllHomes() {
	for u := range c.homes {
		c.pendingHomes[u] = true
	}
}

func (c *Core) stepHome(now time.Duration, h *placement.Home) {
	msgs, ends := h.Step(now)
	c.route(now, msgs)
	for _, e := range ends {
		c.propose(now, placement.KindEnd, e)
	}
}
