package control

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// proposeClaims proposes claims for the units that this scheduler should own. A claim in flight
// is not repeated. It does not wait until nothing is in flight: under load some append always
// is, and the units of a failed owner would stay unclaimed.
func (c *Core) proposeClaims(now time.Duration) {
	live := c.members.Live(now)
	// Ranking all units takes milliseconds at 200 members, so it is done only if members, units
	// or owners have changed, or claims are in flight.
	if !c.claimsDue && slices.Equal(live, c.claimedForMembers) {
		return
	}
	claims := ownership.ClaimsToPropose(c.table, c.units, c.self, live)
	c.claimsDue, c.claimedForMembers = len(claims) > 0, live
	for _, claim := range claims {
		if claim.Owner == c.self && !c.canTakeOver(now, claim.Unit) {
			continue
		}
		claim = c.withLeases(now, claim)
		last, ok := c.proposedClaims[claim.Unit]
		if ok && last.claim == claim && now-last.at < claimRetryDelay {
			continue
		}
		c.proposedClaims[claim.Unit] = proposedClaim{claim, now}
		c.propose(now, ownership.KindClaim, claim)
	}
}

type proposedClaim struct {
	claim ownership.Claim
	at    time.Duration
}

// syncOwnership brings the owned shards and homes in line with the ownership table.
func (c *Core) syncOwnership(now time.Duration) {
	c.ownersChanged, c.claimsDue = false, true
	defer c.markAllHomes()
	for _, u := range c.units {
		h := c.table.Holder(u)
		owned := h.Owner == c.self
		if s, ok := c.shards[u]; ok && (!owned || s.Epoch() != h.Epoch) {
			delete(c.shards, u)
		}
		if s, ok := c.homes[u]; ok && (!owned || s.Epoch() != h.Epoch) {
			delete(c.homes, u)
		}
		if !owned {
			continue
		}
		if workers, ok := c.workers[u]; ok {
			c.addShard(now, u, h.Epoch, workers)
		} else if u[0] == 'h' {
			c.addHome(now, u, h.Epoch)
		}
	}
}

func (c *Core) addShard(now time.Duration, u ownership.Unit, epoch infra.Offset, workers []infra.Worker) {
	s, ok := c.shards[u]
	if !ok {
		s = placement.NewShard(u, epoch, c.shardConfig(u))
		c.shards[u] = s
		// A worker that has just left the list may still run tasks that a previous owner
		// started. The new owner must track it until its lease has expired.
		s.SetWorkers(now, c.racks.allWorkers(u))
	}
	s.SetWorkers(now, workers)
	for i := range ownership.HomeSlots {
		home := ownership.HomeUnit(i)
		s.FenceHome(home, c.table.Holder(home).Epoch)
	}
}

// withLeases adds to the claim of a shard what its later owners have to know of leases.
func (c *Core) withLeases(now time.Duration, claim ownership.Claim) ownership.Claim {
	if claim.Unit.IsHome() {
		return claim
	}
	claim.Lease = c.members.Lease(claim.Owner).Milliseconds()
	if s, ok := c.shards[claim.Unit]; ok && s.Epoch() == claim.Base {
		claim.PredecessorsOver = s.PredecessorsOver(now)
	}
	return claim
}

// shardConfig returns the timing of an owned shard. Its claim has stored the longest lease that it may grant.
func (c *Core) shardConfig(u ownership.Unit) placement.ShardConfig {
	cfg, h := c.cfg.Shard, c.table.Holder(u)
	if h.Lease > 0 {
		cfg.Lease = min(cfg.Lease, time.Duration(h.Lease)*time.Millisecond)
	}
	cfg.PredecessorLease = h.PredecessorLease()
	return cfg
}

func (c *Core) addHome(now time.Duration, u ownership.Unit, epoch infra.Offset) {
	if _, ok := c.homes[u]; ok {
		return
	}
	h := placement.NewHome(u, epoch, c.cfg.Home)
	c.updateShards(now, h)
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
		c.pendingHomes[ownership.HomeOf(id)] = true
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

// updateShards informs a home of the shards, their owners and their largest workers.
func (c *Core) updateShards(now time.Duration, h *placement.Home) {
	h.SetShards(c.shardIDs)
	for _, s := range c.shardIDs {
		h.SetOwner(now, s, c.table.Holder(s).Epoch)
		h.SetCapacity(s, largestOf(c.workers[s]))
	}
}

// largestOf returns the maximum capacity of the workers in each dimension.
func largestOf(workers []infra.Worker) infra.Resources {
	var largest infra.Resources
	for _, w := range workers {
		largest = infra.Resources{
			MilliCPU:     max(largest.MilliCPU, w.Capacity.MilliCPU),
			MemoryMiB:    max(largest.MemoryMiB, w.Capacity.MemoryMiB),
			Accelerators: max(largest.Accelerators, w.Capacity.Accelerators),
		}
	}
	return largest
}

// ownerChanged informs the homes of a shard's new owner.
func (c *Core) ownerChanged(now time.Duration, out logstream.Outcome) {
	var claim ownership.Claim
	// The reducer has already decoded the same body.
	_ = json.Unmarshal(out.Record.Body, &claim)
	for _, u := range c.ownedHomes() {
		c.homes[u].SetOwner(now, claim.Unit, out.Offset)
	}
}

// teamChanged passes a team's new settings to the owned homes.
func (c *Core) teamChanged(now time.Duration, out logstream.Outcome) {
	var change settings.Change
	// The reducer has already decoded the same body.
	_ = json.Unmarshal(out.Record.Body, &change)
	v, ok := c.tree.Team(change.Team)
	if !ok {
		return
	}
	for _, u := range c.ownedHomes() {
		c.homes[u].SetTeam(now, change.Team, v.Team)
	}
}

// sweep stops tasks of jobs that have ended. A shard taken over after the end of a job has not
// processed the record of it.
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
	if ev.List.Version == c.workersVersion {
		return
	}
	c.workersVersion = ev.List.Version
	c.workerList = ev.List.Workers
	c.racks.update(now, ev.List.Workers)
	c.rebuildUnits(now)
}

// rebuildUnits brings the units in line with the racks that are listed now or were listed
// recently.
func (c *Core) rebuildUnits(now time.Duration) {
	c.workers = c.racks.listedWorkers()
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
	c.digestExchange.sample = nil
	for _, h := range c.homes {
		c.updateShards(now, h)
	}
	c.syncOwnership(now)
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
