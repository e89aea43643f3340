package peer

import (
	"context"
	"net/http"
	"slices"

	"github.com/twitchtv/twirp"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
	"sardineswitch.dev/sardine/wirequ"
)

// Receiver handles received messages; repl.Node implements it.
type Receiver interface {
	Deliver(batch []quorum.Message)
}

// Server receives the messages of other members.
type Server struct {
	site     string
	receiver Receiver
	link     *Link
}

// NewServer returns a server of a site that passes messages to receiver. It
// records the senders' addresses in link, which may be nil, and sends answers in the
// replies to the calls that they answer.
func NewServer(site string, receiver Receiver, link *Link) *Server {
	if link != nil {
		link.setReceiver(receiver)
	}
	return &Server{site: site, receiver: receiver, link: link}
}

// Handler returns the HTTP handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, h http.Handler) {
	t := wire.NewPeerServer(s)
	return t.PathPrefix(), t
}

// Deliver passes a batch of messages to the receiver. It rejects batches of other
// sites.
func (s *Server) Deliver(ctx context.Context, w *wire.PeerBatch) (*wire.PeerAck, error) {
	if w.GetSite() != s.site {
		return nil, twirp.InvalidArgumentError("site", "this is site "+s.site)
	}
	if s.link != nil && w.GetAddress() != "" {
		s.link.AddAddress(sardine.NodeID(w.GetFrom()), w.GetAddress())
	}
	from := sardine.NodeID(w.GetFrom())
	batch := messagesFromWire(from, w.GetMessages())
	if s.link == nil || !w.GetTakesReplies() || !slices.ContainsFunc(batch, expectsAnswer) {
		s.receiver.Deliver(batch)
		return &wire.PeerAck{}, nil
	}
	call := s.link.answers.expect(from)
	s.receiver.Deliver(batch)
	ack := &wire.PeerAck{From: string(s.link.self)}
	for _, m := range s.link.answers.wait(ctx, s.link.clock, from, call) {
		ack.Messages = append(ack.Messages, messageToWire(m))
	}
	return ack, nil
}

// messageToWire encodes a message without its sender, which the batch or the call
// names.
func messageToWire(m quorum.Message) *wire.PeerMessage {
	m.From = ""
	return wirequ.MessageToWire(m)
}

func messagesFromWire(from sardine.NodeID, all []*wire.PeerMessage) []quorum.Message {
	batch := make([]quorum.Message, 0, len(all))
	for _, m := range all {
		message := wirequ.MessageFromWire(m)
		message.From = from
		batch = append(batch, message)
	}
	return batch
}
