package state

import (
	"bytes"
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// claimKey grants the key to the first claimer. Later claimers get the state of that
// claim.
func (m *Machine) claimKey(c ClaimKey) Result {
	name := newClaimName(c.Workspace, c.Key)
	if m.tombstones.has(name.hash()) {
		return Result{Verdict: ClaimExpired}
	}
	existing, known := m.claims[name]
	if !known {
		return m.grantClaim(name, c)
	}
	if !bytes.Equal(existing.Fingerprint, c.Fingerprint) {
		return Result{Verdict: ClaimReused}
	}
	switch existing.State {
	case ClaimDone:
		return Result{Verdict: ClaimAnswered, Answer: existing.Answer}
	case ClaimUnknown:
		return Result{Verdict: ClaimOutcomeUnknown}
	default:
		return m.reclaim(name, existing, c)
	}
}

func (m *Machine) grantClaim(name claimName, c ClaimKey) Result {
	e, joined := m.entries[c.Node]
	if !joined || e.Incarnation != c.Incarnation {
		return Result{Err: codes.New(codes.Superseded, "entry node %s incarnation %d is not a member", c.Node, c.Incarnation)}
	}
	if m.claimsFull() {
		return Result{Err: codes.New(codes.ClaimsFull, "%d keys with %d bytes and %d expired keys are stored", len(m.claims), m.claimBytes, m.tombstones.len())}
	}
	m.putClaim(name, Claim{
		Workspace:   c.Workspace,
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Node:        c.Node,
		Incarnation: c.Incarnation,
		Attempt:     c.Attempt,
		State:       ClaimRunning,
		At:          m.at,
	})
	return Result{Verdict: ClaimGranted}
}

// claimsFull reports whether one of the limits is reached. If old keys were
// evicted instead, a late resend of their requests would run a second time.
func (m *Machine) claimsFull() bool {
	return len(m.claims) >= MaxClaims ||
		m.claimBytes >= MaxClaimBytes ||
		len(m.claims)+m.tombstones.len() >= MaxTombstones
}

// putClaim adds or replaces a claim.
func (m *Machine) putClaim(name claimName, c Claim) {
	m.claimBytes += claimSize(c) - claimSize(m.claims[name])
	m.claims[name] = c
	m.claimExpiry.put(name, c.At)
}

// removeClaim deletes a claim and subtracts its size from claimBytes.
func (m *Machine) removeClaim(name claimName) {
	m.claimBytes -= claimSize(m.claims[name])
	delete(m.claims, name)
}

func claimSize(c Claim) int {
	return len(c.Workspace) + len(c.Key) + len(c.Fingerprint) + len(c.Answer.ContentType) + len(c.Answer.Body)
}

// restoreClaims loads the claims of a snapshot.
func (m *Machine) restoreClaims(claims []Claim) {
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(a.At, b.At) })
	for _, c := range claims {
		m.putClaim(newClaimName(c.Workspace, c.Key), c)
	}
}

func (m *Machine) finishClaim(c FinishClaim) Result {
	name, claim, err := m.runningAttempt(c.Workspace, c.Key, c.Node, c.Incarnation, c.Attempt)
	if err != nil {
		return Result{Err: err}
	}
	claim.State = ClaimUnknown
	if c.Ran == sardine.RanYes && m.canStoreAnswer(c.Answer) {
		claim.State = ClaimDone
		claim.Answer = c.Answer
	}
	m.putClaim(name, claim)
	return Result{}
}

// canStoreAnswer reports whether an answer fits the limits. If it does not, a resend
// of the request gets the verdict ClaimOutcomeUnknown.
func (m *Machine) canStoreAnswer(a Answer) bool {
	return len(a.Body) <= MaxAnswerBytes && m.claimBytes+len(a.Body) <= MaxClaimBytes
}

func (m *Machine) dropClaim(c DropClaim) Result {
	name, _, err := m.runningAttempt(c.Workspace, c.Key, c.Node, c.Incarnation, c.Attempt)
	if err != nil {
		return Result{Err: err}
	}
	m.removeClaim(name)
	m.claimExpiry.remove(name)
	return Result{}
}

// runningClaim returns the running claim of a node's incarnation.
func (m *Machine) runningClaim(w sardine.Workspace, key string, n sardine.NodeID, i sardine.Incarnation) (claimName, Claim, error) {
	name := newClaimName(w, key)
	claim, known := m.claims[name]
	if !known || claim.State != ClaimRunning || claim.Node != n || claim.Incarnation != i {
		return name, Claim{}, codes.New(codes.Superseded, "the key is not claimed by entry node %s incarnation %d", n, i)
	}
	return name, claim, nil
}

// expire removes everything that is past its retention at the current timestamp. Its
// cost depends only on the number of expired items.
func (m *Machine) expire() {
	for {
		name, ok := m.claimExpiry.popExpired(m.at - ClaimRetention)
		if !ok {
			break
		}
		m.removeClaim(name)
		m.tombstones.put(name.hash(), m.at)
	}
	for {
		if _, ok := m.tombstones.popExpired(m.at - TombstoneRetention); !ok {
			break
		}
	}
	m.departed.expire(m.at - departureRetention)
	m.dropped.expire(m.at - departureRetention)
	m.slots.expire(m.at - BudgetSlotRetention)
	for {
		fingerprint, ok := m.poisonExpiry.popExpired(m.at - PoisonRetention)
		if !ok {
			break
		}
		delete(m.poisons, fingerprint)
		m.poisonIndex = m.index
	}
}
