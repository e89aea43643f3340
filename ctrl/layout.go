package ctrl

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// layoutView keeps the deployments of the newest layout, so that a planning
// round parses nothing anew.
type layoutView struct {
	mu       sync.Mutex
	number   uint64
	settings []sardine.TeamSettings
	services []sardine.Service
}

// layoutSettings returns the deployments that the layout's engines call for.
func (n *Node) layoutSettings() []sardine.TeamSettings {
	if n.port == nil {
		return nil
	}
	var current state.PutLayout
	n.log.View(func(m *state.Machine) { current = m.Layout() })
	n.layouts.mu.Lock()
	defer n.layouts.mu.Unlock()
	if current.Number == 0 || current.Number == n.layouts.number {
		return n.layouts.settings
	}
	layout, err := n.parseLayout(current)
	if err != nil { // checked before it was accepted, so only an older program meets one
		event.Log(n.logger, event.DutyFailed, numberAttr(current.Number), errorAttr(err))
		return n.layouts.settings
	}
	n.layouts.number = current.Number
	n.layouts.settings = []sardine.TeamSettings{plan.SettingsOf(layout)}
	n.layouts.services = layout.Services
	n.leadership.limits(layout)
	return n.layouts.settings
}

func (n *Node) parseLayout(current state.PutLayout) (sardine.Layout, error) {
	document, err := current.Document()
	if err != nil {
		return sardine.Layout{}, err
	}
	return n.port.ParseLayout(document)
}

// usable reports whether the layout has a target's service, and which models its
// engines load; none means any. Before the first layout every service counts.
func (v *layoutView) usable(service sardine.ServiceName) (models []sardine.ModelName, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return loadable(v.services, service)
}

// loadable names the models of a service's engines only where another service has
// engines too: VMs of the one must not join groups of the other.
func loadable(services []sardine.Service, service sardine.ServiceName) (models []sardine.ModelName, known bool) {
	if len(services) == 0 {
		return nil, true
	}
	others := false
	for _, s := range services {
		if s.Name != service {
			others = others || s.Engine != nil
			continue
		}
		known = true
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			models = append(models, m.Name)
		}
	}
	if !others {
		models = nil
	}
	return models, known
}

// limits tells the planner what the weight store can do.
func (l *leadership) limits(layout sardine.Layout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range layout.Services {
		if s.Engine != nil {
			l.planner.SetStore(plan.StoreOf(*s.Engine))
		}
	}
}
