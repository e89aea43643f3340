package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/detour"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/uplink"
)

const (
	// linksPath is where a node tells others of its links.
	linksPath = "/sardine/v1/links"
	// peerCheckTimeout bounds the check of one peer.
	peerCheckTimeout = 300 * sardine.Millis(1)
	// peerSearchTime is how long requests wait for the first sound peer, from the time
	// at which the node's links are suspected.
	peerSearchTime = 300 * sardine.Millis(1)
	// maxLinksBytes bounds the answer to a check.
	maxLinksBytes = 4 << 10
)

// peers knows the other entry nodes. It checks them while the node's own links may be
// lost, so that requests can be passed to one that is sound.
type peers struct {
	node *Node
	wake chan struct{} // receives a value when checks should begin at once

	mu          sync.Mutex
	core        *detour.Peers
	view        *view          // from which the core was updated last
	active      bool           // the node's links may be lost
	searchUntil sardine.Millis // until when requests wait for a sound peer
	changed     chan struct{}  // closed at the next result of a check
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, wake: make(chan struct{}, 1), changed: make(chan struct{}),
		core: detour.NewPeers(n.dataCentre, n.random),
	}
}

// run is the loop that checks the peers while the node's links may be lost.
func (p *peers) run() error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-p.node.tomb.Dying():
			return nil
		case <-p.wake:
		case <-p.node.clock.After(tickInterval):
		}
		for _, one := range p.due() {
			running.Go(func() { p.check(one) })
		}
		p.evacuate()
	}
}

// due returns the peers to check now.
func (p *peers) due() []detour.Peer {
	n := p.node
	active := n.links.current() != uplink.Connected
	p.mu.Lock()
	defer p.mu.Unlock()
	if !active {
		p.active = false
		return nil
	}
	p.activate()
	return p.core.Due(n.clock.Now())
}

// activate prepares for checks. It is called with the lock held.
func (p *peers) activate() {
	if v := p.node.view(); v != p.view {
		p.view = v
		p.core.Update(v.peers)
	}
	if !p.active {
		p.active = true
		p.searchUntil = p.node.clock.Now() + peerSearchTime
	}
}

// linksJSON is the answer to a check.
type linksJSON struct {
	Links    string `json:"links"` // to the targets
	Draining bool   `json:"draining"`
	Ready    bool   `json:"ready"` // it has a layout
}

// handleLinks tells another node whether this one can take requests over.
func (n *Node) handleLinks(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, http.StatusOK, linksJSON{
		Links: n.links.current().String(), Draining: n.draining.Load(), Ready: n.view().table != nil,
	})
}

// check asks a peer whether it can take requests over.
func (p *peers) check(one detour.Peer) {
	err := p.ask(one)
	if errors.Is(err, errPeerSuspects) && p.isSound(one) {
		return // the next check shows whether its links are lost, or a target
	}
	if p.record(one, err == nil) && err != nil {
		event.Log(p.node.log, event.PeerUnsound, slog.String("peer", string(one.Node)), codeAttr(err))
	}
}

// errPeerSuspects means that a peer finds out whether it has lost its links, too.
var errPeerSuspects = codes.New(codes.Isolated, "the entry node may have lost its links to the targets")

func (p *peers) isSound(one detour.Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.IsSound(p.node.clock.Now(), one)
}

func (p *peers) ask(one detour.Peer) error {
	n := p.node
	ctx, cancel := context.WithTimeout(n.baseCtx, peerCheckTimeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.internalScheme+"://"+one.Address+linksPath, nil)
	if err != nil {
		return codes.Wrap(codes.Internal, err, "check of entry node "+one.Address)
	}
	resp, err := n.internalClient.Do(r)
	if err != nil {
		return codes.Wrap(codes.NoTarget, err, "entry node "+one.Address+" can't be reached")
	}
	defer func() { _ = resp.Body.Close() }()
	var state linksJSON
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLinksBytes)).Decode(&state); err != nil || resp.StatusCode != http.StatusOK {
		return codes.New(codes.AnswerInvalid, "entry node %s answered %s", one.Address, resp.Status)
	}
	if state.Links == uplink.Suspected.String() && !state.Draining && state.Ready {
		return errPeerSuspects
	}
	if state.Links != uplink.Connected.String() || state.Draining || !state.Ready {
		return codes.New(codes.Isolated, "entry node %s can't take requests over: %+v", one.Address, state)
	}
	return nil
}

// record records whether a peer can take requests over, and reports whether that is new.
func (p *peers) record(one detour.Peer, sound bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.core.Checked(p.node.clock.Now(), one, sound)
	close(p.changed)
	p.changed = make(chan struct{})
	return isNew
}

// await reports whether there is a peer that can take a request over, other than those
// that were tried. It waits for one while the first checks are under way.
func (p *peers) await(ctx context.Context, tried []sardine.NodeID) bool {
	until := p.node.clock.Now() + peerSearchTime // the search may begin anew meanwhile
	for {
		now := p.node.clock.Now()
		p.mu.Lock()
		p.activate()
		available, left, changed := p.core.Available(now, tried), min(p.searchUntil, until)-now, p.changed
		p.mu.Unlock()
		if available || left <= 0 || p.node.links.current() == uplink.Connected {
			return available
		}
		select {
		case p.wake <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-p.node.clock.After(left):
		}
	}
}

// begin chooses the peer that takes a request over. Call end once it has ended.
func (p *peers) begin(tried []sardine.NodeID) (detour.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Begin(p.node.clock.Now(), tried)
}

func (p *peers) end(one detour.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.End(one)
}

// counts returns the number of sound peers and of requests that peers have taken over.
func (p *peers) counts() (sound, inFlight int) {
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Sound(p.node.clock.Now()), p.core.InFlight()
}

// evacuate makes the requests in flight leave their targets for a sound peer while the
// node is isolated.
func (p *peers) evacuate() {
	if sound, _ := p.counts(); sound > 0 && p.node.isolated() {
		p.node.inFlight.evacuate(p.node.clock.Now())
	}
}
