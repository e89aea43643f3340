package roster

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
)

// TestNext applies the changes that are due to lists of peers: each line is a member, whether
// it is a voter or a learner, for how many milliseconds it has been silent, and whether it has
// caught up. The answer is the changes, and the voters that are left beside the leader.
func TestNext(t *testing.T) {
	datadriven.RunTest(t, "testdata/next", func(t *testing.T, d *datadriven.TestData) string {
		peers := parsePeers(t, d.Input)
		var b strings.Builder
		for change, due := Next(peers); due; change, due = Next(peers) {
			names := map[quorum.ChangeKind]string{quorum.Promote: "promote", quorum.Remove: "remove"}
			fmt.Fprintf(&b, "%s %s\n", names[change.Kind], change.Member.Node)
			peers = apply(peers, change)
		}
		b.WriteString("voters:")
		for _, p := range peers {
			if !p.Member.Learner {
				fmt.Fprintf(&b, " %s", p.Member.Node)
			}
		}
		return b.String() + "\n"
	})
}

func parsePeers(t *testing.T, text string) []Peer {
	var peers []Peer
	for _, line := range strings.Split(text, "\n") {
		var name, kind, state string
		var silent sardine.Millis
		_, err := fmt.Sscan(line+" -", &name, &kind, &silent, &state)
		require.NoError(t, err, line)
		m := quorum.Member{Node: sardine.NodeID(name), Learner: kind == "learner"}
		peers = append(peers, Peer{Member: m, Silent: silent, CaughtUp: state == "caught_up"})
	}
	return peers
}

func apply(peers []Peer, change quorum.MemberChange) []Peer {
	var next []Peer
	for _, p := range peers {
		if p.Member.Node == change.Member.Node && change.Kind == quorum.Remove {
			continue
		}
		if p.Member.Node == change.Member.Node {
			p.Member.Learner = false
		}
		next = append(next, p)
	}
	return next
}
