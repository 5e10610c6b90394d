package cell

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Ports for cells, below the range from which Linux takes the ports of outgoing
// connections by default.
const (
	firstPort     = 10000
	blockPorts    = 128
	blocks        = 160
	maxClaimTries = 200
)

// Block reserves a block of ports until it is closed: against other cells on this machine,
// and against connections and listeners to which the kernel would assign one of the ports.
type Block struct {
	// Addrs are the addresses of the block on which processes can listen.
	Addrs    []string
	lock     net.Listener
	reserved []int
}

// ClaimBlock reserves a block of n addresses.
func ClaimBlock(n int) (*Block, error) {
	if n >= blockPorts {
		return nil, errors.Errorf("a cell has at most %d addresses, not %d", blockPorts-1, n)
	}
	for range maxClaimTries {
		base := firstPort + blockPorts*rand.IntN(blocks)
		lock, err := net.Listen("tcp", address(base))
		if err != nil {
			continue
		}
		b := &Block{lock: lock}
		if b.reserve(base+1, n) {
			return b, nil
		}
		b.Close()
	}
	return nil, errors.New("no free block of ports")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// reserve reserves n ports. It returns false if one of them is in use.
func (b *Block) reserve(from, n int) bool {
	for port := from; port < from+n; port++ {
		fd, err := reservePort(port)
		if err != nil {
			return false
		}
		b.reserved = append(b.reserved, fd)
		b.Addrs = append(b.Addrs, address(port))
	}
	return true
}

// ReservedAddr is a free address that is reserved as the ports of a Block are, until it is closed.
type ReservedAddr struct {
	Addr string
	fd   int
}

// ReserveAddr reserves an address whose port the kernel assigns.
func ReserveAddr() (*ReservedAddr, error) {
	fd, err := reservePort(0)
	if err != nil {
		return nil, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		_ = syscall.Close(fd) // the port was not reserved
		return nil, os.NewSyscallError("getsockname", err)
	}
	return &ReservedAddr{address(bound.(*syscall.SockaddrInet4).Port), fd}, nil
}

// Close releases the address. It may be called once.
func (r *ReservedAddr) Close() { _ = syscall.Close(r.fd) } // the socket only reserved the port

// reservePort binds a socket without listening. A listener with SO_REUSEADDR, which Go
// sets, can still be bound to the port, but the kernel assigns the port to nobody else.
func reservePort(port int) (fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
	}
	if err != nil {
		_ = syscall.Close(fd) // the port was not reserved
		return 0, err
	}
	return fd, nil
}

// Close releases the ports.
func (b *Block) Close() {
	for _, fd := range b.reserved {
		_ = syscall.Close(fd) // the socket only reserved the port
	}
	b.reserved = nil
	_ = b.lock.Close()
}
