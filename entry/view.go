package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/detour"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// serviceKey identifies a deployment of one team.
type serviceKey struct {
	team    sardine.Team
	service sardine.ServiceName
}

// routeName returns the name of the deployment in the router and the admission
// controller. Two teams may use the same service name.
func (k serviceKey) routeName() sardine.ServiceName {
	return sardine.ServiceName(string(k.team) + "/" + string(k.service))
}

// tenancy is a workspace with the team that owns it.
type tenancy struct {
	team   sardine.Team
	tenant sardine.Tenant
}

// view is the replicated state at one log index, arranged for requests. It is
// immutable once published.
type view struct {
	index        uint64
	at           state.WallTime // leader's time of the last log entry
	versions     map[sardine.Team]sardine.Version
	tenancies    map[sardine.Workspace]tenancy
	deployments  map[serviceKey]sardine.Deployment
	candidates   map[serviceKey][]route.Candidate
	serving      map[sardine.GroupID]sardine.Epoch // groups that get new requests
	intact       map[sardine.GroupID]sardine.Epoch // groups that may finish requests, a superset of serving
	plain        map[sardine.VMID]sardine.Incarnation
	strikes      map[string]state.Poison // by fingerprint
	strikesIndex uint64                  // log index of the last change of strikes
	cutPolicies  map[sardine.Team]sardine.CutPolicy
	members      map[sardine.GroupID][]sardine.Member
	targetStates map[sardine.VMID]targetState // of all targets
	tokens       oper.Tokens
	nodes        []sardine.NodeID      // entry nodes of the site, ordered by name
	peers        []detour.Peer         // the others of them
	budgetSlots  int                   // number of budget slots, including those of nodes that are away for a short time
	budgetSlot   state.BudgetSlot      // budget slot of this node, the zero value without one
	position     int                   // index of this node among the entry nodes, ordered by name
	routeNames   []sardine.ServiceName // names of the deployments in the router
	table        *paths.Table          // nil without a layout
	trafficOpen  bool                  // callers' requests have begun
}

// targetState is a target VM in the replicated state.
type targetState struct {
	incarnation sardine.Incarnation
	leaving     bool
}

// newView arranges the machine's state. Documents that can't be parsed are
// returned as errors and their team is left out. The leader validates documents
// before it accepts them, so only an older program version can encounter one.
// Unchanged parts are reused from the view before.
func newView(m *state.Machine, self sardine.NodeID, table *paths.Table, before *view) (*view, []error) {
	v := emptyView()
	v.index, v.at = m.Index(), m.Time()
	for i, e := range m.Entries() {
		v.nodes = append(v.nodes, e.Node)
		if e.Node == self {
			v.position = i
			continue
		}
		v.peers = append(v.peers, detour.Peer{Node: e.Node, Incarnation: e.Incarnation, Address: e.Address, DataCentre: e.DataCentre})
	}
	v.budgetSlots = m.BudgetSlotCount()
	v.budgetSlot, _ = m.BudgetSlot(self)
	v.tokens = oper.TokensOf(m)
	var failed []error
	for _, name := range m.Teams() {
		if err := v.addTeam(m, name); err != nil {
			failed = append(failed, err)
		}
	}
	v.trafficOpen = m.TrafficOpen()
	v.addTable(table)
	v.addGroups(m)
	v.addPlain(m)
	v.addStrikes(m, before)
	return v, failed
}

// addStrikes reuses the strikes of the view before if they have not changed.
func (v *view) addStrikes(m *state.Machine, before *view) {
	v.strikesIndex = m.PoisonIndex()
	if before != nil && before.strikesIndex == v.strikesIndex {
		v.strikes = before.strikes
		return
	}
	v.strikes = m.PoisonTable()
}

// emptyView returns the view of a node that has not followed anything yet.
func emptyView() *view {
	return &view{
		versions:     make(map[sardine.Team]sardine.Version),
		tenancies:    make(map[sardine.Workspace]tenancy),
		deployments:  make(map[serviceKey]sardine.Deployment),
		candidates:   make(map[serviceKey][]route.Candidate),
		serving:      make(map[sardine.GroupID]sardine.Epoch),
		intact:       make(map[sardine.GroupID]sardine.Epoch),
		plain:        make(map[sardine.VMID]sardine.Incarnation),
		cutPolicies:  make(map[sardine.Team]sardine.CutPolicy),
		members:      make(map[sardine.GroupID][]sardine.Member),
		targetStates: make(map[sardine.VMID]targetState),
	}
}

func (v *view) addTeam(m *state.Machine, name sardine.Team) error {
	revision, known := m.Current(name)
	if !known {
		return nil
	}
	v.versions[name] = revision.Version
	settings, err := team.Parse(name, revision.Document)
	if err != nil {
		return codes.Wrap(codes.BadSettings, err, "settings of team "+string(name))
	}
	v.cutPolicies[name] = settings.Cut
	for _, t := range settings.Tenants {
		v.tenancies[t.Name] = tenancy{team: name, tenant: t}
	}
	for _, d := range settings.Deployments {
		key := serviceKey{name, d.Name}
		v.deployments[key] = d
		v.routeNames = append(v.routeNames, key.routeName())
	}
	return nil
}

// addTable adds a layout's services to the deployments. A service with engines
// has one deployment per model.
func (v *view) addTable(table *paths.Table) {
	v.table = table
	if table == nil {
		return
	}
	l := table.Layout()
	all := plan.SettingsOf(l).Deployments
	for _, s := range l.Services {
		if s.Engine == nil {
			all = append(all, sardine.Deployment{Name: s.Name, Kind: sardine.KindPlain})
		}
	}
	for _, d := range all {
		key := serviceKey{plan.LayoutTeam, d.Name}
		v.deployments[key] = d
		v.routeNames = append(v.routeNames, key.routeName())
	}
}

