package entry

import (
	"context"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/upload"
)

// How long a request may wait for the memory of its body. A large one takes a second or
// more on its way in any case, while others share the link.
const (
	shortBodyWait  = sardine.Second
	largeBodyWait  = 3 * sardine.Second
	largeBodyBytes = 128 << 10
)

// bodyWait returns how long the request may wait for the memory of its body.
func bodyWait(r *http.Request) sardine.Millis {
	if r.ContentLength < 0 || r.ContentLength > largeBodyBytes {
		return largeBodyWait
	}
	return shortBodyWait
}

// admittedRequest is a caller's request that was read and admitted.
type admittedRequest struct {
	request *request
	service serviceKey
	ticket  admit.Ticket // released by Node.releaseTicket
	sink    *sink
	ctx     context.Context // done when the caller disconnects, the deadline passes or the drain time is over
	cancel  context.CancelCauseFunc
	body    *upload.Body
}

// end releases what the request holds.
func (b *admittedRequest) end() {
	b.cancel(nil)
	b.body.Release()
}

// begin reads a request and waits until it may be dispatched. If the request is
// refused, the refusal has been sent and admitted is false.
func (n *Node) begin(w http.ResponseWriter, r *http.Request, read func(sardine.CallerPort, *http.Request, bodyFunc) (*request, error)) (b *admittedRequest, admitted bool) {
	k := n.beginTrace()
	unlimit := n.limitRead(w)
	var body *upload.Body
	q, err := read(n.callers, r, func() (bytes []byte, err error) {
		if body, err = n.uploads.Read(w, r, n.limits.BodyBytes, bodyWait(r)); err != nil {
			return nil, err
		}
		return body.Bytes(), nil
	})
	if err != nil {
		body.Release()
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
		body.Release()
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
		body:    body,
	}, true
}
