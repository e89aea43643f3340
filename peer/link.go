// Package peer transports consensus messages between control nodes over twirp:
// Link sends them, Server receives them.
package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	tomb "gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/wire"
)

const (
	// queuedBatches is the number of batches queued for one member. A full queue
	// drops its oldest batch: the consensus core sends again what is still needed.
	queuedBatches = 64
	// defaultTimeout bounds one call, so that a connection without replies does not
	// delay the queued messages for long.
	defaultTimeout sardine.Millis = 800
)

// A connection is closed if no frame arrives for pingAfter and then no reply to a
// ping within pingTimeout. After a network partition of minutes, TCP alone would
// take about as long again until it retransmits.
const (
	pingAfter   = 2 * sardine.Second
	pingTimeout = 1 * sardine.Second
)

// Link sends messages to the other members. It is safe for concurrent use.
type Link struct {
	site    string
	self    sardine.NodeID
	address string // own
	scheme  string
	client  *http.Client
	timeout sardine.Millis
	logger  *slog.Logger
	clock   sardine.Clock
	answers *answers
	tomb    tomb.Tomb

	mu        sync.Mutex
	receiver  Receiver // handles the messages in the acks of calls, nil until there is a server
	addresses map[sardine.NodeID]string
	senders   map[sardine.NodeID]*sender
}

// Option configures a Link.
type Option func(*Link)

// WithClient sets the HTTP client, for example one with TLS.
func WithClient(c *http.Client) Option {
	return func(l *Link) { l.client = c }
}

// WithScheme sets "http" or "https".
func WithScheme(scheme string) Option {
	return func(l *Link) { l.scheme = scheme }
}

// WithTimeout sets the timeout of one call.
func WithTimeout(d sardine.Millis) Option {
	return func(l *Link) { l.timeout = d }
}

// WithLogger sets the logger of events.
func WithLogger(logger *slog.Logger) Option {
	return func(l *Link) { l.logger = logger }
}

// NewLink returns a link of the node self of a site. address is the address of
// the node's own internal server, which new members learn from it.
func NewLink(site string, self sardine.NodeID, address string, options ...Option) *Link {
	l := &Link{
		site:      site,
		self:      self,
		address:   address,
		scheme:    "http",
		client:    &http.Client{Transport: NewTransport()},
		timeout:   defaultTimeout,
		logger:    slog.New(slog.DiscardHandler),
		clock:     clock.NewReal(),
		answers:   newAnswers(),
		addresses: make(map[sardine.NodeID]string),
		senders:   make(map[sardine.NodeID]*sender),
	}
	for _, o := range options {
		o(l)
	}
	l.tomb.Go(func() error {
		<-l.tomb.Dying()
		return nil
	})
	return l
}

// NewTransport returns a transport for HTTP/2 without TLS. Its compressed headers
// take a third of the bytes that HTTP/1.1 sends with each heartbeat.
func NewTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter.Duration(),
			PingTimeout:      pingTimeout.Duration(),
			WriteByteTimeout: pingTimeout.Duration(),
		},
	}
}

// Protocols returns the protocols that an http.Server must enable for clients that
// use NewTransport: HTTP/2 without TLS, besides HTTP/1.1.
func Protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// SetMembers sets the addresses of the members. The addresses of other nodes stay.
func (l *Link) SetMembers(members []quorum.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.addresses[m.Node] = m.Address
	}
}

// AddAddress records the address of a sender unless one is known already.
func (l *Link) AddAddress(n sardine.NodeID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[n] == "" {
		l.addresses[n] = address
	}
}

// Send queues messages for a member and never blocks. Answers to a call of the member
// that waits for them go out in its reply.
func (l *Link) Send(to sardine.NodeID, batch []quorum.Message) {
	if l.answers.offer(to, batch) {
		return
	}
	l.mu.Lock()
	s := l.senders[to]
	if s == nil && l.tomb.Alive() {
		s = newSender(l, to)
		l.senders[to] = s
		l.tomb.Go(s.run)
	}
	l.mu.Unlock()
	if s != nil {
		s.queue.Push(context.Background(), batch)
	}
}

// Close stops sending and closes idle connections.
func (l *Link) Close() error {
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	l.client.CloseIdleConnections()
	return err
}

// setReceiver sets the receiver of the messages in the acks of calls.
func (l *Link) setReceiver(r Receiver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiver = r
}

func (l *Link) currentReceiver() Receiver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receiver
}

func (l *Link) addressOf(n sardine.NodeID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[n]
}

// sender is the loop that sends to one member.
type sender struct {
	link    *Link
	to      sardine.NodeID
	queue   *ring.Ring[[]quorum.Message]
	address string
	client  wire.Peer
	failed  bool
}

func newSender(l *Link, to sardine.NodeID) *sender {
	return &sender{link: l, to: to, queue: ring.New[[]quorum.Message](queuedBatches, ring.DropOldest)}
}

func (s *sender) run() error {
	for {
		select {
		case <-s.link.tomb.Dying():
			return nil
		case batch := <-s.queue.Items():
			s.send(s.collect(batch))
		}
	}
}

// collect joins all queued batches into one call.
func (s *sender) collect(first []quorum.Message) *wire.PeerBatch {
	w := &wire.PeerBatch{Site: s.link.site, From: string(s.link.self)}
	batch := first
	for range queuedBatches {
		for _, m := range batch {
			s.add(w, m)
		}
		select {
		case batch = <-s.queue.Items():
		default:
			return w
		}
	}
	return w
}

// add appends a message without its sender, which the batch names. Heartbeats are
// frequent, so they do not carry this node's address: the first message that a
// new member receives is always of another kind.
func (s *sender) add(w *wire.PeerBatch, m quorum.Message) {
	if m.Kind != quorum.Heartbeat && m.Kind != quorum.HeartbeatReply {
		w.Address = s.link.address
	}
	w.Messages = append(w.Messages, messageToWire(m))
}

func (s *sender) send(w *wire.PeerBatch) {
	address := s.link.addressOf(s.to)
	if address == "" {
		return
	}
	if address != s.address {
		s.address = address
		s.client = wire.NewPeerProtobufClient(s.link.scheme+"://"+address, s.link.client)
	}
	ctx, cancel := context.WithTimeout(s.link.tomb.Context(context.Background()), s.link.timeout.Duration())
	defer cancel()
	receiver := s.link.currentReceiver()
	w.TakesReplies = receiver != nil
	ack, err := s.client.Deliver(ctx, w)
	s.recordResult(err)
	if receiver != nil && len(ack.GetMessages()) > 0 {
		receiver.Deliver(messagesFromWire(sardine.NodeID(ack.GetFrom()), ack.GetMessages()))
	}
}

// recordResult logs the first failure after a success.
func (s *sender) recordResult(err error) {
	if err != nil && !s.failed && s.link.tomb.Alive() {
		event.Log(s.link.logger, event.PeerUnreachable,
			slog.String("peer", string(s.to)), slog.String("address", s.address), slog.String("error", err.Error()))
	}
	s.failed = err != nil
}
