package quorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	sardine "sardineswitch.dev/sardine"
)

// fixedRandom always returns the lowest number, so that a script controls which
// member starts an election.
type fixedRandom struct{}

func (fixedRandom) Uint64() uint64   { return 0 }
func (fixedRandom) IntN(int) int     { return 0 }
func (fixedRandom) Float64() float64 { return 0 }

// cluster is a set of cores whose messages are held until a script delivers or
// drops them.
type cluster struct {
	now      sardine.Millis
	cores    map[sardine.NodeID]*Core
	order    []sardine.NodeID
	messages []Message
	down     map[sardine.NodeID]bool
	reads    []string
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &cluster{cores: make(map[sardine.NodeID]*Core), down: make(map[sardine.NodeID]bool)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func (s *cluster) run(t *testing.T, d *datadriven.TestData) string {
	var node, other string
	d.MaybeScanArgs(t, "node", &node)
	d.MaybeScanArgs(t, "other", &other)
	c := s.cores[sardine.NodeID(node)]
	var err error
	switch d.Cmd {
	case "site":
		s.bootstrap(d.CmdArgs)
	case "join":
		s.add(sardine.NodeID(node), Stored{})
	case "pass":
		ms := 0
		d.ScanArgs(t, "ms", &ms)
		s.now += sardine.Millis(ms)
	case "tick":
		c.Tick(s.now)
	case "propose":
		_, err = c.Propose(s.now, []byte("x"))
	case "confirm":
		_, err = c.ConfirmLeadership(s.now)
	case "add", "promote", "remove":
		kinds := map[string]ChangeKind{"add": AddLearner, "promote": Promote, "remove": Remove}
		_, err = c.ChangeMember(s.now, MemberChange{Kind: kinds[d.Cmd], Member: Member{Node: sardine.NodeID(other)}})
	case "hand_over":
		c.TransferLeadership(s.now)
	case "down", "up":
		s.down[sardine.NodeID(node)] = d.Cmd == "down"
	case "lose":
		s.collect()
		s.messages = nil
	case "deliver":
		s.deliver()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	if err != nil {
		return err.Error()
	}
	return s.state()
}

func (s *cluster) bootstrap(args []datadriven.CmdArg) {
	var members []Member
	for _, a := range args {
		members = append(members, Member{Node: sardine.NodeID(a.Key)})
	}
	first := Position{Index: 1, Term: 1}
	for _, m := range members {
		s.add(m.Node, Stored{Snapshot: Snapshot{Position: first, Members: members}, Base: first})
	}
}

func (s *cluster) add(id sardine.NodeID, stored Stored) {
	s.cores[id] = New(id, fixedRandom{}, stored, s.now, WithFolder(1))
	s.order = append(s.order, id)
}

// collect gathers the outputs of all cores; every write is durable at once.
func (s *cluster) collect() {
	for _, id := range s.order {
		for out := s.cores[id].Take(); !out.Empty(); out = s.cores[id].Take() {
			s.messages = append(s.messages, out.Messages...)
			s.messages = append(s.messages, out.Write.SendAfterSync...)
			s.cores[id].Synced(s.now, out.Write.Sequence)
			for _, r := range out.Reads {
				s.reads = append(s.reads, fmt.Sprintf("read %d confirmed=%t index=%d", r.Ticket, r.Confirmed, r.Index))
			}
		}
	}
}

// deliver passes messages on until none is left. Those from or to a node that is
// down are dropped.
func (s *cluster) deliver() {
	for s.collect(); len(s.messages) > 0; s.collect() {
		messages := s.messages
		s.messages = nil
		for _, m := range messages {
			if c := s.cores[m.To]; c != nil && !s.down[m.To] && !s.down[m.From] {
				c.Step(s.now, m)
			}
		}
	}
}

func (s *cluster) state() string {
	var lines []string
	for _, id := range s.order {
		g := s.cores[id].Status()
		var names []string
		for _, m := range g.Members {
			name := string(m.Node)
			if m.Learner {
				name += "?"
			}
			names = append(names, name)
		}
		line := fmt.Sprintf("%s %s term=%d last=%d commit=%d members=%s", id, g.Role, g.Term, g.Last.Index, g.Commit, strings.Join(names, ","))
		if g.Removed {
			line += " removed"
		}
		lines = append(lines, line)
	}
	lines = slices.Concat(lines, s.reads)
	s.reads = nil
	return strings.Join(lines, "\n")
}
