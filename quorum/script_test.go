package quorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	sardine "sardineswitch.dev/sardine"
)

// fixedRandom always draws the lowest number, so that scripts choose who stands
// for election.
type fixedRandom struct{}

func (fixedRandom) Uint64() uint64   { return 0 }
func (fixedRandom) IntN(int) int     { return 0 }
func (fixedRandom) Float64() float64 { return 0 }

// stage is a set of cores whose messages and writes wait until a script lets
// them go on.
type stage struct {
	now   sardine.Millis
	cores map[sardine.NodeID]*Core
	order []sardine.NodeID
	mail  []Message
	down  map[sardine.NodeID]bool
	reads []string
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &stage{cores: make(map[sardine.NodeID]*Core), down: make(map[sardine.NodeID]bool)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func (s *stage) run(t *testing.T, d *datadriven.TestData) string {
	var node, other string
	d.MaybeScanArgs(t, "node", &node)
	d.MaybeScanArgs(t, "other", &other)
	c := s.cores[sardine.NodeID(node)]
	var err error
	switch d.Cmd {
	case "site":
		s.found(d.CmdArgs)
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
		_, err = c.Confirm(s.now)
	case "add", "promote", "remove":
		kinds := map[string]ChangeKind{"add": AddLearner, "promote": Promote, "remove": Remove}
		_, err = c.ChangeMember(s.now, MemberChange{Kind: kinds[d.Cmd], Member: Member{Node: sardine.NodeID(other)}})
	case "hand_over":
		c.HandOver(s.now)
	case "down", "up":
		s.down[sardine.NodeID(node)] = d.Cmd == "down"
	case "lose":
		s.collect()
		s.mail = nil
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

func (s *stage) found(args []datadriven.CmdArg) {
	var members []Member
	for _, a := range args {
		members = append(members, Member{Node: sardine.NodeID(a.Key)})
	}
	first := Position{Index: 1, Term: 1}
	for _, m := range members {
		s.add(m.Node, Stored{Snapshot: Snapshot{Position: first, Members: members}, Base: first})
	}
}

func (s *stage) add(id sardine.NodeID, stored Stored) {
	s.cores[id] = New(id, fixedRandom{}, stored, s.now, WithFolder(1))
	s.order = append(s.order, id)
}

// collect takes all outputs; every write is durable at once.
func (s *stage) collect() {
	for _, id := range s.order {
		for out := s.cores[id].Take(); !out.Empty(); out = s.cores[id].Take() {
			s.mail = append(s.mail, out.Messages...)
			s.mail = append(s.mail, out.Write.After...)
			s.cores[id].Synced(s.now, out.Write.Sequence)
			for _, r := range out.Reads {
				s.reads = append(s.reads, fmt.Sprintf("read %d confirmed=%t index=%d", r.Ticket, r.Confirmed, r.Index))
			}
		}
	}
}

// deliver carries messages until none is left. Those from or to a node that is
// down are lost.
func (s *stage) deliver() {
	for s.collect(); len(s.mail) > 0; s.collect() {
		mail := s.mail
		s.mail = nil
		for _, m := range mail {
			if c := s.cores[m.To]; c != nil && !s.down[m.To] && !s.down[m.From] {
				c.Step(s.now, m)
			}
		}
	}
}

func (s *stage) state() string {
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
