package state

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// reclaim handles a claim of a key whose request is running.
//
// A claim that its holder resends because the reply was lost is granted again. A
// later attempt of the same incarnation replaces an earlier one: the holder starts
// it only after it has abandoned the earlier one, so the earlier one was granted
// late and its request was never dispatched. An earlier attempt that arrives late
// changes nothing.
func (m *Machine) reclaim(name claimName, existing Claim, c ClaimKey) Result {
	sameHolder := existing.Node == c.Node && existing.Incarnation == c.Incarnation
	if !sameHolder || c.Attempt < existing.Attempt {
		return Result{Verdict: ClaimBusy, Holder: existing.Node}
	}
	existing.Attempt = c.Attempt
	m.claims[name] = existing
	return Result{Verdict: ClaimGranted, Repeat: true}
}

// runningAttempt returns the running claim of one attempt of a node's incarnation.
// If the attempt were not compared, a DropClaim that arrives late would release a
// key that the node has claimed again and whose request is running.
func (m *Machine) runningAttempt(w sardine.Workspace, key string, n sardine.NodeID, i sardine.Incarnation, attempt uint64) (claimName, Claim, error) {
	name, claim, err := m.runningClaim(w, key, n, i)
	if err != nil {
		return name, Claim{}, err
	}
	if claim.Attempt != attempt {
		return name, Claim{}, codes.New(codes.Superseded, "the key is claimed by attempt %d, not %d", claim.Attempt, attempt)
	}
	return name, claim, nil
}