func (v *view) addGroups(m *state.Machine) {
	for _, g := range m.Groups() {
		if len(g.Members) == 0 || !mayFinish(m, g) {
			continue
		}
		v.intact[g.ID] = g.Epoch
		if g.State != sardine.GroupServing {
			continue
		}
		v.members[g.ID] = g.Members
		if leaving(m, g) {
			continue
		}
		head, _ := m.Target(g.Members[0].VM)
		key := serviceKey{g.Team, g.Service}
		v.candidates[key] = append(v.candidates[key], route.Candidate{
			Ref:             route.Ref{Group: g.ID, Epoch: g.Epoch},
			Service:         key.routeName(),
			Kind:            sardine.KindEngine,
			Model:           g.Model,
			Version:         g.Version,
			Address:         g.Members[0].Address,
			Head:            g.Members[0].VM,
			HeadIncarnation: g.Members[0].Incarnation,
			DataCentre:      head.DataCentre,
		})
		v.serving[g.ID] = g.Epoch
	}
}

// mayFinish reports whether the group can finish its requests. A group that is
// drained because a member leaves is degraded but complete until the planner
// sees that its last request has ended.
func mayFinish(m *state.Machine, g sardine.Group) bool {
	if g.State == sardine.GroupServing {
		return true
	}
	if g.State != sardine.GroupDegraded {
		return false
	}
	for _, member := range g.Members {
		if _, there := targetOf(m, member); !there {
			return false
		}
	}
	return true
}

// targetOf returns a member's target, and whether it is known under the
// member's incarnation.
func targetOf(m *state.Machine, member sardine.Member) (state.Target, bool) {
	t, known := m.Target(member.VM)
	return t, known && t.Incarnation == member.Incarnation
}

// leaving reports whether a member of the group has announced that it leaves,
// or is no longer known.
func leaving(m *state.Machine, g sardine.Group) bool {
	for _, member := range g.Members {
		if t, there := targetOf(m, member); !there || t.Leaving {
			return true
		}
	}
	return false
}

// processes returns the processes that a candidate's requests depend on.
func (v *view) processes(c route.Candidate) []sardine.Member {
	if c.Group != "" {
		return v.members[c.Group]
	}
	return []sardine.Member{{VM: c.VM, Incarnation: c.Incarnation, Address: c.Address}}
}

// removed reports whether the member's process is no longer in the replicated
// state.
func (v *view) removed(m sardine.Member) bool {
	s, known := v.targetStates[m.VM]
	return !known || s.incarnation > m.Incarnation
}

// addPlain makes every plain target a candidate of each team that deploys its
// service.
func (v *view) addPlain(m *state.Machine) {
	for _, t := range m.Targets() {
		v.targetStates[t.VM] = targetState{incarnation: t.Incarnation, leaving: t.Leaving}
		if t.Kind != sardine.KindPlain || t.Leaving {
			continue
		}
		v.plain[t.VM] = t.Incarnation
		for key, d := range v.deployments {
			if d.Kind != sardine.KindPlain || d.Name != t.Service {
				continue
			}
			v.candidates[key] = append(v.candidates[key], route.Candidate{
				Ref:             route.Ref{VM: t.VM, Incarnation: t.Incarnation},
				Service:         key.routeName(),
				Kind:            sardine.KindPlain,
				Address:         t.Address,
				Head:            t.VM,
				HeadIncarnation: t.Incarnation,
				DataCentre:      t.DataCentre,
			})
		}
	}
}

// current reports whether a candidate may still get new requests.
func (v *view) current(c route.Candidate) bool {
	if c.Group != "" {
		return v.serving[c.Group] == c.Epoch
	}
	incarnation, known := v.plain[c.VM]
	return known && incarnation == c.Incarnation
}

// hasOther reports whether a service has a candidate that is neither tried nor suspected.
func (v *view) hasOther(service serviceKey, tried, suspects []route.Ref) bool {
	for _, c := range v.candidates[service] {
		if !slices.Contains(tried, c.Ref) && !slices.Contains(suspects, c.Ref) {
			return true
		}
	}
	return false
}

// lost reports whether a dispatch to the candidate can no longer succeed.
func (v *view) lost(c route.Candidate) bool {
	return c.Group != "" && v.intact[c.Group] != c.Epoch
}

// admit finds the deployment of a request and checks that its workspace may use
// it.
func (v *view) admit(q *request) (tenancy, sardine.Deployment, error) {
	t, known := v.tenancies[q.workspace]
	if !known {
		return tenancy{}, sardine.Deployment{}, codes.New(codes.UnknownWorkspace, "no workspace %q", q.workspace)
	}
	if !tokenMatches(t.tenant.Key, q.token) {
		return tenancy{}, sardine.Deployment{}, codes.New(codes.KeyRefused, "the token does not belong to workspace %q", q.workspace)
	}
	d, known := v.deployments[serviceKey{t.team, q.service}]
	if !known || !allows(t.tenant, q.service) {
		return tenancy{}, sardine.Deployment{}, codes.New(codes.UnknownService, "workspace %q has no model or service %q", q.workspace, q.service)
	}
	return t, d, nil
}

func allows(t sardine.Tenant, s sardine.ServiceName) bool {
	if len(t.Services) == 0 {
		return true
	}
	for _, allowed := range t.Services {
		if allowed == s {
			return true
		}
	}
	return false
}

// tokenMatches compares the SHA-256 of the token in constant time. A workspace
// without a key hash accepts callers without a token.
func tokenMatches(keyHash, token string) bool {
	if keyHash == "" {
		return true
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(keyHash)) == 1
}
