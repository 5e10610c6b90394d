package node_test

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// outOfFiles is a listener that has no file descriptor for its first connections.
type outOfFiles struct {
	net.Listener
	failures int
}

func (l *outOfFiles) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Resource exhaustion: guards against an instance that ends, with all pools that it owns, because it
// had no file descriptor for one connection.
func TestServeOutlivesALackOfFileDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a")
		defer c.close()
		l := c.world.Listen("out-of-files")
		ended := make(chan error, 1)
		go func() { ended <- c.members["a"].node.Serve(&outOfFiles{Listener: l, failures: 3}) }()
		time.Sleep(time.Second)
		conn, err := c.world.Dial("out-of-files", time.Second)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		assert.NilError(t, l.Close())
		assert.ErrorIs(t, <-ended, net.ErrClosed)
	})
}
