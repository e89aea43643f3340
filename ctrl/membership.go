package ctrl

import (
	"context"
	"log/slog"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/roster"
)

// Timing of the membership management.
const (
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 500 * sardine.Millis(1)
	// membershipTimeout bounds the work of one check.
	membershipTimeout = sardine.Second
)

func (n *Node) changeMember(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) error {
	err := n.redirect(n.log.ChangeMember(ctx, quorum.MemberChange{Kind: kind, Member: m}))
	if err == nil {
		event.Log(n.logger, event.MembersChanged, changeAttr(kind), memberAttr(m.Node))
	}
	return err
}

// membershipLoop makes the member list follow the nodes that run while this node leads,
// until it stops.
func (n *Node) membershipLoop() error {
	var margin quorum.Margin
	for {
		margin = n.logMargin(n.log.Status().Core, margin)
		if n.log.Leader().IsLeader {
			ctx, cancel := context.WithTimeout(n.runCtx, membershipTimeout.Duration())
			n.maintainMembers(ctx)
			cancel()
		}
		if n.sleep(membershipInterval) != nil {
			return nil
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
