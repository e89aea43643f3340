package serve

import (
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/reply"
)

// TargetPort implements sardine.TargetPort for engines and plain services that use the
// product's own protocol.
type TargetPort struct{}

// NewTargetPort returns the port to targets.
func NewTargetPort() TargetPort {
	return TargetPort{}
}

// ownHeaders are the headers of callers' requests and targets' answers that this
// system interprets itself and does not forward.
var ownHeaders = []string{
	"Authorization", reply.HeaderWorkspace, reply.HeaderDeadline, reply.HeaderPriority,
	order.HeaderEpoch, order.HeaderGroup, reply.HeaderRequest, order.HeaderResume, reply.HeaderRan,
}

// Prepare replaces the caller's headers that are meant for this system by those of
// the dispatch.
func (TargetPort) Prepare(h http.Header, d sardine.Dispatch) {
	for _, name := range ownHeaders {
		h.Del(name)
	}
	h.Del(reply.HeaderIdempotencyKey)
	h.Set(reply.HeaderRequest, string(d.Request))
	if d.Group != "" {
		h.Set(order.HeaderGroup, string(d.Group))
		h.Set(order.HeaderEpoch, strconv.FormatUint(uint64(d.Epoch), 10))
		h.Set(reply.HeaderPriority, sardine.PriorityOfRank(d.Rank).String())
	}
	if next := nextToken(d.LastEvent); next > 0 {
		h.Set(order.HeaderResume, strconv.Itoa(next))
	}
}

// LastEvent returns the id of the last event that a caller has received, if it has
// received the given number of tokens.
func LastEvent(tokens int) string {
	if tokens == 0 {
		return ""
	}
	return strconv.Itoa(tokens - 1)
}

// nextToken returns the index of the token after an event. The id of an event is
// the index of its token.
func nextToken(lastEvent string) int {
	last, err := strconv.Atoi(lastEvent)
	if err != nil {
		return 0
	}
	return last + 1
}

// Reply returns the meaning of an answer's head. Plain services need not name the
// request.
func (TargetPort) Reply(status int, h http.Header) sardine.Reply {
	r := sardine.Reply{Request: sardine.RequestID(h.Get(reply.HeaderRequest))}
	if status >= http.StatusBadRequest && h.Get(reply.HeaderRan) == sardine.RanNo.String() {
		r.Ran = sardine.RanNo
		r.Misdirected = status == http.StatusConflict
	}
	if load, err := annc.ParseLoad(h.Get(annc.HeaderLoad)); err == nil {
		r.Load, r.HasLoad = load, true
	}
	rate, stated, err := quota.ParseLimit(h.Values(annc.HeaderLimit))
	if err != nil {
		r.InvalidLimit = err.Error()
	}
	r.Limit, r.HasLimit = rate, stated
	return r
}

// ForwardedHeader returns the header of a target's answer without hop-by-hop fields and
// the fields meant for this system.
func ForwardedHeader(from http.Header) http.Header {
	passed := proxy.EndToEndHeader(from)
	for _, name := range ownHeaders {
		passed.Del(name)
	}
	passed.Del(annc.HeaderLoad)
	passed.Del(annc.HeaderLimit)
	return passed
}
