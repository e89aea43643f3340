// Package balnce is a stand-in for the platform's balancer: it spreads TCP
// connections over the backends that are ready, one after the other.
package balnce

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
)

const (
	defaultPath     = "/readyz"
	defaultInterval = 100 * time.Millisecond
	dialTimeout     = time.Second
)

// Backend is one entry node behind the balancer.
type Backend struct {
	address string
	ready   string
}

// NewBackend returns a backend that takes connections at address and tells its
// readiness at ready, both host:port.
func NewBackend(address, ready string) Backend {
	return Backend{address: address, ready: ready}
}

// Balancer spreads connections. It checks readiness by GET; a backend that does
// not answer 200 gets no new connections, open ones stay.
type Balancer struct {
	listen   string
	path     string
	interval time.Duration
	http     *http.Client

	mu       sync.Mutex
	backends []Backend
	ready    []Backend
	next     int
	listener net.Listener
	conns    map[net.Conn]bool
	duties   *tomb.Tomb
}

// Option sets a property of a Balancer.
type Option func(*Balancer)

// WithListen sets the address to listen on, host:port.
func WithListen(address string) Option {
	return func(b *Balancer) { b.listen = address }
}

// WithBackends sets the backends.
func WithBackends(backends ...Backend) Option {
	return func(b *Balancer) { b.backends = backends }
}

// WithPath sets the path of the readiness check.
func WithPath(path string) Option {
	return func(b *Balancer) { b.path = path }
}

// WithInterval sets the time between readiness checks.
func WithInterval(d sardine.Millis) Option {
	return func(b *Balancer) { b.interval = d.Duration() }
}

// New returns a balancer that is not started.
func New(options ...Option) *Balancer {
	b := &Balancer{
		listen:   "127.0.0.1:0",
		path:     defaultPath,
		interval: defaultInterval,
		http:     &http.Client{Transport: &http.Transport{}, Timeout: dialTimeout},
		conns:    map[net.Conn]bool{},
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Start listens. The backends that are ready are known when it returns.
func (b *Balancer) Start() error {
	listener, err := net.Listen("tcp", b.listen)
	if err != nil {
		return err
	}
	b.listener, b.duties = listener, &tomb.Tomb{}
	b.check(context.Background())
	b.duties.Go(b.accept)
	b.duties.Go(b.watch)
	return nil
}

// Stop closes all connections and waits for the goroutines.
func (b *Balancer) Stop() {
	if b.duties == nil {
		return
	}
	b.duties.Kill(nil)
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	_ = b.duties.Wait()
	b.http.CloseIdleConnections()
	b.duties = nil
}

// Address returns the address callers connect to, host:port.
func (b *Balancer) Address() string {
	return b.listener.Addr().String()
}

// SetBackends replaces the backends.
func (b *Balancer) SetBackends(backends ...Backend) {
	b.mu.Lock()
	b.backends = backends
	b.mu.Unlock()
	b.check(context.Background())
}

// Ready returns the addresses of the backends that take new connections.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, k := range b.ready {
		addresses = append(addresses, k.address)
	}
	return addresses
}

func (b *Balancer) watch() error {
	ticks := time.NewTicker(b.interval)
	defer ticks.Stop()
	for {
		select {
		case <-b.duties.Dying():
			return nil
		case <-ticks.C:
			b.check(b.duties.Context(context.Background()))
		}
	}
}

// check asks all backends at once, so that one that hangs delays no other by
// more than the timeout.
func (b *Balancer) check(ctx context.Context) {
	b.mu.Lock()
	backends := b.backends
	b.mu.Unlock()
	good := make([]bool, len(backends))
	var wait sync.WaitGroup
	for i, k := range backends {
		wait.Go(func() { good[i] = b.isReady(ctx, k) })
	}
	wait.Wait()
	var ready []Backend
	for i, k := range backends {
		if good[i] {
			ready = append(ready, k)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *Balancer) isReady(ctx context.Context, k Backend) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.ready+b.path, nil)
	if err != nil {
		return false
	}
	answer, err := b.http.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 4096))
	return answer.StatusCode == http.StatusOK
}

func (b *Balancer) accept() error {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return nil // closed by Stop
		}
		b.duties.Go(func() error {
			b.splice(c)
			return nil
		})
	}
}

// splice copies both ways until both have ended.
func (b *Balancer) splice(c net.Conn) {
	defer b.forget(c)
	if !b.remember(c) {
		return
	}
	k := b.dial()
	if k == nil {
		return
	}
	defer b.forget(k)
	if !b.remember(k) {
		return
	}
	var wait sync.WaitGroup
	wait.Go(func() { copyHalf(k, c) })
	wait.Go(func() { copyHalf(c, k) })
	wait.Wait()
}

// dial connects to the next backend that is ready, nil without one.
func (b *Balancer) dial() net.Conn {
	for range len(b.Ready()) {
		address, found := b.pick()
		if !found {
			return nil
		}
		k, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return k
		}
	}
	return nil
}

func (b *Balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	b.next++
	return b.ready[b.next%len(b.ready)].address, true
}

func (b *Balancer) remember(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
	return b.duties.Alive()
}

func (b *Balancer) forget(c net.Conn) {
	_ = c.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// copyHalf copies one direction and passes its end on. A broken connection
// breaks the other side at once.
func copyHalf(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if t, half := to.(*net.TCPConn); half {
		_ = t.CloseWrite()
	}
}
