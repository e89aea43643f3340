package entry

import (
	"context"

	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// openTraffic tells the control nodes of the site's first request, so that loads
// from the weight store no longer count as free. It does not wait.
func (n *Node) openTraffic() {
	if n.view().trafficOpen || !n.opening.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.opening.Store(false)
		ctx, cancel := context.WithTimeout(n.life, n.timing.Submit.Duration())
		defer cancel()
		request := &wire.SubmitRequest{Command: state.ToWire(0, state.OpenTraffic{})}
		if _, err := n.control.Submit(ctx, request); err != nil {
			event.Log(n.log, event.DutyFailed, codeAttr(err)) // the next request tries again
		}
	}()
}
