package soak

import (
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// seeds are the seeds of TestSoak: a short one, those that once found a fault, and one in
// which all instances are restarted in turn.
var seeds = []Options{
	{Seed: 1, Instances: 3, Workers: 6, FaultTime: 8 * time.Second},
	// A process that had just been started was terminated by SIGHUP, before it had subscribed
	// to the signal.
	{Seed: 115, Instances: 3, Workers: 6, FaultTime: 8 * time.Second},
	// An instance that had just started denied accepted jobs: it took pages read over 4 s for
	// the complete store, and none of the instances that it asked knew the owner.
	{Seed: 804, Instances: 12, Workers: 10, FaultTime: 20 * time.Second},
}

// Processes of the real program are killed, stopped, paused, partitioned, reconfigured and
// restarted, one at a time and in turn, while callers submit jobs and query them at every
// instance over persistent connections. Guards against any violated guarantee, an instance
// that denies a job later than 3 s after its acceptance, and an accepted job that doesn't
// end after the faults.
func TestSoak(t *testing.T) { runSeeds(t, seeds) }

// Guards against a process that is terminated by SIGHUP although the kernel has shown that it
// handles the signal.
func TestSoakWithHangupsOfProcessesThatHaveJustBegun(t *testing.T) {
	runSeeds(t, []Options{
		{Seed: 13, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, EarlySIGHUP: true},
		{Seed: 16, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, EarlySIGHUP: true},
	})
}

// Guards against a process that ends when SIGHUP arrives as soon as it handles the signal.
func TestSoakWithHangupsOfEachProcess(t *testing.T) {
	runSeeds(t, []Options{
		{Seed: 13, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, SIGHUPEach: true},
		{Seed: 16, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, SIGHUPEach: true},
	})
}

// Guards against a request that is stored and run twice while its queue moves between services.
func TestSoakWithQueuesThatMove(t *testing.T) {
	runSeeds(t, []Options{{Seed: 100, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, Moves: true}})
}

// Guards against violated guarantees while tasks crash their workers, workers start again under their
// IDs, racks lose power and capacity shrinks.
func TestSoakWithCrashingTasks(t *testing.T) {
	runSeeds(t, []Options{
		{Seed: 2, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, Crashes: true},
		{Seed: 3, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, Crashes: true},
	})
}

// Guards against an organisation that exceeds its cap, and against keys that no configuration in force
// contains, while processes and the store have faults.
func TestSoakWithOrganisations(t *testing.T) {
	runSeeds(t, []Options{
		{Seed: 20, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, Organisations: true},
		{Seed: 21, Instances: 5, Workers: 10, FaultTime: 25 * time.Second, Organisations: true, Crashes: true},
	})
}

// Guards against records and appends beyond the store's limits, and against acting on the first 500 ends of a
// worker, while processes are killed and workers crash.
func TestSoakWithLargeJobs(t *testing.T) {
	runSeeds(t, []Options{{Seed: 30, Instances: 3, Workers: 10, FaultTime: 15 * time.Second, LargeJobs: true}})
}

// Guards against an occurrence that runs twice or not at all while its pool is handed over, and against accepted jobs
// that stop while configurations lack their queue or service.
func TestSoakWithRepeatedJobs(t *testing.T) {
	runSeeds(t, []Options{{Seed: 40, Instances: 5, Workers: 10, FaultTime: 15 * time.Second, RepeatedJobs: true, Removals: true}})
}

// Guards against a task that runs twice since an owner that a partition cuts off from the store, together with most
// instances, goes on granting leases beside its successor.
func TestSoakWithPartitionsAroundMostInstances(t *testing.T) {
	runSeeds(t, []Options{{Seed: 7001, Instances: 9, Workers: 48, FaultTime: 40 * time.Second, Partitions: MajorityPartitions}})
}

// Guards against a start without an answer that is forgotten as its owner is lost, and against instances that give a wrong number
// of waiting jobs while the owner is silent.
func TestSoakWithForgottenStarts(t *testing.T) {
	runSeeds(t, []Options{{Seed: 81, Instances: 5, Workers: 12, FaultTime: 40 * time.Second, ForgottenStarts: true}})
}

// slots bounds the soaks that run at a time; one after another they take nearly the time that go test allows a package.
var slots = make(chan struct{}, 2)

func runSeeds(t *testing.T, seeds []Options) {
	t.Helper()
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "kw-node")
	out, err := exec.Command("go", "build", "-o", binary, Program).CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, o := range seeds {
		t.Run(strconv.FormatUint(o.Seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			o.Binary, o.Dir, o.RecoveryTime = binary, t.TempDir(), time.Minute
			report, err := Run(context.Background(), o)
			assert.NilError(t, err)
			assert.Assert(t, report.Accepted > 0)
			for _, f := range report.Findings {
				t.Errorf("seed %d: %s", o.Seed, f)
			}
			if t.Failed() {
				t.Log(report.Faults)
			}
		})
	}
}

