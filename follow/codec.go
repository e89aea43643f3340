package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// RequestToWire returns the protobuf message of a request.
func RequestToWire(r Request) *wire.FollowRequest {
	w := &wire.FollowRequest{
		Node:        string(r.From.Node),
		Incarnation: uint64(r.From.Incarnation),
		Sequence:    r.Sequence,
		Applied:     r.Applied,
		Have:        r.Have,
		SetHash:     r.SetHash,
		Covered:     packBits(r.Covered),
		HoldMillis:  uint32(r.Hold),
	}
	for _, ref := range r.Set {
		w.Set = append(w.Set, &wire.NodeRef{Node: string(ref.Node), Incarnation: uint64(ref.Incarnation)})
	}
	for _, report := range r.Reports {
		w.Reports = append(w.Reports, ReportToWire(report))
	}
	return w
}

// RequestFromWire is the inverse of RequestToWire, except that the length of
// Covered is rounded up to a multiple of 8.
func RequestFromWire(w *wire.FollowRequest) Request {
	r := Request{
		From:     NodeRef{Node: sardine.NodeID(w.GetNode()), Incarnation: sardine.Incarnation(w.GetIncarnation())},
		Sequence: w.GetSequence(),
		Applied:  w.GetApplied(),
		Have:     w.GetHave(),
		SetHash:  w.GetSetHash(),
		Covered:  unpackBits(w.GetCovered()),
		Hold:     sardine.Millis(w.GetHoldMillis()),
	}
	for _, ref := range w.GetSet() {
		r.Set = append(r.Set, refFromWire(ref))
	}
	for _, report := range w.GetReports() {
		r.Reports = append(r.Reports, ReportFromWire(report))
	}
	return r
}

func refFromWire(w *wire.NodeRef) NodeRef {
	return NodeRef{Node: sardine.NodeID(w.GetNode()), Incarnation: sardine.Incarnation(w.GetIncarnation())}
}

func packBits(bits []bool) []byte {
	if len(bits) == 0 {
		return nil
	}
	b := make([]byte, (len(bits)+7)/8)
	for i, set := range bits {
		if set {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

func unpackBits(b []byte) []bool {
	if len(b) == 0 {
		return nil
	}
	bits := make([]bool, 8*len(b))
	for i := range bits {
		bits[i] = b[i/8]&(1<<(i%8)) != 0
	}
	return bits
}

// ReplyToWire returns the protobuf message of a reply.
func ReplyToWire(r Reply) *wire.FollowReply {
	w := &wire.FollowReply{
		After:       r.After,
		Snapshot:    r.Snapshot,
		Through:     r.Through,
		Relay:       r.Relay,
		WantSet:     r.WantSet,
		Term:        r.Term,
		FreshMillis: int64(r.ConfirmedOffset),
		Leader:      r.Leader,
		Leaderless:  r.Leaderless,
	}
	if r.Fault != nil {
		w.Fault = &wire.Fault{Code: int32(r.Fault.Code), Detail: r.Fault.Detail, Leader: r.Fault.Leader}
	}
	if r.Grant != nil {
		w.Grant = &wire.Grant{
			Sequence:      r.Grant.Sequence,
			ServingMillis: uint32(r.Grant.Serving),
			HoldingMillis: uint32(r.Grant.Holding),
			Floor:         r.Grant.Floor,
		}
	}
	for _, f := range r.Refused {
		w.Refused = append(w.Refused, &wire.Refusal{Node: string(f.Ref.Node), Incarnation: uint64(f.Ref.Incarnation), Code: int32(f.Code)})
	}
	for _, n := range r.Updates {
		w.News = append(w.News, &wire.News{Index: n.Index, Command: state.ToWire(n.At, n.Command)})
	}
	for _, home := range r.WantFull {
		w.WantFull = append(w.WantFull, string(home))
	}
	return w
}

// ReplyFromWire is the inverse of ReplyToWire. It returns codes.FormatVersion for
// a command that this version of the software does not support.
func ReplyFromWire(w *wire.FollowReply) (Reply, error) {
	r := Reply{
		After:           w.GetAfter(),
		Snapshot:        w.GetSnapshot(),
		Through:         w.GetThrough(),
		Relay:           w.GetRelay(),
		WantSet:         w.GetWantSet(),
		Term:            w.GetTerm(),
		ConfirmedOffset: sardine.Millis(w.GetFreshMillis()),
		Leader:          w.GetLeader(),
		Leaderless:      w.GetLeaderless(),
	}
	if f := w.GetFault(); f != nil {
		r.Fault = &Fault{Code: codes.Code(f.GetCode()), Detail: f.GetDetail(), Leader: f.GetLeader()}
	}
	if g := w.GetGrant(); g != nil {
		r.Grant = &lease.Grant{
			Sequence: g.GetSequence(),
			Serving:  sardine.Millis(g.GetServingMillis()),
			Holding:  sardine.Millis(g.GetHoldingMillis()),
			Floor:    g.GetFloor(),
		}
	}
	for _, f := range w.GetRefused() {
		ref := NodeRef{Node: sardine.NodeID(f.GetNode()), Incarnation: sardine.Incarnation(f.GetIncarnation())}
		r.Refused = append(r.Refused, Refusal{Ref: ref, Code: codes.Code(f.GetCode())})
	}
	for _, n := range w.GetNews() {
		at, c, err := state.FromWire(n.GetCommand())
		if err != nil {
			return Reply{}, err
		}
		r.Updates = append(r.Updates, Update{Index: n.GetIndex(), At: at, Command: c})
	}
	for _, home := range w.GetWantFull() {
		r.WantFull = append(r.WantFull, sardine.NodeID(home))
	}
	return r, nil
}
