package entry

import (
	"context"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
)

// begun is a caller's request that was read and admitted.
type begun struct {
	request *request
	service serviceKey
	ticket  admit.Ticket // goes back by Node.leave
	sink    *sink
	ctx     context.Context // ends with the caller, its deadline or the drain time
	cancel  context.CancelCauseFunc
}

// begin reads a request and waits until it may be dispatched. One that is refused
// has its answer; then admitted is false.
func (n *Node) begin(w http.ResponseWriter, r *http.Request, read func(sardine.CallerPort, *http.Request, int64) (*request, error)) (b *begun, admitted bool) {
	k := n.beginTrace()
	n.extendRead(w)
	q, err := read(n.callers, r, n.limits.BodyBytes)
	if err != nil {
		n.refuseTraced(w, k, err)
		return nil, false
	}
	q.id, q.trace = k.ID(), k
	q.arrived = n.clock.Now()
	ctx, cancel := n.callerContext(r.Context())
	key, ticket, err := n.enter(ctx, q)
	if err != nil {
		cancel(nil)
		n.refuseTraced(w, k, err)
		return nil, false
	}
	return &begun{
		request: q,
		service: key,
		ticket:  ticket,
		sink:    newSink(n.callers, w, q.id, n.timing.Write),
		ctx:     ctx,
		cancel:  cancel,
	}, true
}
