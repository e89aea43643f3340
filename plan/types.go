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
	// Live returns a target's newest status. It is false if no entry node
	// confirms the target as alive.
	Live(vm sardine.VMID) (fleet.Status, bool)
	// Settled reports whether a target for which Live is false is lost. It is
	// false for a short while after an election.
	Settled() bool
}

// SendOrder is an order and the engine that receives it.
type SendOrder struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Address     string
	Order       sardine.Order
}

// Output is what a round asks its caller to do.
type Output struct {
	// Commands are proposed to the log one after the other, in this order.
	// Planner.Proposed receives each result.
	Commands []state.Command
	// Orders are sent to the engines concurrently. Planner.OrderDone receives
	// each result.
	Orders []SendOrder
	// Waits lists what keeps deployments and groups from serving.
	Waits []Wait
	// Wake is when the next round is due even if nothing changes.
	Wake sardine.Millis
}

// Wait is a reason why a deployment or one of its groups does not serve.
type Wait struct {
	Team    sardine.Team
	Service sardine.ServiceName
	Group   sardine.GroupID // empty if the group does not exist yet
	Reason  string
}

// DeploymentKey identifies a deployment of a team.
type DeploymentKey struct {
	Team    sardine.Team
	Service sardine.ServiceName
}
