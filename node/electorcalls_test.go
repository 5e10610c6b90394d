package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// electorCost is what the instances spend on owners' records and on calls to electors.
type electorCost struct {
	Confirms, NoteClaims, CallBytes int // requests, and the bytes of requests and replies
	Dials                           int // of all instances, for whatever call
	Records, RecordBytes, Largest   int
}

// costCounter counts the calls to electors and the owners' records of all instances.
type costCounter struct {
	mu    sync.Mutex
	total electorCost
}

// take returns the cost since the last call.
func (c *costCounter) take() electorCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.total
	c.total = electorCost{}
	return t
}

func (c *costCounter) countDial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Dials++
}

func (c *costCounter) countCalls(data []byte, request bool) {
	confirms, noteClaims := bytes.Count(data, []byte("Peer.Confirm")), bytes.Count(data, []byte("Peer.NoteClaim"))
	if confirms+noteClaims == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.CallBytes += len(data)
	if request {
		c.total.Confirms += confirms
		c.total.NoteClaims += noteClaims
	}
}

// countingConn counts the calls of the instance that dialled.
type countingConn struct {
	net.Conn
	counter *costCounter
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	c.counter.countCalls(b, true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.countCalls(b[:n], false)
	return n, err
}

// countingStore counts the owners' records.
type countingStore struct {
	node.Store
	counter *costCounter
}

// Append implements node.Store.
func (s countingStore) Append(ctx context.Context, to node.Topic, records []pool.Record, writer *node.Writer) (int64, error) {
	s.counter.mu.Lock()
	for _, r := range records {
		if r.Key == pool.OwnerKey {
			s.counter.total.Records++
			s.counter.total.RecordBytes += len(r.Value)
			s.counter.total.Largest = max(s.counter.total.Largest, len(r.Value))
		}
	}
	s.counter.mu.Unlock()
	return s.Store.Append(ctx, to, records, writer)
}

// newCountedCluster returns a cluster whose calls to electors and owners' records are counted, 30 s after its start.
func newCountedCluster(t *testing.T, instances int) (*cluster, *costCounter) {
	c, counter := newCluster(t, 1, false), &costCounter{}
	c.storeAndDialer = func(m *member) (node.Store, node.Dialer) {
		dial := c.world.DialFrom(m.name)
		return countingStore{m.view, counter}, func(addr string, timeout time.Duration) (net.Conn, error) {
			counter.countDial()
			conn, err := dial(addr, timeout)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, counter}, nil
		}
	}
	for n := range instances {
		c.join(fmt.Sprintf("m%03d", n), 1)
	}
	c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
	time.Sleep(30 * time.Second)
	counter.take()
	return c, counter
}

const (
	costPeriod = 10 * time.Second
	// maxElectorBytes bounds an elector in a record: a name of four bytes, and the times at which a process and a voter
	// life began, in nanoseconds.
	maxElectorBytes = 64
	maxClaimBytes   = 128
)

// assertBounded checks what an owner spends at most by the design, with the given number of predecessors.
func (e electorCost) assertBounded(t *testing.T, former int) {
	t.Helper()
	rounds := int(costPeriod/node.HeartbeatInterval) + 1
	assert.Assert(t, e.Confirms <= rounds*(node.MaxElectors-1), "%+v", e)
	assert.Assert(t, e.NoteClaims <= former*rounds*node.MaxElectors, "%+v", e)
	assert.Assert(t, e.Largest <= (1+former)*(maxClaimBytes+node.MaxElectors*maxElectorBytes), "%+v", e)
}

// Guards against calls to electors, and owners' records, that grow with the number of instances, and against calls while
// the store confirms the owner.
func TestCostOfElectorsDoesNotGrowWithTheCluster(t *testing.T) {
	for _, instances := range []int{9, 44, 147} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, counter := newCountedCluster(t, instances)
				defer c.close()
				measure := func(what string) electorCost {
					time.Sleep(costPeriod)
					cost := counter.take()
					t.Logf("%d instances, %s: %+v", instances, what, cost)
					return cost
				}
				calm := measure("calm")
				assert.Equal(t, calm.Confirms+calm.NoteClaims, 0)
				calm.assertBounded(t, 0)
				c.setStoreFault(machines.StoreSilent)
				measure("store away").assertBounded(t, 0)
				c.setStoreFault(machines.StoreUp)
				time.Sleep(30 * time.Second)
				counter.take()
				c.kill(c.owner())
				takeover := measure("takeover")
				assert.Assert(t, takeover.NoteClaims > 0)
				takeover.assertBounded(t, 1)
			})
		})
	}
}

// Guards against calls that grow with the number of instances while a new owner waits for a former one.
func TestCostOfWaitingForAPredecessorDoesNotGrowWithTheCluster(t *testing.T) {
	for _, instances := range []int{9, 44, 147} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, counter := newCountedCluster(t, instances)
				defer c.close()
				owner := c.owner()
				inside := []string{owner}
				for _, name := range c.names() {
					if name != owner && len(inside) < (2*instances+2)/3 {
						inside = append(inside, name)
					}
				}
				owned, over := c.countEvents("pool.owned"), c.countEvents("pool.predecessor_over")
				c.split(inside, nil, true)
				time.Sleep(costPeriod)
				counter.take()
				assert.Assert(t, c.countEvents("pool.owned") > owned, "nobody has taken the pool over")
				time.Sleep(costPeriod)
				cost := counter.take()
				t.Logf("%d instances, partition: %+v", instances, cost)
				assert.Equal(t, c.countEvents("pool.predecessor_over"), over)
				cost.assertBounded(t, 1)
			})
		})
	}
}
