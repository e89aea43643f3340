package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

// Members lists or changes the control members.
func (n *Node) Members(ctx context.Context, r *wire.MembersRequest) (*wire.MembersReply, error) {
	err := n.changeMembers(ctx, r)
	n.instruments.load.count(taskMembers, err)
	answer := &wire.MembersReply{Fault: ctlapi.FaultOf(err), Leader: n.log.Leader().Address}
	for _, m := range n.log.Members() {
		answer.Members = append(answer.Members, &wire.QuorumMember{
			Node:    string(m.Node),
			Address: m.Address,
			Learner: m.Learner,
		})
	}
	return answer, nil
}

func (n *Node) changeMembers(ctx context.Context, r *wire.MembersRequest) error {
	if r.Operation == "addresses" {
		return nil // the members as this node knows them, without a token
	}
	if _, _, err := n.confirm(ctx); err != nil {
		return err
	}
	if err := n.authorise(ctx, r.Token, ""); err != nil {
		return err
	}
	member := quorum.Member{Node: sardine.NodeID(r.Node), Address: r.Address}
	switch r.Operation {
	case "list":
		return nil
	case "add":
		return n.redirect(n.log.ChangeMember(ctx, quorum.MemberChange{Kind: quorum.AddLearner, Member: member}))
	case "promote":
		return n.redirect(n.log.ChangeMember(ctx, quorum.MemberChange{Kind: quorum.Promote, Member: member}))
	case "remove":
		return n.redirect(n.log.ChangeMember(ctx, quorum.MemberChange{Kind: quorum.Remove, Member: member}))
	default:
		return codes.New(codes.BadRequest, "operation %q, expected list, add, promote or remove", r.Operation)
	}
}
