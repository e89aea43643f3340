package admit

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// ServiceView is one service's admission state, for debug output.
type ServiceView struct {
	Service  sardine.ServiceName
	Limit    float64
	InFlight int
	Live     int     // waiting
	Normal   int     // waiting
	Batch    int     // waiting
	Baseline float64 // milliseconds to first token without load
	Latency  float64 // moving mean of the milliseconds to first token
}

// View returns all gates, sorted by service.
func (c *Controller) View() []ServiceView {
	views := make([]ServiceView, 0, len(c.names))
	for _, name := range c.names {
		g := c.gates[name]
		views = append(views, ServiceView{
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

// Check asserts that the gates' counts match the controller's requests. The
// error carries codes.InvariantBroken.
func (c *Controller) Check() error {
	inFlight, waiting := 0, 0
	for _, g := range c.gates {
		if g.inFlight < 0 || g.waiting() > c.options.queue {
			return codes.New(codes.InvariantBroken, "a gate has %d requests in flight and %d waiting", g.inFlight, g.waiting())
		}
		inFlight += g.inFlight
		waiting += g.waiting()
	}
	if inFlight != len(c.running) || waiting != len(c.queued) {
		return codes.New(codes.InvariantBroken, "gates count %d of %d requests in flight and %d of %d waiting", inFlight, len(c.running), waiting, len(c.queued))
	}
	return nil
}
