package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// claimAgain answers a claim of a key whose request is running.
//
// The holder's own claim, resent because its answer was lost, is granted again.
// A later attempt of the same incarnation replaces an earlier one: the holder
// starts it only once it no longer acts on the earlier one, so the earlier one
// was granted late and never dispatched. An earlier attempt that arrives late
// changes nothing.
func (m *Machine) claimAgain(name claimName, held Claim, c ClaimKey) Result {
	own := held.Node == c.Node && held.Incarnation == c.Incarnation
	if !own || c.Attempt < held.Attempt {
		return Result{Verdict: ClaimBusy, Holder: held.Node}
	}
	held.Attempt = c.Attempt
	m.claims[name] = held
	return Result{Verdict: ClaimGranted, Repeat: true}
}

// heldAttempt returns the running claim of one attempt of a node's incarnation.
// Without the attempt, a drop that arrives late would free a key which the node
// has claimed again and is running.
func (m *Machine) heldAttempt(w sardine.Workspace, key string, n sardine.NodeID, i sardine.Incarnation, attempt uint64) (claimName, Claim, error) {
	name, held, err := m.heldClaim(w, key, n, i)
	if err != nil {
		return name, Claim{}, err
	}
	if held.Attempt != attempt {
		return name, Claim{}, codes.New(codes.Superseded, "the key is claimed by attempt %d, not %d", held.Attempt, attempt)
	}
	return name, held, nil
}
