package cell

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// The ports that cells use. They lie below the range that Linux gives to
// outgoing connections by default.
const (
	firstPort  = 10000
	blockPorts = 128
	blocks     = 160
	blockTries = 200
)

// Block holds a block of ports against other cells of this machine, and against connections
// and listeners that would get one of them from the kernel, until it is closed.
type Block struct {
	// Addrs are addresses of the block on which processes can listen.
	Addrs []string
	lock  net.Listener
	held  []int
}

// ClaimBlock returns a block of n addresses.
func ClaimBlock(n int) (*Block, error) {
	if n >= blockPorts {
		return nil, errors.Errorf("a cell has at most %d addresses, not %d", blockPorts-1, n)
	}
	for range blockTries {
		base := firstPort + blockPorts*rand.IntN(blocks)
		lock, err := net.Listen("tcp", address(base))
		if err != nil {
			continue
		}
		b := &Block{lock: lock}
		if b.hold(base+1, n) {
			return b, nil
		}
		b.Close()
	}
	return nil, errors.New("no free block of ports")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// hold holds n ports, and reports whether all of them were free.
func (b *Block) hold(from, n int) bool {
	for port := from; port < from+n; port++ {
		fd, err := holdPort(port)
		if err != nil {
			return false
		}
		b.held = append(b.held, fd)
		b.Addrs = append(b.Addrs, address(port))
	}
	return true
}

// holdPort binds a socket that doesn't listen. Beside it a listener can still be bound, as
// those of Go allow it, but the kernel gives the port to nobody.
func holdPort(port int) (fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
	}
	if err != nil {
		_ = syscall.Close(fd) // it held nothing
		return 0, err
	}
	return fd, nil
}

// Close gives the ports back.
func (b *Block) Close() {
	for _, fd := range b.held {
		_ = syscall.Close(fd) // it only kept others away
	}
	b.held = nil
	_ = b.lock.Close()
}
