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

// failedOnce are seeds that once found something, each with its cause.
var failedOnce = map[uint64]string{
	115: "a process that had just been started was ended by SIGHUP, which it had not asked for yet",
}

// Processes of the real program are killed, stopped, paused, cut off and started
// again while callers hand jobs in. Whatever happens, no promise is broken, and all
// that was accepted ends once the trouble is over.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "kw-node")
	out, err := exec.Command("go", "build", "-o", binary, Program).CombinedOutput()
	assert.NilError(t, err, string(out))
	seeds := []uint64{1}
	for seed := range failedOnce {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		report, err := Run(context.Background(), Options{Binary: binary, Dir: t.TempDir(), Seed: seed, Instances: 3, Workers: 6,
			Trouble: 8 * time.Second, Calm: time.Minute})
		assert.NilError(t, err)
		assert.Assert(t, report.Accepted > 0)
		for _, f := range report.Findings {
			t.Errorf("seed %d: %s", seed, f)
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
