package store

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
)

// fixture is one data folder that a script operates on.
type fixture struct {
	disk  *disk.Memory
	store *Store
	id    Identity
	term  uint64
}

// TestScripts runs the scripts in testdata. Commands print their result; open
// also prints the content of the log.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &fixture{disk: disk.NewMemory(rand.New(rand.NewPCG(1, 2))), id: Identity{Site: "accra", Node: "c1"}, term: 1}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.run(t, d) })
	})
}

func (b *fixture) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "open":
		return b.open(t, d)
	case "append":
		var from, to uint64
		d.ScanArgs(t, "from", &from)
		d.ScanArgs(t, "to", &to)
		d.MaybeScanArgs(t, "term", &b.term)
		return codeName(b.store.Write(quorum.Write{Sequence: 1, Entries: entries(from, to, b.term), Hard: &quorum.HardState{Term: b.term}}))
	case "snapshot", "install":
		var index uint64
		d.ScanArgs(t, "index", &index)
		d.MaybeScanArgs(t, "term", &b.term)
		snap := quorum.Snapshot{Position: quorum.Position{Index: index, Term: b.term}, Data: []byte(fmt.Sprint("state ", index)), Members: []quorum.Member{{Node: "c1"}}}
		if d.Cmd == "install" {
			return codeName(b.store.Write(quorum.Write{Sequence: 1, Install: &snap}))
		}
		return codeName(b.store.SaveSnapshot(snap))
	case "compact":
		var index uint64
		d.ScanArgs(t, "index", &index)
		return codeName(b.store.Compact(index))
	case "files":
		names, err := b.disk.List()
		require.NoError(t, err)
		return strings.Join(names, "\n")
	default:
		return b.injectFault(t, d)
	}
}

// injectFault runs the commands that cause faults or remove them.
func (b *fixture) injectFault(t *testing.T, d *datadriven.TestData) string {
	var name string
	offset := 0
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "offset", &offset)
	switch d.Cmd {
	case "fill":
		b.disk.LimitFree(int64(offset))
	case "fail_sync":
		b.disk.FailSyncs(offset, 1)
	case "heal":
		b.disk.LimitFree(-1)
		b.disk.FailSyncs(0, 0)
	case "crash":
		b.disk.Crash()
	case "flip":
		if name == "" { // the last byte of the log
			name, offset = b.lastByte(t)
		}
		require.True(t, b.disk.FlipBit(name, offset))
	case "truncate":
		require.NoError(t, b.disk.Truncate(name, int64(offset)))
	case "remove":
		require.NoError(t, b.disk.Remove(name))
	case "extend":
		f, err := b.disk.Append(name)
		require.NoError(t, err)
		_, err = f.Write(make([]byte, offset))
		require.NoError(t, err)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

func (b *fixture) lastByte(t *testing.T) (name string, offset int) {
	names, err := b.disk.List()
	require.NoError(t, err)
	for _, n := range names {
		if isSegment(n) {
			name = n
		}
	}
	data, err := b.disk.ReadFile(name)
	require.NoError(t, err)
	return name, len(data) - 1
}

func (b *fixture) open(t *testing.T, d *datadriven.TestData) string {
	id := b.id
	var node string
	d.MaybeScanArgs(t, "site", &id.Site)
	d.MaybeScanArgs(t, "node", &node)
	if node != "" {
		id.Node = sardine.NodeID(node)
	}
	s, loaded, err := Open(b.disk, id, WithSegmentBytes(300))
	if err != nil {
		return codeName(err)
	}
	b.store = s
	g := loaded.Stored
	return fmt.Sprintf("ok empty=%t cut=%d term=%d snapshot=%d base=%d entries=%s", loaded.Empty, loaded.TruncatedBytes, g.Hard.Term, g.Snapshot.Index, g.Base.Index, formatEntries(g.Entries))
}

// formatEntries formats entries as index ranges of the same term.
func formatEntries(entries []quorum.Entry) string {
	var parts []string
	for i := 0; i < len(entries); {
		j := i
		for j+1 < len(entries) && entries[j+1].Term == entries[i].Term {
			j++
		}
		parts = append(parts, fmt.Sprintf("%d-%d/%d", entries[i].Index, entries[j].Index, entries[i].Term))
		i = j + 1
	}
	return strings.Join(parts, ",")
}

func entries(from, to, term uint64) []quorum.Entry {
	var all []quorum.Entry
	for i := from; i <= to; i++ {
		all = append(all, quorum.Entry{Index: i, Term: term, Kind: quorum.KindCommand, Data: []byte("payload of a change")})
	}
	return all
}

func codeName(err error) string {
	if err == nil {
		return "ok"
	}
	return codes.Of(err).Name()
}

func TestUnknownFormatIsRejected(t *testing.T) {
	d := disk.NewMemory(rand.New(rand.NewPCG(1, 2)))
	payload, err := proto.Marshal(&wire.LogHeader{Format: formatVersion + 1, Site: "accra", Node: "c1"})
	require.NoError(t, err)
	require.NoError(t, writeFileAtomically(d, identityName, appendFrame(nil, 0, payload)))
	_, _, err = Open(d, Identity{Site: "accra", Node: "c1"})
	require.Equal(t, codes.FormatVersion, codes.Of(err))
}

// sampleLog returns a data folder with one segment of several frames.
func sampleLog(t *testing.T) (d *disk.Memory, id Identity, name string, size int) {
	d = disk.NewMemory(rand.New(rand.NewPCG(1, 2)))
	id = Identity{Site: "accra", Node: "c1"}
	s, _, err := Open(d, id)
	require.NoError(t, err)
	for i := range uint64(5) {
		require.NoError(t, s.Write(quorum.Write{Sequence: i + 1, Entries: entries(3*i+1, 3*i+3, 1+i/2)}))
	}
	name = segmentName(1)
	data, err := d.ReadFile(name)
	require.NoError(t, err)
	return d, id, name, len(data)
}

func TestFlippedBitsAreDetected(t *testing.T) {
	d, id, name, size := sampleLog(t)
	for at := range size {
		require.True(t, d.FlipBit(name, at))
		_, _, err := Open(d, id)
		require.Equal(t, codes.LogDamaged, codes.Of(err), "byte %d of %d", at, size)
		require.True(t, d.FlipBit(name, at))
	}
}

func TestTornTailsAreTruncated(t *testing.T) {
	_, _, _, size := sampleLog(t)
	last := 15
	for at := size - 1; at >= 0; at-- {
		d, id, name, _ := sampleLog(t)
		require.NoError(t, d.Truncate(name, int64(at)))
		_, loaded, err := Open(d, id)
		require.NoError(t, err, "byte %d of %d", at, size)
		require.LessOrEqual(t, len(loaded.Stored.Entries), last)
		last = len(loaded.Stored.Entries)
		require.Zero(t, last%3, "a frame is loaded whole or not at all")
	}
	require.Zero(t, last)
}
