package state

import (
	sardine "sardineswitch.dev/sardine"
)

// Command is one change of the replicated state: one of the types below,
// PutLayout or OpenTraffic.
type Command interface {
	command()
}

// JoinEntry adds an entry node or replaces its earlier incarnation.
type JoinEntry struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Address     string // host:port of its internal server
	DataCentre  sardine.DataCentre
}

// LeaveEntry removes an entry node's incarnation. Its budget slot is kept for
// BudgetSlotRetention.
type LeaveEntry struct {
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Spent       SpentRetries // known only if the node itself submitted the command
}

// ChangeSettings replaces a team's document if Base is its current version. The
// leader has merged the change into Document and validated it.
type ChangeSettings struct {
	Team     sardine.Team
	Base     sardine.Version
	ChangeID string // unique per change; a resend carries the same one
	Document string // the team's whole settings in TOML
	Author   string
	Path     string // path that the operator changed, for the history
}

// TargetUp records a target VM's incarnation and properties.
type TargetUp struct {
	Target Target
}

// TargetDown removes a target's incarnation from routing.
type TargetDown struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// TargetLeaving marks a target's incarnation as accepting no new work.
type TargetLeaving struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
}

// AssignGroup forms a group, or re-forms it under a new epoch. The epoch is the
// index of the log entry; Group.Epoch is ignored.
type AssignGroup struct {
	Group sardine.Group
}

// MoveGroup changes the state of a group's epoch.
type MoveGroup struct {
	Group sardine.GroupID
	Epoch sardine.Epoch
	State sardine.GroupState
}

// FreeMember ends a group's ownership of a VM that is fenced.
type FreeMember struct {
	VM    sardine.VMID
	Group sardine.GroupID
	Epoch sardine.Epoch // the VM is fenced up to this epoch of the group
}

// ClaimKey claims an idempotency key for one entry node's dispatch.
type ClaimKey struct {
	Workspace   sardine.Workspace
	Key         string
	Fingerprint []byte // hash of method, path and body
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Attempt     uint64 // increases with each new claim of the node's incarnation; a resend carries the same one
}

// FinishClaim records the outcome of a claimed request.
type FinishClaim struct {
	Workspace   sardine.Workspace
	Key         string
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Attempt     uint64
	Ran         sardine.Ran // RanYes or RanUnknown; for RanNo use DropClaim
	Answer      Answer
}

// DropClaim releases a key whose request provably never ran.
type DropClaim struct {
	Workspace   sardine.Workspace
	Key         string
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Attempt     uint64
}

// Strike records that a target failed while it ran a request.
type Strike struct {
	Fingerprint []byte
	Failure     TargetFailure
	Limit       int // failures after which the request is rejected; 0 resets it to DefaultPoisonLimit
	// Doubtful is set if the request ran to completion shortly before. The failure
	// then counts only MinStrikeInterval after the last counted one.
	Doubtful bool
}

// ReleasePoison deletes all strikes of a fingerprint.
type ReleasePoison struct {
	Fingerprint []byte
}

// PutToken adds or replaces a token.
type PutToken struct {
	Token Token
}

// DropToken revokes a token.
type DropToken struct {
	Hash []byte
}

func (JoinEntry) command()      {}
func (LeaveEntry) command()     {}
func (ChangeSettings) command() {}
func (TargetUp) command()       {}
func (TargetDown) command()     {}
func (TargetLeaving) command()  {}
func (AssignGroup) command()    {}
func (MoveGroup) command()      {}
func (FreeMember) command()     {}
func (ClaimKey) command()       {}
func (FinishClaim) command()    {}
func (DropClaim) command()      {}
func (Strike) command()         {}
func (ReleasePoison) command()  {}
func (PutToken) command()       {}
func (DropToken) command()      {}

// SentToEntries reports whether the command is sent to entry nodes. Claims are frequent
// and concern a single entry node, so only control nodes apply them.
func SentToEntries(c Command) bool {
	switch c.(type) {
	case ClaimKey, FinishClaim, DropClaim:
		return false
	default:
		return true
	}
}
