package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/cell"
)

// fault is what a proxy does to connections, including open ones.
type fault int

const (
	noFault        fault = iota
	delays               // data arrives late
	resets               // open and new connections are reset
	stalls               // data is held back in both directions; the connections stay open
	stallsAnswers        // data from the target is held back
	faultCount           // the number of faults that injectFault draws from
	stallsRequests       // data to the target is held back
)

// delay is the delay of data on a slow connection.
const delay = 200 * time.Millisecond

// proxy forwards connections to one address and injects network faults.
type proxy struct {
	target    string
	address   *cell.ReservedAddr // nobody else gets the port while connections are refused
	mu        sync.Mutex
	l         net.Listener // guarded by mu; nil: new connections are refused
	current   fault
	faultEnds chan struct{} // closed when the fault ends
	conns     map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	address, err := cell.ReserveAddr()
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, address: address, faultEnds: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.faultEnds)
	if err := p.listen(); err != nil {
		address.Close()
		return nil, err
	}
	return p, nil
}

func (p *proxy) addr() string { return p.address.Addr }

// refuse ends all connections and refuses new ones, as the address of a process that has ended does.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.l != nil {
		_ = p.l.Close() // nothing else uses it
		p.l = nil
	}
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.l == nil
}

// listen accepts connections again.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.l != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr())
	if err != nil {
		return err
	}
	p.l = l
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(in)
	}
}

// set starts a fault, or ends the current one.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == noFault && f != noFault {
		p.faultEnds = make(chan struct{})
	}
	if p.current != noFault && f == noFault {
		close(p.faultEnds)
	}
	p.current = f
	if f == resets {
		for c := range p.conns {
			abort(c)
		}
	}
}

func (p *proxy) state() (fault, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.faultEnds
}

// abort closes a connection with a reset, as when the peer crashes.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed anyway
	}
	_ = c.Close() // an error of closing has no consequence
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) end(c net.Conn) {
	abort(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) serve(in net.Conn) {
	p.track(in)
	defer p.end(in)
	if f, _ := p.state(); f == resets || p.refuses() {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return // nothing listens there: the caller's connection is reset
	}
	p.track(out)
	defer p.end(out)
	done := make(chan struct{}, 2)
	go func() { p.forward(in, out, false); done <- struct{}{} }()
	go func() { p.forward(out, in, true); done <- struct{}{} }()
	<-done
}

// forward copies data in one direction. Data that a fault holds back arrives when the fault
// ends.
func (p *proxy) forward(from, to net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f, faultEnds := p.state()
			switch {
			case f == delays:
				time.Sleep(delay)
			case f == stalls, f == stallsAnswers && answers, f == stallsRequests && !answers:
				<-faultEnds
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	p.set(noFault)
	p.refuse()
	p.address.Close()
}
