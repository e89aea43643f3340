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

// AnnouncedTarget is what a node knows about a target from its announcements.
type AnnouncedTarget struct {
	VM          sardine.VMID
	Incarnation sardine.Incarnation
	Present     bool // an announcement arrived within its lease
	Leaving     bool
	Load        sardine.Load
}

// EntryLease is what a node knows about an entry node.
type EntryLease struct {
	Node    sardine.NodeID
	Held    bool
	Applied uint64
}

// Peer is what a node knows about a control member.
type Peer struct {
	Node      sardine.NodeID
	Address   string
	Leader    bool
	Learner   bool
	Reachable bool
	Observed  bool // this node knows whether the member is reachable
	Applied   uint64
}

// PlannerAction describes in one sentence what the planner does about a group.
type PlannerAction struct {
	Group sardine.GroupID
	Text  string
}

// Input is what a node knows besides the replicated state.
type Input struct {
	Node           sardine.NodeID
	Role           Role
	Site           string
	At             state.WallTime
	Leader         sardine.NodeID
	LeaderlessFor  sardine.Millis // how long no leader has been known, 0 if one is
	Announced      []AnnouncedTarget
	Leases         []EntryLease
	Peers          []Peer
	PlannerActions []PlannerAction
}

// History records since when each item of a report has its state, and the targets
// that were lost. It is not safe for concurrent use.
type History struct {
	conditions map[string]conditionRecord
	targets    map[sardine.VMID]targetRecord
}

type conditionRecord struct {
	state string
	since state.WallTime
	used  bool
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{conditions: map[string]conditionRecord{}, targets: map[sardine.VMID]targetRecord{}}
}

// since returns when the item entered the state: now if it had another state before,
// or none.
func (h *History) since(item, state string, now state.WallTime) state.WallTime {
	s, known := h.conditions[item]
	if !known || s.state != state {
		s = conditionRecord{state: state, since: now}
	}
	s.used = true
	h.conditions[item] = s
	return s.since
}

// dropUnused drops the records that the last report did not use.
func (h *History) dropUnused() {
	for item, s := range h.conditions {
		if !s.used {
			delete(h.conditions, item)
			continue
		}
		s.used = false
		h.conditions[item] = s
	}
}

// Build builds a report from the replicated state m and the node's own knowledge.
// Calling it about once a second keeps the times in h accurate to a second.
func Build(m *state.Machine, in Input, h *History) Report {
	b := builder{machine: m, in: in, history: h, seen: map[sardine.VMID]AnnouncedTarget{}, leases: map[sardine.NodeID]EntryLease{}}
	for _, s := range in.Announced {
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
	h.dropUnused()
	return r
}

type builder struct {
	machine *state.Machine
	in      Input
	history *History
	seen    map[sardine.VMID]AnnouncedTarget
	leases  map[sardine.NodeID]EntryLease
}

func (b builder) condition(item, state string, a advice) Condition {
	return Condition{
		State:          state,
		Healthy:        a.good,
		Since:          b.history.since(item, state, b.in.At),
		SystemAction:   a.system,
		OperatorAction: a.person,
	}
}

// hasReports reports whether the node receives leases and announcements. Of the
// control nodes only the leader does; on the others everything would seem lost.
func (b builder) hasReports() bool {
	return b.in.Role != RoleControl || b.in.Leader == b.in.Node
}

// present reports whether an announcement of this incarnation arrived within its
// lease.
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
			present := !b.hasReports() || b.present(member.VM, member.Incarnation)
			if !present {
				missing++
			}
			row.Members = append(row.Members, Member{VM: member.VM, Rank: member.Rank, Present: present})
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

// isSpare reports whether the group is a loaded VM kept for repairs. A spare
// belongs to no deployment, so it never has the state serving.
func isSpare(g sardine.Group) bool {
	return g.Service == "" && (g.State == sardine.GroupAssigned || g.State == sardine.GroupLoading)
}

func (b builder) note(id sardine.GroupID) string {
	for _, n := range b.in.PlannerActions {
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
		if !b.hasReports() {
			name = Unknown
		}
		row.Condition = b.condition("target "+string(t.VM), name, adviseTarget(name))
		all = append(all, row)
	}
	b.history.recordTargets(all)
	for _, row := range b.history.lostTargets(all, b.in.At) {
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
		if !b.hasReports() {
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
		name := b.peerState(p)
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
		rollout := "in_force"
		if !b.hasReports() {
			rollout = Unknown
		}
		if b.entriesBehind(revision.Index) > 0 {
			rollout = "spreading"
		}
		row.Condition = b.condition("team "+string(name)+fmt.Sprint(revision.Version), rollout, adviseTeam(rollout, row.Services))
		all = append(all, row)
	}
	return all
}

// entriesBehind returns the number of entry nodes that hold a lease and have not
// applied the index.
func (b builder) entriesBehind(index uint64) int {
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
			if t.Kind == sardine.KindPlain && t.Service == d.Name && t.Condition.Healthy {
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
			Fingerprint: fingerprint, Targets: convertAll(p.Failures, state.TargetFailure.Target),
			Condition: b.condition("poison "+fingerprint, name, advisePoison(name)),
		})
	}
	return all
}
