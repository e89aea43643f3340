package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// bootstrapIndex is the index of the bootstrap snapshot, from which every
// initial member starts.
const bootstrapIndex = 1

// hintRemoved is the Hint of a rejected pre-vote whose sender is not a member.
const hintRemoved = 1

// Timing holds the intervals of elections.
type Timing struct {
	Heartbeat        sardine.Millis // between a leader's heartbeats
	ElectionMin      sardine.Millis // shortest time without leader contact before an election; a leader without quorum contact for this long steps down
	ElectionMax      sardine.Millis // longest time without leader contact before an election
	FirstElectionMax sardine.Millis // longest first election timeout after a start; 0 uses ElectionMin to ElectionMax
}

// DefaultTiming returns intervals for links with a one-way latency of up to
// 50 ms.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 400, ElectionMin: 850, ElectionMax: 1150}
}

// Limits bounds what the core keeps and sends.
type Limits struct {
	BatchBytes       int    // entry bytes in one message
	InFlightBytes    int    // unacknowledged entry bytes for each follower
	UncommittedBytes int    // proposals that are not committed yet
	ChunkBytes       int    // snapshot bytes in one message
	KeepEntries      uint64 // entries kept before a snapshot for slow followers
	KeepBytes        int    // byte limit of these entries
	PromoteLag       uint64 // most entries that a learner may lack when it is promoted
}

// DefaultLimits returns limits for a control node with 64 MB of memory.
func DefaultLimits() Limits {
	return Limits{
		BatchBytes:       256 << 10,
		InFlightBytes:    1 << 20,
		UncommittedBytes: 8 << 20,
		ChunkBytes:       256 << 10,
		KeepEntries:      2000,
		KeepBytes:        2 << 20,
		PromoteLag:       200,
	}
}

// Member is one control node of the quorum.
type Member struct {
	Node    sardine.NodeID
	Address string // host:port of its internal server
	Learner bool   // replicates the log without a vote
}

// ChangeKind is a kind of member change.
type ChangeKind uint8

// The member changes.
const (
	AddLearner ChangeKind = iota + 1 // a new member that replicates the log without a vote
	Promote                          // a caught-up learner gets a vote
	Remove                           // a member leaves
)

// MemberChange changes one member.
type MemberChange struct {
	Kind   ChangeKind
	Member Member // Address is used by AddLearner only
}

// EntryKind is a kind of log entry.
type EntryKind uint8

// The kinds of log entry.
const (
	KindEmpty   EntryKind = iota + 1 // the first entry of a leader's term
	KindCommand                      // Data is a command of the replicated state
	KindMembers                      // Members applies from this entry on, committed or not
)

// Entry is one entry of the log. Entries are immutable.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member // KindMembers only
}

// size returns the number of bytes that count towards the limits.
func (e Entry) size() int {
	return len(e.Data) + 32
}

// HardState is what a node must persist besides the log.
type HardState struct {
	Term uint64
	Vote sardine.NodeID
	// Settled is false in a data folder that started empty, until the node has
	// replicated a leader's log up to an entry of the leader's term. Until then
	// the folder may replace a lost one, and with it lost votes and entries.
	Settled bool
	// Folder is the number of the data folder. A folder that replaces a lost one
	// has a higher number.
	Folder uint64
}

// Position identifies a log entry.
type Position struct {
	Index uint64
	Term  uint64
}

// Snapshot is the replicated state at one position. Data may be missing where
// only the metadata is needed; Size is the length of Data in bytes.
type Snapshot struct {
	Position
	Members []Member
	Size    uint64
	Data    []byte
}

// Kind is a kind of Message.
type Kind uint8

// The kinds of message that members exchange.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	Install
	InstallReply
	ElectNow // the leader asks the receiver to start an election at once (leadership transfer)
)

// String returns the name used in status dumps.
func (k Kind) String() string {
	names := [...]string{
		"none", "pre_vote", "pre_vote_reply", "vote", "vote_reply", "append", "append_reply",
		"heartbeat", "heartbeat_reply", "install", "install_reply", "elect_now",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Message is sent from one member to another. It may be lost, delayed,
// duplicated or reordered.
type Message struct {
	Kind     Kind
	From     sardine.NodeID
	To       sardine.NodeID
	Term     uint64
	LogIndex uint64 // entry before Entries; the candidate's last entry; the acknowledged or rejected entry; the snapshot of an InstallReply; in a heartbeat: the leader's commit index if higher than Commit
	LogTerm  uint64
	Commit   uint64 // the leader's commit index; in a heartbeat: limited to the entries that the receiver is known to hold
	Entries  []Entry
	Reject   bool
	Hint     uint64 // in a rejected append: highest index that may match; in an InstallReply: the next offset; in a rejected pre-vote: hintRemoved or 0
	Round    uint64 // heartbeat round, echoed in the reply
	Force    bool   // vote requested for a leadership transfer: granted although a leader is active
	Settled  bool   // the sender's HardState.Settled
	Folder   uint64 // data folder of the sender; in a leader's message: of the receiver, as far as known
	Chunk    Chunk
}

// Chunk is a part of a snapshot. The core leaves Data empty; the caller that
// sends the message fills it in from Offset on.
type Chunk struct {
	Position
	Offset  uint64
	Total   uint64
	Members []Member
	Data    []byte
}

// Role is the role of a member in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota + 1
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in status dumps.
func (r Role) String() string {
	names := [...]string{"none", "follower", "pre_candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
