package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// TestArbitraryMessages passes a core messages that no correct member would send.
// The core may stop with codes.InvariantBroken, but must neither panic nor lower
// its commit index or term.
func TestArbitraryMessages(t *testing.T) {
	names := []sardine.NodeID{"c1", "c2", "c3", "x"}
	number := rapid.Uint64Range(0, 12)
	rapid.Check(t, func(t *rapid.T) {
		first := Position{Index: 1, Term: 1}
		members := []Member{{Node: "c1"}, {Node: "c2"}, {Node: "c3"}}
		c := New("c1", fixedRandom{}, Stored{Snapshot: Snapshot{Position: first, Members: members}, Base: first}, 0, WithFolder(1))
		now := sardine.Millis(0)
		commit, term := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += sardine.Millis(rapid.IntRange(0, 500).Draw(t, "ms"))
			m := Message{
				Kind: Kind(rapid.IntRange(1, int(ElectNow)).Draw(t, "kind")), From: rapid.SampledFrom(names).Draw(t, "from"), To: "c1",
				Term: number.Draw(t, "term"), LogIndex: number.Draw(t, "index"), LogTerm: number.Draw(t, "log term"),
				Commit: number.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"), Hint: number.Draw(t, "hint"),
				Round: number.Draw(t, "round"), Settled: rapid.Bool().Draw(t, "settled"), Folder: number.Draw(t, "folder"),
			}
			for i := range rapid.Uint64Range(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, Entry{Index: m.LogIndex + 1 + i, Term: number.Draw(t, "entry term"), Kind: KindCommand})
			}
			m.Chunk = Chunk{Position: Position{Index: m.LogIndex, Term: m.LogTerm}, Members: members}
			c.Step(now, m)
			c.Tick(now)
			out := c.Take()
			if out.Err != nil {
				require.Equal(t, codes.InvariantBroken, codes.Of(out.Err))
				return
			}
			c.Synced(now, out.Write.Sequence)
			s := c.Status()
			require.GreaterOrEqual(t, s.Commit, commit)
			require.GreaterOrEqual(t, s.Term, term)
			commit, term = s.Commit, s.Term
		}
	})
}
