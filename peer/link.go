// Package peer carries consensus messages between control nodes over twirp: Link
// sends, Server receives.
package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	tomb "gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/wire"
	"sardineswitch.dev/sardine/wirequ"
)

const (
	// ringBatches is the number of batches that wait for one member. When it is
	// full the oldest is dropped: the core repeats what matters.
	ringBatches = 64
	// defaultTimeout bounds one call, so that a silent connection does not hold
	// up the messages behind it for long.
	defaultTimeout sardine.Millis = 800
)

// A connection without any frame for silentMost, and no answer to a ping within
// pingMost, is closed. After a cut of minutes TCP alone would wait about as long
// again before it sends anew.
const (
	silentMost = 2 * sardine.Second
	pingMost   = 1 * sardine.Second
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
	tomb    tomb.Tomb

	mu        sync.Mutex
	addresses map[sardine.NodeID]string
	outlets   map[sardine.NodeID]*outlet
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

// WithTimeout bounds one call.
func WithTimeout(d sardine.Millis) Option {
	return func(l *Link) { l.timeout = d }
}

// WithLogger sets where events go.
func WithLogger(logger *slog.Logger) Option {
	return func(l *Link) { l.logger = logger }
}

// NewLink returns a link for the node self of a site, whose own internal server
// listens on address.
func NewLink(site string, self sardine.NodeID, address string, options ...Option) *Link {
	l := &Link{
		site:      site,
		self:      self,
		address:   address,
		scheme:    "http",
		client:    &http.Client{Transport: NewTransport()},
		timeout:   defaultTimeout,
		logger:    slog.New(slog.DiscardHandler),
		addresses: make(map[sardine.NodeID]string),
		outlets:   make(map[sardine.NodeID]*outlet),
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
// cost a third of what HTTP/1.1 sends with each heartbeat.
func NewTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  silentMost.Duration(),
			PingTimeout:      pingMost.Duration(),
			WriteByteTimeout: pingMost.Duration(),
		},
	}
}

// Protocols returns what an http.Server needs to serve NewTransport: HTTP/1.1 and
// HTTP/2 without TLS.
func Protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// SetMembers tells the addresses of the members.
func (l *Link) SetMembers(members []quorum.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.addresses[m.Node] = m.Address
	}
}

// Learn notes the address of a sender that is not known as a member.
func (l *Link) Learn(n sardine.NodeID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[n] == "" {
		l.addresses[n] = address
	}
}

// Send queues messages for a member and never blocks.
func (l *Link) Send(to sardine.NodeID, batch []quorum.Message) {
	l.mu.Lock()
	o := l.outlets[to]
	if o == nil && l.tomb.Alive() {
		o = newOutlet(l, to)
		l.outlets[to] = o
		l.tomb.Go(o.run)
	}
	l.mu.Unlock()
	if o != nil {
		o.queue.Push(context.Background(), batch)
	}
}

// Close ends all sending and releases the connections.
func (l *Link) Close() error {
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	l.client.CloseIdleConnections()
	return err
}

func (l *Link) addressOf(n sardine.NodeID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[n]
}

// outlet is the duty that sends to one member.
type outlet struct {
	link    *Link
	to      sardine.NodeID
	queue   *ring.Ring[[]quorum.Message]
	address string
	client  wire.Peer
	failed  bool
}

func newOutlet(l *Link, to sardine.NodeID) *outlet {
	return &outlet{link: l, to: to, queue: ring.New[[]quorum.Message](ringBatches, ring.Replace)}
}

func (o *outlet) run() error {
	for {
		select {
		case <-o.link.tomb.Dying():
			return nil
		case batch := <-o.queue.Items():
			o.send(o.gather(batch))
		}
	}
}

// gather joins all batches that wait into one call.
func (o *outlet) gather(first []quorum.Message) *wire.PeerBatch {
	w := &wire.PeerBatch{Site: o.link.site, From: string(o.link.self)}
	batch := first
	for range ringBatches {
		for _, m := range batch {
			o.add(w, m)
		}
		select {
		case batch = <-o.queue.Items():
		default:
			return w
		}
	}
	return w
}

// add leaves out what the receiver knows: heartbeats go out all the time. Only a
// leader's other messages can be the first that a new member receives.
func (o *outlet) add(w *wire.PeerBatch, m quorum.Message) {
	if m.Kind != quorum.Heartbeat && m.Kind != quorum.HeartbeatReply {
		w.Address = o.link.address
	}
	m.From = ""
	w.Messages = append(w.Messages, wirequ.MessageTo(m))
}

func (o *outlet) send(w *wire.PeerBatch) {
	address := o.link.addressOf(o.to)
	if address == "" {
		return
	}
	if address != o.address {
		o.address = address
		o.client = wire.NewPeerProtobufClient(o.link.scheme+"://"+address, o.link.client)
	}
	ctx, cancel := context.WithTimeout(o.link.tomb.Context(context.Background()), o.link.timeout.Duration())
	defer cancel()
	_, err := o.client.Deliver(ctx, w)
	o.note(err)
}

// note logs the first failure after a success.
func (o *outlet) note(err error) {
	if err != nil && !o.failed && o.link.tomb.Alive() {
		event.Log(o.link.logger, event.PeerUnreachable,
			slog.String("peer", string(o.to)), slog.String("address", o.address), slog.String("error", err.Error()))
	}
	o.failed = err != nil
}
