package ctrl

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// layoutCache caches the deployments of the newest layout, so that a planning round
// parses it only when it has changed.
type layoutCache struct {
	mu       sync.Mutex
	number   uint64
	settings []sardine.TeamSettings
	services []sardine.Service
}

// layoutSettings returns the deployments for the engines of the newest layout.
func (n *Node) layoutSettings() []sardine.TeamSettings {
	if n.port == nil {
		return nil
	}
	var current state.PutLayout
	n.log.View(func(m *state.Machine) { current = m.Layout() })
	n.layoutCache.mu.Lock()
	defer n.layoutCache.mu.Unlock()
	if current.Number == 0 || current.Number == n.layoutCache.number {
		return n.layoutCache.settings
	}
	layout, err := n.parseLayout(current)
	if err != nil { // validated when it was accepted, so only an older version of the program can fail here
		event.Log(n.logger, event.DutyFailed, numberAttr(current.Number), errorAttr(err))
		return n.layoutCache.settings
	}
	n.layoutCache.number = current.Number
	n.layoutCache.settings = []sardine.TeamSettings{plan.SettingsOf(layout)}
	n.layoutCache.services = layout.Services
	n.leadership.setWeightStore(layout)
	return n.layoutCache.settings
}

func (n *Node) parseLayout(current state.PutLayout) (sardine.Layout, error) {
	document, err := current.Document()
	if err != nil {
		return sardine.Layout{}, err
	}
	return n.port.ParseLayout(document)
}

// usable reports whether the layout contains a target's service, and returns the
// models that its engines may load; an empty list means any model. Before the first
// layout every service is usable.
func (c *layoutCache) usable(service sardine.ServiceName) (models []sardine.ModelName, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return loadableModels(c.services, service)
}

// loadableModels returns the models of a service's engines only if another service has
// engines too: VMs of one service must not join groups of the other.
func loadableModels(services []sardine.Service, service sardine.ServiceName) (models []sardine.ModelName, known bool) {
	if len(services) == 0 {
		return nil, true
	}
	otherEngines := false
	for _, s := range services {
		if s.Name != service {
			otherEngines = otherEngines || s.Engine != nil
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
	if !otherEngines {
		models = nil
	}
	return models, known
}

// setWeightStore passes the limits of the layout's weight stores to the planner.
func (l *leadership) setWeightStore(layout sardine.Layout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range layout.Services {
		if s.Engine != nil {
			l.planner.SetWeightStore(plan.WeightStoreOf(*s.Engine))
		}
	}
}
