package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/logs"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// Guards against requests that are blamed for the exit of a group that had
// announced that it leaves, or not blamed for the exit of a member other than
// the head.
func TestGroupExitIsJudgedByReplicatedState(t *testing.T) {
	const head, member = sardine.VMID("vm-1"), sardine.VMID("vm-2")
	for name, c := range map[string]struct {
		memberState targetState // of the member; no entry at all if its incarnation is 0
		after       sardine.Millis
		want        int
	}{
		"well":                     {targetState{incarnation: 1}, 0, 0},
		"dropped":                  {targetState{}, 0, 1},
		"started again":            {targetState{incarnation: 2}, 0, 1},
		"leaving":                  {targetState{incarnation: 1, leaving: true}, 0, 0},
		"dropped long after":       {targetState{}, checkTimeout + 1, 0},
		"started again, may leave": {targetState{incarnation: 2, leaving: true}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			k := clock.NewVirtual(1000)
			n := &Node{clock: k, log: logs.Discard(), id: "e1"}
			n.published.Store(&published{view: emptyView()})
			var err error
			n.meter, err = newInstruments(n)
			require.NoError(t, err)
			n.links, n.checks, n.strikes = newIsolation(n), newChecks(n), newStrikes(n)
			processes := []sardine.Member{{VM: head, Incarnation: 1}, {VM: member, Incarnation: 1}}
			ref := route.Ref{Group: "g", Epoch: 3}
			f := guard.FingerprintOf([]byte("body"))
			check := n.checks.begin(dispatched{candidate: route.Candidate{Ref: ref}, processes: processes}, false)
			n.checks.addLoss(check, guard.Loss{Fingerprint: f, Failure: state.TargetFailure(ref), At: k.Now()})
			v := emptyView()
			v.targetStates[head] = targetState{incarnation: 1}
			if c.memberState.incarnation > 0 {
				v.targetStates[member] = c.memberState
			}
			k.Advance(c.after)
			n.published.Store(&published{view: v})
			n.checks.tick()
			require.Equal(t, c.want, n.strikes.failureCount(f))
		})
	}
}

// Guards against segments that are not blamed since the caller disconnected some
// milliseconds before the target exited under its request.
func TestExitCountsForRequestsAbandonedShortlyBefore(t *testing.T) {
	for name, c := range map[string]struct {
		after sardine.Millis // from the disconnect to the exit
		want  int
	}{
		"exits at once":           {80, 1},
		"exits when it has ended": {abandonedWindow, 0},
	} {
		t.Run(name, func(t *testing.T) {
			k := clock.NewVirtual(1000)
			n := &Node{clock: k, log: logs.Discard(), id: "e1"}
			n.published.Store(&published{view: emptyView()})
			var err error
			n.meter, err = newInstruments(n)
			require.NoError(t, err)
			n.links, n.checks, n.strikes = newIsolation(n), newChecks(n), newStrikes(n)
			ref := route.Ref{Group: "g", Epoch: 3}
			target := dispatched{candidate: route.Candidate{Ref: ref}, processes: []sardine.Member{{VM: "vm-1", Incarnation: 1}}}
			segments := guard.SegmentsOf("team/model", []sardine.SegmentID{"d"})
			n.checks.addAbandoned(target, guard.Loss{Service: "team/model", Segments: segments, Failure: state.TargetFailure(ref), At: k.Now()})
			k.Advance(c.after)
			n.checks.begin(target, false) // another request broke off
			n.checks.tick()               // the view does not have the target
			require.Equal(t, c.want, n.strikes.segments.Count(segments[0]))
			require.LessOrEqual(t, len(n.checks.abandoned), c.want, "it is forgotten")
		})
	}
}
