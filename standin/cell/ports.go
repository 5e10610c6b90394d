package cell

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// The ports that cells use. They lie below the range that Linux gives to
// outgoing connections: a process that is started again would else now and then
// find its port taken by a connection of somebody else.
const (
	firstPort  = 10000
	blockPorts = 128
	blocks     = 160
	blockTries = 200
)

// ClaimBlock returns a listener that holds a block of ports against other cells
// of this machine until it is closed, and addresses of the block.
func ClaimBlock(n int) (net.Listener, []string, error) {
	if n >= blockPorts {
		return nil, nil, errors.Errorf("a cell has at most %d addresses, not %d", blockPorts-1, n)
	}
	for range blockTries {
		base := firstPort + blockPorts*rand.IntN(blocks)
		lock, err := net.Listen("tcp", address(base))
		if err != nil {
			continue
		}
		if addrs, ok := unused(base+1, n); ok {
			return lock, addrs, nil
		}
		_ = lock.Close()
	}
	return nil, nil, errors.New("no free block of ports")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// unused returns n addresses from a port on, false if one of them is in use.
func unused(from, n int) ([]string, bool) {
	addrs := make([]string, 0, n)
	for port := from; port < from+n; port++ {
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			return nil, false
		}
		_ = l.Close()
		addrs = append(addrs, address(port))
	}
	return addrs, true
}
