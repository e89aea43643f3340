package admit

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// GateView is one service's admission, for dumps.
type GateView struct {
	Service  sardine.ServiceName
	Limit    float64
	InFlight int
	Live     int     // waiting
	Normal   int     // waiting
	Batch    int     // waiting
	Baseline float64 // unloaded milliseconds to first token
	Latency  float64 // recent milliseconds to first token
}

// View returns all gates, sorted by service.
func (c *Controller) View() []GateView {
	views := make([]GateView, 0, len(c.names))
	for _, name := range c.names {
		g := c.gates[name]
		views = append(views, GateView{
			Service:  name,
			Limit:    g.limiter.limit,
			InFlight: g.inFlight,
			Live:     g.classes[2].waiting,
			Normal:   g.classes[1].waiting,
			Batch:    g.classes[0].waiting,
			Baseline: g.limiter.baseline,
			Latency:  g.limiter.latency,
		})
	}
	return views
}

// Check asserts that what the gates count is what the controller holds. The
// error carries codes.InvariantBroken.
func (c *Controller) Check() error {
	inFlight, waiting := 0, 0
	for _, g := range c.gates {
		if g.inFlight < 0 || g.waiting() > c.options.queue {
			return codes.New(codes.InvariantBroken, "a gate has %d in flight and %d waiting", g.inFlight, g.waiting())
		}
		inFlight += g.inFlight
		waiting += g.waiting()
	}
	if inFlight != len(c.running) || waiting != len(c.queued) {
		return codes.New(codes.InvariantBroken, "%d of %d in flight and %d of %d waiting are counted", inFlight, len(c.running), waiting, len(c.queued))
	}
	return nil
}
