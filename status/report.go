// Package status is what a node tells about the whole site: every group,
// target, entry node and control member with its state, since when, what the
// system does about it and what a person should do. Nodes build it, sardctl
// shows it; both share the codec.
package status

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Path is where nodes serve their report, by GET.
const Path = "/sardine/v1/status"

// DumpPath is where nodes serve the dump of their state, by GET.
const DumpPath = "/sardine/v1/dump"

// Role tells entry from control nodes.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Condition is how one thing fares.
type Condition struct {
	State  string         // snake case, such as "serving"
	Good   bool           // nothing is wrong with it
	Since  state.WallTime // when it came into this state
	System string         // what the system does about it, empty for nothing
	Person string         // what a person should do, empty for nothing
}

// Check is one of the promises, as far as the node can judge it.
type Check struct {
	Name   string
	Held   bool
	Detail string // what breaks it, empty if held
}

// Team is one team's settings.
type Team struct {
	Name      sardine.Team
	Version   sardine.Version
	Services  []Service
	Condition Condition
}

// Service is one deployment and its groups or targets.
type Service struct {
	Name    sardine.ServiceName
	Kind    sardine.TargetKind
	Wanted  int // groups; 0 for plain services
	Serving int // groups or targets
}

// Group is one replica of a model.
type Group struct {
	ID        sardine.GroupID
	Epoch     sardine.Epoch
	Team      sardine.Team
	Service   sardine.ServiceName
	Domain    sardine.FabricDomain
	Members   []Member
	Condition Condition
}

// Member is one VM of a group.
type Member struct {
	VM      sardine.VMID
	Rank    int
	Present bool
}

// Target is one target VM.
type Target struct {
	VM           sardine.VMID
	Incarnation  sardine.Incarnation
	Kind         sardine.TargetKind
	DataCentre   sardine.DataCentre
	Domain       sardine.FabricDomain
	Service      sardine.ServiceName // plain services only
	Group        sardine.GroupID     // owner, empty for none
	Accelerators int
	Load         sardine.Load
	Condition    Condition
}

// Entry is one entry node.
type Entry struct {
	Node       sardine.NodeID
	DataCentre sardine.DataCentre
	Address    string
	Applied    uint64
	Condition  Condition
}

// Control is one member of the control quorum.
type Control struct {
	Node      sardine.NodeID
	Address   string
	Leader    bool
	Learner   bool
	Applied   uint64
	Condition Condition
}

// Poison is a request that is refused, or close to it.
type Poison struct {
	Fingerprint string   // hexadecimal
	Targets     []string // that ended while they ran it
	Condition   Condition
}

// Report is one node's view of the site.
type Report struct {
	Node     sardine.NodeID
	Role     Role
	Site     string
	At       state.WallTime
	Applied  uint64
	Leader   sardine.NodeID // empty without one
	Checks   []Check
	Teams    []Team
	Groups   []Group
	Targets  []Target
	Entries  []Entry
	Controls []Control
	Poisons  []Poison
}

// Held reports whether every promise that the node can judge is held.
func (r Report) Held() bool {
	for _, c := range r.Checks {
		if !c.Held {
			return false
		}
	}
	return true
}

// Group returns the group with the id.
func (r Report) Group(id sardine.GroupID) (Group, bool) {
	for _, g := range r.Groups {
		if g.ID == id {
			return g, true
		}
	}
	return Group{}, false
}

// Target returns the target with the name.
func (r Report) Target(vm sardine.VMID) (Target, bool) {
	for _, t := range r.Targets {
		if t.VM == vm {
			return t, true
		}
	}
	return Target{}, false
}
