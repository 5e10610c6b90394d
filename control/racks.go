package control

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// retainedLeases is the number of lease durations for which a worker is retained after it has
// left the platform's list. Its tasks may run for one; the others allow for a delayed list and
// for an owner that is replaced in the meantime.
const retainedLeases = 3

// rackList holds the workers in the platform's list and those that left it recently.
//
// A rack whose workers all leave the list at once must keep its shard. Without an owner nobody
// would track the leases of the tasks there, the tasks would never be given up, and homes that
// wait for the shard's report would wait forever.
type rackList struct {
	racks map[ownership.Unit]map[string]trackedWorker
}

type trackedWorker struct {
	infra.Worker
	listed bool
	// unlistedAt is when the worker left the list.
	unlistedAt time.Duration
}

func newRackList() *rackList { return &rackList{racks: map[ownership.Unit]map[string]trackedWorker{}} }

// update replaces the list.
func (r *rackList) update(now time.Duration, list []infra.Worker) {
	listedIDs := make(map[string]bool, len(list))
	for _, w := range list {
		u := ownership.ShardUnit(w.Rack)
		if r.racks[u] == nil {
			r.racks[u] = map[string]trackedWorker{}
		}
		listedIDs[w.ID] = true
		r.racks[u][w.ID] = trackedWorker{Worker: w, listed: true}
	}
	for _, rack := range r.racks {
		for id, w := range rack {
			if w.listed && !listedIDs[id] {
				w.listed, w.unlistedAt = false, now
				rack[id] = w
			}
		}
	}
}

// retention is how long the workers of a rack are retained after they have left the list.
func (c *Core) retention(u ownership.Unit) time.Duration {
	return retainedLeases * max(c.cfg.Shard.Lease, c.table.Holder(u).PredecessorLease())
}

// dropUnlisted removes the workers that left the list longer ago than their rack's retention, and
// reports whether there were any.
func (r *rackList) dropUnlisted(now time.Duration, retention func(ownership.Unit) time.Duration) bool {
	dropped := false
	for u, rack := range r.racks {
		after := retention(u)
		for id, w := range rack {
			if !w.listed && now-w.unlistedAt >= after {
				delete(rack, id)
				dropped = true
			}
		}
		if len(rack) == 0 {
			delete(r.racks, u)
		}
	}
	return dropped
}

// listedWorkers returns the listed workers of every rack. A rack whose workers have all left the
// list has an empty entry.
func (r *rackList) listedWorkers() map[ownership.Unit][]infra.Worker {
	racks := map[ownership.Unit][]infra.Worker{}
	for u := range r.racks {
		racks[u] = r.filter(u, func(w trackedWorker) bool { return w.listed })
	}
	return racks
}

// allWorkers returns all workers of a rack, listed or retained.
func (r *rackList) allWorkers(u ownership.Unit) []infra.Worker {
	return r.filter(u, func(trackedWorker) bool { return true })
}

// filter returns the workers of a rack that satisfy a predicate, sorted by ID.
func (r *rackList) filter(u ownership.Unit, keep func(trackedWorker) bool) []infra.Worker {
	var list []infra.Worker
	for _, w := range r.racks[u] {
		if keep(w) {
			list = append(list, w.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
