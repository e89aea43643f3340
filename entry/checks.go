package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
)

const (
	// probeTimeout bounds the look whether a target still listens.
	probeTimeout = 300 * sardine.Millis(1)
	// probeHold is how long the connection of that look is watched. A process that
	// ends closes its sockets one after the other, so that the one it listens on may
	// outlive the one that broke by some milliseconds.
	probeHold = 50 * sardine.Millis(1)
	// checkProbes bounds the looks at a target that gives no answer: an opening
	// packet may be lost.
	checkProbes = 3
	// checkKept is how long it is known that a target has ended. Answers that it
	// broke off are all missed by then.
	checkKept = 30 * sardine.Second
)

// check finds out whether a target's process has ended. Its result may be read
// once done is closed.
type check struct {
	done     chan struct{}
	ended    bool
	at       sardine.Millis // of the result, 0 before it; guarded by checks.mu
	requests int            // that the target lost; guarded by checks.mu
}

// checks looks at targets that lost requests, at each of them once at a time.
type checks struct {
	node    *Node
	mu      sync.Mutex
	all     map[route.Ref]*check
	running sync.WaitGroup
}

func newChecks(n *Node) *checks {
	return &checks{node: n, all: make(map[route.Ref]*check)}
}

// begin returns the check of a target that has just lost a request.
func (c *checks) begin(candidate route.Candidate) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.all[candidate.Ref]
	if k == nil {
		k = &check{done: make(chan struct{})}
		c.all[candidate.Ref] = k
		c.running.Go(func() { c.run(candidate, k) })
	}
	k.requests++
	return k
}

func (c *checks) run(candidate route.Candidate, k *check) {
	n := c.node
	began := n.clock.Now()
	k.ended = n.ended(n.life, candidate.Address)
	c.mu.Lock()
	k.at = n.clock.Now()
	requests := k.requests
	if !k.ended {
		delete(c.all, candidate.Ref) // it may end yet
	}
	c.mu.Unlock()
	close(k.done)
	if !k.ended {
		return
	}
	n.meter.ended()
	event.Log(n.log, event.TargetEnded, slog.String("target", candidate.String()), slog.String("address", candidate.Address),
		slog.Int("requests", requests), slog.Int64("took_ms", int64(n.clock.Now()-began)))
}

// tick forgets targets that ended long ago.
func (c *checks) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ref, k := range c.all {
		if k.at > 0 && c.node.clock.Now() > k.at+checkKept {
			delete(c.all, ref)
		}
	}
}

// drain waits for the checks under way.
func (c *checks) drain() {
	c.running.Wait()
}

// ended reports whether no process takes connections at the address. A target that
// gives no answer may be cut off, and counts as sound.
func (n *Node) ended(ctx context.Context, address string) bool {
	for range checkProbes {
		listens, err := n.look(ctx, address)
		if err == nil {
			return !listens
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// look reports whether a process listens at the address. An error means that it is
// not known.
func (n *Node) look(ctx context.Context, address string) (listens bool, err error) {
	conn, err := n.connect(ctx, address)
	if conn == nil {
		return false, err
	}
	closed := closes(conn)
	_ = conn.Close() // nothing was sent
	if !closed {
		return true, nil
	}
	conn, err = n.connect(ctx, address) // one that is only full closes it too, but still listens
	if conn == nil {
		return false, err
	}
	_ = conn.Close() // nothing was sent
	return true, nil
}

// connect connects to the address. Without a connection and an error nobody listens
// there.
func (n *Node) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return nil, nil
	}
	return conn, err
}

// closes reports whether the other side ends a connection on which nothing was sent.
func closes(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(probeHold.Duration())); err != nil {
		return true
	}
	var one [1]byte
	_, err := conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// lose begins to find out what became of a target that has lost the request. One
// that was to leave has no part in what it may have done to it.
func (q *routed) lose(ctx context.Context, c route.Candidate) {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) && !errors.Is(cause, errGroupLost) {
		return // the caller has left
	}
	if q.node.view().current(c) {
		q.node.checks.begin(c)
	}
}
