// Package balnce is a stand-in for the platform's load balancer. It distributes
// TCP connections round-robin over the backends that are ready.
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
	address      string
	readyAddress string
}

// NewBackend returns a backend that accepts connections at address and serves its
// readiness check at readyAddress, both host:port.
func NewBackend(address, readyAddress string) Backend {
	return Backend{address: address, readyAddress: readyAddress}
}

// Balancer distributes connections. It checks readiness with GET requests. A
// backend that does not answer 200 gets no new connections and keeps its open
// ones.
type Balancer struct {
	listen   string
	path     string
	interval time.Duration
	client   *http.Client

	mu       sync.Mutex
	backends []Backend
	ready    []Backend
	next     int
	listener net.Listener
	conns    map[net.Conn]bool
	tomb     *tomb.Tomb
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

// New returns a balancer. Start starts it.
func New(options ...Option) *Balancer {
	b := &Balancer{
		listen:   "127.0.0.1:0",
		path:     defaultPath,
		interval: defaultInterval,
		client:   &http.Client{Transport: &http.Transport{}, Timeout: dialTimeout},
		conns:    map[net.Conn]bool{},
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Start listens and checks all backends once before it returns.
func (b *Balancer) Start() error {
	listener, err := net.Listen("tcp", b.listen)
	if err != nil {
		return err
	}
	b.listener, b.tomb = listener, &tomb.Tomb{}
	b.check(context.Background())
	b.tomb.Go(b.accept)
	b.tomb.Go(b.checkPeriodically)
	return nil
}

// Stop closes all connections and waits for the goroutines.
func (b *Balancer) Stop() {
	if b.tomb == nil {
		return
	}
	b.tomb.Kill(nil)
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	_ = b.tomb.Wait()
	b.client.CloseIdleConnections()
	b.tomb = nil
}

// Address returns the address that callers connect to, host:port.
func (b *Balancer) Address() string {
	return b.listener.Addr().String()
}

// SetBackends replaces the backends and checks the new ones before it returns.
func (b *Balancer) SetBackends(backends ...Backend) {
	b.mu.Lock()
	b.backends = backends
	b.mu.Unlock()
	b.check(context.Background())
}

// Ready returns the addresses of the backends that get new connections.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, k := range b.ready {
		addresses = append(addresses, k.address)
	}
	return addresses
}

func (b *Balancer) checkPeriodically() error {
	ticks := time.NewTicker(b.interval)
	defer ticks.Stop()
	for {
		select {
		case <-b.tomb.Dying():
			return nil
		case <-ticks.C:
			b.check(b.tomb.Context(context.Background()))
		}
	}
}

// check probes all backends concurrently, so that backends that do not answer
// delay it by one timeout at most.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.readyAddress+b.path, nil)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(request)
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
		b.tomb.Go(func() error {
			b.forward(c)
			return nil
		})
	}
}

// forward copies bytes between a caller and a backend until both directions have
// ended.
func (b *Balancer) forward(c net.Conn) {
	defer b.untrack(c)
	if !b.track(c) {
		return
	}
	k := b.dialReady()
	if k == nil {
		return
	}
	defer b.untrack(k)
	if !b.track(k) {
		return
	}
	var wait sync.WaitGroup
	wait.Go(func() { copyOneWay(k, c) })
	wait.Go(func() { copyOneWay(c, k) })
	wait.Wait()
}

// dialReady connects to the next ready backend that accepts the connection. It
// returns nil if there is none.
func (b *Balancer) dialReady() net.Conn {
	for range len(b.Ready()) {
		address, found := b.nextReady()
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

// nextReady returns the address of the next ready backend in turn.
func (b *Balancer) nextReady() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	b.next++
	return b.ready[b.next%len(b.ready)].address, true
}

// track records a connection, so that Stop closes it. It returns false if the
// balancer is stopping.
func (b *Balancer) track(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
	return b.tomb.Alive()
}

// untrack closes a connection and drops its record.
func (b *Balancer) untrack(c net.Conn) {
	_ = c.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// copyOneWay copies one direction and forwards its end as a half-close. If the
// copy fails, it closes both connections at once.
func copyOneWay(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if t, half := to.(*net.TCPConn); half {
		_ = t.CloseWrite()
	}
}
