package entry

import (
	"context"

	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// openTraffic reports the site's first request to the control nodes, in the
// background. Until then, loads from the weight store are unmetered.
func (n *Node) openTraffic() {
	if n.view().trafficOpen || !n.openingTraffic.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.openingTraffic.Store(false)
		ctx, cancel := context.WithTimeout(n.baseCtx, n.timing.Submit.Duration())
		defer cancel()
		request := &wire.SubmitRequest{Command: state.ToWire(0, state.OpenTraffic{})}
		if _, err := n.control.Submit(ctx, request); err != nil {
			event.Log(n.log, event.DutyFailed, codeAttr(err)) // the next request tries again
		}
	}()
}
