package state

import (
	sardine "sardineswitch.dev/sardine"
)

// WallTime is the leader's timestamp in milliseconds since 1 January 1970 UTC.
// Timestamps never decrease within the log.
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

// TargetOf returns the part of an announcement that the log records.
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

// Owner records which group a VM belongs to. A VM that its group no longer uses
// stays owned until it is known to be fenced.
type Owner struct {
	VM    sardine.VMID
	Group sardine.GroupID
	Epoch sardine.Epoch // latest epoch for which the VM was assigned to the group
}

// Revision is one version of a team's document.
type Revision struct {
	Version  sardine.Version
	Index    uint64 // log index of the change
	At       WallTime
	ChangeID string
	Author   string
	Path     string
	Document string
}

// ChangeResult is the result of the first command with a change id.
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
	ClaimDone               // ran, and its answer is stored
	ClaimUnknown            // may have run; its node is gone, or its answer is not stored
)

// Answer is the stored answer to a claimed request.
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

// Token is the hash of a bearer token and its scope: "operator", "caller:WS",
// "target" or "team:TEAM".
type Token struct {
	Hash    []byte
	Scope   string
	Name    string
	Expires WallTime // 0 if it never expires
}

// ClaimVerdict is the outcome of a ClaimKey command.
type ClaimVerdict uint8

// The outcomes of a claim.
const (
	ClaimGranted        ClaimVerdict = iota + 1 // the caller may dispatch the request now
	ClaimBusy                                   // another dispatch is in progress
	ClaimAnswered                               // the request ran; Result.Answer holds its answer
	ClaimOutcomeUnknown                         // the request may have run, and no answer is stored
	ClaimReused                                 // the key was claimed for a request with another fingerprint
	ClaimExpired                                // the key is past its retention, so an earlier run can't be ruled out
)

// Result is the outcome of one command. Err is set if the command was rejected. A
// claim that is not granted is reported by Verdict and leaves Err nil.
type Result struct {
	Index   uint64
	Err     error // a codes.Error
	Version sardine.Version
	Epoch   sardine.Epoch
	Repeat  bool // resent; for a change id, Version and Index are those of the first command
	Verdict ClaimVerdict
	Answer  Answer
	Holder  sardine.NodeID // entry node that holds a busy claim
}
