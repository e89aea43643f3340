package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

// NodeRef is one start of one entry node's process.
type NodeRef struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
}

// Request is one node's long poll.
type Request struct {
	From     NodeRef
	Sequence uint64         // counted by the asking node
	Applied  uint64         // lowest index applied by the asking node and all it covers
	Have     uint64         // index that the asking node's news reach
	SetHash  uint64         // of the nodes that follow through the asking node, 0 for none
	Set      []NodeRef      // empty if the answering node is thought to know SetHash
	Covered  []bool         // for each node of the set: it asked since it was last answered
	Reports  []TargetReport // of the asking node and of its followers
	Hold     sardine.Millis // how long the answer may wait for news
}

// Reply answers a Request.
type Reply struct {
	Fault    *Fault
	Grant    *lease.Grant // for the asking node and all that it covered, but the refused
	Refused  []Refusal
	After    uint64 // the news hold every spread entry after this index up to Through
	News     []News
	Snapshot []byte // replaces the follower's state if not empty, before the news
	Through  uint64
	Relay    string           // address of the relay to ask, empty for a control node
	WantSet  bool             // the next request must hold the set
	WantFull []sardine.NodeID // home nodes whose next report must be full
	Term     uint64
	// Fresh is the time from the request's arrival to the instant at which a
	// leader last said that there is nothing newer; negative if that was before.
	Fresh sardine.Millis
	// Leader is the address of the control node that a relay's news come from. A
	// control node leaves it empty.
	Leader string
}

// Fault says why a request was not answered.
type Fault struct {
	Code   codes.Code
	Detail string
	Leader string // address of the leading control node, if known
}

// Refusal tells one covered node why it gets no lease: codes.UnknownMember, it
// must join, or codes.Superseded, it must stop.
type Refusal struct {
	Ref  NodeRef
	Code codes.Code
}

// News is one entry of the log.
type News struct {
	Index   uint64
	At      state.WallTime
	Command state.Command
}

// TargetReport is one home node's news of targets. A full report replaces what
// the home node said before.
type TargetReport struct {
	Home        sardine.NodeID
	Incarnation sardine.Incarnation
	Sequence    uint64 // a gap calls for a full report
	Full        bool
	Urgent      bool // is sent at once instead of with the next poll
	Targets     []TargetStatus
	Lost        []TargetRef
}

// TargetStatus is a target as its home node sees it.
type TargetStatus struct {
	Target  state.Target
	Holding sardine.Holding
	Load    sardine.Load
	Staged  []sardine.ModelName
	Serial  uint64         // of the announcement
	Age     sardine.Millis // since it was heard
}

// TargetRef is one start of one target VM.
type TargetRef struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// Answer is a reply to the request that the shell handed in under ID.
type Answer struct {
	ID    uint64
	Reply Reply
}

// SetHash identifies the content of a set; 0 only for the empty one.
func SetHash(set []NodeRef) uint64 {
	return hashRefs(set)
}
