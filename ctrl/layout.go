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
	if current.Number == n.layouts.number {
		return n.layouts.settings
	}
	layout, err := n.port.ParseLayout(current.Document)
	if err != nil { // checked before it was accepted, so only an older program meets one
		event.Log(n.logger, event.DutyFailed, numberAttr(current.Number), errorAttr(err))
		return n.layouts.settings
	}
	n.layouts.number = current.Number
	n.layouts.settings = []sardine.TeamSettings{plan.SettingsOf(layout)}
	n.leadership.limits(layout)
	return n.layouts.settings
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
