package soak

import (
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds are played in each run of the tests: a short one, those that once found something,
// and one in which all instances are restarted in turn.
var seeds = []Options{
	{Seed: 1, Instances: 3, Workers: 6, Trouble: 8 * time.Second},
	// A process that had just been started was ended by SIGHUP, which it had not asked
	// for yet.
	{Seed: 115, Instances: 3, Workers: 6, Trouble: 8 * time.Second},
	// An instance that had just come up denied accepted jobs: it took pages that it had
	// read for 4 s for all that was stored, and nobody it asked knew the owner.
	{Seed: 804, Instances: 12, Workers: 10, Trouble: 20 * time.Second},
}

// Processes of the real program are killed, stopped, paused, cut off, configured and
// started again, one by one and in turn, while callers hand jobs in and ask for them at
// every instance over connections that they keep. Whatever happens, no promise is broken,
// no instance denies a job from 3 s after its acceptance on, and all that was accepted
// ends once the trouble is over.
func TestSoak(t *testing.T) { playSeeds(t, seeds) }

// Guards against a process that SIGHUP ends though the kernel has shown that it takes the signal.
func TestSoakWithHangupsOfProcessesThatHaveJustBegun(t *testing.T) {
	playSeeds(t, []Options{
		{Seed: 13, Instances: 5, Workers: 10, Trouble: 15 * time.Second, EarlyHangups: true},
		{Seed: 16, Instances: 5, Workers: 10, Trouble: 15 * time.Second, EarlyHangups: true},
	})
}

// Guards against a process that ends when it is hung up at the first moment at which it takes the signal.
func TestSoakWithHangupsOfEachProcess(t *testing.T) {
	playSeeds(t, []Options{
		{Seed: 13, Instances: 5, Workers: 10, Trouble: 15 * time.Second, HangupsOfEach: true},
		{Seed: 16, Instances: 5, Workers: 10, Trouble: 15 * time.Second, HangupsOfEach: true},
	})
}

// Guards against a request that is stored and run twice while its queue moves between services.
func TestSoakWithQueuesThatMove(t *testing.T) {
	playSeeds(t, []Options{{Seed: 100, Instances: 5, Workers: 10, Trouble: 15 * time.Second, Moves: true}})
}

func playSeeds(t *testing.T, seeds []Options) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "kw-node")
	out, err := exec.Command("go", "build", "-o", binary, Program).CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, o := range seeds {
		o.Binary, o.Dir, o.Calm = binary, t.TempDir(), time.Minute
		report, err := Run(context.Background(), o)
		assert.NilError(t, err)
		assert.Assert(t, report.Accepted > 0)
		for _, f := range report.Findings {
			t.Errorf("seed %d: %s", o.Seed, f)
		}
		if t.Failed() {
			t.Log(report.Faults)
		}
	}
}

// echo answers each byte with the same byte.
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

// A proxy that does no harm, or less than it says, makes the soak prove nothing.
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
	for _, f := range []fault{silent, oneWay} {
		p.set(f)
		answered := make(chan error, 1)
		go func() { answered <- ask() }()
		select {
		case <-answered:
			t.Fatalf("fault %d lets answers through", f)
		case <-time.After(50 * time.Millisecond):
		}
		p.set(passes)
		assert.NilError(t, <-answered, "what was held up arrives after fault %d", f)
	}
	p.set(resets)
	assert.Assert(t, ask() != nil, "the connection is broken")
}
