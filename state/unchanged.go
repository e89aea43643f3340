package state

import "bytes"

// Unchanged returns the result of a command that would change nothing if it were applied
// at an instant, so that it need not be added to the log. ok is false for all others,
// and for kinds of commands of which this is not known.
func (m *Machine) Unchanged(at WallTime, c Command) (r Result, ok bool) {
	at = max(at, m.at)
	r.Index = m.index
	switch c := c.(type) {
	case ClaimKey:
		existing, held := m.heldByAnother(at, c)
		r.Verdict, r.Holder, ok = ClaimBusy, existing.Node, held
	case Strike:
		ok = m.knowsStrike(at, c)
	case ReleasePoison:
		_, known := m.poisons[string(c.Fingerprint)]
		ok = !known
	}
	return r, ok
}

// heldByAnother reports whether a request of another entry node holds the key.
func (m *Machine) heldByAnother(at WallTime, c ClaimKey) (Claim, bool) {
	existing, known := m.claims[newClaimName(c.Workspace, c.Key)]
	return existing, known && existing.State == ClaimRunning && existing.Node != c.Node &&
		bytes.Equal(existing.Fingerprint, c.Fingerprint) && existing.At > at-ClaimRetention
}

// knowsStrike reports whether a strike adds nothing to those of its fingerprint.
func (m *Machine) knowsStrike(at WallTime, c Strike) bool {
	p, known := m.poisons[string(c.Fingerprint)]
	return known && p.limitWith(c) == p.Limit && !p.counts(c, at) && p.At > at-PoisonRetention
}
