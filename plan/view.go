package plan

import (
	"cmp"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/state"
)

// condition is the state of a group's member with respect to the group's epoch.
type condition uint8

const (
	memberUnseen       condition = iota // no announcement since the election
	memberGone                          // not in the log or not alive
	memberRestarted                     // alive under a later incarnation
	memberFailed                        // failed to execute the order
	memberLeaving                       // accepts no new work
	memberSlow                          // a straggler that is being replaced
	memberWithoutOrder                  // does not hold the group's order
	memberLoading
	memberReady
)

func (c condition) String() string {
	names := [...]string{"not announced yet", "gone", "restarted", "failed", "leaving", "too slow", "without the order", "loading", "ready"}
	return names[c]
}

// missing reports whether the group can't continue with the member.
func (c condition) missing() bool {
	return c >= memberGone && c <= memberSlow
}

// vmView is the state of one engine VM in a round.
type vmView struct {
	target     state.Target
	status     fleet.Status
	registered bool // in the log
	alive      bool // confirmed as alive under the log's incarnation
	owner      state.Owner
	owned      bool
	member     bool // of an undissolved group that owns it
	record     *vmRecord
}

// warm reports whether the VM has the weights of a model's version in its engine,
// or the model staged on its host.
func (v *vmView) warm(model sardine.ModelName, version string) bool {
	h := v.status.CurrentOrder
	held := h.State.Ready() || h.State == sardine.MemberIdle
	return v.alive && (held && h.Model == model && h.Version == version || slices.Contains(v.status.Staged, model))
}

func (v *vmView) canLoad(model sardine.ModelName) bool {
	return len(v.target.Loadable) == 0 || slices.Contains(v.target.Loadable, model)
}

// memberView is one member of a group in a round.
type memberView struct {
	sardine.Member
	vm        *vmView
	condition condition
}

// groupView is the state of one group in a round.
type groupView struct {
	sardine.Group
	record     *groupRecord
	deployment *deploymentView // nil for spares and if the deployment was removed
	members    []memberView
	spare      bool
	busy       bool // a proposed command is pending
	slow       bool // a member may be a straggler
}

// ready reports whether every member is ready, whether or not the group is open
// for requests.
func (g *groupView) ready() bool {
	for _, m := range g.members {
		if m.condition != memberReady {
			return false
		}
	}
	return true
}

// opens reports whether the group's rank 0 needs an order to open.
func (g *groupView) opens() bool {
	return g.deployment != nil && g.deployment.spec.Opens
}

// open reports whether the group accepts requests according to its engines.
func (g *groupView) open() bool {
	if !g.opens() {
		return true
	}
	head := g.members[0].vm
	return head.alive && head.status.CurrentOrder.State == sardine.MemberOpen
}

// missing returns the members that the group can't continue with.
func (g *groupView) missing() []memberView {
	var all []memberView
	for _, m := range g.members {
		if m.condition.missing() {
			all = append(all, m)
		}
	}
	return all
}

// accelerators returns the number of accelerators of the live members.
func (g *groupView) accelerators() int {
	sum := 0
	for _, m := range g.members {
		if m.vm.alive {
			sum += m.vm.target.Accelerators
		}
	}
	return sum
}

// active reports whether the group is neither dissolved nor draining for that.
func (g *groupView) active() bool {
	return g.State != sardine.GroupFenced && g.State != sardine.GroupReleased && g.record.drain != drainDissolve
}

func (g *groupView) value() float64 {
	if g.deployment == nil {
		return 0
	}
	return g.deployment.value()
}

// deploymentView is the state of one deployment in a round.
type deploymentView struct {
	DeploymentKey
	spec           sardine.Deployment
	objective      sardine.Objective
	groups         []*groupView // active ones
	serving        int
	staged         int     // groups for which hosts are planned to load in this round, see countStaged
	unavailability float64 // fraction of time that a group waits for one member
}

