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

// Guards against requests that are blamed for the end of a group which was to leave,
// or not blamed for that of a member which is not its head.
func TestEndsOfGroupsFollowTheLog(t *testing.T) {
	const head, member = sardine.VMID("vm-1"), sardine.VMID("vm-2")
	for name, c := range map[string]struct {
		standing standing // of the member, none at all if its incarnation is 0
		after    sardine.Millis
		want     int
	}{
		"well":                     {standing{incarnation: 1}, 0, 0},
		"dropped":                  {standing{}, 0, 1},
		"started again":            {standing{incarnation: 2}, 0, 1},
		"leaving":                  {standing{incarnation: 1, leaving: true}, 0, 0},
		"dropped long after":       {standing{}, checkWatch + 1, 0},
		"started again, may leave": {standing{incarnation: 2, leaving: true}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			k := clock.NewVirtual(1000)
			n := &Node{clock: k, log: logs.Discard(), id: "e1"}
			n.published.Store(&published{view: emptyView()})
			var err error
			n.meter, err = newInstruments(n)
			require.NoError(t, err)
			n.checks, n.strikes = newChecks(n), newStrikes(n)
			crew := []sardine.Member{{VM: head, Incarnation: 1}, {VM: member, Incarnation: 1}}
			ref := route.Ref{Group: "g", Epoch: 3}
			f := guard.Of([]byte("body"))
			one := n.checks.begin(dispatched{candidate: route.Candidate{Ref: ref}, crew: crew}, false)
			n.checks.blame(one, guard.Loss{Fingerprint: f, End: state.End(ref), At: k.Now()})
			v := emptyView()
			v.standings[head] = standing{incarnation: 1}
			if c.standing.incarnation > 0 {
				v.standings[member] = c.standing
			}
			k.Advance(c.after)
			n.published.Store(&published{view: v})
			n.checks.tick()
			require.Equal(t, c.want, n.strikes.known(f))
		})
	}
}
