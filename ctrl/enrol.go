package ctrl

import (
	"context"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

const (
	// enrolInterval is the time between two rounds of enrolment requests, and between
	// two checks whether one is needed.
	enrolInterval = 500 * sardine.Millis(1)
	// maxEnrolPause bounds the pause between the rounds of a member without a leader,
	// which doubles after each round. Such a member is usually not removed but waits
	// for a quorum, and the others answer the same.
	maxEnrolPause = 4 * sardine.Second
	// enrolCallTimeout bounds one call to one control node.
	enrolCallTimeout = sardine.Second
	// leaderLossTimeout is how long a member must know no leader before it requests
	// enrolment again. It is longer than an election.
	leaderLossTimeout = 2500 * sardine.Millis(1)
)

// Enrol adds a control node as a learner, which follows the log without a vote. An
// existing member is not changed: one that returns with an empty data folder does not
// vote until it has caught up either.
func (n *Node) Enrol(ctx context.Context, r *wire.EnrolRequest) (*wire.EnrolReply, error) {
	return &wire.EnrolReply{Fault: ctlapi.FaultOf(n.enrol(ctx, r))}, nil
}

func (n *Node) enrol(ctx context.Context, r *wire.EnrolRequest) error {
	if !n.managesMembers {
		return codes.New(codes.BadRequest, "members of this site are added by an operator")
	}
	if r.GetNode() == "" || r.GetAddress() == "" {
		return codes.New(codes.BadRequest, "a control node needs a name and an address")
	}
	if _, _, err := n.confirm(ctx); err != nil {
		return err
	}
	id := sardine.NodeID(r.GetNode())
	if slices.ContainsFunc(n.log.Members(), func(m quorum.Member) bool { return m.Node == id }) {
		return nil
	}
	return n.changeMember(ctx, quorum.AddLearner, quorum.Member{Node: id, Address: r.GetAddress()})
}

// SetSeeds replaces the addresses of the control nodes that this node asks to enrol it.
func (n *Node) SetSeeds(addresses []string) {
	n.seedsMu.Lock()
	defer n.seedsMu.Unlock()
	n.seeds = slices.Clone(addresses)
}

// enrolment decides when a node requests enrolment. It has neither a clock nor
// connections.
type enrolment struct {
	ledAt  sardine.Millis // when the node was last a member with a known leader
	nextAt sardine.Millis // earliest instant of the next round
	pause  sardine.Millis // after the latest round, 0 if none was needed since
}

// due reports whether to request enrolment at an instant. listed is whether this node is
// a member as far as it knows, led whether it knows a leader.
func (e *enrolment) due(now sardine.Millis, listed, led bool) bool {
	if listed && led {
		*e = enrolment{ledAt: now}
		return false
	}
	if listed && now-e.ledAt <= leaderLossTimeout {
		return false
	}
	return now >= e.nextAt
}

// requested records the end of a round.
func (e *enrolment) requested(now sardine.Millis, listed bool) {
	if listed {
		e.pause = min(max(2*e.pause, enrolInterval), maxEnrolPause)
	} else {
		e.pause = enrolInterval
	}
	e.nextAt = now + e.pause
}

// enrolLoop requests enrolment while this node is not a member or knows no leader, until
// the node stops.
func (n *Node) enrolLoop() error {
	e := &enrolment{ledAt: n.clock.Now()}
	known := &ctlapi.Recall{}
	waiting := false
	for {
		if e.due(n.clock.Now(), n.isListed(), n.log.Leader().ID != "") {
			err := n.requestEnrolment(known)
			if err != nil && !waiting {
				event.Log(n.logger, event.EnrolWaits, errorAttr(err))
			}
			waiting = err != nil
			e.requested(n.clock.Now(), n.isListed())
		}
		if n.sleep(enrolInterval) != nil {
			return nil
		}
	}
}

// isListed reports whether this node is a member as far as it knows. It may have been
// removed while it was unreachable: nobody sends it the entry that removed it.
func (n *Node) isListed() bool {
	return n.isMember() && !n.log.Status().Core.Removed
}

// requestEnrolment asks the known control nodes to enrol this node until one does.
func (n *Node) requestEnrolment(known *ctlapi.Recall) error {
	own := n.internalServer.Address()
	request := &wire.EnrolRequest{Node: string(n.id), Address: own}
	call := func(ctx context.Context, address string) (*wire.EnrolReply, error) {
		if address == own { // a node may still name this one as the leader
			return nil, codes.New(codes.NoQuorum, "this node does not lead")
		}
		answer, err := n.controlClient.Stub(address).Enrol(ctx, request)
		if err != nil {
			return nil, err
		}
		return answer, ctlapi.ErrorOf(answer.GetFault())
	}
	_, err := ctlapi.Sweep(n.runCtx, n.clock, known.Order(n.enrolAddresses()), enrolCallTimeout, call, known.Record)
	return err
}

// enrolAddresses returns the other control nodes: the seeds, then the members as this
// node knows them.
func (n *Node) enrolAddresses() []string {
	n.seedsMu.Lock()
	addresses := slices.Clone(n.seeds)
	n.seedsMu.Unlock()
	for _, m := range n.log.Members() {
		addresses = append(addresses, m.Address)
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == n.internalServer.Address() })
}
