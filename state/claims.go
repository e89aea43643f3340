package state

import (
	"bytes"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// claimKey grants the key to the first claimer and tells all others what became
// of it.
func (m *Machine) claimKey(c ClaimKey) Result {
	name := claimName{workspace: c.Workspace, key: c.Key}
	if _, expired := m.tombstones[name.hash()]; expired {
		return Result{Verdict: ClaimExpired}
	}
	held, known := m.claims[name]
	if !known {
		return m.grantClaim(name, c)
	}
	if !bytes.Equal(held.Fingerprint, c.Fingerprint) {
		return Result{Verdict: ClaimReused}
	}
	switch held.State {
	case ClaimDone:
		return Result{Verdict: ClaimAnswered, Answer: held.Answer}
	case ClaimUnknown:
		return Result{Verdict: ClaimLost}
	default:
		return m.claimAgain(name, held, c)
	}
}

func (m *Machine) grantClaim(name claimName, c ClaimKey) Result {
	e, joined := m.entries[c.Node]
	if !joined || e.Incarnation != c.Incarnation {
		return Result{Err: codes.New(codes.Superseded, "entry node %s incarnation %d is not a member", c.Node, c.Incarnation)}
	}
	m.claims[name] = Claim{
		Workspace:   c.Workspace,
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Node:        c.Node,
		Incarnation: c.Incarnation,
		Attempt:     c.Attempt,
		State:       ClaimRunning,
		At:          m.at,
	}
	m.expiry = append(m.expiry, name)
	return Result{Verdict: ClaimGranted}
}

func (m *Machine) finishClaim(c FinishClaim) Result {
	name, held, err := m.heldAttempt(c.Workspace, c.Key, c.Node, c.Incarnation, c.Attempt)
	if err != nil {
		return Result{Err: err}
	}
	held.State = ClaimUnknown
	if c.Ran == sardine.RanYes {
		held.State = ClaimDone
		held.Answer = c.Answer
	}
	m.claims[name] = held
	return Result{}
}

func (m *Machine) dropClaim(c DropClaim) Result {
	name, _, err := m.heldAttempt(c.Workspace, c.Key, c.Node, c.Incarnation, c.Attempt)
	if err != nil {
		return Result{Err: err}
	}
	delete(m.claims, name)
	m.expiry = slices.DeleteFunc(m.expiry, func(n claimName) bool { return n == name })
	return Result{}
}

// heldClaim returns the running claim of a node's incarnation.
func (m *Machine) heldClaim(w sardine.Workspace, key string, n sardine.NodeID, i sardine.Incarnation) (claimName, Claim, error) {
	name := claimName{workspace: w, key: key}
	held, known := m.claims[name]
	if !known || held.State != ClaimRunning || held.Node != n || held.Incarnation != i {
		return name, Claim{}, codes.New(codes.Superseded, "the key is not claimed by entry node %s incarnation %d", n, i)
	}
	return name, held, nil
}

// expire drops what is past its retention at the current stamp.
func (m *Machine) expire() {
	for len(m.expiry) > 0 {
		name := m.expiry[0]
		c := m.claims[name]
		if c.At+ClaimRetention > m.at {
			break
		}
		m.expiry = m.expiry[1:]
		delete(m.claims, name)
		m.tombstones[name.hash()] = m.at
	}
	for hash, at := range m.tombstones {
		if at+TombstoneRetention <= m.at {
			delete(m.tombstones, hash)
		}
	}
	for fingerprint, p := range m.poisons {
		if p.At+PoisonRetention <= m.at {
			delete(m.poisons, fingerprint)
		}
	}
}

func (m *Machine) strike(c Strike) Result {
	p := m.poisons[string(c.Fingerprint)]
	p.Fingerprint = c.Fingerprint
	p.At = m.at
	if !slices.Contains(p.Groups, c.Group) {
		p.Groups = append(p.Groups, c.Group)
	}
	m.poisons[string(c.Fingerprint)] = p
	return Result{}
}
