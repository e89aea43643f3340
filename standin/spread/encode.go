package spread

import (
	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// restore returns the state machine of a control node that restarts, restored
// from its snapshot.
func (w *World) restore(m *state.Machine) *state.Machine {
	b, err := m.Snapshot()
	if err == nil && w.options.LoseChangeIDs {
		b, err = withoutChangeIDs(b)
	}
	if err == nil {
		m, err = state.RestoreMachine(b)
	}
	if err != nil {
		w.addViolation("a snapshot can't be restored: %v", err)
	}
	return m
}

func withoutChangeIDs(b []byte) ([]byte, error) {
	var s wire.Snapshot
	if err := proto.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	for _, t := range s.GetTeams() {
		t.Changes = nil
	}
	return proto.Marshal(&s)
}

func (w *World) send(from, to sardine.NodeID, m Message) {
	w.driver.Send(from, to, m)
}

func (w *World) sendRequest(from, to sardine.NodeID, number uint64, r follow.Request) {
	b, err := proto.Marshal(follow.RequestToWire(r))
	w.sendBody(from, to, Message{Kind: kindFollow, Call: number, Body: b}, err)
}

func (w *World) sendReply(from, to sardine.NodeID, number uint64, r follow.Reply) {
	b, err := proto.Marshal(follow.ReplyToWire(r))
	w.sendBody(from, to, Message{Kind: kindFollowReply, Call: number, Body: b}, err)
}

// sendBody counts and sends a message with an encoded body.
func (w *World) sendBody(from, to sardine.NodeID, m Message, err error) {
	if err != nil {
		w.addViolation("can't encode a message: %v", err)
		return
	}
	w.countTraffic(from, len(m.Body))
	w.countTraffic(to, len(m.Body))
	w.send(from, to, m)
}

func (w *World) countTraffic(id sardine.NodeID, bytes int) {
	t := w.traffic[id]
	if t == nil {
		t = &Traffic{}
		w.traffic[id] = t
	}
	t.Messages++
	t.Bytes += bytes
}

func (w *World) decodeRequest(b []byte) follow.Request {
	var m wire.FollowRequest
	if err := proto.Unmarshal(b, &m); err != nil {
		w.addViolation("can't decode a message: %v", err)
	}
	return follow.RequestFromWire(&m)
}

func (w *World) decodeReply(b []byte) follow.Reply {
	var m wire.FollowReply
	err := proto.Unmarshal(b, &m)
	if err != nil {
		w.addViolation("can't decode a message: %v", err)
	}
	r, err := follow.ReplyFromWire(&m)
	if err != nil {
		w.addViolation("can't decode a message: %v", err)
	}
	return r
}
