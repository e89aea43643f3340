package state

import (
	sardine "sardineswitch.dev/sardine"
)

// WallTime is the leader's stamp: milliseconds since 1970. Stamps never fall
// within the log.
type WallTime int64

// Target is a target VM's incarnation as the log records it.
type Target struct {
	VM           sardine.VMID
	Incarnation  sardine.Incarnation
	Kind         sardine.TargetKind
	Address      string
	DataCentre   sardine.DataCentre
	Domain       sardine.FabricDomain
	Accelerators int
	Service      sardine.ServiceName
	Loadable     []sardine.ModelName
	ChecksEpoch  bool
	Leaving      bool
}

// TargetOf returns the lasting part of an announcement.
func TargetOf(a sardine.Announcement) Target {
	return Target{
		VM:           a.VM,
		Incarnation:  a.Incarnation,
		Kind:         a.Kind,
		Address:      a.Address,
		DataCentre:   a.DataCentre,
		Domain:       a.Domain,
		Accelerators: a.Accelerators,
		Service:      a.Service,
		Loadable:     a.Loadable,
		ChecksEpoch:  a.ChecksEpoch,
		Leaving:      a.Leaving,
	}
}

// Owner is the group that a VM belongs to. A VM stays owned after its group
// moved on until it is known to be fenced.
type Owner struct {
	VM    sardine.VMID
	Group sardine.GroupID
	Epoch sardine.Epoch // highest epoch under which the VM got an order
}

// Revision is one version of a team's document.
type Revision struct {
	Version  sardine.Version
	Index    uint64 // log index that made it
	At       WallTime
	ChangeID string
	Author   string
	Path     string
	Document string
}

// ChangeResult is the first answer to a change id.
type ChangeResult struct {
	ChangeID string
	Version  sardine.Version
	Index    uint64
}

// ClaimState is the stage of a claimed request.
type ClaimState uint8

// The stages of a claim.
const (
	ClaimRunning ClaimState = iota + 1
	ClaimDone               // ran, the answer is kept
	ClaimUnknown            // may have run, its node is gone or lost the answer
)

// Answer is the kept answer of a claimed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is one claimed idempotency key.
type Claim struct {
	Workspace   sardine.Workspace
	Key         string
	Fingerprint []byte
	Node        sardine.NodeID
	Incarnation sardine.Incarnation
	Attempt     uint64
	State       ClaimState
	At          WallTime
	Answer      Answer
}

// Token is a bearer token's hash and what it covers: "operator", "caller:WS",
// "target" or "team:TEAM".
type Token struct {
	Hash    []byte
	Scope   string
	Name    string
	Expires WallTime // 0 never
}

// ClaimVerdict answers a ClaimKey command.
type ClaimVerdict uint8

// The answers to a claim.
const (
	ClaimGranted  ClaimVerdict = iota + 1 // dispatch it now
	ClaimBusy                             // another dispatch is under way
	ClaimAnswered                         // it ran, the answer is in Result.Answer
	ClaimLost                             // it may have run, the answer is lost
	ClaimReused                           // the key belongs to another request
	ClaimExpired                          // the key is past its retention
)

// Result answers one command. Err is nil if it took effect.
type Result struct {
	Index   uint64
	Err     error // a codes.Error
	Version sardine.Version
	Epoch   sardine.Epoch
	Repeat  bool // a resent change id; Version and Index are the first answer's
	Verdict ClaimVerdict
	Answer  Answer
	Holder  sardine.NodeID // of a busy claim
}
