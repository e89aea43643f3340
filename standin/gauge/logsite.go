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
	bytes    atomic.Int64 // in and out, of its server and its client
	cut      atomic.Bool  // loses all messages
	node     *repl.Node
	link     *peer.Link
	server   *http.Server
	stopped  bool
}

// logSite is a set of members in one process.
type logSite struct {
	members []*logMember
	list    []quorum.Member
	mu      sync.Mutex
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

// newSite starts the members.
func newSite(folder string, count int) (*logSite, error) {
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

// cutLink drops messages while its member is cut off.
type cutLink struct {
	*peer.Link
	member *logMember
}

// Send hands on, or drops.
func (l cutLink) Send(to sardine.NodeID, batch []quorum.Message) {
	if !l.member.cut.Load() {
		l.Link.Send(to, batch)
	}
}

// cutReceiver drops messages while its member is cut off.
type cutReceiver struct {
	member *logMember
}

// Deliver hands on, or drops.
func (r cutReceiver) Deliver(batch []quorum.Message) {
	if !r.member.cut.Load() {
		r.member.node.Deliver(batch)
	}
}

// open opens the member's folder.
func (m *logMember) open(list []quorum.Member) (*repl.Node, error) {
	folder, err := disk.NewFolder(m.folder)
	if err != nil {
		return nil, err
	}
	return repl.New(repl.WithID(m.id), repl.WithSite("measure"), repl.WithMembers(list),
		repl.WithDisk(folder), repl.WithLink(cutLink{Link: m.link, member: m}))
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
	prefix, handler := peer.NewServer("measure", cutReceiver{member: m}, m.link).Handler()
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

// idle measures the bytes and the processor time without load.
func (s *logSite) idle(result *LogResult, l *logMember) {
	time.Sleep(time.Second)
	before := make([]int64, len(s.members))
	for i, m := range s.members {
		before[i] = m.bytes.Load()
	}
	used := processorTime()
	time.Sleep(idleFor)
	result.IdleCore = (processorTime() - used).Seconds() / idleFor.Seconds() / float64(len(s.members))
	for i, m := range s.members {
		rate := float64(m.bytes.Load()-before[i]) / idleFor.Seconds()
		if m == l {
			result.IdleLeader = rate
		} else {
			result.IdleFollower = max(result.IdleFollower, rate)
		}
	}
}
