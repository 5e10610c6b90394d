package node_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// poolOf returns the pool of the workers' service from an instance's dump, decoded from JSON as its
// readers do.
func (c *cluster) poolOf(m *member) node.PoolDump {
	c.t.Helper()
	data, err := json.Marshal(m.node.Dump(c.ctx))
	assert.NilError(c.t, err)
	var d node.Dump
	assert.NilError(c.t, json.Unmarshal(data, &d))
	for _, p := range d.Pools {
		if p.Pool == grindingPart {
			assert.Equal(c.t, p.Error, "")
			return p
		}
	}
	c.t.Fatalf("no pool %d in the dump of %s", grindingPart, m.name)
	return node.PoolDump{}
}

// waitUntilRefusing waits until the owner's dump shows that its queue refuses jobs for lack of
// capacity.
func (c *cluster) waitUntilRefusing(owner *member) node.PoolDump {
	c.t.Helper()
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		if p := c.poolOf(owner); p.Queues[0].RefusesNewest && p.Queues[0].Bottleneck == pool.CapacityBottleneck {
			return p
		}
	}
	c.t.Fatal("the queue doesn't refuse jobs")
	return node.PoolDump{}
}

// During an overload an operator dumps the state of the instances. The owner's dump must show that
// the queue refuses jobs, which resource is scarce, when callers should retry, and the reasons of
// the newest refusals as in the log. The others name the owner.
func TestDumpShowsAdmissionStateAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallCluster(t, false)
		defer c.close()
		owner := c.members[c.owner()]
		before := c.poolOf(owner)
		assert.Assert(t, before.Owned && before.Unjudged == "" && len(before.Refusals) == 0)
		assert.Assert(t, !before.Queues[0].RefusesNewest)
		loadDone := make(chan struct{})
		go func() { defer close(loadDone); c.generateLoad(0, 8*time.Second, 12*time.Millisecond) }()
		defer func() { <-loadDone }() // before the cluster is closed
		p := c.waitUntilRefusing(owner)
		q := p.Queues[0]
		assert.Equal(t, q.Queue, queueName)
		assert.Assert(t, q.NewestJob.RetryAfterMillis >= 1000, "%+v", q)
		assert.Assert(t, q.WorkAhead.Cores > q.CapacityRate.Cores && q.CapacityRate.Cores > 0, "%+v", q)
		assert.Assert(t, len(p.Refusals) > 0)
		for _, r := range p.Refusals {
			line := c.logs.linesContaining(`"job":"` + r.Job + `","queue":"` + r.Queue + `","scarce":"` + string(r.Bottleneck) + `"`)
			assert.Assert(t, strings.Contains(line, "job.refused"), "refusal %+v is not in the log", r)
		}
		other := c.poolOf(c.other(owner.name))
		assert.Assert(t, !other.Owned && other.AdmissionReport == nil)
		assert.Equal(t, other.Owner, owner.name)
		assert.Equal(t, other.Epoch, p.Epoch)
	})
}

// An owner that has lost the store accepts all jobs, and its dump must show why it refuses none.
func TestDumpSaysWhyNoJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallCluster(t, false)
		defer c.close()
		owner := c.members[c.owner()]
		for _, m := range c.up() {
			m.view.SetStore(machines.StoreBusy)
		}
		time.Sleep(1200 * time.Millisecond)
		p := c.poolOf(owner)
		assert.Assert(t, p.Owned && strings.Contains(p.Unjudged, "newest read of the store is older than"), "%+v", p)
	})
}

// The pool goroutines of an instance that has ended don't answer. Its dump must report this instead
// of blocking.
func TestDumpOfAnInstanceThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallCluster(t, false)
		defer c.close()
		m := c.members[c.owner()]
		c.kill(m.name)
		time.Sleep(time.Second)
		d := m.node.Dump(c.ctx)
		assert.Assert(t, strings.Contains(d.Pools[0].Error, "no answer"), "%+v", d)
	})
}

// Guards against tasks that wait for a predecessor without a word of it: the log and the new owner's dump must say which
// instances may still confirm that one.
func TestDumpAndLogShowPredecessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSplitCluster(t, 9)
		defer c.close()
		owner := c.owner()
		before := c.poolOf(c.members[owner])
		assert.Equal(t, len(before.Electors), 9)
		assert.Equal(t, len(before.Predecessors), 0)
		inside := []string{owner}
		for _, name := range c.names() {
			if name != owner && len(inside) < 6 {
				inside = append(inside, name)
			}
		}
		c.split(inside, nil, true)
		time.Sleep(20 * time.Second)
		var during node.PoolDump
		for _, m := range c.up() {
			if !slices.Contains(inside, m.name) && m.node.OwnsAny() {
				during = c.poolOf(m)
			}
		}
		assert.Equal(t, len(during.Predecessors), 1, "%+v", during)
		former := during.Predecessors[0]
		assert.Equal(t, former.Owner, owner)
		assert.Equal(t, former.Epoch, before.Epoch)
		assert.DeepEqual(t, former.Electors, before.Electors)
		lines := strings.Split(c.logs.linesContaining("pool.predecessor_pending"), "\n")
		var pending struct{ Missing []string }
		assert.NilError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &pending))
		slices.Sort(inside)
		slices.Sort(pending.Missing)
		assert.DeepEqual(t, pending.Missing, inside)
		c.split(inside, nil, false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(c.poolOf(c.members[c.owner()]).Predecessors), 0)
	})
}
