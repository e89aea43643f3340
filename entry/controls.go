package entry

import (
	"context"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const (
	// controlsInterval is the time between two queries for the control nodes'
	// addresses, which change when a VM is replaced.
	controlsInterval = 5 * sardine.Second
	// controlsTimeout bounds one query.
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
	var lastErr error
	for _, address := range n.control.ReportCandidates(string(n.id)) {
		ctx, cancel := context.WithTimeout(n.baseCtx, controlsTimeout.Duration())
		members, err := n.control.FetchAddresses(ctx, address)
		cancel()
		if err != nil || len(members) == 0 {
			lastErr = err
			continue // try the next one
		}
		for _, seed := range seeds {
			if !slices.Contains(members, seed) {
				members = append(members, seed)
			}
		}
		n.useControls(members)
		return
	}
	if lastErr != nil {
		event.Log(n.log, event.FollowLost, codeAttr(codes.Wrap(codes.NoQuorum, lastErr, "no control node returned the members")))
	}
}

func (n *Node) useControls(addresses []string) {
	n.control.SetAddresses(addresses)
	n.follower.events.Push(n.baseCtx, controlsChanged{addresses: addresses})
}
