package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/uplink"
)

const (
	// linkInterval is the time between two checks whether targets are to be probed.
	linkInterval = 50 * sardine.Millis(1)
	// linkProbes is the number of targets of a round.
	linkProbes = 4
	// manyLinkProbes is that number after a round that all targets have refused.
	manyLinkProbes = 16
	// firstLinkProbes is the number of them that are probed at once. The others follow
	// after linkProbeDelay unless one has connected.
	firstLinkProbes = 2
	linkProbeDelay  = 50 * sardine.Millis(1)
	// linkProbeTimeout bounds the connect of one probe.
	linkProbeTimeout = 250 * sardine.Millis(1)
	// verifyTimeout bounds how long a check of a target waits for that of the node's links.
	verifyTimeout = 2 * sardine.Second
)

// isolation finds out whether the node has lost its links to all targets. What it
// observes of them meanwhile is not counted against them.
type isolation struct {
	node       *Node
	progressAt atomic.Int64                    // last part of an answer from any target
	heard      atomic.Pointer[route.Candidate] // the target that sent the last part of an answer, nil before the first
	state      atomic.Int32                    // the detector's
	notice     chan struct{}                   // wakes the loop

	mu       sync.Mutex
	detector *uplink.Detector
	lostAt   sardine.Millis // start of the last isolation, from which on losses may be due to it
	refusers []string       // addresses that refused the probes that showed it
	changed  chan struct{}  // closed at the next change of the state
}

func newIsolation(n *Node) *isolation {
	return &isolation{node: n, notice: make(chan struct{}, 1), detector: uplink.New(uplink.DefaultLimits()), changed: make(chan struct{})}
}

// isolated reports whether the node reaches no target.
func (n *Node) isolated() bool {
	return n.links.current() == uplink.Isolated
}

// isolationSuspected reports whether the node checks if it reaches any target.
func (n *Node) isolationSuspected() bool {
	return n.links.current() == uplink.Suspected
}

// linksTrusted reports whether failures may be counted against targets.
func (n *Node) linksTrusted() bool {
	return n.links.current() == uplink.Connected
}

// current returns what the node knows of its links.
func (i *isolation) current() uplink.State {
	return uplink.State(i.state.Load())
}

// progressed records the arrival of a part of an answer.
func (i *isolation) progressed(from *route.Candidate) {
	i.heard.Store(from)
	i.progressAt.Store(int64(i.node.clock.Now()))
}

// opened records the result of a dispatch.
func (i *isolation) opened(ctx context.Context, c route.Candidate, failed *proxy.Failure) {
	switch {
	case failed == nil, ctx.Err() != nil, errors.Is(failed, pool.ErrLimit):
	case codes.Is(failed, codes.NoTarget), codes.Is(failed, codes.TargetFailed):
		i.failed(c.Ref.String())
	}
}

// broke records that an answer has broken off.
func (i *isolation) broke(ctx context.Context, c route.Candidate) {
	if ctx.Err() == nil {
		i.failed(c.Ref.String())
	}
}

// stalled records that targets have stalled.
func (i *isolation) stalled(refs []route.Ref) {
	targets := make([]string, 0, len(refs))
	for _, ref := range refs {
		targets = append(targets, ref.String())
	}
	i.failed(targets...)
}

// failed records that exchanges with targets have failed.
func (i *isolation) failed(targets ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.node.clock.Now()
	i.detector.Progressed(sardine.Millis(i.progressAt.Load()))
	for _, t := range targets {
		i.detector.Failed(now, t)
	}
	i.publish()
}

// publish publishes the detector's state and wakes the loop if there is something to
// probe. The caller holds the lock.
func (i *isolation) publish() {
	s := i.detector.State()
	i.state.Store(int32(s))
	if s != uplink.Suspected {
		return
	}
	select {
	case i.notice <- struct{}{}:
	default:
	}
}

// run is the loop that performs the rounds of probes.
func (i *isolation) run() error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-i.node.tomb.Dying():
			return nil
		case <-i.notice:
		case <-i.node.clock.After(linkInterval):
		}
		if i.due() {
			i.ended(i.probe(&probes))
		}
	}
}

