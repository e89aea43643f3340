package ctrl

import (
	"context"
	"log/slog"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/roster"
	"sardineswitch.dev/sardine/wire"
)

// Timing of the membership management.
const (
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 500 * sardine.Millis(1)
	// leaderLossTimeout is how long a member must know no leader before it requests
	// enrolment again. It is longer than an election.
	leaderLossTimeout = 2500 * sardine.Millis(1)
	// enrolTimeout bounds the work of one check, including calls to other control
	// nodes.
	enrolTimeout = sardine.Second
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

func (n *Node) changeMember(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) error {
	err := n.redirect(n.log.ChangeMember(ctx, quorum.MemberChange{Kind: kind, Member: m}))
	if err == nil {
		event.Log(n.logger, event.MembersChanged, changeAttr(kind), memberAttr(m.Node))
	}
	return err
}

// membershipLoop manages the membership until the node stops: a node that is not a
// member or knows no leader requests enrolment; the leader makes the member list follow
// the nodes that run.
func (n *Node) membershipLoop() error {
	lastLeader := n.clock.Now()
	waiting := false
	var margin quorum.Margin
	for {
		info, core := n.log.Leader(), n.log.Status().Core
		margin = n.logMargin(core, margin)
		if info.ID != "" && n.isMember() {
			lastLeader = n.clock.Now()
		}
		ctx, cancel := context.WithTimeout(n.runCtx, enrolTimeout.Duration())
		switch {
		case info.IsLeader:
			n.maintainMembers(ctx)
		case core.Removed || !n.isMember() || n.clock.Now()-lastLeader > leaderLossTimeout:
			err := n.requestEnrolment(ctx)
			if err != nil && !waiting {
				event.Log(n.logger, event.EnrolWaits, errorAttr(err))
			}
			waiting = err != nil
		}
		cancel()
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(membershipInterval):
		}
	}
}

// logMargin logs the margin of the quorum if this node leads and it differs from the one
// logged last, and returns it.
func (n *Node) logMargin(core quorum.Status, last quorum.Margin) quorum.Margin {
	m, leads := core.Margin()
	if leads && m != last {
		event.Log(n.logger, event.QuorumMargin, slog.Int("voters", m.Voters), slog.Int("answering", m.Answering), slog.Int("needed", m.Needed))
	}
	return m
}

// SetSeeds replaces the addresses of the control nodes that this node asks to enrol it.
func (n *Node) SetSeeds(addresses []string) {
	n.seedsMu.Lock()
	defer n.seedsMu.Unlock()
	n.seeds = slices.Clone(addresses)
}

// Voters returns the voting control members as this node knows them.
func (n *Node) Voters() []sardine.NodeID {
	var voters []sardine.NodeID
	for _, m := range n.log.Members() {
		if !m.Learner {
			voters = append(voters, m.Node)
		}
	}
	return voters
}

func (n *Node) isMember() bool {
	return slices.ContainsFunc(n.log.Members(), func(m quorum.Member) bool { return m.Node == n.id })
}

// requestEnrolment asks the known control nodes, the seeds first, to enrol this node
// until one does. Otherwise it returns the last error.
func (n *Node) requestEnrolment(ctx context.Context) error {
	lastErr := error(codes.New(codes.NoQuorum, "no other control node is known"))
	request := &wire.EnrolRequest{Node: string(n.id), Address: n.internalServer.Address()}
	asked := map[string]bool{n.internalServer.Address(): true}
	n.seedsMu.Lock()
	addresses := slices.Clone(n.seeds)
	n.seedsMu.Unlock()
	for _, m := range n.log.Members() {
		addresses = append(addresses, m.Address)
	}
	for i := 0; i < len(addresses); i++ {
		address := addresses[i]
		if address == "" || asked[address] {
			continue
		}
		asked[address] = true
		answer, err := n.controlClient.Stub(address).Enrol(ctx, request)
		if err != nil {
			lastErr = codes.Wrap(codes.NoQuorum, err, "control node "+address+" does not answer")
			continue
		}
		fault := ctlapi.ErrorOf(answer.GetFault())
		if fault == nil {
			return nil
		}
		lastErr = fault
		addresses = append(addresses, answer.GetFault().GetLeader())
	}
	return lastErr
}

// maxMemberChanges limits the member changes of one check.
const maxMemberChanges = 4

// maintainMembers makes the member list follow the control nodes that run.
func (n *Node) maintainMembers(ctx context.Context) {
	for range maxMemberChanges {
		change, due := roster.Next(roster.Peers(n.clock.Now(), n.log.Status().Core))
		if !due || !n.tryChangeMember(ctx, change.Kind, change.Member) {
			return
		}
	}
}

// tryChangeMember changes a member and reports whether it did. It does not log errors that
// are expected while the change is not yet possible; the next check tries again.
func (n *Node) tryChangeMember(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) bool {
	err := n.changeMember(ctx, kind, m)
	if err != nil && !codes.Is(err, codes.MemberBusy) && !codes.Is(err, codes.NotLeader) && !codes.Is(err, codes.NoQuorum) {
		event.Log(n.logger, event.DutyFailed, memberAttr(m.Node), errorAttr(err))
	}
	return err == nil
}
