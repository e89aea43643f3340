package quorum

import (
	sardine "sardineswitch.dev/sardine"
)

// bootstrapIndex is the entry that every first member starts from.
const bootstrapIndex = 1

// hintRemoved in the refusal of a pre-vote means that the sender is no member.
const hintRemoved = 1

// Timing holds the intervals of elections.
type Timing struct {
	Heartbeat   sardine.Millis // between a leader's heartbeats
	ElectionMin sardine.Millis // shortest silence before an election; a leader without quorum contact for so long steps down
	ElectionMax sardine.Millis // longest silence before an election
	First       sardine.Millis // longest wait of a member that starts before it stands, 0 for the ordinary one
}

// DefaultTiming returns the intervals for links of up to 50 ms one way.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 400, ElectionMin: 850, ElectionMax: 1150}
}

// Limits bound what the core keeps and sends.
type Limits struct {
	BatchBytes       int    // entry bytes in one message
	InFlightBytes    int    // unacknowledged entry bytes for each follower
	UncommittedBytes int    // proposals that wait for a quorum
	ChunkBytes       int    // snapshot bytes in one message
	KeepEntries      uint64 // entries kept behind a snapshot for slow followers
	KeepBytes        int    // at most so many bytes of them
	PromoteLag       uint64 // entries that a learner may lack when it is promoted
}

// DefaultLimits returns limits for a control node of 64 MB.
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
	Learner bool   // follows the log without a vote
}

// ChangeKind is a kind of member change.
type ChangeKind uint8

// The member changes.
const (
	AddLearner ChangeKind = iota + 1 // a new member that follows without a vote
	Promote                          // a caught-up learner gets a vote
	Remove                           // a member leaves
)

// MemberChange changes one member.
type MemberChange struct {
	Kind   ChangeKind
	Member Member // Address of AddLearner only
}

// EntryKind tells entries apart.
type EntryKind uint8

// The kinds of entry.
const (
	KindEmpty   EntryKind = iota + 1 // a leader's first entry of its term
	KindCommand                      // Data is a command of the replicated state
	KindMembers                      // Members is in force from this entry on
)

// Entry is one entry of the log. Entries are never modified once made.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member // KindMembers only
}

// size returns the bytes that count against limits.
func (e Entry) size() int {
	return len(e.Data) + 32
}

// HardState is what a node must remember over a crash besides the log.
type HardState struct {
	Term uint64
	Vote sardine.NodeID
	// Settled is false in a folder that began empty, until the node has followed
	// a leader up to an entry of its term. Before, the node may have forgotten
	// votes and entries along with an earlier folder.
	Settled bool
	// Folder numbers the data folder. A folder that replaces a lost one has a
	// higher number.
	Folder uint64
}

// Position names a log entry.
type Position struct {
	Index uint64
	Term  uint64
}

// Snapshot is the state at one position. Data may be missing where only the
// description is needed; Size is its length in bytes.
type Snapshot struct {
	Position
	Members []Member
	Size    uint64
	Data    []byte
}

// Kind is a kind of message.
type Kind uint8

// The kinds of message between members.
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
	ElectNow // the leader hands its leadership to the receiver
)

// String returns the name used in dumps.
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

// Message travels from one member to another. It may be lost, delayed,
// duplicated and reordered.
type Message struct {
	Kind     Kind
	From     sardine.NodeID
	To       sardine.NodeID
	Term     uint64
	LogIndex uint64 // before Entries; the candidate's last; the acknowledged one; of a heartbeat: the leader's commit, if higher than Commit
	LogTerm  uint64
	Commit   uint64 // of a heartbeat: as far as the receiver surely holds it
	Entries  []Entry
	Reject   bool
	Hint     uint64 // of a refused append: highest index that may match; of InstallReply: the wanted offset; of a refused pre-vote: hintRemoved
	Round    uint64 // heartbeat round, repeated in the reply
	Force    bool   // vote asked for on behalf of the leader
	Settled  bool   // the sender's HardState.Settled
	Folder   uint64 // of the sender; of a leader's message: of the receiver, as far as known
	Chunk    Chunk
}

// Chunk is a part of a snapshot. A sender's shell fills Data from Offset on.
type Chunk struct {
	Position
	Offset  uint64
	Total   uint64
	Members []Member
	Data    []byte
}

// Role is a member's part in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota + 1
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in dumps.
func (r Role) String() string {
	names := [...]string{"none", "follower", "pre_candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
