package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// TargetFailure is the failure of a target while it ran a request: of an engine
// group, or of a plain target.
type TargetFailure struct {
	Group       sardine.GroupID // engine groups only
	Epoch       sardine.Epoch   // engine groups only
	VM          sardine.VMID    // plain targets only
	Incarnation sardine.Incarnation
}

// Target returns the name of the group or VM that failed.
func (e TargetFailure) Target() string {
	if e.Group != "" {
		return string(e.Group)
	}
	return string(e.VM)
}

// Poison is a request's fingerprint and the targets that failed while they ran it.
type Poison struct {
	Fingerprint []byte
	Failures    []TargetFailure
	Limit       int      // failures after which the request is rejected
	At          WallTime // of the last counted failure
}

// Refused reports whether the request is rejected instead of run.
func (p Poison) Refused() bool {
	return p.Limit > 0 && len(p.Failures) >= p.Limit
}

// counts reports whether a strike adds a failure.
func (p Poison) counts(c Strike, at WallTime) bool {
	if p.Refused() || slices.Contains(p.Failures, c.Failure) {
		return false
	}
	return !c.Doubtful || len(p.Failures) == 0 || at-p.At >= MinStrikeInterval
}

// limitWith returns the limit after a strike.
func (p Poison) limitWith(c Strike) int {
	if c.Limit == 0 {
		return DefaultPoisonLimit
	}
	return max(p.Limit, c.Limit)
}

// Poison returns the strikes of a fingerprint, the zero value if it has none.
func (m *Machine) Poison(fingerprint []byte) Poison {
	return m.poisons[string(fingerprint)]
}

// Poisons returns all fingerprints with strikes, sorted.
func (m *Machine) Poisons() []Poison {
	return sorted(m.poisons, func(a, b Poison) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
}

// PoisonTable returns all fingerprints with strikes, by fingerprint.
func (m *Machine) PoisonTable() map[string]Poison {
	return maps.Clone(m.poisons)
}

// StrikeGroups returns the group of each failure of a fingerprint, see Poison.Groups.
func (m *Machine) StrikeGroups(fingerprint []byte) []sardine.GroupID {
	return m.Poison(fingerprint).Groups()
}

// Groups returns the group of each failure in the order of the failures. The group of
// a plain target is empty.
func (p Poison) Groups() []sardine.GroupID {
	var all []sardine.GroupID
	for _, e := range p.Failures {
		all = append(all, e.Group)
	}
	return all
}

// PoisonIndex returns the index of the last change to what Poisons returns.
func (m *Machine) PoisonIndex() uint64 {
	return m.poisonIndex
}

func (m *Machine) strike(c Strike) Result {
	p := m.poisons[string(c.Fingerprint)]
	p.Fingerprint = c.Fingerprint
	p.Limit = p.limitWith(c)
	if p.counts(c, m.at) {
		p.Failures = append(slices.Clone(p.Failures), c.Failure)
		p.At = m.at
	}
	m.poisonIndex = m.index
	m.putPoison(p)
	m.limitPoisons()
	return Result{}
}

func (m *Machine) putPoison(p Poison) {
	m.poisons[string(p.Fingerprint)] = p
	m.poisonExpiry.put(string(p.Fingerprint), p.At)
}

func (m *Machine) dropPoison(fingerprint string) {
	delete(m.poisons, fingerprint)
	m.poisonExpiry.remove(fingerprint)
	m.poisonIndex = m.index
}

// limitPoisons evicts one fingerprint if there are more than MaxPoisons. Fingerprints
// below their limit are evicted first, so that many single failures do not evict
// requests that are rejected.
func (m *Machine) limitPoisons() {
	if m.poisonExpiry.len() <= MaxPoisons {
		return
	}
	var victim *Poison
	for _, p := range m.poisons {
		if victim == nil || p.evictedBefore(*victim) {
			victim = &p
		}
	}
	m.dropPoison(string(victim.Fingerprint))
}

// evictedBefore reports whether p is evicted before another fingerprint.
func (p Poison) evictedBefore(other Poison) bool {
	if p.Refused() != other.Refused() {
		return !p.Refused()
	}
	return cmp.Or(cmp.Compare(p.At, other.At), strings.Compare(string(p.Fingerprint), string(other.Fingerprint))) < 0
}

func poisonToWire(p Poison) *wire.Poison {
	w := &wire.Poison{Fingerprint: p.Fingerprint, At: int64(p.At), Limit: uint32(p.Limit)}
	for _, e := range p.Failures {
		w.Ends = append(w.Ends, &wire.PoisonEnd{Group: string(e.Group), Epoch: uint64(e.Epoch), Vm: string(e.VM), Incarnation: uint64(e.Incarnation)})
	}
	return w
}

// poisonFromWire also reads the format of earlier versions, which stored only groups.
func poisonFromWire(w *wire.Poison) Poison {
	p := Poison{Fingerprint: w.GetFingerprint(), At: WallTime(w.GetAt()), Limit: int(w.GetLimit())}
	if p.Limit == 0 {
		p.Limit = DefaultPoisonLimit
	}
	for _, e := range w.GetEnds() {
		p.Failures = append(p.Failures, TargetFailure{
			Group: sardine.GroupID(e.GetGroup()), Epoch: sardine.Epoch(e.GetEpoch()),
			VM: sardine.VMID(e.GetVm()), Incarnation: sardine.Incarnation(e.GetIncarnation()),
		})
	}
	for _, g := range w.GetGroups() {
		p.Failures = append(p.Failures, TargetFailure{Group: sardine.GroupID(g)})
	}
	return p
}
