package entry

import (
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// repeats lets the request handlers take turns at the bound on repeats.
type repeats struct {
	incarnation sardine.Incarnation
	startedAt   sardine.Millis

	mu     sync.Mutex
	window *retry.Window
	seated bool // the log has this incarnation in its seat
}

func newRepeats(i sardine.Incarnation, startedAt sardine.Millis, window *retry.Window) *repeats {
	return &repeats{incarnation: i, startedAt: startedAt, window: window}
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

// follow takes over what the log says of the seats. Before the log has callers'
// requests, it may lack nodes that are about to join.
func (r *repeats) follow(now sardine.Millis, v *view) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.seated
	r.seated = v.trafficOpen && v.seat.Incarnation == r.incarnation && !v.seat.Vacant
	if !r.seated {
		r.window.Share().Resize(0)
		return
	}
	r.window.Share().Resize(v.seats)
	if was {
		return
	}
	r.window.Share().Seated(now, r.startedAt, v.seat.Arrival)
	if v.seat.Arrival == state.Succeeded {
		r.window.Inherit(r.startedAt, v.seat.Spent)
	}
}

// vouched takes over when a leader has last vouched for what the node follows.
func (r *repeats) vouched(at sardine.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Share().Vouched(at)
}

// hasSeat reports whether the log has the node in its seat.
func (r *repeats) hasSeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seated
}

// close ends all repeats and returns what was spent.
func (r *repeats) close(now sardine.Millis) state.Spent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Close(now)
}

// account returns the seconds that no line has told yet, with the attributes of the
// node's part of the slack.
func (r *repeats) account(now sardine.Millis, all bool) ([]retry.Second, []slog.Attr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Seconds(now, all), r.partAttrs(now)
}

func (r *repeats) partAttrs(now sardine.Millis) []slog.Attr {
	return []slog.Attr{slog.Int("seats", r.window.Share().Seats()), slog.Float64("part", r.window.Part(now))}
}

// shareAttrs returns the node's part of the slack and when it may spend it.
func (r *repeats) shareAttrs(now sardine.Millis) []slog.Attr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.partAttrs(now), slog.Int64("opens_ms", int64(r.window.Share().Opens(now))))
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
			slog.Int("window_firsts", s.Window().Firsts()), slog.Int("window_repeats", s.Window().Repeats()), slog.Float64("window_slack", s.Window().Slack()),
		}, part...)...)
	}
}

// followSeats takes over the node's share of the slack, and logs how it came to it.
func (n *Node) followSeats(v *view) {
	before := n.repeats.hasSeat()
	n.repeats.follow(n.clock.Now(), v)
	if has := n.repeats.hasSeat(); has != before {
		event.Log(n.log, event.RepeatsShared, append(n.repeats.shareAttrs(n.clock.Now()),
			slog.Bool("seated", has), slog.String("arrival", v.seat.Arrival.String()))...)
	}
}

// configureRouted takes over what a new view says about routed requests.
func (n *Node) configureRouted(v *view) {
	if !n.byLayout {
		return
	}
	n.followSeats(v)
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
			n.pool.SetLimit(c.Address, max(s.Connections/max(v.seats, 1), 1))
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
