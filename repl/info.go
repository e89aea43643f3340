package repl

import (
	"log/slog"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
)

// LeaderInfo describes the leader, as far as this node knows.
type LeaderInfo struct {
	ID       sardine.NodeID // empty if unknown
	Address  string         // of its internal server
	Term     uint64
	IsLeader bool           // this node considers itself the leader; use ConfirmLeadership for proof
	Since    sardine.Millis // on this node's monotonic clock
}

func newLeaderInfo(self sardine.NodeID, l quorum.Leadership, members []quorum.Member) LeaderInfo {
	info := LeaderInfo{ID: l.Leader, Term: l.Term, IsLeader: l.Leader == self, Since: l.Since}
	for _, m := range members {
		if m.Node == l.Leader {
			info.Address = m.Address
		}
	}
	return info
}

// Leader returns the leader, as far as this node knows.
func (n *Node) Leader() LeaderInfo {
	return *n.info.Load()
}

// Members returns the member list that this node uses, which may not be
// committed yet.
func (n *Node) Members() []quorum.Member {
	return slices.Clone(*n.members.Load())
}

func sameMembers(a, b []quorum.Member) bool {
	return slices.Equal(a, b)
}

// Status describes a node for status dumps and metrics.
type Status struct {
	Core      quorum.Status
	Applied   uint64
	LogBytes  int64
	Syncs     uint64
	SyncLast  sardine.Millis // duration of the last sync
	SyncMax   sardine.Millis
	InboxLost uint64 // message batches dropped because the inbox was full
}

// Status returns the node's description.
func (n *Node) Status() Status {
	n.mu.Lock()
	core := n.core.Status()
	n.mu.Unlock()
	_, _, dropped := n.inbox.FullCounts()
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

// Numbers of the fields that hold the timestamp in an encoded command and in an
// encoded snapshot.
const (
	commandTimestampField  = 1
	snapshotTimestampField = 2
)

// entryTimestamp returns the timestamp of a command entry without decoding the
// rest, 0 for other entries.
func entryTimestamp(e quorum.Entry) state.WallTime {
	if e.Kind != quorum.KindCommand {
		return 0
	}
	return timestampField(e.Data, commandTimestampField)
}

func snapshotTimestamp(data []byte) state.WallTime {
	return timestampField(data, snapshotTimestampField)
}

// timestampField returns the varint field of an encoded message as a timestamp,
// 0 if it is missing.
func timestampField(data []byte, field protowire.Number) state.WallTime {
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