// due reports whether a round is to be performed now.
func (i *isolation) due() bool {
	silent := 0
	if i.node.health != nil {
		silent = i.node.health.silent(uplink.DefaultLimits().Silence)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.node.clock.Now()
	i.detector.Progressed(sardine.Millis(i.progressAt.Load()))
	i.detector.Silent(now, silent)
	due := i.detector.Next(now)
	i.state.Store(int32(i.detector.State()))
	return due
}

// ended passes the result of a round to the detector. refusers are the addresses that
// refused a connection.
func (i *isolation) ended(r uplink.Round, refusers []string) {
	i.mu.Lock()
	since := i.detector.Since()
	lasted := i.detector.Duration(i.node.clock.Now())
	i.detector.Progressed(sardine.Millis(i.progressAt.Load()))
	change := i.detector.Ended(i.node.clock.Now(), r)
	rounds, probes := i.detector.Rounds()
	i.node.meter.linkRound(r)
	switch change {
	case uplink.Lost:
		i.lostAt, i.refusers = since, refusers
	case uplink.Reconnected:
		i.forgive()
	}
	i.publish()
	if change != uplink.NoChange {
		close(i.changed)
		i.changed = make(chan struct{})
	}
	i.mu.Unlock()
	switch change {
	case uplink.Lost:
		event.Log(i.node.log, event.NodeIsolated, slog.Int("rounds", rounds), slog.Int("probes", probes),
			slog.Int("refused", r.Refused), slog.Int("targets", i.node.view().routable()), slog.Int64("since_ms", int64(i.node.clock.Now()-since)))
	case uplink.Reconnected:
		event.Log(i.node.log, event.NodeReconnected, slog.Int("rounds", rounds), slog.Int("probes", probes),
			slog.Int("targets", i.node.view().routable()), slog.Int64("after_ms", int64(lasted)))
		i.judge()
	}
}

// judge decides whether the losses of the last isolation count: they do if most of the
// targets that refused connections then still do. Targets that have crashed are back one by
// one, those behind a link that was lost all at once.
func (i *isolation) judge() {
	n := i.node
	refused := 0
	for _, address := range i.refusers {
		conn, err := n.dialTarget(n.baseCtx, address, linkProbeTimeout)
		switch {
		case err == nil:
			_ = conn.Close() // nothing was sent
		case isTimeout(err):
			n.checks.discard(i.lostAt)
			return
		default:
			refused++
		}
	}
	if 2*refused <= len(i.refusers) {
		n.checks.discard(i.lostAt)
		return
	}
	n.checks.resume(i.lostAt)
}

// forgive removes the marks that targets have got because of the node's own links.
func (i *isolation) forgive() {
	if i.node.health != nil {
		i.node.health.forgive()
	}
	i.node.gate.forgive()
}

// work reports whether the node's links work although the target at an address refuses
// connections: another target accepts one, or a round of probes shows it.
func (i *isolation) work(ctx context.Context, refuser string) bool {
	return i.reachesOther(ctx, refuser) || i.verify(ctx)
}

// reachesOther connects to a target other than the one at an address.
func (i *isolation) reachesOther(ctx context.Context, address string) bool {
	n := i.node
	all := slices.DeleteFunc(n.view().probeTargets(), func(t uplink.Target) bool { return t.Address == address })
	for _, t := range uplink.Spread(all, i.heardAddress(), 1, n.random) {
		if conn, err := n.dialTarget(ctx, t.Address, linkProbeTimeout); err == nil {
			_ = conn.Close() // nothing was sent
			return true
		}
	}
	return false
}

// heardAddress returns the address of the target that answered last, "" if none has. It is
// the most likely one to accept a connection.
func (i *isolation) heardAddress() string {
	if heard := i.heard.Load(); heard != nil {
		return heard.Address
	}
	return ""
}

// verify reports whether the node's links work, after a round of probes.
func (i *isolation) verify(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout.Duration())
	defer cancel()
	i.mu.Lock()
	i.detector.Verify(i.node.clock.Now())
	i.publish()
	for i.detector.State() == uplink.Suspected {
		changed := i.changed
		i.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
		i.mu.Lock()
	}
	defer i.mu.Unlock()
	return i.detector.State() == uplink.Connected
}

// probe connects to some targets until one accepts a connection or all have failed. It
// returns the addresses that refused.
func (i *isolation) probe(running *sync.WaitGroup) (r uplink.Round, refusers []string) {
	n := i.node
	ctx, cancel := context.WithCancel(n.baseCtx)
	defer cancel()
	count := linkProbes
	if i.refused() {
		count = manyLinkProbes
	}
	targets := uplink.Spread(n.view().probeTargets(), i.heardAddress(), count, n.random)
	type result struct {
		address string
		err     error
	}
	results := make(chan result, len(targets))
	for k, t := range targets {
		running.Go(func() {
			if k >= firstLinkProbes && n.sleep(ctx, linkProbeDelay) != nil {
				return
			}
			conn, err := n.dialTarget(ctx, t.Address, linkProbeTimeout)
			if err == nil {
				_ = conn.Close() // nothing was sent
			}
			results <- result{t.Address, err}
		})
	}
	r.Targets = len(targets)
	for range targets {
		select {
		case one := <-results:
			if one.err == nil {
				r.Reached++
				return r, nil
			}
			if !isTimeout(one.err) {
				r.Refused++
				refusers = append(refusers, one.address)
			}
		case <-ctx.Done():
			return r, nil
		}
	}
	return r, refusers
}

// refused reports whether the targets of the previous round have refused a connection.
func (i *isolation) refused() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.detector.Refused()
}

// isTimeout reports whether a connect has not been answered.
func isTimeout(err error) bool {
	var e net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &e) && e.Timeout()
}

// dialTarget connects to a target.
func (n *Node) dialTarget(ctx context.Context, address string, timeout sardine.Millis) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if n.targetDial != nil {
		return n.targetDial(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// probeTargets returns the targets that take requests.
func (v *view) probeTargets() []uplink.Target {
	var all []uplink.Target
	for key, candidates := range v.candidates {
		for _, c := range candidates {
			all = append(all, uplink.Target{Address: c.Address, Service: key.service, DataCentre: c.DataCentre})
		}
	}
	return all
}
