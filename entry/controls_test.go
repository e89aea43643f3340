package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/peer"
	"sardineswitch.dev/sardine/wire"
)

// membersServer is a control node that knows the members.
type membersServer struct {
	wire.Control
	addresses []string
}

// Members lists the members.
func (s membersServer) Members(context.Context, *wire.MembersRequest) (*wire.MembersReply, error) {
	answer := &wire.MembersReply{}
	for _, address := range s.addresses {
		answer.Members = append(answer.Members, &wire.QuorumMember{Address: address})
	}
	return answer, nil
}

// Guards against entry nodes that learn late of new control nodes, because each one that
// has failed uses up the whole time of a query.
func TestControlsAreFoundBehindFailedNodes(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	var controls []string
	for range 4 { // they connect and don't reply
		controls = append(controls, listen().Addr().String())
	}
	running := listen()
	server := &http.Server{Handler: wire.NewControlServer(membersServer{addresses: []string{"new:1"}}), Protocols: peer.Protocols(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(running) }()
	t.Cleanup(func() { _ = server.Close() })
	controls = append(controls, running.Addr().String())
	for _, id := range []sardine.NodeID{"e1", "e2", "e3", "e4", "e5", "e6"} { // the order depends on the name
		n, err := New(WithID(id, 1, "osu"), WithListen("127.0.0.1:0", "127.0.0.1:0"), WithControls(controls...), WithRandom(rand.New(rand.NewPCG(1, 1))))
		require.NoError(t, err)
		began := time.Now()
		n.refreshControlsOnce()
		took := time.Since(began)
		found := n.control.ReportCandidates(string(id))
		n.release()
		require.Contains(t, found, "new:1")
		require.Less(t, took, controlsTimeout.Duration(), "%s", id)
	}
}
