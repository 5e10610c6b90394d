package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between a process and a service. While it is cut, what either side sends over an open connection is held up
// and delivered afterwards, also if the process has closed its end meanwhile. A connection that is opened during the cut
// delivers nothing, as if it had never been set up.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	healed   chan struct{} // closed at the end of the cut
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == cut {
		return
	}
	if p.cut = cut; cut {
		p.healed = make(chan struct{})
	} else {
		close(p.healed)
	}
}

// wait returns once the proxy isn't cut, and whether it was.
func (p *proxy) wait() bool {
	p.mu.Lock()
	cut, healed := p.cut, p.healed
	p.mu.Unlock()
	if cut {
		<-healed
	}
	return cut
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the case has ended
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer client.Close()
	if p.wait() {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	both := make(chan struct{}, 2)
	go func() { p.pipe(server.(*net.TCPConn), client); both <- struct{}{} }()
	go func() { p.pipe(client.(*net.TCPConn), server); both <- struct{}{} }()
	<-both
	<-both
}

// pipe copies from one side to the other, and passes its end on.
func (p *proxy) pipe(to *net.TCPConn, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.CloseWrite() // the other side may be gone
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