// echo starts a server that echoes what it receives, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }() // until either side ends
		}
	}()
	return l.Addr().String()
}

// Guards against links to a process that has ended which accept connections, so that others don't see that it is gone, and
// against links that stay closed after it is back.
func TestProxyRefusesConnectionsUntilItsTargetIsBack(t *testing.T) {
	p, err := newProxy(echo(t))
	assert.NilError(t, err)
	defer p.close()
	c, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	p.refuse()
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is broken")
	_, err = net.Dial("tcp", p.addr())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.NilError(t, p.listen())
	assert.NilError(t, p.listen(), "it listens already")
	c, err = net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte{7})
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err)
}

// Guards against another socket that gets the port of a link to a process that has ended: the link can't accept connections
// when the process is back.
func TestPortOfProxyThatRefusesConnectionsStaysReserved(t *testing.T) {
	p, err := newProxy(echo(t))
	assert.NilError(t, err)
	defer p.close()
	p.refuse()
	local, err := net.ResolveTCPAddr("tcp", p.addr())
	assert.NilError(t, err)
	c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", p.target)
	if err == nil {
		assert.NilError(t, c.Close())
	}
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
}

// Guards against seeds of which none has workers that grant longer leases than owners ask for, and against a setting that
// has no effect.
func TestSeedsSelectTheLongestLease(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		r := &run{Options: Options{Seed: seed}, world: machines.New(seed)}
		r.drawBounds()
		seen[r.world.Bounds.MaxLease] = true
		r.LongestLeases = []time.Duration{7 * time.Second}
		r.drawBounds()
		assert.Equal(t, r.world.Bounds.MaxLease, 7*time.Second)
	}
	assert.DeepEqual(t, seen, map[time.Duration]bool{6 * time.Second: true, 10 * time.Second: true})
}

// Guards against a proxy that injects no fault, or a weaker one: the soak test would then
// show nothing.
func TestProxyHarmsOpenConnections(t *testing.T) {
	p, err := newProxy(echo(t))
	assert.NilError(t, err)
	defer p.close()
	c, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	one := make([]byte, 1)
	ask := func() error {
		if _, err := c.Write([]byte{7}); err != nil {
			return err
		}
		_, err := io.ReadFull(c, one)
		return err
	}
	assert.NilError(t, ask())
	for _, f := range []fault{stalls, stallsAnswers, stallsRequests} {
		p.set(f)
		answered := make(chan error, 1)
		go func() { answered <- ask() }()
		select {
		case <-answered:
			t.Fatalf("fault %d lets answers through", f)
		case <-time.After(50 * time.Millisecond):
		}
		p.set(noFault)
		assert.NilError(t, <-answered, "data that was held back arrives after fault %d", f)
	}
	p.set(resets)
	assert.Assert(t, ask() != nil, "the connection is broken")
}
