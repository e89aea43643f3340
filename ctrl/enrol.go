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

// Times of the membership's upkeep.
const (
	// enrolEvery is the time between two looks at the own membership.
	enrolEvery = 500 * sardine.Millis(1)
	// enrolAfter is how long no leader may be heard before a node asks again to
	// be a member: longer than an election.
	enrolAfter = 2500 * sardine.Millis(1)
	// lostAfter is how long a voter is silent before it may be removed. It is
	// longer than a restart or a freeze of seconds.
	lostAfter = 10 * sardine.Second
	// enrolCall bounds one call to another control node.
	enrolCall = sardine.Second
)

// Enrol makes a control node a member that follows without a vote. A member is
// left as it is: one that came back with an empty folder has no vote either
// until it has caught up.
func (n *Node) Enrol(ctx context.Context, r *wire.EnrolRequest) (*wire.EnrolReply, error) {
	return &wire.EnrolReply{Fault: ctlapi.FaultOf(n.enrol(ctx, r))}, nil
}

func (n *Node) enrol(ctx context.Context, r *wire.EnrolRequest) error {
	if !n.discovers {
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

// tendMembers is a duty: a node that is no member, or hears no leader, asks to be
// one; the leader gives learners their vote and removes lost voters.
func (n *Node) tendMembers() error {
	quiet := n.clock.Now()
	waits := false
	for {
		info := n.log.Leader()
		if info.ID != "" && n.isMember() {
			quiet = n.clock.Now()
		}
		ctx, cancel := context.WithTimeout(n.life, enrolCall.Duration())
		switch {
		case info.Leading:
			n.tendOthers(ctx)
		case !n.isMember() || n.clock.Now()-quiet > enrolAfter:
			err := n.askToEnrol(ctx)
			if err != nil && !waits {
				event.Log(n.logger, event.EnrolWaits, errorAttr(err))
			}
			waits = err != nil
		}
		cancel()
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(enrolEvery):
		}
	}
}

// SetSeeds replaces the control nodes to ask for membership.
func (n *Node) SetSeeds(addresses []string) {
	n.seedsMu.Lock()
	defer n.seedsMu.Unlock()
	n.seeds = slices.Clone(addresses)
}

// Voters returns the control nodes that have a vote, as far as this node knows.
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

// askToEnrol asks the control nodes that are known, the seeds first, until one
// takes this node. It returns why the last one did not.
func (n *Node) askToEnrol(ctx context.Context) error {
	last := error(codes.New(codes.NoQuorum, "no other control node is known"))
	request := &wire.EnrolRequest{Node: string(n.id), Address: n.internal.Address()}
	asked := map[string]bool{n.internal.Address(): true}
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
		answer, err := n.others.Stub(address).Enrol(ctx, request)
		if err != nil {
			last = codes.Wrap(codes.NoQuorum, err, "control node "+address+" does not answer")
			continue
		}
		fault := ctlapi.ErrorOf(answer.GetFault())
		if fault == nil {
			return nil
		}
		last = fault
		addresses = append(addresses, answer.GetFault().GetLeader())
	}
	return last
}

// tendOthers gives caught-up learners a vote, and removes a voter that has long
// been silent if the voters are of an even number: then another has taken its
// place, and without it as many losses are borne.
func (n *Node) tendOthers(ctx context.Context) {
	status := n.log.Status().Core
	silent := make(map[sardine.NodeID]bool)
	for _, p := range status.Peers {
		since := max(p.HeardAt, status.LeaderSince)
		silent[p.Node] = n.clock.Now()-since > lostAfter
	}
	voters := 0
	var lost []quorum.Member
	for _, m := range n.log.Members() {
		if !m.Learner {
			voters++
		}
		if silent[m.Node] {
			lost = append(lost, m)
		} else if m.Learner {
			n.tend(ctx, quorum.Promote, m)
		}
	}
	for _, m := range lost {
		if m.Learner || voters%2 == 0 {
			n.tend(ctx, quorum.Remove, m)
			return
		}
	}
}

// tend changes a member. That it is too early is no news: the next round tries
// again.
func (n *Node) tend(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) {
	err := n.changeMember(ctx, kind, m)
	if err == nil || codes.Is(err, codes.MemberBusy) || codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) {
		return
	}
	event.Log(n.logger, event.DutyFailed, memberAttr(m.Node), errorAttr(err))
}
