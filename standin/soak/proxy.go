package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with bytes.
type mode uint8

const (
	pass    mode = iota
	delay        // each piece comes late
	swallow      // what callers send is lost, in silence
	mute         // what the node answers is lost, in silence
)

// lateMost bounds the delay of one piece.
const lateMost = 150 * time.Millisecond

// proxy stands before the port of one process. It serves until close.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy listens on an address and passes what comes on to the target.
func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes what happens to bytes from now on, on open connections too.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all open connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close then resets
		}
		_ = c.Close() // as wanted
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close() // nobody is left to be told
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer caller.Close()
	node, err := net.Dial("tcp", p.target)
	if err != nil {
		return // as the process itself, which is gone
	}
	defer node.Close()
	p.keep(caller, true)
	p.keep(node, true)
	defer p.keep(caller, false)
	defer p.keep(node, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(node, caller, swallow); done <- struct{}{} }()
	go func() { p.copy(caller, node, mute); done <- struct{}{} }()
	<-done
}

func (p *proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// copy passes one direction on. A connection that has lost bytes stays silent:
// what follows would not be what was sent.
func (p *proxy) copy(to io.Writer, from io.Reader, losing mode) {
	piece := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(piece)
		switch m := p.now(); {
		case m == losing:
			lost = true
		case m == delay:
			time.Sleep(time.Duration(rand.Int64N(int64(lateMost))))
		}
		if n > 0 && !lost {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
