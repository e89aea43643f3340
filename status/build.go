package status

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// Seen is what a node knows of a target from announcements.
type Seen struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Present     bool // announced itself within its lease
	Leaving     bool
	Load        sardine.Load
}

// Lease is what a node knows of an entry node.
type Lease struct {
	Node    sardine.NodeID
	Held    bool
	Applied uint64
}

// Peer is what a node knows of a control member.
type Peer struct {
	Node      sardine.NodeID
	Address   string
	Leader    bool
	Learner   bool
	Reachable bool
	Applied   uint64
}

// Note is what the planner does about a group, in one sentence.
type Note struct {
	Group sardine.GroupID
	Text  string
}

// Input is what a node knows beyond the replicated state.
type Input struct {
	Node   sardine.NodeID
	Role   Role
	Site   string
	At     state.WallTime
	Leader sardine.NodeID
	Seen   []Seen
	Leases []Lease
	Peers  []Peer
	Notes  []Note
}

// History remembers since when things are in their state. It is not safe for
// concurrent use.
type History struct {
	known   map[string]spell
	targets map[sardine.VMID]gone
}

type spell struct {
	state string
	since state.WallTime
	used  bool
}

// NewHistory returns a history that knows nothing.
func NewHistory() *History {
	return &History{known: map[string]spell{}, targets: map[sardine.VMID]gone{}}
}

// since returns when the thing came into the state, now if it was in another.
func (h *History) since(thing, state string, now state.WallTime) state.WallTime {
	s, known := h.known[thing]
	if !known || s.state != state {
		s = spell{state: state, since: now}
	}
	s.used = true
	h.known[thing] = s
	return s.since
}

// forget drops what the last report did not mention.
func (h *History) forget() {
	for thing, s := range h.known {
		if !s.used {
			delete(h.known, thing)
			continue
		}
		s.used = false
		h.known[thing] = s
	}
}

// Build makes the report of the replicated state m and what the node knows
// besides. Calling it about once a second keeps the times in h exact to that.
func Build(m *state.Machine, in Input, h *History) Report {
	b := builder{machine: m, in: in, history: h, seen: map[sardine.VMID]Seen{}, leases: map[sardine.NodeID]Lease{}}
	for _, s := range in.Seen {
		b.seen[s.VM] = s
	}
	for _, l := range in.Leases {
		b.leases[l.Node] = l
	}
	r := Report{Node: in.Node, Role: in.Role, Site: in.Site, At: in.At, Applied: m.Index(), Leader: in.Leader}
	r.Groups = b.groups()
	r.Targets = b.targets()
	r.Entries = b.entries()
	r.Controls = b.controls()
	r.Teams = b.teams(r)
	r.Poisons = b.poisons()
	r.Checks = b.checks(r)
	h.forget()
	return r
}

type builder struct {
	machine *state.Machine
	in      Input
	history *History
	seen    map[sardine.VMID]Seen
	leases  map[sardine.NodeID]Lease
}

func (b builder) condition(thing, state string, a advice) Condition {
	return Condition{
		State:  state,
		Good:   a.good,
		Since:  b.history.since(thing, state, b.in.At),
		System: a.system,
		Person: a.person,
	}
}

// informed reports whether the node knows leases and announcements. Of control
// nodes only the leader does; the others would call everything lost.
func (b builder) informed() bool {
	return b.in.Role != RoleControl || b.in.Leader == b.in.Node
}

// present reports whether this incarnation announced itself within its lease.
func (b builder) present(vm sardine.VMID, i sardine.Incarnation) bool {
	s, known := b.seen[vm]
	return known && s.Present && s.Incarnation == i
}

func (b builder) groups() []Group {
	var all []Group
	for _, g := range b.machine.Groups() {
		row := Group{ID: g.ID, Epoch: g.Epoch, Team: g.Team, Service: g.Service, Domain: g.Domain}
		missing := 0
		for _, member := range g.Members {
			here := !b.informed() || b.present(member.VM, member.Incarnation)
			if !here {
				missing++
			}
			row.Members = append(row.Members, Member{VM: member.VM, Rank: member.Rank, Present: here})
		}
		a := adviseGroup(g.State, missing)
		if note := b.note(g.ID); note != "" && !a.good {
			a.system = note
		}
		name := g.State.String()
		if isSpare(g) && missing == 0 {
			name, a = "spare", advice{good: true}
		}
		row.Condition = b.condition("group "+string(g.ID), name, a)
		all = append(all, row)
	}
	return all
}

