package entry

import (
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
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

// share tells among how many nodes the slack is shared. It returns the node's part of
// it as attributes, and whether that has changed.
func (r *repeats) share(nodes int) (part []slog.Attr, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.window.Part()
	r.window.SetNodes(nodes)
	return r.partAttrs(), r.window.Part() != before
}

// account returns the seconds that no line has told yet, with the attributes of the
// node's part of the slack.
func (r *repeats) account(now sardine.Millis, all bool) ([]retry.Second, []slog.Attr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Seconds(now, all), r.partAttrs()
}

func (r *repeats) partAttrs() []slog.Attr {
	return []slog.Attr{slog.Int("nodes", r.window.Nodes()), slog.Float64("part", r.window.Part())}
}

// tellRepeats logs the seconds of the account of repeats that have ended, or all of
// them when the node stops.
func (n *Node) tellRepeats(all bool) {
	if n.repeats == nil {
		return
	}
	seconds, part := n.repeats.account(n.clock.Now(), all)
	for _, s := range seconds {
		event.Log(n.log, event.RepeatsCounted, append([]slog.Attr{
			slog.String("service", string(s.Service())),
			slog.Int("firsts", s.Firsts()), slog.Int("repeats", s.Repeats()), slog.Int("denied", s.Denied()),
			slog.Int("window_firsts", s.Window().Firsts()), slog.Int("window_repeats", s.Window().Repeats()),
		}, part...)...)
	}
}

// configureRouted takes over what a new view says about routed requests.
func (n *Node) configureRouted(v *view) {
	if !n.byLayout {
		return
	}
	if part, changed := n.repeats.share(v.nodes); changed {
		event.Log(n.log, event.RepeatsShared, part...)
	}
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
