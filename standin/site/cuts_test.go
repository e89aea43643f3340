package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/balnce"
	"sardineswitch.dev/sardine/standin/cut"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/wire"
)

// changeObjective changes the team's objective in the background, on top of
// version base. The channel receives the result.
func (s *Site) changeObjective(base uint64) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_, err := s.Set(ctx, base, fmt.Sprint("on ", base), "/teams/"+string(Team)+"/objective",
			"downtime_weight = 3.0\nstranded_weight = 1.0\n")
		done <- err
	}()
	return done
}

// staleVersion returns a description of an entry node that is ready with
// settings older than version lowest, or an empty string.
func (s *Site) staleVersion(entry int, lowest uint64) string {
	d := s.Entries()[entry].Node().Dump()
	if !d.Ready || d.Versions[0].Version >= lowest {
		return ""
	}
	return fmt.Sprintf("%s serves version %d after %d was accepted", d.Node, d.Versions[0].Version, lowest)
}

// TestIsolatedEntryNodeRefusesRequests isolates an entry node, without closing
// its connections, and changes the settings meanwhile. The node must stop
// serving before the change is accepted, reject requests without running them,
// and serve again only with the new settings.
func TestIsolatedEntryNodeRefusesRequests(t *testing.T) {
	t.Parallel()
	s := startWithoutEngines(t)
	address := s.Entries()[0].Node().PublicAddress()
	s.Network().Isolate("entry-1", cut.Silent)
	require.NoError(t, <-s.changeObjective(1))
	require.Empty(t, s.staleVersion(0, 2))
	require.False(t, s.Entries()[0].Node().Dump().Ready)
	status, text, ran := book(t, address, "", "seat while cut")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, text, "no_lease")
	require.Equal(t, "no", ran)
	require.Zero(t, s.runs("seat while cut"))
	s.Network().Heal()
	_, err := Await(testLimit, "the node serves again", func() bool {
		require.Empty(t, s.staleVersion(0, 2))
		return s.Entries()[0].Node().Dump().Ready
	})
	require.NoError(t, err)
	status, _, _ = book(t, address, "", "seat after cut")
	require.Equal(t, http.StatusOK, status)
}

// TestIsolatedEntryNodeHoldsChanges isolates an entry node while the team's
// cut policy is hold_changes: the node keeps serving, and a change of settings
// waits until the node is reachable again.
func TestIsolatedEntryNodeHoldsChanges(t *testing.T) {
	t.Parallel()
	s := startWithoutEngines(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err := s.Set(ctx, 1, "hold", "/teams/"+string(Team)+"/cut_policy", `"hold_changes"`)
	require.NoError(t, err)
	time.Sleep(2 * time.Second) // the next polls receive the longer lease
	s.Network().Isolate("entry-1", cut.Silent)
	done := s.changeObjective(2)
	time.Sleep(5 * time.Second) // longer than the serving lease
	status, text, _ := book(t, s.Entries()[0].Node().PublicAddress(), "", "seat while cut")
	require.Equal(t, http.StatusOK, status, text)
	select {
	case err := <-done:
		require.Fail(t, "the change was not held", "%v", err)
	default:
	}
	s.Network().Heal()
	require.NoError(t, <-done)
	require.Empty(t, s.staleVersion(0, 3))
}

// TestIsolatedLeader stops the delivery of the leading control node's traffic,
// in both directions and in each one, without closing connections. The other
// control nodes must elect a leader and accept changes, the old leader must
// not answer, and its return must not cause a further change of leader.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	cuts := map[string]func(n *cut.Net, node string){
		"both": func(n *cut.Net, node string) { n.Isolate(node, cut.Silent) },
		"out":  func(n *cut.Net, node string) { n.Set(node, cut.Any, cut.Silent) },
		"in":   func(n *cut.Net, node string) { n.Set(cut.Any, node, cut.Silent) },
	}
	for name, apply := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testIsolatedLeader(t, apply)
		})
	}
}

