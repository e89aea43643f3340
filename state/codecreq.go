package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// requestToWire encodes the commands on claims and poison fingerprints. It reports
// whether c is one of them.
func requestToWire(w *wire.Command, c Command) bool {
	switch c := c.(type) {
	case ClaimKey:
		w.Body = &wire.Command_ClaimKey{ClaimKey: &wire.ClaimKey{
			Workspace:   string(c.Workspace),
			Key:         c.Key,
			Fingerprint: c.Fingerprint,
			Node:        string(c.Node),
			Incarnation: uint64(c.Incarnation),
			Attempt:     c.Attempt,
		}}
	case FinishClaim:
		w.Body = &wire.Command_FinishClaim{FinishClaim: &wire.FinishClaim{
			Workspace:   string(c.Workspace),
			Key:         c.Key,
			Node:        string(c.Node),
			Incarnation: uint64(c.Incarnation),
			Attempt:     c.Attempt,
			Ran:         uint32(c.Ran),
			Answer:      AnswerToWire(c.Answer),
		}}
	case DropClaim:
		w.Body = &wire.Command_DropClaim{DropClaim: &wire.DropClaim{
			Workspace:   string(c.Workspace),
			Key:         c.Key,
			Node:        string(c.Node),
			Incarnation: uint64(c.Incarnation),
			Attempt:     c.Attempt,
		}}
	case Strike:
		w.Body = &wire.Command_Strike{Strike: &wire.Strike{
			Fingerprint: c.Fingerprint,
			Group:       string(c.Failure.Group),
			Epoch:       uint64(c.Failure.Epoch),
			Vm:          string(c.Failure.VM),
			Incarnation: uint64(c.Failure.Incarnation),
			Limit:       uint32(c.Limit),
			Doubtful:    c.Doubtful,
		}}
	case ReleasePoison:
		w.Body = &wire.Command_ReleasePoison{ReleasePoison: &wire.ReleasePoison{Fingerprint: c.Fingerprint}}
	default:
		return false
	}
	return true
}

func requestFromWire(w *wire.Command) Command {
	switch b := w.GetBody().(type) {
	case *wire.Command_ClaimKey:
		return ClaimKey{
			Workspace:   sardine.Workspace(b.ClaimKey.GetWorkspace()),
			Key:         b.ClaimKey.GetKey(),
			Fingerprint: b.ClaimKey.GetFingerprint(),
			Node:        sardine.NodeID(b.ClaimKey.GetNode()),
			Incarnation: sardine.Incarnation(b.ClaimKey.GetIncarnation()),
			Attempt:     b.ClaimKey.GetAttempt(),
		}
	case *wire.Command_FinishClaim:
		return FinishClaim{
			Workspace:   sardine.Workspace(b.FinishClaim.GetWorkspace()),
			Key:         b.FinishClaim.GetKey(),
			Node:        sardine.NodeID(b.FinishClaim.GetNode()),
			Incarnation: sardine.Incarnation(b.FinishClaim.GetIncarnation()),
			Attempt:     b.FinishClaim.GetAttempt(),
			Ran:         sardine.Ran(b.FinishClaim.GetRan()),
			Answer:      AnswerFromWire(b.FinishClaim.GetAnswer()),
		}
	case *wire.Command_DropClaim:
		return DropClaim{
			Workspace:   sardine.Workspace(b.DropClaim.GetWorkspace()),
			Key:         b.DropClaim.GetKey(),
			Node:        sardine.NodeID(b.DropClaim.GetNode()),
			Incarnation: sardine.Incarnation(b.DropClaim.GetIncarnation()),
			Attempt:     b.DropClaim.GetAttempt(),
		}
	case *wire.Command_Strike:
		return Strike{
			Fingerprint: b.Strike.GetFingerprint(),
			Failure: TargetFailure{
				Group:       sardine.GroupID(b.Strike.GetGroup()),
				Epoch:       sardine.Epoch(b.Strike.GetEpoch()),
				VM:          sardine.VMID(b.Strike.GetVm()),
				Incarnation: sardine.Incarnation(b.Strike.GetIncarnation()),
			},
			Limit:    int(b.Strike.GetLimit()),
			Doubtful: b.Strike.GetDoubtful(),
		}
	case *wire.Command_ReleasePoison:
		return ReleasePoison{Fingerprint: b.ReleasePoison.GetFingerprint()}
	default:
		return nil
	}
}

// AnswerToWire converts a stored answer to its message, nil for the zero Answer.
func AnswerToWire(a Answer) *wire.Answer {
	if a.Status == 0 && a.ContentType == "" && len(a.Body) == 0 {
		return nil
	}
	return &wire.Answer{Status: uint32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

// AnswerFromWire is the inverse of AnswerToWire.
func AnswerFromWire(w *wire.Answer) Answer {
	return Answer{Status: int(w.GetStatus()), ContentType: w.GetContentType(), Body: w.GetBody()}
}
