package detour

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
)

const (
	// checkInterval is the time between two checks of a peer.
	checkInterval = 500 * sardine.Millis(1)
	// checkValidity is how long a check's result holds.
	checkValidity = 4 * checkInterval
	// maxChecks is the number of checks that begin at a time.
	maxChecks = 8
	// wantedPeers is the number of sound peers beyond which no others are checked.
	wantedPeers = 4
	// remoteCost is how many more requests a peer of the own data centre gets before
	// one of another data centre does.
	remoteCost = 32
	// maxPeerRequests and maxTotalRequests bound the requests in flight at other nodes.
	maxPeerRequests  = 512
	maxTotalRequests = 2048
)

// Peer is another entry node.
type Peer struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Address     string // of its internal server
	DataCentre  sardine.DataCentre
}

// known is a peer with what is known of it.
type known struct {
	Peer
	order    uint64         // random, so that nodes choose different peers
	askedAt  sardine.Millis // start of the last check, 0 before the first
	checked  bool           // a check has ended
	soundAt  sardine.Millis // last sign that it can take requests over, 0 for none
	inFlight int            // requests passed to it
}

// Peers holds the other entry nodes. It is not safe for concurrent use.
type Peers struct {
	dataCentre sardine.DataCentre
	random     sardine.Random
	all        []*known // own data centre first, in random order within each part
	total      int      // requests in flight
}

// NewPeers returns an empty set for a node of the given data centre.
func NewPeers(dc sardine.DataCentre, random sardine.Random) *Peers {
	return &Peers{dataCentre: dc, random: random}
}

// Update replaces the set. Peers that stay keep what is known of them.
func (p *Peers) Update(peers []Peer) {
	before := p.all
	p.all = make([]*known, 0, len(peers))
	for _, one := range peers {
		i := slices.IndexFunc(before, func(k *known) bool { return k.Peer == one })
		if i >= 0 {
			p.all = append(p.all, before[i])
			continue
		}
		p.all = append(p.all, &known{Peer: one, order: p.random.Uint64()})
	}
	slices.SortFunc(p.all, func(a, b *known) int {
		if near := p.isNear(a); near != p.isNear(b) {
			if near {
				return -1
			}
			return 1
		}
		if a.order < b.order {
			return -1
		}
		return 1
	})
}

func (p *Peers) isNear(k *known) bool {
	return k.DataCentre == p.dataCentre
}

// Due returns the peers to check now and records that their checks have begun: the
// sound ones again, and further ones while there are too few.
func (p *Peers) Due(now sardine.Millis) []Peer {
	var due []Peer
	sound := 0
	for _, k := range p.all {
		if k.isSound(now) {
			if sound++; sound <= wantedPeers && k.isDue(now) && len(due) < maxChecks {
				due = append(due, k.ask(now))
			}
		}
	}
	if sound >= wantedPeers {
		return due
	}
	for _, k := range p.longestUnasked() {
		if len(due) < maxChecks && !k.isSound(now) && k.isDue(now) {
			due = append(due, k.ask(now))
		}
	}
	return due
}

// longestUnasked returns the peers, those first whose last check is the longest ago.
func (p *Peers) longestUnasked() []*known {
	all := slices.Clone(p.all)
	slices.SortStableFunc(all, func(a, b *known) int { return int(a.askedAt - b.askedAt) })
	return all
}

func (k *known) isDue(now sardine.Millis) bool {
	return k.askedAt == 0 || now-k.askedAt >= checkInterval
}

func (k *known) isSound(now sardine.Millis) bool {
	return k.soundAt > 0 && now-k.soundAt < checkValidity
}

func (k *known) ask(now sardine.Millis) Peer {
	k.askedAt = now
	return k.Peer
}

// Checked records whether a peer can take requests over, and reports whether that is new.
func (p *Peers) Checked(now sardine.Millis, peer Peer, sound bool) bool {
	k := p.find(peer)
	if k == nil {
		return false
	}
	isNew := !k.checked || sound != (k.soundAt > 0)
	k.checked, k.soundAt = true, 0
	if sound {
		k.soundAt = now
	}
	return isNew
}

// Available reports whether there is a peer for a request that the given ones have not
// taken over.
func (p *Peers) Available(now sardine.Millis, tried []sardine.NodeID) bool {
	return p.best(now, tried) != nil
}

// Begin chooses the peer that takes over a request and counts the request, until End is
// called.
func (p *Peers) Begin(now sardine.Millis, tried []sardine.NodeID) (Peer, bool) {
	k := p.best(now, tried)
	if k == nil {
		return Peer{}, false
	}
	k.inFlight++
	p.total++
	return k.Peer, true
}

// End ends a request that a peer had taken over.
func (p *Peers) End(peer Peer) {
	p.total--
	if k := p.find(peer); k != nil {
		k.inFlight--
	}
}

// best returns the sound peer with the fewest requests, nil if there is none.
func (p *Peers) best(now sardine.Millis, tried []sardine.NodeID) *known {
	if p.total >= maxTotalRequests {
		return nil
	}
	var best *known
	for _, k := range p.all {
		if !k.isSound(now) || k.inFlight >= maxPeerRequests || slices.Contains(tried, k.Node) {
			continue
		}
		if best == nil || p.cost(k) < p.cost(best) {
			best = k
		}
	}
	return best
}

func (p *Peers) cost(k *known) int {
	if p.isNear(k) {
		return k.inFlight
	}
	return k.inFlight + remoteCost
}

func (p *Peers) find(peer Peer) *known {
	for _, k := range p.all {
		if k.Peer == peer {
			return k
		}
	}
	return nil
}

// IsSound reports whether a peer can take requests over.
func (p *Peers) IsSound(now sardine.Millis, peer Peer) bool {
	k := p.find(peer)
	return k != nil && k.isSound(now)
}

// Sound returns the number of peers that can take requests over.
func (p *Peers) Sound(now sardine.Millis) int {
	count := 0
	for _, k := range p.all {
		if k.isSound(now) {
			count++
		}
	}
	return count
}

// InFlight returns the number of requests that peers have taken over.
func (p *Peers) InFlight() int {
	return p.total
}
