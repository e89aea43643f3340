package wirequ

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

func members(t *rapid.T) []quorum.Member {
	n := rapid.IntRange(1, 7).Draw(t, "members")
	all := make([]quorum.Member, n)
	for i := range all {
		all[i] = quorum.Member{
			Node:    sardine.NodeID(rapid.StringN(1, 5, -1).Draw(t, "node")),
			Address: rapid.String().Draw(t, "address"),
			Learner: rapid.Bool().Draw(t, "learner"),
		}
	}
	return all
}

func entry(t *rapid.T) quorum.Entry {
	e := quorum.Entry{Index: rapid.Uint64().Draw(t, "index"), Term: rapid.Uint64().Draw(t, "term"), Kind: quorum.KindCommand}
	if rapid.Bool().Draw(t, "list") {
		e.Kind = quorum.KindMembers
		e.Members = members(t)
		return e
	}
	e.Data = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "data")
	return e
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64()
		m := quorum.Message{
			Kind: quorum.Kind(rapid.IntRange(1, int(quorum.ElectNow)).Draw(t, "kind")), From: "c1", To: "c2",
			Term: number.Draw(t, "term"), LogIndex: number.Draw(t, "index"), LogTerm: number.Draw(t, "log term"),
			Commit: number.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"), Hint: number.Draw(t, "hint"),
			Round: number.Draw(t, "round"), Force: rapid.Bool().Draw(t, "force"),
			Settled: rapid.Bool().Draw(t, "settled"), Folder: number.Draw(t, "folder"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			m.Entries = append(m.Entries, entry(t))
		}
		if m.Kind == quorum.Install {
			m.Chunk = quorum.Chunk{
				Position: quorum.Position{Index: number.Draw(t, "chunk index"), Term: number.Draw(t, "chunk term")},
				Offset:   number.Draw(t, "offset"), Total: number.Draw(t, "total"),
				Members: members(t), Data: rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "chunk"),
			}
		}
		data, err := proto.Marshal(MessageToWire(m))
		require.NoError(t, err)
		w := &wire.PeerMessage{}
		require.NoError(t, proto.Unmarshal(data, w))
		require.Equal(t, m, MessageFromWire(w))
	})
}
