package plan

import (
	"cmp"
	"slices"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

// LayoutTeam is the team under which a layout's deployments are planned.
const LayoutTeam sardine.Team = "layout"

// SettingsOf returns the deployments for a layout's engines: one for each
// model, whose demand is the model's share of the work.
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
				Demand:    max(m.Share, minDemand),
			})
		}
	}
	return t
}

// DeploymentName returns the name of the deployment for a model of a layout's
// service.
func DeploymentName(s sardine.ServiceName, m sardine.ModelName) sardine.ServiceName {
	return sardine.ServiceName(string(s) + "/" + string(m))
}

// ServiceOf returns the layout's service that a deployment belongs to.
func ServiceOf(deployment sardine.ServiceName) sardine.ServiceName {
	service, _, _ := strings.Cut(string(deployment), "/")
	return sardine.ServiceName(service)
}

// minDemand ensures that a model with an unknown share still gets a group.
const minDemand = 1e-3

// WeightStore describes the capacity of the weight store.
type WeightStore struct {
	AtOnce    int            // concurrent loads that it serves at its full rate
	PerSecond float64        // loads that may begin, 0 for no limit
	Load      sardine.Millis // one load at the full rate
}

// WeightStoreOf returns the weight store's capacity from the spec of a service's
// engines.
func WeightStoreOf(e sardine.EngineSpec) WeightStore {
	s := WeightStore{AtOnce: max(e.LoadsAtOnce, 1), PerSecond: e.LoadsPerSecond}
	for _, m := range e.Models {
		s.Load = max(s.Load, m.LoadTime)
	}
	return s
}

// SetWeightStore sets the weight store's capacity.
func (p *Planner) SetWeightStore(s WeightStore) {
	p.limits.LoadsAtOnce = s.AtOnce
	if s.Load > 0 {
		p.limits.LoadTime = s.Load
	}
	p.loadStarts.perSecond = s.PerSecond
}

// minGroupAvailability is the lower bound of groupAvailability for groups of
// any size.
const minGroupAvailability = 0.5

// groupAvailability returns the fraction of time that a group has all its
// members, if it waits for each of them for a fraction of the time.
func groupAvailability(unavailability float64, size int) float64 {
	return max(1-unavailability*float64(size), minGroupAvailability)
}

// coverage returns how far a deployment's groups meet its demand, relative to
// other deployments. Demand is a share of the work, and VMs only work while
// their group is complete.
func (dv *deploymentView) coverage() float64 {
	return dv.coverageOf(len(dv.groups))
}

// coverageOf returns the coverage that a number of groups would give.
func (dv *deploymentView) coverageOf(groups int) float64 {
	size := dv.spec.GroupSize
	return float64(groups*size) * groupAvailability(dv.unavailability, size) / dv.spec.Demand
}

// stagedCoverage returns the coverage once the groups that are planned to be staged
// have formed.
func (dv *deploymentView) stagedCoverage() float64 {
	return dv.coverageOf(len(dv.groups) + dv.staged)
}

// byDemand reports whether the deployment gets groups in proportion to its
// demand, as far as the VMs suffice, instead of a fixed number.
func (dv *deploymentView) byDemand() bool {
	return dv.spec.Demand > 0
}

// formByDemand forms groups until no domain has room for another, each time for
// the deployment with the least coverage. A deployment that no domain has room
// for leaves the remaining VMs to the others.
func (r *round) formByDemand() {
	full := make(map[*deploymentView]bool)
	for {
		var next *deploymentView
		for _, dv := range r.deployments {
			if !dv.byDemand() || full[dv] {
				continue
			}
			if next == nil || dv.coverage() < next.coverage() {
				next = dv
			}
		}
		if next == nil {
			return
		}
		if r.formGroup(next) {
			continue
		}
		if r.awaitsArrivals() {
			return // a domain may soon have enough VMs for it
		}
		if r.makeRoom(next) {
			return // the next rounds form it
		}
		full[next] = true
	}
}

// joinQuietPeriod is how long no new VM may have appeared at the start of a site
// before the remaining VMs go to a deployment other than the least covered one.
// It is slightly longer than the interval between two announcements.
const joinQuietPeriod = 1500 * sardine.Millis(1)

// awaitsArrivals reports whether the VMs of a starting site are still announcing
// themselves. Once callers' requests have begun, VMs may appear all the time, and
// waiting for them would idle those that have weights.
func (r *round) awaitsArrivals() bool {
	return !r.p.logView.trafficOpen && r.p.lastArrivalAt+joinQuietPeriod > r.now
}

// groupsByLoadPriority orders groups for the weight store: by value, or for
// deployments by demand, first those with some members loaded, since a load
// restores the most there, then by the order in which they were formed.
func (r *round) groupsByLoadPriority() []*groupView {
	sorted := slices.Clone(r.groups)
	slices.SortStableFunc(sorted, func(a, b *groupView) int {
		if a.deployment == nil || b.deployment == nil || !a.deployment.byDemand() || !b.deployment.byDemand() {
			return cmp.Compare(b.value(), a.value())
		}
		if c := cmp.Compare(a.coldRank(), b.coldRank()); c != 0 {
			return c
		}
		return cmp.Compare(a.Epoch, b.Epoch)
	})
	return sorted
}

// coldRank returns 1 if all members must load and 0 otherwise.
func (g *groupView) coldRank() int {
	for _, m := range g.members {
		if m.vm.warm(g.Model, g.Version) {
			return 0
		}
	}
	return 1
}

// loadStarts counts the loads that began recently.
type loadStarts struct {
	perSecond float64
	startedAt []sardine.Millis
}

// budget returns how many loads may begin now if the store counts over a window.
func (s *loadStarts) budget(now, window sardine.Millis) int {
	if s.perSecond <= 0 {
		return 1 << 20
	}
	kept := s.startedAt[:0]
	for _, at := range s.startedAt {
		if at+window > now {
			kept = append(kept, at)
		}
	}
	s.startedAt = kept
	return int(s.perSecond*seconds(window)) - len(kept)
}

// Loads returns how many loads from the weight store the planner has started.
func (p *Planner) Loads() int {
	return p.loads
}

// recordLoadStart counts a load that begins now. The store's rate limit does
// not apply before callers' requests begin.
func (r *round) recordLoadStart() {
	r.p.loads++
	if r.p.logView.trafficOpen {
		r.p.loadStarts.add(r.now)
	}
}

func (s *loadStarts) add(now sardine.Millis) {
	s.startedAt = append(s.startedAt, now)
}
