package node_test

import (
	"context"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// ownerHeartbeat is the maximum time between two records that an owner stores.
const ownerHeartbeat = 300 * time.Millisecond

// grindingPool holds the pool of the workers' service.
var grindingPool = node.Topic{Name: "keyed.pools", Part: grindingPart}

// heldStore is the store of one instance. It can hold the newest records of a pool until they are
// released, and store the instance's claims late.
type heldStore struct {
	node.Store
	mu sync.Mutex
	// followedAt is when the instance's follower last read a record.
	followedAt time.Time
	// claimDelay is the delay of claims.
	claimDelay time.Duration
	// released is closed when newest records may arrive; nil: they aren't held.
	released chan struct{}
	// holding is set once newest records are held.
	holding bool
}

// Newest implements node.Store.
func (s *heldStore) Newest(ctx context.Context, from node.Topic, after string) ([]node.Stored, bool, int64, error) {
	page, more, end, err := s.Store.Newest(ctx, from, after)
	if from != grindingPool || err != nil {
		return page, more, end, err
	}
	s.mu.Lock()
	released := s.released
	s.holding = released != nil
	s.mu.Unlock()
	if released == nil {
		return page, more, end, nil
	}
	select {
	case <-released:
		return page, more, end, nil
	case <-ctx.Done():
		return nil, false, 0, node.ErrInDoubt
	}
}

// Read implements node.Store.
func (s *heldStore) Read(ctx context.Context, from node.Topic, offset int64, wait time.Duration) ([]node.Stored, int64, error) {
	page, end, err := s.Store.Read(ctx, from, offset, wait)
	if from == grindingPool && wait > 0 && len(page) > 0 { // only the follower's reads wait
		s.mu.Lock()
		defer s.mu.Unlock()
		s.followedAt = time.Now()
	}
	return page, end, err
}

// Append implements node.Store.
func (s *heldStore) Append(ctx context.Context, to node.Topic, records []pool.Record, writer *node.Writer) (int64, error) {
	if to == grindingPool && slices.ContainsFunc(records, func(r pool.Record) bool { return r.Key == pool.OwnerKey }) {
		s.mu.Lock()
		delay := s.claimDelay
		s.mu.Unlock()
		time.Sleep(delay)
	}
	return s.Store.Append(ctx, to, records, writer)
}

// hold holds newest records from now on, and returns a function that releases them.
func (s *heldStore) hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := make(chan struct{})
	s.released = released
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.released = nil
		close(released)
	})
}

// delayClaims delays the instance's claims from now on.
func (s *heldStore) delayClaims(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimDelay = delay
}

// waitForFollower waits until the instance's follower reads a record.
func (s *heldStore) waitForFollower(t *testing.T) {
	start := time.Now()
	waitUntil(t, "a read of the follower", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.followedAt.After(start)
	})
}

// waitUntilHolding waits until newest records are held.
func (s *heldStore) waitUntilHolding(t *testing.T) {
	waitUntil(t, "a read of the newest records", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.holding
	})
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	const limit = 5 * time.Second
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < limit, "not within %v: %s", limit, what)
	}
}

// storeDirectly makes an instance store a job without the pool's owner.
func (c *cluster) storeDirectly(j pool.Job, at *member) {
	j.Queue, j.Service, j.AcceptedMs = queueName, machines.Service, time.Now().UnixMilli()
	conn, err := c.world.Dial(at.name, time.Second)
	assert.NilError(c.t, err)
	peer := rpc.NewClient(conn)
	defer peer.Close()
	c.world.Referee.Submitted(j, 3)
	args := node.StoreArgs{Part: grindingPart, Record: pool.Record{Key: pool.JobKey(j.ID), Value: pool.Encode(j)}, Hold: time.Second}
	assert.NilError(c.t, peer.Call("Peer.Store", args, &node.Empty{}))
	c.world.Referee.Answered(j.ID, true, false)
}

