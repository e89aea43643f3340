package entry

import (
	"context"
	"encoding/hex"
	"log/slog"

	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// poisoned reports whether the request has crashed too many groups.
func (n *Node) poisoned(fingerprint []byte) bool {
	return n.view().poisons[string(fingerprint)]
}

// strike tells all nodes that the request was running when its group failed. It
// returns once the log has it, so that the request is not sent to another group
// before the strike counts everywhere; if the log can't take it in time, the
// request goes on without.
func (n *Node) strike(ctx context.Context, q *request, c route.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, n.timing.Submit.Duration())
	defer cancel()
	strike := state.Strike{Fingerprint: q.fingerprint, Group: c.Group, Epoch: c.Epoch}
	if _, err := n.control.Submit(ctx, &wire.SubmitRequest{Command: state.ToWire(0, strike)}); err != nil {
		event.Log(n.log, event.RequestFailed, requestAttr(q.id), codeAttr(err))
		return
	}
	event.Log(n.log, event.RequestPoison, requestAttr(q.id), slog.String("fingerprint", hex.EncodeToString(q.fingerprint)))
}
