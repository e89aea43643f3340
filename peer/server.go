package peer

import (
	"context"
	"net/http"

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
// records the senders' addresses in link, which may be nil.
func NewServer(site string, receiver Receiver, link *Link) *Server {
	return &Server{site: site, receiver: receiver, link: link}
}

// Handler returns the HTTP handler and the path prefix to mount it under.
func (s *Server) Handler() (prefix string, h http.Handler) {
	t := wire.NewPeerServer(s)
	return t.PathPrefix(), t
}

// Deliver passes a batch of messages to the receiver. It rejects batches of other
// sites.
func (s *Server) Deliver(_ context.Context, w *wire.PeerBatch) (*wire.PeerAck, error) {
	if w.GetSite() != s.site {
		return nil, twirp.InvalidArgumentError("site", "this is site "+s.site)
	}
	if s.link != nil && w.GetAddress() != "" {
		s.link.AddAddress(sardine.NodeID(w.GetFrom()), w.GetAddress())
	}
	batch := make([]quorum.Message, 0, len(w.GetMessages()))
	for _, m := range w.GetMessages() {
		message := wirequ.MessageFromWire(m)
		message.From = sardine.NodeID(w.GetFrom())
		batch = append(batch, message)
	}
	s.receiver.Deliver(batch)
	return &wire.PeerAck{}, nil
}
