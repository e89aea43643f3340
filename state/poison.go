package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/wire"
)

// End is the end of a target while it ran a request: of an engine's group, or of a
// plain target.
type End struct {
	Group       sardine.GroupID // engines only
	Epoch       sardine.Epoch   // engines only
	VM          sardine.VMID    // plain targets only
	Incarnation sardine.Incarnation
}

// Target returns the name of what ended.
func (e End) Target() string {
	if e.Group != "" {
		return string(e.Group)
	}
	return string(e.VM)
}

// Poison is a request's fingerprint and the targets that ended while they ran it.
type Poison struct {
	Fingerprint []byte
	Ends        []End
	Limit       int      // ends after which the request is refused
	At          WallTime // of the last end that counted
}

// Refused reports whether the request is not run any more.
func (p Poison) Refused() bool {
	return p.Limit > 0 && len(p.Ends) >= p.Limit
}

// counts reports whether a strike adds an end.
func (p Poison) counts(c Strike, at WallTime) bool {
	if p.Refused() || slices.Contains(p.Ends, c.End) {
		return false
	}
	return !c.Doubtful || len(p.Ends) == 0 || at-p.At >= StrikesApart
}

// Poison returns what is known of a fingerprint.
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

// Strikes returns the groups that failed while they ran a request with the
// fingerprint.
func (m *Machine) Strikes(fingerprint []byte) []sardine.GroupID {
	return m.Poison(fingerprint).Groups()
}

// Groups returns the groups that ended, the first one first.
func (p Poison) Groups() []sardine.GroupID {
	var all []sardine.GroupID
	for _, e := range p.Ends {
		all = append(all, e.Group)
	}
	return all
}

// StrikeIndex returns the index of the last change of what Poisons returns.
func (m *Machine) StrikeIndex() uint64 {
	return m.struck
}

func (m *Machine) strike(c Strike) Result {
	p := m.poisons[string(c.Fingerprint)]
	p.Fingerprint = c.Fingerprint
	p.Limit = max(p.Limit, c.Limit)
	if c.Limit == 0 {
		p.Limit = PoisonGroups
	}
	if p.counts(c, m.at) {
		p.Ends = append(slices.Clone(p.Ends), c.End)
		p.At = m.at
	}
	m.struck = m.index
	m.restorePoison(p)
	m.boundPoisons()
	return Result{}
}

func (m *Machine) restorePoison(p Poison) {
	m.poisons[string(p.Fingerprint)] = p
	m.strikes.put(string(p.Fingerprint), p.At)
}

func (m *Machine) dropPoison(fingerprint string) {
	delete(m.poisons, fingerprint)
	m.strikes.remove(fingerprint)
	m.struck = m.index
}

// boundPoisons forgets a fingerprint if there are too many. Requests that have ended
// one target each don't push out those that are refused.
func (m *Machine) boundPoisons() {
	if m.strikes.len() <= MaxPoisons {
		return
	}
	var least *Poison
	for _, p := range m.poisons {
		if least == nil || p.before(*least) {
			least = &p
		}
	}
	m.dropPoison(string(least.Fingerprint))
}

// before reports whether p is forgotten before another fingerprint.
func (p Poison) before(other Poison) bool {
	if p.Refused() != other.Refused() {
		return !p.Refused()
	}
	return cmp.Or(cmp.Compare(p.At, other.At), strings.Compare(string(p.Fingerprint), string(other.Fingerprint))) < 0
}

func poisonToWire(p Poison) *wire.Poison {
	w := &wire.Poison{Fingerprint: p.Fingerprint, At: int64(p.At), Limit: uint32(p.Limit)}
	for _, e := range p.Ends {
		w.Ends = append(w.Ends, &wire.PoisonEnd{Group: string(e.Group), Epoch: uint64(e.Epoch), Vm: string(e.VM), Incarnation: uint64(e.Incarnation)})
	}
	return w
}

// poisonFromWire also reads what programs wrote that knew groups only.
func poisonFromWire(w *wire.Poison) Poison {
	p := Poison{Fingerprint: w.GetFingerprint(), At: WallTime(w.GetAt()), Limit: int(w.GetLimit())}
	if p.Limit == 0 {
		p.Limit = PoisonGroups
	}
	for _, e := range w.GetEnds() {
		p.Ends = append(p.Ends, End{
			Group: sardine.GroupID(e.GetGroup()), Epoch: sardine.Epoch(e.GetEpoch()),
			VM: sardine.VMID(e.GetVm()), Incarnation: sardine.Incarnation(e.GetIncarnation()),
		})
	}
	for _, g := range w.GetGroups() {
		p.Ends = append(p.Ends, End{Group: sardine.GroupID(g)})
	}
	return p
}
