package ctlapi

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
)

// simulated is the longest time that a test plays, and longer than any call.
const simulated = 60 * sardine.Second

// sweepNode is a node in a simulated sweep.
type sweepNode struct {
	takes  sardine.Millis // until its call ends, 0 for never
	leader string         // that it names
	leads  bool
}

// playSweep runs a sweep over simulated nodes until one leads, and returns the calls in
// order with their instants, the most calls in flight, and when the sweep ended.
func playSweep(order []string, nodes map[string]sweepNode, timeout sardine.Millis) (calls []string, most int, end sardine.Millis) {
	s := newSweep(order)
	endsAt := make(map[string]sardine.Millis)
	for now := sardine.Millis(0); now < simulated; now++ {
		for address, at := range endsAt {
			if at != now {
				continue
			}
			delete(endsAt, address)
			if nodes[address].leads {
				return calls, most, now
			}
			leader := ""
			if nodes[address].takes > 0 {
				leader = nodes[address].leader
			}
			s.failed(now, leader)
		}
		for address, ok := s.next(now); ok; address, ok = s.next(now) {
			calls = append(calls, fmt.Sprintf("%s@%d", address, now))
			endsAt[address] = now + timeout
			if takes := nodes[address].takes; takes > 0 {
				endsAt[address] = now + takes
			}
		}
		most = max(most, len(endsAt))
		if s.ended() {
			return calls, most, now
		}
	}
	return calls, most, simulated
}

// Guards against failed nodes that delay the call to the one that has the answer.
func TestSweepReachesLeaderBehindFailedNodes(t *testing.T) {
	for name, c := range map[string]struct {
		order []string
		nodes map[string]sweepNode
		want  []string
		end   sardine.Millis
	}{
		"leader first":           {[]string{"a", "b"}, map[string]sweepNode{"a": {takes: 1, leads: true}}, []string{"a@0"}, 1},
		"refused":                {[]string{"a", "b"}, map[string]sweepNode{"a": {takes: 1}, "b": {takes: 1, leads: true}}, []string{"a@0", "b@1"}, 2},
		"silent":                 {[]string{"a", "b", "c"}, map[string]sweepNode{"c": {takes: 1, leads: true}}, []string{"a@0", "b@100", "c@200"}, 201},
		"named, not listed":      {[]string{"a", "b"}, map[string]sweepNode{"a": {takes: 1, leader: "z"}, "z": {takes: 1, leads: true}}, []string{"a@0", "z@1"}, 2},
		"named, last":            {[]string{"a", "b", "c"}, map[string]sweepNode{"a": {takes: 1, leader: "c"}, "c": {takes: 1, leads: true}}, []string{"a@0", "c@1"}, 2},
		"named leader is silent": {[]string{"a", "b", "c"}, map[string]sweepNode{"a": {takes: 1, leader: "b"}, "c": {takes: 1, leads: true}}, []string{"a@0", "b@1", "c@101"}, 102},
		"named again":            {[]string{"a", "b"}, map[string]sweepNode{"a": {takes: 1, leader: "b"}, "b": {takes: 1, leader: "a"}}, []string{"a@0", "b@1"}, 2},
		"listed twice":           {[]string{"a", "a", ""}, map[string]sweepNode{"a": {takes: 1}}, []string{"a@0"}, 1},
		"none":                   {nil, nil, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			calls, _, end := playSweep(c.order, c.nodes, sardine.Second)
			require.Equal(t, c.want, calls)
			require.Equal(t, c.end, end)
		})
	}
}

// Guards against calls that pile up when many nodes have failed.
func TestSweepBoundsCallsInFlight(t *testing.T) {
	var order []string
	for i := range 3 * maxHedged {
		order = append(order, fmt.Sprint(i))
	}
	calls, most, _ := playSweep(order, nil, sardine.Second)
	require.Len(t, calls, len(order), "each node is called once")
	require.Equal(t, maxHedged, most)
}

// Guards against calls that go on after a sweep, and against its error, which names a
// fault that a node replied rather than a call without a reply.
func TestSweepEndsItsCalls(t *testing.T) {
	var mu sync.Mutex
	var ended []string
	call := func(ctx context.Context, address string) (string, error) {
		if address == "leader" {
			return "yes", nil
		}
		if address == "refuses" {
			return "", codes.New(codes.MemberBusy, "busy")
		}
		<-ctx.Done()
		mu.Lock()
		defer mu.Unlock()
		ended = append(ended, address)
		return "", ctx.Err()
	}
	answer, err := Sweep(context.Background(), clock.NewReal(), []string{"s1", "s2", "leader"}, simulated, call, nil)
	require.NoError(t, err)
	require.Equal(t, "yes", answer)
	slices.Sort(ended)
	require.Equal(t, []string{"s1", "s2"}, ended)

	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = Sweep(ctx, clock.NewReal(), []string{"refuses", "s1"}, simulated, call, nil)
	require.True(t, codes.Is(err, codes.MemberBusy), "%v", err)
	_, err = Sweep(context.Background(), clock.NewReal(), []string{"s1"}, 10, call, nil)
	require.True(t, codes.Is(err, codes.NoQuorum), "%v", err)
	require.ErrorContains(t, err, "s1")
}

// Guards against two failed nodes that are called in turn while the others wait behind
// them.
func TestRecallOrdersFailedNodesLast(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	r := &Recall{}
	require.Equal(t, all, r.Order(all))
	r.Failed("b")
	r.Failed("a")
	require.Equal(t, []string{"c", "d", "b", "a"}, r.Order(all))
	r.Succeeded("d")
	require.Equal(t, []string{"d", "c", "b", "a"}, r.Order(all))
	r.Answered("a")
	require.Equal(t, []string{"d", "a", "c", "b"}, r.Order(all))
	r.Failed("d")
	require.Equal(t, []string{"a", "c", "b", "d"}, r.Order(all))
	r.Succeeded("z")
	require.Equal(t, []string{"z", "a", "c"}, r.Order([]string{"a", "c"}), "the failures of others are forgotten")
	require.Equal(t, []string{"z", "a", "b", "c", "d"}, r.Order(all))
}
