// Package status builds a node's report of the whole site: every group, target,
// entry node and control member with its state, since when it has that state,
// what the system does about it and what an operator should do. Nodes build
// reports and sardctl shows them; both use this package's codec.
package status

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// Path is the path at which nodes serve their report to GET requests.
const Path = "/sardine/v1/status"

// DumpPath is the path at which nodes serve a dump of their state to GET requests.
const DumpPath = "/sardine/v1/dump"

// Role is the kind of a node.
type Role string

// The roles of nodes.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Condition is the state of one item of a report.
type Condition struct {
	State          string         // snake case, such as "serving"
	Healthy        bool           // the item needs no attention
	Since          state.WallTime // when it entered this state
	SystemAction   string         // what the system does about it, empty for nothing
	OperatorAction string         // what an operator should do, empty for nothing
}

// Check is the result for one of the system's guarantees, as far as the node can
// evaluate it.
type Check struct {
	Name   string
	Passed bool
	Detail string // what violates it, empty if it holds
}

// Team is the state of one team's settings.
type Team struct {
	Name      sardine.Team
	Version   sardine.Version
	Services  []Service
	Condition Condition
}

// Service is one deployment with its number of groups or targets.
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

// Target is the state of one target VM.
type Target struct {
	VM           sardine.VMID
	Incarnation  sardine.Incarnation
	Kind         sardine.TargetKind
	DataCentre   sardine.DataCentre
	Domain       sardine.FabricDomain
	Service      sardine.ServiceName // empty for engines
	Group        sardine.GroupID     // the group that owns the VM, empty for none
	Accelerators int
	Load         sardine.Load
	Condition    Condition
}

// Entry is the state of one entry node.
type Entry struct {
	Node       sardine.NodeID
	DataCentre sardine.DataCentre
	Address    string
	Applied    uint64
	Condition  Condition
}

// Control is the state of one member of the control quorum.
type Control struct {
	Node      sardine.NodeID
	Address   string
	Leader    bool
	Learner   bool
	Applied   uint64
	Condition Condition
}

// Poison is a request that made targets fail: refused, or suspected until it has
// failed enough of them.
type Poison struct {
	Fingerprint string   // hexadecimal
	Targets     []string // that failed while they ran it
	Condition   Condition
}

// Report is one node's view of the site.
type Report struct {
	Node     sardine.NodeID
	Role     Role
	Site     string
	At       state.WallTime
	Applied  uint64
	Leader   sardine.NodeID // empty if there is none
	Checks   []Check
	Teams    []Team
	Groups   []Group
	Targets  []Target
	Entries  []Entry
	Controls []Control
	Poisons  []Poison
}

// AllPassed reports whether all checks of the report hold.
func (r Report) AllPassed() bool {
	for _, c := range r.Checks {
		if !c.Passed {
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

// Target returns the target on the VM.
func (r Report) Target(vm sardine.VMID) (Target, bool) {
	for _, t := range r.Targets {
		if t.VM == vm {
			return t, true
		}
	}
	return Target{}, false
}
