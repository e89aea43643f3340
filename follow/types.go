package follow

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

// NodeRef identifies one start (incarnation) of an entry node.
type NodeRef struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
}

// Request is one node's long poll.
type Request struct {
	From     NodeRef
	Sequence uint64         // incremented by the sender with each request
	Applied  uint64         // lowest index applied by the sender and by the nodes it covers
	Have     uint64         // index up to which the sender has the updates
	SetHash  uint64         // hash of the nodes below the sender, 0 for none
	Set      []NodeRef      // nodes below the sender; empty if the receiver should have the set of SetHash
	Covered  []bool         // for each node of the set: it has polled since its last reply
	Reports  []TargetReport // of the sender and of the nodes below it
	Hold     sardine.Millis // how long the reply may wait for updates
}

// Reply answers a Request.
type Reply struct {
	Fault    *Fault
	Grant    *lease.Grant // for the sender and the nodes it covered, except the refused
	Refused  []Refusal
	After    uint64 // the updates hold every command sent to entry nodes after this index up to Through
	Updates  []Update
	Snapshot []byte // if not empty, replaces the follower's state before the updates are applied
	Through  uint64
	Relay    string           // address of the relay to poll, empty for a control node
	WantSet  bool             // the next request must contain the set
	WantFull []sardine.NodeID // home nodes whose next report must be full
	Term     uint64
	// ConfirmedOffset is the time from the request's arrival to the instant at which
	// a leader last confirmed that there was nothing newer; negative if that was
	// before the arrival.
	ConfirmedOffset sardine.Millis
	// Leader is the address of the control node that a relay's updates come from. A
	// control node leaves it empty.
	Leader string
	// Leaderless is set by a relay to which control nodes lately answered that none of
	// them leads.
	Leaderless bool
}

// Fault is the reason why a request failed.
type Fault struct {
	Code   codes.Code
	Detail string
	Leader string // address of the leading control node, if known
}

// Refusal is the reason why one covered node gets no lease: codes.UnknownMember,
// it must join, or codes.Superseded, it must stop.
type Refusal struct {
	Ref  NodeRef
	Code codes.Code
}

// Update is one log entry whose command is sent to entry nodes.
type Update struct {
	Index   uint64
	At      state.WallTime
	Command state.Command
}

// TargetReport is a home node's report of its targets. A full report replaces all
// earlier ones of the home node.
type TargetReport struct {
	Home        sardine.NodeID
	Incarnation sardine.Incarnation
	Sequence    uint64 // after a gap the receiver requests a full report
	Full        bool
	Urgent      bool // sent at once instead of with the next main poll
	Targets     []TargetStatus
	Lost        []TargetRef
}

// TargetStatus is the status of a target as its home node last received it.
type TargetStatus struct {
	Target       state.Target
	CurrentOrder sardine.CurrentOrder
	Load         sardine.Load
	Staged       []sardine.ModelName
	Sequence     uint64         // sequence number of the announcement
	Age          sardine.Millis // time since the announcement arrived
}

// TargetRef identifies one start (incarnation) of a target VM.
type TargetRef struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// PollReply is the reply to the request that arrived with the same ID.
type PollReply struct {
	ID    uint64
	Reply Reply
}

// SetHash returns a hash of a set of nodes, 0 only for the empty set.
func SetHash(set []NodeRef) uint64 {
	return hashRefs(set)
}
