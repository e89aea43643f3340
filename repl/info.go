package repl

import (
	"log/slog"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// LeaderInfo tells who leads, as far as this node knows.
type LeaderInfo struct {
	ID      sardine.NodeID // empty if unknown
	Address string         // of its internal server
	Term    uint64
	Leading bool           // this node leads in its own view; use Confirm for proof
	Since   sardine.Millis // on this node's clock
}

func newLeaderInfo(self sardine.NodeID, l quorum.Leadership, members []quorum.Member) LeaderInfo {
	info := LeaderInfo{ID: l.Leader, Term: l.Term, Leading: l.Leader == self, Since: l.Since}
	for _, m := range members {
		if m.Node == l.Leader {
			info.Address = m.Address
		}
	}
	return info
}

func (i LeaderInfo) same(l quorum.Leadership) bool {
	return i.ID == l.Leader && i.Term == l.Term && i.Since == l.Since
}

// Leader returns who leads, as far as this node knows.
func (n *Node) Leader() LeaderInfo {
	return *n.info.Load()
}

// Members returns the member list in force here, which may not be committed yet.
func (n *Node) Members() []quorum.Member {
	return slices.Clone(*n.members.Load())
}

func sameMembers(a, b []quorum.Member) bool {
	return slices.Equal(a, b)
}

// Status describes a node for dumps and metrics.
type Status struct {
	Core      quorum.Status
	Applied   uint64
	LogBytes  int64
	Syncs     uint64
	SyncLast  sardine.Millis // duration of the last sync
	SyncMax   sardine.Millis
	InboxLost uint64 // batches of messages dropped by the full ring
}

// Status returns the node's description.
func (n *Node) Status() Status {
	n.mu.Lock()
	core := n.core.Status()
	n.mu.Unlock()
	_, _, dropped := n.inbox.Full()
	return Status{
		Core:      core,
		Applied:   n.Applied(),
		LogBytes:  n.disk.logBytes.Load(),
		Syncs:     n.disk.syncs.Load(),
		SyncLast:  sardine.Millis(n.disk.syncLast.Load()),
		SyncMax:   sardine.Millis(n.disk.syncMax.Load()),
		InboxLost: dropped,
	}
}

// Fields of the wire messages that hold the stamp.
const (
	commandStampField  = 1
	snapshotStampField = 2
)

// stampOf returns the stamp of a command's entry without decoding the rest.
func stampOf(e quorum.Entry) state.WallTime {
	if e.Kind != quorum.KindCommand {
		return 0
	}
	return stampIn(e.Data, commandStampField)
}

func snapshotStamp(data []byte) state.WallTime {
	return stampIn(data, snapshotStampField)
}

// stampIn returns a varint field of an encoded message, 0 if it is missing.
func stampIn(data []byte, field protowire.Number) state.WallTime {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return 0
		}
		data = data[n:]
		if number == field && kind == protowire.VarintType {
			v, _ := protowire.ConsumeVarint(data)
			return state.WallTime(v)
		}
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			return 0
		}
		data = data[n:]
	}
	return 0
}

func attrError(err error) slog.Attr {
	return slog.String("error", err.Error())
}

func attrInt(name string, n int) slog.Attr {
	return slog.Int(name, n)
}

func attrUint(name string, n uint64) slog.Attr {
	return slog.Uint64(name, n)
}

func attrString(name, s string) slog.Attr {
	return slog.String(name, s)
}