// isSpare reports whether the group is a loaded VM kept for repairs: it serves no
// deployment, so the log never calls it serving.
func isSpare(g sardine.Group) bool {
	return g.Service == "" && (g.State == sardine.GroupAssigned || g.State == sardine.GroupLoading)
}

func (b builder) note(id sardine.GroupID) string {
	for _, n := range b.in.Notes {
		if n.Group == id {
			return n.Text
		}
	}
	return ""
}

func (b builder) targets() []Target {
	var all []Target
	for _, t := range b.machine.Targets() {
		owner, _ := b.machine.Owner(t.VM)
		seen := b.seen[t.VM]
		row := Target{
			VM: t.VM, Incarnation: t.Incarnation, Kind: t.Kind, DataCentre: t.DataCentre, Domain: t.Domain,
			Service: t.Service, Group: owner.Group, Accelerators: t.Accelerators, Load: seen.Load,
		}
		name := targetState(b.present(t.VM, t.Incarnation), t.Leaving || seen.Leaving, t.Kind, owner.Group)
		if !b.informed() {
			name = Unknown
		}
		row.Condition = b.condition("target "+string(t.VM), name, adviseTarget(name))
		all = append(all, row)
	}
	b.history.remember(all)
	for _, row := range b.history.lost(all, b.in.At) {
		row.Condition = b.condition("target "+string(row.VM), "lost", adviseTarget("lost"))
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Target) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return all
}

func (b builder) entries() []Entry {
	var all []Entry
	for _, e := range b.machine.Entries() {
		lease, known := b.leases[e.Node]
		name := "serving"
		if !known || !lease.Held {
			name = "cut_off"
		}
		if !b.informed() {
			name = Unknown
		}
		all = append(all, Entry{
			Node: e.Node, DataCentre: e.DataCentre, Address: e.Address, Applied: lease.Applied,
			Condition: b.condition("entry "+string(e.Node), name, adviseEntry(name)),
		})
	}
	return all
}

func (b builder) controls() []Control {
	var all []Control
	for _, p := range b.in.Peers {
		name := peerState(p)
		if p.Reachable && !b.informed() && p.Node != b.in.Node {
			name = Unknown
		}
		all = append(all, Control{
			Node: p.Node, Address: p.Address, Leader: p.Leader, Learner: p.Learner, Applied: p.Applied,
			Condition: b.condition("control "+string(p.Node), name, adviseControl(name, b.in.Leader != "")),
		})
	}
	return all
}

func (b builder) teams(r Report) []Team {
	var all []Team
	for _, name := range b.machine.Teams() {
		revision, known := b.machine.Current(name)
		if !known {
			continue
		}
		row := Team{Name: name, Version: revision.Version}
		settings, err := team.Parse(name, revision.Document)
		if err == nil {
			row.Services = services(settings, r)
		}
		spread := "in_force"
		if !b.informed() {
			spread = Unknown
		}
		if b.behind(revision.Index) > 0 {
			spread = "spreading"
		}
		row.Condition = b.condition("team "+string(name)+fmt.Sprint(revision.Version), spread, adviseTeam(spread, row.Services))
		all = append(all, row)
	}
	return all
}

// behind counts entry nodes with a lease that have not applied the index.
func (b builder) behind(index uint64) int {
	n := 0
	for _, l := range b.in.Leases {
		if l.Held && l.Applied < index {
			n++
		}
	}
	return n
}

func services(settings sardine.TeamSettings, r Report) []Service {
	var all []Service
	for _, d := range settings.Deployments {
		s := Service{Name: d.Name, Kind: d.Kind, Wanted: d.Groups}
		for _, g := range r.Groups {
			if g.Team == settings.Team && g.Service == d.Name && g.Condition.State == sardine.GroupServing.String() {
				s.Serving++
			}
		}
		for _, t := range r.Targets {
			if t.Kind == sardine.KindPlain && t.Service == d.Name && t.Condition.Good {
				s.Serving++
			}
		}
		all = append(all, s)
	}
	return all
}

func (b builder) poisons() []Poison {
	var all []Poison
	for _, p := range b.machine.Poisons() {
		name := "suspected"
		if p.Refused() {
			name = "refused"
		}
		fingerprint := hex.EncodeToString(p.Fingerprint)
		all = append(all, Poison{
			Fingerprint: fingerprint, Targets: each(p.Ends, state.End.Target),
			Condition: b.condition("poison "+fingerprint, name, advisePoison(name)),
		})
	}
	return all
}
