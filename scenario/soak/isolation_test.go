package soak

import (
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// newLinks returns proxies that forward nothing.
func newLinks(t *testing.T, count int) (list []*proxy) {
	t.Helper()
	for range count {
		p, err := newProxy("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(p.close)
		list = append(list, p)
	}
	return list
}

// newUnstartedRun returns a run with two instances, which haven't been started, and three workers.
func newUnstartedRun(t *testing.T) *run {
	t.Helper()
	r := &run{world: machines.New(1), peerAddrs: []string{"127.0.0.1:1", "127.0.0.1:2"}}
	r.wire = wirestand.New(r.world)
	t.Cleanup(r.close)
	for n := range 3 {
		r.addWorker(n)
	}
	for _, addr := range r.peerAddrs {
		a, err := r.newAccess(addr, addr)
		assert.NilError(t, err)
		i := &instance{access: a, store: newLinks(t, 1)[0], callers: newLinks(t, 1)[0]}
		i.config.Peers = addr
		r.instances = append(r.instances, i)
	}
	return r
}

// Guards against partitions that leave a successor's links to workers alone, since it hadn't read the list of workers before.
func TestLinksToWorkersExistBeforeAnInstanceOwnsAPool(t *testing.T) {
	r := newUnstartedRun(t)
	r.openLinks()
	for _, i := range r.instances {
		for _, id := range r.world.Workers() {
			assert.Assert(t, i.access.workers[id] != nil, "%s to %s", i.config.Peers, id)
		}
		assert.Assert(t, is.Len(i.access.peers, 1))
	}
}

// Guards against a successor that reaches workers by its predecessor's links: an owner stores where it has reached workers.
func TestOwnersRecordsLeadToTheReadersLinks(t *testing.T) {
	r := newUnstartedRun(t)
	r.openLinks()
	owner, reader := r.instances[0].access, r.instances[1].access
	stored := func(a *access) []byte {
		return []byte(`[{"id":"w1","addr":"` + a.wire.WorkerAddr("w1") + `"},{"id":"w2","addr":"127.0.0.1:3"}]`)
	}
	assert.Equal(t, string(reader.wire.Rewrite(pool.Record{Key: "workers", Value: stored(owner)}).Value), string(stored(reader)))
	assert.Equal(t, string(owner.wire.Rewrite(pool.Record{Key: "workers", Value: stored(owner)}).Value), string(stored(owner)))
}
