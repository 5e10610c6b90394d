package node_test

import (
	"context"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Peer simulates an instance that answers queries about jobs late and others at once.
type Peer struct {
	delay time.Duration
	state node.StateReply
	count node.PendingReply
}

// State answers after the delay.
func (p *Peer) State(_ node.StateArgs, r *node.StateReply) error {
	time.Sleep(p.delay)
	*r = p.state
	return nil
}

// Pending answers after the delay.
func (p *Peer) Pending(_ node.PendingArgs, r *node.PendingReply) error {
	time.Sleep(p.delay)
	*r = p.count
	return nil
}

// Life answers at once.
func (p *Peer) Life(_ node.Empty, r *node.LifeReply) error {
	r.Life = 1
	return nil
}

// Watch answers after 10 s.
func (p *Peer) Watch(_ node.Empty, _ *node.Empty) error {
	time.Sleep(10 * time.Second)
	return nil
}

func (c *cluster) addStubPeer(name string, p *Peer) {
	l := c.world.Listen(name)
	server := rpc.NewServer()
	assert.NilError(c.t, server.RegisterName("Peer", p))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	c.cleanups = append(c.cleanups, func() { _ = l.Close() })
	entry := []byte(`{"addr":"` + name + `","life":1,"power":1}`)
	_, err := c.world.View("writer").Append(c.ctx, node.Topic{Name: "keyed.instances"}, []pool.Record{{Key: name, Value: entry}}, nil)
	assert.NilError(c.t, err)
}

// A pool's former owner answers a query 20 ms after the caller has given it up and queried the next
// instance, which has no pending jobs and knows no such job. The late answer must not be taken for
// the next instance's.
func TestLateCountIsNotTakenForTheNextPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.close()
		defer c.simulateFormerOwner()()
		count, sure := c.members["x"].node.Pending(c.ctx, pool.Queue{Name: queueName, Service: machines.Service})
		assert.Assert(t, sure)
		assert.Equal(t, count, 0)
	})
}

// Like TestLateCountIsNotTakenForTheNextPeersAnswer, for a job's state.
func TestLateStateIsNotTakenForTheNextPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.close()
		defer c.simulateFormerOwner()()
		state, v := c.members["x"].node.State(c.ctx, machines.Service, jobID(1))
		assert.Equal(t, v, node.NoSuchJob, "shown as %q", state)
	})
}

// simulateFormerOwner lets an instance x take a peer that answers late for the pool's owner. The
// returned function ends that.
func (c *cluster) simulateFormerOwner() func() {
	c.addStubPeer("former", &Peer{delay: 520 * time.Millisecond, count: node.PendingReply{Count: 7},
		state: node.StateReply{State: pool.Running, Found: true}})
	c.addStubPeer("owner", &Peer{delay: 100 * time.Millisecond})
	writer := c.world.View("writer")
	claim := []pool.Record{{Key: pool.OwnerKey, Value: []byte(`{"node":"former","addr":"former","life":1,"epoch":65536,"gen":1}`)}}
	_, err := writer.Append(c.ctx, grindingPool, claim, nil)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(c.ctx)
	go func() {
		for ctx.Err() == nil {
			_, _ = writer.Append(ctx, grindingPool, claim, nil) // fails only when ctx ends
			time.Sleep(300 * time.Millisecond)
		}
	}()
	c.join("x", 1)
	time.Sleep(3 * time.Second)
	return cancel
}
