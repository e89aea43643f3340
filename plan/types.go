// Package plan decides at the control leader which VMs form which groups, and
// repairs, moves and dissolves groups. It is deterministic and reads no clock.
package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/state"
)

// Fleet is the view of the live targets. Implementation: fleet.View.
type Fleet interface {
	// Live returns a target's newest status, false if nothing vouches for it.
	Live(vm sardine.VMID) (fleet.Status, bool)
	// Settled reports whether a target that Live does not know is gone. It is
	// false for a short while after an election.
	Settled() bool
}

// SendOrder is an order and the engine it goes to.
type SendOrder struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Address     string
	Order       sardine.Order
}

// Output is what one round wants done.
type Output struct {
	// Commands go through the log one after the other, in this order. Each
	// result is told to Planner.Proposed.
	Commands []state.Command
	// Orders go to the engines, all at once. Each end is told to
	// Planner.OrderDone.
	Orders []SendOrder
	// Waits tells what keeps deployments and groups from serving.
	Waits []Wait
	// Wake is the instant at which a round is due even without news.
	Wake sardine.Millis
}

// Wait is a reason why a deployment or one of its groups does not serve.
type Wait struct {
	Team    sardine.Team
	Service sardine.ServiceName
	Group   sardine.GroupID // empty if the group does not exist yet
	Reason  string
}

// Kind is one deployment of one team.
type Kind struct {
	Team    sardine.Team
	Service sardine.ServiceName
}