func testIsolatedLeader(t *testing.T, apply func(n *cut.Net, node string)) {
	s := startWithoutEngines(t)
	old := s.LeaderIndex()
	node := s.Controls()[old].Node()
	started := time.Now()
	apply(s.Network(), string(s.Controls()[old].id))
	require.NoError(t, <-s.changeObjective(1))
	t.Logf("change accepted %s after the isolation began", time.Since(started))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	outside := ctlapi.New(nil) // bypasses the simulated network
	defer outside.Close()
	answer, err := outside.Stub(s.addresses[old]).Settings(ctx, &wire.SettingsRequest{Operation: "get", Path: "/teams/" + string(Team)})
	require.False(t, err == nil && answer.Fault == nil, "the old leader answers")
	// For up to an election timeout the old leader may still regard itself as
	// the leader, but its replies need a quorum.
	_, err = Await(testLimit, "the old leader steps down", func() bool { return !node.Dump().Leading })
	require.NoError(t, err)
	leader := s.LeaderIndex()
	require.NotEqual(t, old, leader)
	_, err = s.AwaitServing(testLimit, 0, 1)
	require.NoError(t, err)
	t.Logf("every entry node serves %s after the isolation began", time.Since(started))
	term := s.Controls()[leader].Node().Dump().Term
	s.Network().Heal()
	_, err = Await(testLimit, "the old leader follows", func() bool { return node.Dump().Leader != "" })
	require.NoError(t, err)
	time.Sleep(1500 * time.Millisecond) // longer than an election
	require.LessOrEqual(t, s.Controls()[leader].Node().Dump().Term, term+1)
	require.Equal(t, leader, s.LeaderIndex(), "the return changes the leader")
}

// TestLeaveAnnouncedToIsolatedEntryNode announces that a target leaves to an
// isolated entry node, which can't forward the announcement. The other entry
// nodes must stop dispatching to the target once the leases have expired.
func TestLeaveAnnouncedToIsolatedEntryNode(t *testing.T) {
	t.Parallel()
	s := startSite(t, 0, 2, WithEngines(0, 0), WithPlainServices(2))
	s.Network().Isolate("entry-1", cut.Silent)
	isolated := s.Entries()[0].Node().PublicAddress()
	s.balancer.SetBackends(balnce.NewBackend(isolated, isolated))
	p := s.PlainServices()[0]
	_, err := Await(testLimit, "the target receives requests before it leaves", func() bool {
		book(t, s.Entries()[1].Node().PublicAddress(), "", "seat before")
		return p.Runs("seat before") > 0
	})
	require.NoError(t, err)
	p.Leave()
	started := time.Now()
	last := time.Duration(0)
	for n := 0; time.Since(started) < 9*time.Second; n++ {
		seat := fmt.Sprint("seat ", n)
		at := time.Since(started)
		book(t, s.Entries()[n%3].Node().PublicAddress(), "", seat)
		if p.Runs(seat) > 0 {
			last = at
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("last dispatch %s after the target announced that it leaves", last)
	require.Less(t, last, 7*time.Second, "the target lease and the entry nodes' lease")
}

// bookWithDeadline sends a booking like book, with a deadline of 6 s.
func bookWithDeadline(t *testing.T, address, key, seat string) (status int, text, ran string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/box-office/bookings", strings.NewReader(seat))
	require.NoError(t, err)
	req.Header.Set(reply.HeaderWorkspace, string(Workspace))
	req.Header.Set(reply.HeaderIdempotencyKey, key)
	req.Header.Set(reply.HeaderDeadline, "6000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testLimit}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body), resp.Header.Get(reply.HeaderRan)
}

// TestLostClaimReply withholds all replies from an entry node, so that its
// claim of an idempotency key is committed but the node does not receive the
// confirmation. The booking must run at most once, also when it is resent
// through another node.
func TestLostClaimReply(t *testing.T) {
	t.Parallel()
	s := startWithoutEngines(t)
	s.Network().Set(cut.Any, "entry-1", cut.Silent)
	status, text, ran := bookWithDeadline(t, s.Entries()[0].Node().PublicAddress(), "lost", "seat")
	t.Logf("through the isolated node: %d %s %s", status, ran, text)
	require.Contains(t, []string{"no", "unknown"}, ran)
	var first string
	_, err := Await(testLimit, "the resend has its answer", func() bool {
		status, first, ran = bookWithDeadline(t, s.Entries()[1].Node().PublicAddress(), "lost", "seat")
		return status == http.StatusOK || ran == "unknown"
	})
	require.NoError(t, err)
	t.Logf("resend: %d %s %s", status, ran, first)
	s.Network().Heal()
	_, err = s.AwaitServing(testLimit, 0, 1)
	require.NoError(t, err)
	again, text, _ := book(t, s.Entries()[0].Node().PublicAddress(), "lost", "seat")
	require.LessOrEqual(t, s.runs("seat"), 1)
	if status == http.StatusOK {
		require.Equal(t, status, again, text)
		require.Equal(t, first, text)
		require.Equal(t, 1, s.runs("seat"))
		return
	}
	// After an unknown outcome a later resend may still succeed: the entry
	// node that holds the claim had not dispatched the booking and may do so
	// once.
	if again == http.StatusOK {
		require.Equal(t, plain.Expect(http.MethodPost, "/bookings", "seat"), text)
		require.Equal(t, 1, s.runs("seat"))
	}
}
