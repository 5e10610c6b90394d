package control

import (
	"sort"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// rememberLeases is how many leases a worker is remembered after it has left the
// platform's list. One is what its tasks may run on; the others are for a list
// that lags and for an owner that is replaced meanwhile.
const rememberLeases = 3

// rackList is the workers that the platform lists, and those that have left its
// list a short time ago.
//
// A rack whose workers all leave the list at once must keep its shard: without an
// owner nobody would count the leases of the tasks there, they would never be
// given up, and homes that wait for the shard's word would wait for good.
type rackList struct {
	racks map[ownership.Unit]map[string]listedWorker
}

type listedWorker struct {
	infra.Worker
	listed bool
	// leftAt is when the worker left the list.
	leftAt time.Duration
}

func newRackList() *rackList { return &rackList{racks: map[ownership.Unit]map[string]listedWorker{}} }

// take takes over a new list.
func (r *rackList) take(now time.Duration, list []infra.Worker) {
	on := make(map[string]bool, len(list))
	for _, w := range list {
		u := ownership.ShardUnit(w.Rack)
		if r.racks[u] == nil {
			r.racks[u] = map[string]listedWorker{}
		}
		on[w.ID] = true
		r.racks[u][w.ID] = listedWorker{Worker: w, listed: true}
	}
	for _, rack := range r.racks {
		for id, w := range rack {
			if w.listed && !on[id] {
				w.listed, w.leftAt = false, now
				rack[id] = w
			}
		}
	}
}

// forget drops the workers that left the list longer ago than the given time, and
// reports whether there were any.
func (r *rackList) forget(now, after time.Duration) bool {
	dropped := false
	for u, rack := range r.racks {
		for id, w := range rack {
			if !w.listed && now-w.leftAt >= after {
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

// listed returns the listed workers of every rack. A rack whose workers have all
// left the list has an empty entry.
func (r *rackList) listed() map[ownership.Unit][]infra.Worker {
	racks := map[ownership.Unit][]infra.Worker{}
	for u := range r.racks {
		racks[u] = r.pick(u, func(w listedWorker) bool { return w.listed })
	}
	return racks
}

// remembered returns all workers of a rack, listed or not.
func (r *rackList) remembered(u ownership.Unit) []infra.Worker {
	return r.pick(u, func(listedWorker) bool { return true })
}

// pick returns the workers of a rack that the test holds for, by ID.
func (r *rackList) pick(u ownership.Unit, holds func(listedWorker) bool) []infra.Worker {
	var list []infra.Worker
	for _, w := range r.racks[u] {
		if holds(w) {
			list = append(list, w.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
