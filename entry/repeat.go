package entry

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
)

// repeats lets the request handlers take turns at the bound on repeats.
type repeats struct {
	mu     sync.Mutex
	window *retry.Window
}

func newRepeats(ratio, slack float64, window sardine.Millis) *repeats {
	return &repeats{window: retry.NewWindow(ratio, slack, window)}
}

func (r *repeats) first(now sardine.Millis, s sardine.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.First(now, s)
}

func (r *repeats) take(now sardine.Millis, s sardine.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Take(now, s)
}

func (r *repeats) room(now sardine.Millis, s sardine.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Room(now, s)
}

func (r *repeats) left(now sardine.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Left(now)
}

func (r *repeats) setNodes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetNodes(n)
}

// configureRouted takes over what a new view says about routed requests.
func (n *Node) configureRouted(v *view) {
	if !n.byLayout {
		return
	}
	n.repeats.setNodes(v.nodes)
	if v.table == nil {
		return
	}
	if number := v.table.Layout().Number; number != n.configured {
		n.configured = number
		n.configureEngines(v.table.Layout())
		n.patiences.Keep(v.table.Layout())
	}
	for key, all := range v.candidates {
		s := v.table.Service(plan.ServiceOf(key.service))
		if s == nil || s.Connections == 0 {
			continue
		}
		for _, c := range all {
			n.pool.SetLimit(c.Address, max(s.Connections/max(v.nodes, 1), 1))
		}
	}
}

// configureEngines takes over from a layout how its engines work.
func (n *Node) configureEngines(l sardine.Layout) {
	for _, s := range l.Services {
		if s.Engine == nil {
			continue
		}
		passes := s.Engine.Passes
		for _, m := range s.Engine.Models {
			key := serviceKey{plan.LayoutTeam, plan.DeploymentName(s.Name, m.Name)}
			n.vitals.setPass(key.routed(), sardine.Millis(m.Pace*passes.Longest(s.Engine.Slots)))
			read := 0.0
			if passes.ReadPerTime > 0 {
				read = m.Pace * 1000 / passes.ReadPerTime
			}
			n.gate.setEngine(key.routed(), route.Engine{Slots: s.Engine.Slots, Read: read})
		}
	}
}
