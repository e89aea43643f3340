package detour

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/uplink"
)

// TestDecide plays testdata/decide.json: the decision for each combination of links and
// request.
func TestDecide(t *testing.T) {
	text, err := os.ReadFile("testdata/decide.json")
	require.NoError(t, err)
	var rows []struct {
		Name, Links, Want    string
		Passed, Unsent, Peer bool
		Passes               int
	}
	require.NoError(t, json.Unmarshal(text, &rows))
	links := map[string]uplink.State{"connected": uplink.Connected, "suspected": uplink.Suspected, "isolated": uplink.Isolated}
	routes := map[string]Route{"serve": Serve, "pass": Pass, "refuse": Refuse}
	for _, row := range rows {
		got := Decide(Request{Links: links[row.Links], Passed: row.Passed, Unsent: row.Unsent, Peer: row.Peer, Passes: row.Passes})
		require.Equal(t, routes[row.Want], got, row.Name)
	}
}

// TestPassedRequestsAreNeverPassedOn guards against requests that isolated nodes pass in
// a circle.
func TestPassedRequestsAreNeverPassedOn(t *testing.T) {
	for _, links := range []uplink.State{uplink.Connected, uplink.Suspected, uplink.Isolated} {
		for passes := range maxPasses {
			q := Request{Links: links, Passed: true, Unsent: true, Peer: true, Passes: passes}
			require.NotEqual(t, Pass, Decide(q), "%+v", q)
		}
	}
}

func newTestPeers(near, far int) (*Peers, []Peer) {
	p := NewPeers("a", rand.New(rand.NewPCG(1, 2)))
	var all []Peer
	for i := range near + far {
		one := Peer{Node: sardine.NodeID(fmt.Sprintf("e%d", i)), Incarnation: 1, Address: "x", DataCentre: "a"}
		if i >= near {
			one.DataCentre = "b"
		}
		all = append(all, one)
	}
	p.Update(all)
	return p, all
}

func TestPeersOfOwnDataCentreComeFirst(t *testing.T) {
	p, all := newTestPeers(1, 1)
	_, found := p.Begin(1, nil)
	require.False(t, found, "none is known to be sound")
	p.Checked(1, all[0], true)
	p.Checked(1, all[1], true)
	for range remoteCost + 1 {
		got, found := p.Begin(1, nil)
		require.True(t, found)
		require.Equal(t, all[0], got)
	}
	got, _ := p.Begin(1, nil)
	require.Equal(t, all[1], got, "the near one has many more requests")
	p.End(all[0])
	p.End(all[0])
	got, _ = p.Begin(1, []sardine.NodeID{all[1].Node})
	require.Equal(t, all[0], got)
	_, found = p.Begin(1, []sardine.NodeID{all[0].Node, all[1].Node})
	require.False(t, found, "both were tried")
	p.Checked(2, all[0], false)
	p.Checked(2, all[1], false)
	require.False(t, p.Available(2, nil))
}

func TestResultsOfChecksExpire(t *testing.T) {
	p, all := newTestPeers(1, 0)
	p.Checked(1, all[0], true)
	require.True(t, p.Available(checkValidity, nil))
	require.False(t, p.Available(checkValidity+1, nil))
	p.Checked(10, all[0], true)
	p.Update([]Peer{{Node: all[0].Node, Incarnation: 2, Address: "x", DataCentre: "a"}})
	require.False(t, p.Available(10, nil), "another process has started")
}

func TestRequestsAtPeersAreBounded(t *testing.T) {
	p, all := newTestPeers(8, 0)
	for _, one := range all {
		p.Checked(1, one, true)
	}
	began := map[sardine.NodeID]int{}
	for one, found := p.Begin(1, nil); found; one, found = p.Begin(1, nil) {
		began[one.Node]++
	}
	require.Equal(t, maxTotalRequests, p.InFlight())
	for _, count := range began {
		require.LessOrEqual(t, count, maxPeerRequests)
	}
	p.End(all[0])
	require.True(t, p.Available(1, nil))
}

// TestChecksFindTheFewSoundPeers checks that a node whose peers are nearly all isolated
// finds the sound ones in time, and that a node with enough of them checks few.
func TestChecksFindTheFewSoundPeers(t *testing.T) {
	p, all := newTestPeers(10, 40)
	sound := map[sardine.NodeID]bool{all[3].Node: true, all[45].Node: true}
	now := sardine.Millis(1)
	for ; p.Sound(now) < 2; now += 50 {
		require.Less(t, now, sardine.Second, "within a second")
		due := p.Due(now)
		require.LessOrEqual(t, len(due), maxChecks)
		for _, one := range due {
			p.Checked(now, one, sound[one.Node])
		}
	}
	for _, one := range all {
		p.Checked(now, one, true)
	}
	now += checkInterval
	require.Len(t, p.Due(now), wantedPeers)
	require.Empty(t, p.Due(now+1))
}
