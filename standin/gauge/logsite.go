package gauge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/peer"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
)

// logMember is one member with its server on loopback.
type logMember struct {
	id       sardine.NodeID
	folder   string
	listener net.Listener
	bytes    atomic.Int64 // received and sent by its server and its client
	isolated atomic.Bool  // all its messages are dropped
	node     *repl.Node
	link     *peer.Link
	server   *http.Server
	stopped  bool
}

// logSite is the set of members, which run in one process.
type logSite struct {
	members []*logMember
	list    []quorum.Member
	mu      sync.Mutex // guards LogResult.DiskBytes
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, bytes: l.bytes}, nil
}

// newLogSite starts the given number of members.
func newLogSite(folder string, count int) (*logSite, error) {
	s := &logSite{}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &logMember{id: sardine.NodeID(fmt.Sprintf("c%d", i+1)), listener: l}
		m.folder = filepath.Join(folder, string(m.id))
		s.members = append(s.members, m)
		s.list = append(s.list, quorum.Member{Node: m.id, Address: l.Addr().String()})
	}
	for _, m := range s.members {
		if err := m.start(s.list); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// isolatedLink drops outgoing messages while its member is isolated.
type isolatedLink struct {
	*peer.Link
	member *logMember
}

// Send sends the messages unless the member is isolated.
func (l isolatedLink) Send(to sardine.NodeID, batch []quorum.Message) {
	if !l.member.isolated.Load() {
		l.Link.Send(to, batch)
	}
}

// isolatedReceiver drops incoming messages while its member is isolated.
type isolatedReceiver struct {
	member *logMember
}

// Deliver delivers the messages unless the member is isolated.
func (r isolatedReceiver) Deliver(batch []quorum.Message) {
	if !r.member.isolated.Load() {
		r.member.node.Deliver(batch)
	}
}

// open creates the member's node, which reads its folder.
func (m *logMember) open(list []quorum.Member) (*repl.Node, error) {
	folder, err := disk.NewFolder(m.folder)
	if err != nil {
		return nil, err
	}
	return repl.New(repl.WithID(m.id), repl.WithSite("measure"), repl.WithMembers(list),
		repl.WithDisk(folder), repl.WithLink(isolatedLink{Link: m.link, member: m}))
}

func (m *logMember) start(list []quorum.Member) error {
	transport := peer.NewTransport()
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, bytes: &m.bytes}, nil
	}
	m.link = peer.NewLink("measure", m.id, m.listener.Addr().String(), peer.WithClient(&http.Client{Transport: transport}))
	node, err := m.open(list)
	if err != nil {
		return err
	}
	m.node = node
	prefix, handler := peer.NewServer("measure", isolatedReceiver{member: m}, m.link).Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	m.server = &http.Server{Handler: mux, Protocols: peer.Protocols()}
	go func() { _ = m.server.Serve(countedListener{Listener: m.listener, bytes: &m.bytes}) }()
	m.node.Start()
	return nil
}

func (m *logMember) stop() error {
	if m.stopped {
		return nil
	}
	m.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return errors.Join(m.node.Stop(ctx), m.link.Close(), m.server.Close())
}

func (s *logSite) stop() {
	for _, m := range s.members {
		_ = m.stop()
	}
}

// leader waits for a leader and returns it.
func (s *logSite) leader() (*logMember, error) {
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		for _, m := range s.members {
			if m.node.Leader().IsLeader {
				return m, nil
			}
		}
	}
	return nil, errors.New("no leader within 10 s")
}

// idle measures the network bytes and the processor time without load.
func (s *logSite) idle(result *LogResult, l *logMember) {
	time.Sleep(time.Second)
	before := make([]int64, len(s.members))
	for i, m := range s.members {
		before[i] = m.bytes.Load()
	}
	used := processorTime()
	time.Sleep(idleTime)
	result.IdleCore = (processorTime() - used).Seconds() / idleTime.Seconds() / float64(len(s.members))
	for i, m := range s.members {
		rate := float64(m.bytes.Load()-before[i]) / idleTime.Seconds()
		if m == l {
			result.IdleLeader = rate
		} else {
			result.IdleFollower = max(result.IdleFollower, rate)
		}
	}
}
