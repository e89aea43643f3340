package entry

import (
	"context"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
)

// admittedRequest is a caller's request that was read and admitted.
type admittedRequest struct {
	request *request
	service serviceKey
	ticket  admit.Ticket // released by Node.releaseTicket
	sink    *sink
	ctx     context.Context // done when the caller disconnects, the deadline passes or the drain time is over
	cancel  context.CancelCauseFunc
}

// begin reads a request and waits until it may be dispatched. If the request is
// refused, the refusal has been sent and admitted is false.
func (n *Node) begin(w http.ResponseWriter, r *http.Request, read func(sardine.CallerPort, *http.Request, int64) (*request, error)) (b *admittedRequest, admitted bool) {
	k := n.beginTrace()
	unlimit := n.limitRead(w)
	q, err := read(n.callers, r, n.limits.BodyBytes)
	if err != nil {
		n.refuseTraced(w, k, err)
		return nil, false
	}
	unlimit()
	q.id, q.trace = k.ID(), k
	q.arrived = n.clock.Now()
	ctx, cancel := n.callerContext(r.Context())
	key, ticket, err := n.enter(ctx, q)
	if err != nil {
		cancel(nil)
		n.refuseTraced(w, k, err)
		return nil, false
	}
	return &admittedRequest{
		request: q,
		service: key,
		ticket:  ticket,
		sink:    newSink(n.callers, w, q.id, n.timing.Write),
		ctx:     ctx,
		cancel:  cancel,
	}, true
}
