package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
	"sardineswitch.dev/sardine/state"
)

// member is a control node on loopback.
type member struct {
	node   *repl.Node
	link   *Link
	server *http.Server
}

func (m member) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, m.node.Stop(ctx))
	require.NoError(t, m.link.Close())
	require.NoError(t, m.server.Close())
}

func startMember(t *testing.T, id sardine.NodeID, l net.Listener, members []quorum.Member) member {
	folder, err := disk.NewFolder(t.TempDir())
	require.NoError(t, err)
	link := NewLink("site", id, l.Addr().String())
	n, err := repl.New(repl.WithID(id), repl.WithSite("site"), repl.WithMembers(members), repl.WithDisk(folder),
		repl.WithLink(link), repl.WithTiming(quorum.Timing{Heartbeat: 20, ElectionMin: 100, ElectionMax: 200}))
	require.NoError(t, err)
	prefix, h := NewServer("site", n, link).Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, h)
	s := &http.Server{Handler: mux, Protocols: Protocols()}
	go s.Serve(l) //nolint:errcheck // ends with Close
	n.Start()
	return member{node: n, link: link, server: s}
}

func TestThreeMembersCommit(t *testing.T) {
	var members []quorum.Member
	var listeners []net.Listener
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		members = append(members, quorum.Member{Node: sardine.NodeID(fmt.Sprintf("c%d", i+1)), Address: l.Addr().String()})
	}
	all := make([]member, 4)
	for i := range 3 {
		all[i] = startMember(t, members[i].Node, listeners[i], members[:3])
	}
	all[3] = startMember(t, members[3].Node, listeners[3], nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var leader *repl.Node
	require.Eventually(t, func() bool {
		for _, m := range all {
			if m.node.Leader().IsLeader {
				leader = m.node
			}
		}
		return leader != nil
	}, 5*time.Second, 5*time.Millisecond)
	for i := range 50 {
		r, err := leader.Propose(ctx, state.JoinEntry{Node: sardine.NodeID(fmt.Sprintf("e%d", i)), Incarnation: 1})
		require.NoError(t, err)
		require.NoError(t, r.Err)
	}
	_, _, err := leader.ConfirmLeadership(ctx)
	require.NoError(t, err)
	require.NoError(t, leader.ChangeMember(ctx, quorum.MemberChange{Kind: quorum.AddLearner, Member: members[3]}))
	require.Eventually(t, func() bool { return all[3].node.Applied() == leader.Applied() }, 5*time.Second, 5*time.Millisecond)
	all[3].node.View(func(m *state.Machine) { require.Len(t, m.Entries(), 50) })
	require.Eventually(t, func() bool {
		return leader.ChangeMember(ctx, quorum.MemberChange{Kind: quorum.Promote, Member: members[3]}) == nil
	}, 5*time.Second, 5*time.Millisecond, "the learner's acknowledgement may arrive after it has applied the log")
	for _, m := range all {
		m.stop(t)
	}
}