// staleNewestCluster is a cluster in which one instance is about to receive stale newest records.
type staleNewestCluster struct {
	*cluster
	former *member // owns the pool at first
	// next is the next owner, the only other instance with a copy of the pool. Its copy is ahead of
	// its follower, whose position has been trimmed, and the newest records that the follower has
	// asked for are held by its store.
	next    *member
	store   *heldStore
	release func()
	// without is an instance without a copy.
	without *member
}

// newStaleNewestCluster returns a cluster without workers. The given function is called once the
// follower of the next owner has just read the stream.
func newStaleNewestCluster(t *testing.T, followed func(owner *member)) *staleNewestCluster {
	c := &staleNewestCluster{cluster: newCluster(t, 1, false)}
	stores := map[string]*heldStore{}
	c.copies = 2
	c.storeAndDialer = func(m *member) (node.Store, node.Dialer) {
		stores[m.name] = &heldStore{Store: m.view}
		return stores[m.name], c.world.Dial
	}
	for _, name := range []string{"a", "b", "c"} {
		c.join(name, 1)
	}
	time.Sleep(15 * time.Second)
	c.former = c.members[c.owner()]
	with, without := c.copyHolders()
	with = slices.DeleteFunc(with, func(m *member) bool { return m.name == c.former.name })
	assert.Assert(t, len(with) == 1 && len(without) == 1)
	c.next, c.store, c.without = with[0], stores[with[0].name], without[0]

	c.store.waitForFollower(t)
	followed(c.former)
	c.release = c.store.hold()
	c.cleanups = append(c.cleanups, c.release)
	c.storeDirectly(shortJob(jobID(1)), c.next)
	c.world.DropHistory()
	c.store.waitUntilHolding(t)
	return c
}

// lookUpAfterRelease releases the newest records, and looks a job up at the instance that receives
// them and at the one without a copy, for 5 s. A worker that can run the job joins afterwards.
func (c *staleNewestCluster) lookUpAfterRelease(job string) {
	c.release()
	time.Sleep(lookupInterval)
	stale := c.logs.linesContaining(`"stale":true`)
	assert.Assert(c.t, strings.Contains(stale, `"copy.reset"`) && strings.Contains(stale, `"id":"`+c.next.name+`"`), "the newest records were not stale")

	notFound := map[string]int{}
	for n := range 100 {
		for _, m := range []*member{c.next, c.without} {
			if _, v := c.state(job, m); v == node.NoSuchJob {
				notFound[m.name]++
			}
		}
		if n == 0 {
			c.world.AddWorker(pool.Resources{CPU: 8000, Mem: 8000}, "x", "r1")
		}
		time.Sleep(lookupInterval)
	}
	assert.Check(c.t, len(notFound) == 0, "lookups of an accepted job answered \"no such job\", by instance: %v; %s received stale newest records", notFound, c.next.name)
	state, v := c.state(job, c.next)
	assert.Check(c.t, v == node.Accepted && state == pool.Completed, "5 s later: %v, %q", v, state)
	c.check()
}

// Guards against an accepted job that is reported as nonexistent and never runs, because its next
// owner receives older newest records after it has read the job for its claim.
func TestAcceptedJobIsFoundAfterStaleNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStaleNewestCluster(t, func(*member) {})
		defer c.close()
		job := shortJob(jobID(2))
		assert.Assert(t, c.submit(job, func() *member { return c.former }))
		// A heartbeat of the former owner precedes the claim, so the new owner doesn't load its core
		// before its follower has read up to the claim.
		c.store.delayClaims(2 * ownerHeartbeat)
		c.former.node.Stop(c.ctx)
		waitUntil(t, "the claim", func() bool { return c.poolOf(c.next).Owned })
		c.kill(c.former.name)
		c.lookUpAfterRelease(job.ID)
	})
}

// Guards against an accepted job that is reported as nonexistent by the instance that stored it
// without the owner, because this instance receives older newest records afterwards.
func TestJobStoredWithoutTheOwnerIsFoundAfterStaleNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStaleNewestCluster(t, func(owner *member) { owner.view.SetStore(machines.StoreSilent) })
		defer c.close()
		job := shortJob(jobID(2))
		c.storeDirectly(job, c.next)
		c.former.view.SetStore(machines.StoreUp)
		c.lookUpAfterRelease(job.ID)
	})
}
