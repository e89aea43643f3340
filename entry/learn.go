package entry

import (
	"context"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
)

const (
	// learnEvery is the time between two questions for the control nodes. They
	// change when a VM is replaced.
	learnEvery = 5 * sardine.Second
	// learnCall bounds one question.
	learnCall = sardine.Second
)

// SetControls replaces the control nodes that the settings name.
func (n *Node) SetControls(addresses []string) {
	n.seedsMu.Lock()
	n.controls = slices.Clone(addresses)
	n.seedsMu.Unlock()
	n.useControls(addresses)
}

// learnControls is a duty: it keeps up with the control nodes, so that those
// which the settings name may all be replaced one after the other.
func (n *Node) learnControls() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.clock.After(learnEvery):
		}
		n.learnOnce()
	}
}

func (n *Node) learnOnce() {
	n.seedsMu.Lock()
	seeds := slices.Clone(n.controls)
	n.seedsMu.Unlock()
	var last error
	for _, address := range n.control.Known() {
		ctx, cancel := context.WithTimeout(n.life, learnCall.Duration())
		members, err := n.control.Addresses(ctx, address)
		cancel()
		if err != nil || len(members) == 0 {
			last = err
			continue // the next one may answer
		}
		for _, seed := range seeds {
			if !slices.Contains(members, seed) {
				members = append(members, seed)
			}
		}
		n.useControls(members)
		return
	}
	if last != nil {
		event.Log(n.log, event.FollowLost, codeAttr(codes.Wrap(codes.NoQuorum, last, "no control node tells the members")))
	}
}

func (n *Node) useControls(addresses []string) {
	n.control.SetAddresses(addresses)
	n.follower.events.Push(n.life, controlsKnown{addresses: addresses})
}