// value returns the value of one group of the deployment, 1 by default.
func (dv *deploymentView) value() float64 {
	if dv.spec.Value <= 0 {
		return 1
	}
	return dv.spec.Value
}

// downtimeRate returns the cost per second of lacking one group.
func (dv *deploymentView) downtimeRate() float64 {
	return dv.objective.DowntimeWeight * dv.value()
}

// missing returns how many groups the deployment lacks. A deployment by demand
// can always use another group.
func (dv *deploymentView) missing() int {
	if dv.byDemand() {
		return 1
	}
	return dv.spec.Groups - len(dv.groups)
}

// round holds the working state of one planning round.
type round struct {
	p             *Planner
	now           sardine.Millis
	live          Fleet
	out           Output
	vms           map[sardine.VMID]*vmView
	sorted        []sardine.VMID
	groups        []*groupView // sorted by value, highest first, then by id
	byID          map[sardine.GroupID]*groupView
	deployments   []*deploymentView // sorted by value, highest first
	allocated     map[sardine.VMID]bool
	free          map[sardine.FabricDomain][]*vmView // sorted by VM
	spares        map[sardine.FabricDomain][]*groupView
	reserved      map[sardine.FabricDomain]reservation
	extraSpares   map[spareKey]int // spares needed to replace stragglers
	staging       []stagePlan
	secondStaging []stagePlan // after staging
	loading       int
	domainCache   []sardine.FabricDomain
	// failureRate is per VM and second, 0 until it is first computed
	failureRate float64
}

// spareKey identifies the spares of one deployment in one domain.
type spareKey struct {
	deployment DeploymentKey
	domain     sardine.FabricDomain
}

// reservation keeps free VMs of a domain for groups that wait for more VMs.
type reservation struct {
	count int
	value float64
}

func newRound(p *Planner, now sardine.Millis, live Fleet, teams []sardine.TeamSettings) *round {
	r := &round{
		p:           p,
		now:         now,
		live:        live,
		vms:         p.logView.vms,
		sorted:      p.logView.sorted,
		byID:        make(map[sardine.GroupID]*groupView),
		allocated:   make(map[sardine.VMID]bool),
		free:        make(map[sardine.FabricDomain][]*vmView),
		spares:      make(map[sardine.FabricDomain][]*groupView),
		reserved:    make(map[sardine.FabricDomain]reservation),
		extraSpares: make(map[spareKey]int),
	}
	r.out.Wake = now + sardine.Second
	r.viewVMs()
	r.viewDeployments(teams)
	r.viewGroups()
	return r
}

func (r *round) viewVMs() {
	for _, vm := range r.sorted {
		v := r.vms[vm]
		v.member = false
		if !v.registered {
			continue
		}
		v.status, v.alive = r.live.Live(vm)
		v.alive = v.alive && v.status.Incarnation == v.target.Incarnation
	}
	for _, w := range r.p.pending {
		for _, vm := range w.vms {
			r.allocated[vm] = true
		}
	}
}

func (r *round) viewDeployments(teams []sardine.TeamSettings) {
	for _, t := range teams {
		for _, d := range t.Deployments {
			if d.Kind != sardine.KindEngine || d.GroupSize <= 0 {
				continue
			}
			dv := &deploymentView{DeploymentKey: DeploymentKey{Team: t.Team, Service: d.Name}, spec: d, objective: objectiveOf(t.Objective)}
			r.deployments = append(r.deployments, dv)
		}
	}
	slices.SortStableFunc(r.deployments, func(a, b *deploymentView) int {
		if c := cmp.Compare(b.value(), a.value()); c != 0 {
			return c
		}
		if c := strings.Compare(string(a.Team), string(b.Team)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Service), string(b.Service))
	})
}

// objectiveOf returns the objective, or default weights if none is set.
func objectiveOf(o sardine.Objective) sardine.Objective {
	if o.DowntimeWeight <= 0 && o.StrandedWeight <= 0 {
		return sardine.Objective{DowntimeWeight: 20, StrandedWeight: 1}
	}
	return o
}
