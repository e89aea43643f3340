package plan

import (
	"cmp"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

// LayoutTeam is the team under which a layout's deployments are planned.
const LayoutTeam sardine.Team = "layout"

// SettingsOf returns the deployments that a layout's engines call for: one for
// each model, with groups as its share of the work asks.
func SettingsOf(l sardine.Layout) sardine.TeamSettings {
	t := sardine.TeamSettings{Team: LayoutTeam, Version: sardine.Version(l.Number)}
	for _, s := range l.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			t.Deployments = append(t.Deployments, sardine.Deployment{
				Name:      DeploymentName(s.Name, m.Name),
				Kind:      sardine.KindEngine,
				Model:     m.Name,
				GroupSize: m.Size,
				Opens:     true,
				Demand:    max(m.Share, leastDemand),
			})
		}
	}
	return t
}

// DeploymentName names the deployment of one model of a layout's service.
func DeploymentName(s sardine.ServiceName, m sardine.ModelName) sardine.ServiceName {
	return sardine.ServiceName(string(s) + "/" + string(m))
}

// ServiceOf returns the layout's service of a deployment.
func ServiceOf(deployment sardine.ServiceName) sardine.ServiceName {
	service, _, _ := strings.Cut(string(deployment), "/")
	return sardine.ServiceName(service)
}

// leastDemand keeps a model whose share is not known from getting no group.
const leastDemand = 1e-3

// Store tells what the weight store can do.
type Store struct {
	AtOnce    int            // loads that it serves at its full rate
	PerSecond float64        // loads that may begin, 0 for any number
	Load      sardine.Millis // one load at the full rate
}

// StoreOf returns the weight store of a service's engines.
func StoreOf(e sardine.EngineSpec) Store {
	s := Store{AtOnce: max(e.LoadsAtOnce, 1), PerSecond: e.LoadsPerSecond}
	for _, m := range e.Models {
		s.Load = max(s.Load, m.Load)
	}
	return s
}

// SetStore tells the planner what the weight store can do from now on.
func (p *Planner) SetStore(s Store) {
	p.limits.LoadsAtOnce = s.AtOnce
	if s.Load > 0 {
		p.limits.LoadTime = s.Load
	}
	p.starts.perSecond = s.PerSecond
}

// leastWhole is the part of the time for which groups of any size are whole.
const leastWhole = 0.5

// wholeShare returns the part of the time for which a group has all its members,
// if it waits for each of them for a part of the time.
func wholeShare(absence float64, size int) float64 {
	return max(1-absence*float64(size), leastWhole)
}

// coverage returns how far a deployment's groups meet its demand, relative to
// other deployments. Demand is a share of the work, which VMs do while their group
// is whole.
func (k *kindView) coverage() float64 {
	size := k.deployment.GroupSize
	return float64(len(k.groups)*size) * wholeShare(k.absence, size) / k.deployment.Demand
}

// byDemand reports whether the deployment takes as many groups as its demand
// asks and the VMs allow.
func (k *kindView) byDemand() bool {
	return k.deployment.Demand > 0
}

// formByDemand forms groups until no domain has room for another, each time of
// the deployment whose demand is met least. A deployment without room leaves
// what is left of a domain to the others.
func (r *round) formByDemand() {
	full := make(map[*kindView]bool)
	for {
		var next *kindView
		for _, k := range r.kinds {
			if !k.byDemand() || full[k] {
				continue
			}
			if next == nil || k.coverage() < next.coverage() {
				next = k
			}
		}
		if next == nil {
			return
		}
		if r.formGroup(next) {
			continue
		}
		if r.p.newestAt+joinPause > r.now {
			return // VMs still arrive: what is left of a domain may soon do for it
		}
		full[next] = true
	}
}

// joinPause is how long no VM may have appeared until leftovers go to a
// deployment that is not the one in greatest need: a little more than the time
// between two announcements.
const joinPause = 1500 * sardine.Millis(1)

// byUrgency orders groups for the weight store: those that lack a part of their
// members first, since a load brings back most with them, then in the order in
// which they were formed.
func (r *round) byUrgency() []*groupView {
	sorted := slices.Clone(r.groups)
	slices.SortStableFunc(sorted, func(a, b *groupView) int {
		if a.kind == nil || b.kind == nil || !a.kind.byDemand() || !b.kind.byDemand() {
			return cmp.Compare(b.value(), a.value())
		}
		if c := cmp.Compare(a.coldShare(), b.coldShare()); c != 0 {
			return c
		}
		return cmp.Compare(a.Epoch, b.Epoch)
	})
	return sorted
}

// coldShare returns 1 if all members must load and 0 if some need not.
func (g *groupView) coldShare() int {
	for _, m := range g.members {
		if m.vm.warm(g.Model, g.Version) {
			return 0
		}
	}
	return 1
}

// starts counts the loads that were begun lately.
type starts struct {
	perSecond float64
	begun     []sardine.Millis
}

// room returns how many loads may begin now if the store counts over a window.
func (s *starts) room(now, window sardine.Millis) int {
	if s.perSecond <= 0 {
		return 1 << 20
	}
	kept := s.begun[:0]
	for _, at := range s.begun {
		if at+window > now {
			kept = append(kept, at)
		}
	}
	s.begun = kept
	return int(s.perSecond*seconds(window)) - len(kept)
}

// Loads returns how many loads from the store the planner has begun.
func (p *Planner) Loads() int {
	return p.loads
}

// noteLoad counts a load that begins now; the store's bound does not hold while
// nobody is delayed by it.
func (r *round) noteLoad() {
	r.p.loads++
	if r.p.logged.trafficOpen {
		r.p.starts.add(r.now)
	}
}

func (s *starts) add(now sardine.Millis) {
	s.begun = append(s.begun, now)
}
