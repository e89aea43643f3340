package entry

import (
	"context"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
)

const (
	// controlsInterval is the time between two queries for the control nodes'
	// addresses, which change when a VM is replaced.
	controlsInterval = 5 * sardine.Second
	// controlsTimeout bounds one query to one node.
	controlsTimeout = sardine.Second
)

// SetControls replaces the control nodes that the settings name.
func (n *Node) SetControls(addresses []string) {
	n.controlsMu.Lock()
	n.controls = slices.Clone(addresses)
	n.controlsMu.Unlock()
	n.useControls(addresses)
}

// refreshControls is the loop that keeps the list of control nodes current, so
// that all those named in the settings may be replaced over time.
func (n *Node) refreshControls() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(controlsInterval):
		}
		n.refreshControlsOnce()
	}
}

func (n *Node) refreshControlsOnce() {
	n.controlsMu.Lock()
	seeds := slices.Clone(n.controls)
	n.controlsMu.Unlock()
	members, err := ctlapi.Sweep(n.baseCtx, n.clock, n.control.ReportCandidates(string(n.id)), controlsTimeout, n.fetchControls, nil)
	if err != nil {
		event.Log(n.log, event.FollowLost, codeAttr(codes.Wrap(codes.NoQuorum, err, "no control node returned the members")))
		return
	}
	for _, seed := range seeds {
		if !slices.Contains(members, seed) {
			members = append(members, seed)
		}
	}
	n.useControls(members)
}

// fetchControls queries one control node for the addresses of all. A node that has not
// received the log yet knows none.
func (n *Node) fetchControls(ctx context.Context, address string) ([]string, error) {
	members, err := n.control.FetchAddresses(ctx, address)
	if err == nil && len(members) == 0 {
		return nil, codes.New(codes.NoQuorum, "control node %s knows no members", address)
	}
	return members, err
}

func (n *Node) useControls(addresses []string) {
	n.control.SetAddresses(addresses)
	n.follower.events.Push(n.baseCtx, controlsChanged{addresses: addresses})
}
