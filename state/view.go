package state

import (
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

// Entry returns the record of an entry node that is a member.
func (m *Machine) Entry(n sardine.NodeID) (JoinEntry, bool) {
	e, ok := m.entries[n]
	return e, ok
}

// Entries returns the member entry nodes, sorted by name.
func (m *Machine) Entries() []JoinEntry {
	return sorted(m.entries, func(a, b JoinEntry) int { return strings.Compare(string(a.Node), string(b.Node)) })
}

// Target returns the record of a target VM.
func (m *Machine) Target(vm sardine.VMID) (Target, bool) {
	t, ok := m.targets[vm]
	return t, ok
}

// Targets returns the targets, sorted by VM.
func (m *Machine) Targets() []Target {
	return sorted(m.targets, func(a, b Target) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

// Group returns the group with the given id.
func (m *Machine) Group(id sardine.GroupID) (sardine.Group, bool) {
	g, ok := m.groups[id]
	return g, ok
}

// Groups returns the groups, sorted by id.
func (m *Machine) Groups() []sardine.Group {
	return sorted(m.groups, func(a, b sardine.Group) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Owner returns the group that a VM belongs to.
func (m *Machine) Owner(vm sardine.VMID) (Owner, bool) {
	o, ok := m.owners[vm]
	return o, ok
}

// Owners returns all ownerships, sorted by VM.
func (m *Machine) Owners() []Owner {
	return sorted(m.owners, func(a, b Owner) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

// Teams returns the names of all teams, sorted.
func (m *Machine) Teams() []sardine.Team {
	names := make([]sardine.Team, 0, len(m.teams))
	for name := range m.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Current returns a team's newest revision; ok is false for an unknown team.
func (m *Machine) Current(t sardine.Team) (Revision, bool) {
	found := m.teams[t]
	if found == nil || len(found.revisions) == 0 {
		return Revision{}, false
	}
	return found.revisions[len(found.revisions)-1], true
}

// History returns the revisions that are stored for a team, oldest first.
func (m *Machine) History(t sardine.Team) []Revision {
	found := m.teams[t]
	if found == nil {
		return nil
	}
	return slices.Clone(found.revisions)
}

// Change returns the result of the first command with a change id.
func (m *Machine) Change(t sardine.Team, changeID string) (ChangeResult, bool) {
	found := m.teams[t]
	if found == nil {
		return ChangeResult{}, false
	}
	return found.result(changeID)
}

// Token returns the token with the given hash, unless it has expired.
func (m *Machine) Token(hash []byte) (Token, bool) {
	t, ok := m.tokens[string(hash)]
	if ok && t.Expires != 0 && t.Expires <= m.at {
		return Token{}, false
	}
	return t, ok
}

// Tokens returns all tokens, sorted by hash.
func (m *Machine) Tokens() []Token {
	return sorted(m.tokens, func(a, b Token) int { return strings.Compare(string(a.Hash), string(b.Hash)) })
}

// Claims returns all claims, sorted by workspace and key.
func (m *Machine) Claims() []Claim {
	return sorted(m.claims, func(a, b Claim) int {
		if c := strings.Compare(string(a.Workspace), string(b.Workspace)); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
}

func sorted[K comparable, V any](items map[K]V, compare func(a, b V) int) []V {
	all := make([]V, 0, len(items))
	for _, v := range items {
		all = append(all, v)
	}
	slices.SortFunc(all, compare)
	return all
}
