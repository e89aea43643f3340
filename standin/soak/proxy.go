package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the bytes that it receives.
type mode uint8

const (
	forward mode = iota
	delay        // each read is forwarded after a random delay
	dropIn       // bytes from callers are dropped, connections stay open
	dropOut      // bytes from the node are dropped, connections stay open
)

// maxDelay is the upper bound of the delay of one read.
const maxDelay = 150 * time.Millisecond

// proxy is a TCP proxy in front of a port of one process. It serves until
// close.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy listens on an address and forwards connections to the target.
func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes the mode from now on, also of open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close() // it may be closed already
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close() // nobody needs the error
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
		return // closes the connection, as the process is not listening
	}
	defer node.Close()
	p.track(caller, true)
	p.track(node, true)
	defer p.track(caller, false)
	defer p.track(node, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(node, caller, dropIn); done <- struct{}{} }()
	go func() { p.copy(caller, node, dropOut); done <- struct{}{} }()
	<-done
}

// track adds or removes an open connection.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// copy forwards one direction and drops its bytes in the mode dropMode. Once it
// has dropped bytes it forwards nothing more on the connection, because the
// stream would have a gap.
func (p *proxy) copy(to io.Writer, from io.Reader, dropMode mode) {
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		switch m := p.currentMode(); {
		case m == dropMode:
			dropped = true
		case m == delay:
			time.Sleep(time.Duration(rand.Int64N(int64(maxDelay))))
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
