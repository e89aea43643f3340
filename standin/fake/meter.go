package fake

import (
	sardine "sardineswitch.dev/sardine"
)

// Usage is what a run cost.
type Usage struct {
	Down         float64 // group-seconds, summed over the wanted groups
	WeightedDown float64 // the same, each times its deployment's value
	Stranded     float64 // accelerator-seconds powered and not serving
	Incomplete   float64 // those of them in groups that lack a member
}

// Weighted returns the cost under an objective.
func (u Usage) Weighted(o sardine.Objective) float64 {
	return o.DowntimeWeight*u.WeightedDown + o.StrandedWeight*u.Stranded
}

// Minus returns the difference of two readings.
func (u Usage) Minus(other Usage) Usage {
	return Usage{
		Down:         u.Down - other.Down,
		WeightedDown: u.WeightedDown - other.WeightedDown,
		Stranded:     u.Stranded - other.Stranded,
		Incomplete:   u.Incomplete - other.Incomplete,
	}
}

// Meter sums up what the fleet really does, not what the leader believes.
type Meter struct {
	total Usage
	rates Usage // per second, as long as nothing changes
	dirty bool
}

// Usage returns what the run has cost so far.
func (w *World) Usage() Usage {
	return w.meter.total
}

func (m *Meter) add(w *World, d sardine.Millis) {
	if d <= 0 {
		return
	}
	if m.dirty {
		m.rates = w.rates()
		m.dirty = false
	}
	t := float64(d) / float64(sardine.Second)
	m.total.Down += m.rates.Down * t
	m.total.WeightedDown += m.rates.WeightedDown * t
	m.total.Stranded += m.rates.Stranded * t
	m.total.Incomplete += m.rates.Incomplete * t
}

type kindKey struct {
	team    sardine.Team
	service sardine.ServiceName
}

// rates returns the cost of one second as things stand. A group that a
// straggler slows down counts in part.
func (w *World) rates() Usage {
	var u Usage
	served := make(map[kindKey]float64)
	for _, e := range w.engines {
		if e.alive {
			u.Stranded += float64(e.Accelerators)
		}
	}
	for _, g := range w.truth.Groups() {
		if g.Service == "" || g.State == sardine.GroupFenced {
			continue
		}
		rate := w.speed(g)
		served[kindKey{g.Team, g.Service}] += rate
		for _, m := range g.Members {
			e := w.byVM[m.VM]
			if !e.alive {
				continue
			}
			u.Stranded -= rate * float64(e.Accelerators)
			u.Incomplete += (1 - rate) * float64(e.Accelerators)
		}
	}
	for _, t := range w.teams {
		for _, d := range t.Deployments {
			missing := max(float64(d.Groups)-served[kindKey{t.Team, d.Name}], 0)
			u.Down += missing
			u.WeightedDown += missing * max(d.Value, 1)
		}
	}
	return u
}

// speed returns 0 for a group that does not serve, and 1 for one that does at
// its full rate.
func (w *World) speed(g sardine.Group) float64 {
	if g.State != sardine.GroupServing || w.broken(g) != "" {
		return 0
	}
	slowest := 1.0
	for _, m := range g.Members {
		slowest = max(slowest, w.byVM[m.VM].Slowdown())
	}
	return 1 / slowest
}

// broken returns what a group really lacks to serve, or nothing.
func (w *World) broken(g sardine.Group) string {
	for _, m := range g.Members {
		e := w.byVM[m.VM]
		h := e.holding
		switch {
		case !e.running(w.now):
			return "VM " + string(m.VM) + " is gone"
		case e.incarnation != m.Incarnation:
			return "VM " + string(m.VM) + " has restarted"
		case h.Group != g.ID || h.Epoch != g.Epoch:
			return "VM " + string(m.VM) + " holds another order"
		case !h.State.Ready():
			return "VM " + string(m.VM) + " is " + h.State.String()
		}
	}
	return ""
}
