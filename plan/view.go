package plan

import (
	"cmp"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/state"
)

// condition is what a group's member does for its epoch.
type condition uint8

const (
	memberUnseen    condition = iota // not heard of since the election
	memberGone                       // not in the log or not alive
	memberRestarted                  // alive under a later incarnation
	memberFailed                     // could not carry out the order
	memberLeaving                    // takes no new work
	memberSlow                       // a straggler that is being replaced
	memberElsewhere                  // does not hold the order
	memberLoading
	memberReady
)

func (c condition) String() string {
	names := [...]string{"not heard of yet", "gone", "restarted", "failed", "leaving", "too slow", "without the order", "loading", "ready"}
	return names[c]
}

// missing reports whether the group can't go on with the member as it is.
func (c condition) missing() bool {
	return c >= memberGone && c <= memberSlow
}

// vmView is one engine VM in a round.
type vmView struct {
	target state.Target
	status fleet.Status
	known  bool // in the log
	alive  bool // vouched for under the log's incarnation
	owner  state.Owner
	owned  bool
	member bool // of a group of its owner that is not dissolved
	note   *vmNote
}

// warm reports whether the VM has a model's version in memory.
func (v *vmView) warm(model sardine.ModelName, version string) bool {
	h := v.status.Holding
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

// groupView is one group in a round.
type groupView struct {
	sardine.Group
	note    *groupNote
	kind    *kindView // nil for a spare and for a deployment that is gone
	members []memberView
	spare   bool
	busy    bool // commands are under way
	slow    bool // a member may be a straggler
}

// ready reports whether every member is, whether or not the group is open.
func (g *groupView) ready() bool {
	for _, m := range g.members {
		if m.condition != memberReady {
			return false
		}
	}
	return true
}

// opens reports whether the group's rank 0 must take an order to open.
func (g *groupView) opens() bool {
	return g.kind != nil && g.kind.deployment.Opens
}

// open reports whether the group takes requests as far as its engines say.
func (g *groupView) open() bool {
	if !g.opens() {
		return true
	}
	head := g.members[0].vm
	return head.alive && head.status.Holding.State == sardine.MemberOpen
}

// missing returns the members the group can't go on with.
func (g *groupView) missing() []memberView {
	var all []memberView
	for _, m := range g.members {
		if m.condition.missing() {
			all = append(all, m)
		}
	}
	return all
}

// accelerators counts those of the members that are alive.
func (g *groupView) accelerators() int {
	sum := 0
	for _, m := range g.members {
		if m.vm.alive {
			sum += m.vm.target.Accelerators
		}
	}
	return sum
}

// active reports whether the group serves or will.
func (g *groupView) active() bool {
	return g.State != sardine.GroupFenced && g.State != sardine.GroupReleased && g.note.drain != drainDissolve
}

func (g *groupView) value() float64 {
	if g.kind == nil {
		return 0
	}
	return g.kind.value()
}

// kindView is one deployment in a round.
type kindView struct {
	Kind
	deployment sardine.Deployment
	objective  sardine.Objective
	groups     []*groupView // active ones
	serving    int
	absence    float64 // part of the time for which a group waits for one member
}

// value returns the worth of one group of the deployment.
func (k *kindView) value() float64 {
	if k.deployment.Value <= 0 {
		return 1
	}
	return k.deployment.Value
}

// down returns the cost of one second without one group.
func (k *kindView) down() float64 {
	return k.objective.DowntimeWeight * k.value()
}

// missing returns how many groups the deployment lacks. One by demand can always
// use another.
func (k *kindView) missing() int {
	if k.byDemand() {
		return 1
	}
	return k.deployment.Groups - len(k.groups)
}

// round is one pass over the fleet.
type round struct {
	p        *Planner
	now      sardine.Millis
	live     Fleet
	out      Output
	vms      map[sardine.VMID]*vmView
	sorted   []sardine.VMID
	groups   []*groupView // sorted by value, highest first, then by id
	byID     map[sardine.GroupID]*groupView
	kinds    []*kindView // sorted by value, highest first
	taken    map[sardine.VMID]bool
	free     map[sardine.FabricDomain][]*vmView // sorted by VM
	spares   map[sardine.FabricDomain][]*groupView
	reserved map[sardine.FabricDomain]reserve
	wants    map[stockKey]int // further spares that a swap needs
	staging  []stagePlan
	loading  int
	known    []sardine.FabricDomain
	// failureRate is per VM and second, 0 until it is asked for
	failureRate float64
}

// stockKey names the spares of one deployment in one domain.
type stockKey struct {
	kind   Kind
	domain sardine.FabricDomain
}

// reserve holds free VMs back for those who wait for them.
type reserve struct {
	count int
	value float64
}

func newRound(p *Planner, now sardine.Millis, live Fleet, teams []sardine.TeamSettings) *round {
	r := &round{
		p:        p,
		now:      now,
		live:     live,
		vms:      p.logged.vms,
		sorted:   p.logged.sorted,
		byID:     make(map[sardine.GroupID]*groupView),
		taken:    make(map[sardine.VMID]bool),
		free:     make(map[sardine.FabricDomain][]*vmView),
		spares:   make(map[sardine.FabricDomain][]*groupView),
		reserved: make(map[sardine.FabricDomain]reserve),
		wants:    make(map[stockKey]int),
	}
	r.out.Wake = now + sardine.Second
	r.viewVMs()
	r.viewKinds(teams)
	r.viewGroups()
	return r
}

func (r *round) viewVMs() {
	for _, vm := range r.sorted {
		v := r.vms[vm]
		v.member = false
		if !v.known {
			continue
		}
		v.status, v.alive = r.live.Live(vm)
		v.alive = v.alive && v.status.Incarnation == v.target.Incarnation
	}
	for _, w := range r.p.pending {
		for _, vm := range w.vms {
			r.taken[vm] = true
		}
	}
}

func (r *round) viewKinds(teams []sardine.TeamSettings) {
	for _, t := range teams {
		for _, d := range t.Deployments {
			if d.Kind != sardine.KindEngine || d.GroupSize <= 0 {
				continue
			}
			k := &kindView{Kind: Kind{Team: t.Team, Service: d.Name}, deployment: d, objective: objectiveOf(t.Objective)}
			r.kinds = append(r.kinds, k)
		}
	}
	slices.SortStableFunc(r.kinds, func(a, b *kindView) int {
		if c := cmp.Compare(b.value(), a.value()); c != 0 {
			return c
		}
		if c := strings.Compare(string(a.Team), string(b.Team)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Service), string(b.Service))
	})
}

// objectiveOf returns the objective, or one that weighs both costs if none is
// set.
func objectiveOf(o sardine.Objective) sardine.Objective {
	if o.DowntimeWeight <= 0 && o.StrandedWeight <= 0 {
		return sardine.Objective{DowntimeWeight: 20, StrandedWeight: 1}
	}
	return o
}
