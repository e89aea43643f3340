package ctlapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/wire"
)

// Lend replies without shares.
func (leaderServer) Lend(context.Context, *wire.LendRequest) (*wire.LendReply, error) {
	return &wire.LendReply{}, nil
}

// deadDialTimeout is how long a connection to a machine that has failed is tried.
const deadDialTimeout = 1500 * time.Millisecond

// newClientOfDead returns a client of machines that have failed, which drop all packets,
// and of the leader, the last one.
func newClientOfDead(t *testing.T, dead ...string) *Client {
	t.Helper()
	leader := httptest.NewServer(wire.NewControlServer(leaderServer{}))
	t.Cleanup(leader.Close)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if !slices.Contains(dead, address) {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(deadDialTimeout):
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	}
	c := New(append(slices.Clone(dead), host(leader)), WithHTTP(&http.Client{Transport: &http.Transport{DialContext: dial}}, "http"))
	t.Cleanup(c.Close)
	return c
}

// Guards against demand that is never reported: two machines that have failed used up
// each call in turn.
func TestLendReachesLeaderBehindDeadNodes(t *testing.T) {
	c := newClientOfDead(t, "a:1", "b:1", "c:1", "d:1")
	var err error
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), (limit.ReportInterval * 9 / 10).Duration())
		_, err = c.Lend(ctx, &wire.LendRequest{})
		cancel()
		if err == nil {
			break
		}
	}
	require.NoError(t, err)
}

// Guards against commands reported with an unknown outcome that were never sent, because
// machines that have failed used up the time of the call.
func TestSubmitReachesLeaderBehindDeadNodes(t *testing.T) {
	c := newClientOfDead(t, "a:1", "b:1", "c:1", "d:1")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Submit(ctx, &wire.SubmitRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 7, answer.Index)
}

// Guards against an unknown outcome for a command that was not sent, since the time of
// the call ended before there was a connection.
func TestUnsentCommandIsNotOfUnknownOutcome(t *testing.T) {
	c := newClientOfDead(t, "a:1", "b:1")
	c.SetAddresses([]string{"a:1", "b:1"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Submit(ctx, &wire.SubmitRequest{})
	require.True(t, codes.Is(err, codes.NoQuorum), "%v", err)
}

// Guards against a command that is sent again after it was sent to a node that accepts
// connections and does not reply.
func TestSentCommandIsOfUnknownOutcome(t *testing.T) {
	plain, _ := keys.Plain().Client(1)
	for name, client := range map[string]*http.Client{"http/1.1": {Transport: &http.Transport{}}, "http/2": plain} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0") // accepts nothing: the kernel connects
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			c := New([]string{l.Addr().String()}, WithHTTP(client, "http"))
			t.Cleanup(c.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 3*firstConnectTimeout)
			defer cancel()
			began := time.Now()
			_, err = c.Submit(ctx, &wire.SubmitRequest{})
			require.True(t, codes.Is(err, codes.OutcomeUnknown), "%v", err)
			require.GreaterOrEqual(t, time.Since(began), 2*firstConnectTimeout, "it waited for the reply")
		})
	}
}

// Witness accepts a report.
func (leaderServer) Witness(context.Context, *wire.WitnessRequest) (*wire.WitnessReply, error) {
	return &wire.WitnessReply{}, nil
}

// Guards against health reports that are lost again and again, because a machine that has
// failed stays in the list of control nodes and uses up the time of each report to it.
func TestReportPassesDeadNode(t *testing.T) {
	const reportTimeout = 400 * time.Millisecond
	lost := 0
	for i := range 8 { // the order depends on the name
		c := newClientOfDead(t, "a:1")
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		if _, err := c.Witness(ctx, &wire.WitnessRequest{Node: fmt.Sprintf("e%d", i)}); err != nil {
			lost++
		}
		cancel()
	}
	require.Zero(t, lost)
}

// Guards against connections to a busy leader that are closed as soon as they are made,
// because a call to a machine that has failed ended.
func TestDeadNodeLeavesConnectionsToOthers(t *testing.T) {
	const handshake = 300 * time.Millisecond // of the leader, longer than the first attempt may take
	leader := httptest.NewServer(wire.NewControlServer(leaderServer{}))
	t.Cleanup(leader.Close)
	var connections atomic.Int32
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != host(leader) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		connections.Add(1)
		time.Sleep(handshake)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	c := New([]string{"a:1", host(leader)}, WithHTTP(&http.Client{Transport: &http.Transport{DialContext: dial}}, "http"))
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Submit(ctx, &wire.SubmitRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 1, connections.Load())
}
