package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a proxy does to connections, open ones included.
type fault int

const (
	passes fault = iota
	delays       // each piece arrives late
	resets       // open connections break, new ones too
	silent       // nothing arrives either way; nobody is told
	oneWay       // answers don't arrive
	faults       // how many there are
)

// delay is how late a piece is on a slow connection.
const delay = 200 * time.Millisecond

// proxy passes connections on to one address, and harms them from outside.
type proxy struct {
	target string
	l      net.Listener
	mu     sync.Mutex
	now    fault
	healed chan struct{} // closed when the fault ends
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, l: l, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.healed)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(in)
	}
}

// set begins a fault, or ends the one under way.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == passes && f != passes {
		p.healed = make(chan struct{})
	}
	if p.now != passes && f == passes {
		close(p.healed)
	}
	p.now = f
	if f == resets {
		for c := range p.conns {
			abort(c)
		}
	}
}

func (p *proxy) state() (fault, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now, p.healed
}

// abort closes a connection with a reset, as a crashed peer's does.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed all the same
	}
	_ = c.Close() // nobody is left to be told
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
	if f, _ := p.state(); f == resets {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return // nobody listens there: the caller's connection breaks
	}
	p.track(out)
	defer p.end(out)
	done := make(chan struct{}, 2)
	go func() { p.pass(in, out, false); done <- struct{}{} }()
	go func() { p.pass(out, in, true); done <- struct{}{} }()
	<-done
}

// pass copies one direction. What is held up by silence arrives when it ends.
func (p *proxy) pass(from, to net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f, healed := p.state()
			switch {
			case f == delays:
				time.Sleep(delay)
			case f == silent, f == oneWay && answers:
				<-healed
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
	p.set(passes)
	_ = p.l.Close() // nothing else uses it
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}
