package gauge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sardineswitch.dev/sardine/standin/spread"
	"sardineswitch.dev/sardine/wire"
)

// Overhead is the cost of one call without its bodies, over loopback.
type Overhead struct {
	HTTP1Bytes float64 `json:"http1_bytes_per_call"` // headers and framing, both directions
	HTTP2Bytes float64 `json:"http2_bytes_per_call"`
	Writes     float64 `json:"http2_writes_per_call"`   // of both ends
	Micros     float64 `json:"micros_per_call_and_end"` // processor time of one end, over HTTP/2
}

// Spent is the cost of control of a node of one role, per second.
type Spent struct {
	Role        string  `json:"role"`
	Nodes       int     `json:"nodes"`
	Messages    float64 `json:"messages_per_s"`
	BodyBytes   float64 `json:"body_bytes_per_s"`
	HTTP1Bytes  float64 `json:"http1_bytes_per_s"`
	HTTP2Bytes  float64 `json:"http2_bytes_per_s"`
	TCPBytes    float64 `json:"http2_tcp_bytes_per_s"` // with the packet headers
	CoreMicros  float64 `json:"core_micros_per_s"`     // without the HTTP calls
	CorePercent float64 `json:"core_share_percent"`    // of one processor core, with the HTTP calls
}

// nodeCosts adds the overhead of the HTTP calls to the costs that the simulation
// measured. A message is half a call.
func nodeCosts(costs []spread.Cost, o Overhead) []Spent {
	all := make([]Spent, 0, len(costs))
	for _, c := range costs {
		calls := c.Messages / 2
		all = append(all, Spent{
			Role:        string(c.Role),
			Nodes:       c.Nodes,
			Messages:    c.Messages,
			BodyBytes:   c.Bytes,
			HTTP1Bytes:  c.Bytes + calls*o.HTTP1Bytes,
			HTTP2Bytes:  c.Bytes + calls*o.HTTP2Bytes,
			TCPBytes:    c.Bytes + calls*(o.HTTP2Bytes+(o.Writes+1)*packetBytes),
			CoreMicros:  c.Micros,
			CorePercent: (c.Micros + calls*o.Micros) / 1e4,
		})
	}
	return all
}

// followStub replies to every poll with the same grant.
type followStub struct {
	wire.Control
	reply *wire.FollowReply
}

// Follow implements wire.Control.
func (s followStub) Follow(context.Context, *wire.FollowRequest) (*wire.FollowReply, error) {
	return s.reply, nil
}

// meteredConn counts the bytes of both directions and the writes of one end.
type meteredConn struct {
	countedConn
	writes *atomic.Int64
}

// Write counts a write and its bytes.
func (c meteredConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.countedConn.Write(b)
}

// meteredListener counts the writes of the connections it accepts.
type meteredListener struct {
	net.Listener
	writes *atomic.Int64
}

// Accept waits for the next connection.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{countedConn: countedConn{Conn: c, bytes: new(atomic.Int64)}, writes: l.writes}, nil
}

func measureOverhead() (Overhead, error) {
	one, err := callOverhead(false)
	if err != nil {
		return Overhead{}, err
	}
	two, err := callOverhead(true)
	two.HTTP1Bytes = one.HTTP2Bytes
	return two, err
}

// callOverhead makes real calls on loopback. It returns the cost of a call in the
// fields for HTTP/2, also if the calls use HTTP/1.
func callOverhead(http2 bool) (Overhead, error) {
	const warm, calls = 50, 2000
	reply := &wire.FollowReply{Grant: &wire.Grant{Sequence: 100_000, ServingMillis: 3500, Floor: 50_000}, After: 50_000, Through: 50_000, Term: 7}
	request := &wire.FollowRequest{Node: "entry-osu-17", Incarnation: 12, Sequence: 100_000, Applied: 50_000, Have: 50_000, HoldMillis: 700}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Overhead{}, err
	}
	var bytes, writes atomic.Int64
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	server := &http.Server{Handler: wire.NewControlServer(followStub{reply: reply}), Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(meteredListener{Listener: listener, writes: &writes}) }()
	defer func() { _ = server.Close() }()
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return meteredConn{countedConn: countedConn{Conn: c, bytes: &bytes}, writes: &writes}, err
	}}
	defer transport.CloseIdleConnections()
	client := wire.NewControlProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
	if err := makeCalls(client, request, warm); err != nil {
		return Overhead{}, err
	}
	bytes.Store(0)
	writes.Store(0)
	busy := processorTime()
	if err := makeCalls(client, request, calls); err != nil {
		return Overhead{}, err
	}
	busy = processorTime() - busy
	bodies := proto.Size(request) + proto.Size(reply)
	return Overhead{
		HTTP2Bytes: float64(bytes.Load())/calls - float64(bodies),
		Writes:     float64(writes.Load()) / calls,
		Micros:     float64(busy.Microseconds()) / calls / 2,
	}, nil
}

func makeCalls(client wire.Control, request *wire.FollowRequest, calls int) error {
	for range calls {
		if _, err := client.Follow(context.Background(), request); err != nil {
			return err
		}
	}
	return nil
}
