package fake

import (
	sardine "sardineswitch.dev/sardine"
)

// Usage is the cost of a run.
type Usage struct {
	Down         float64 // group-seconds in which wanted groups did not serve
	WeightedDown float64 // the same, weighted with the deployment's value
	Stranded     float64 // accelerator-seconds of running engines that did not serve
	Incomplete   float64 // the part of Stranded in groups that did not serve at the full rate
}

// Weighted returns the cost under an objective.
func (u Usage) Weighted(o sardine.Objective) float64 {
	return o.DowntimeWeight*u.WeightedDown + o.StrandedWeight*u.Stranded
}

// Minus returns the cost between an earlier usage and u.
func (u Usage) Minus(other Usage) Usage {
	return Usage{
		Down:         u.Down - other.Down,
		WeightedDown: u.WeightedDown - other.WeightedDown,
		Stranded:     u.Stranded - other.Stranded,
		Incomplete:   u.Incomplete - other.Incomplete,
	}
}

// Meter sums up the cost by the state of the engines, which may differ from
// what the leader has recorded.
type Meter struct {
	total Usage
	rates Usage // per second, until something changes
	dirty bool
}

// Usage returns what the run has cost so far.
func (w *World) Usage() Usage {
	return w.meter.total
}

// add adds the cost of a time in which nothing has changed.
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

// deploymentKey identifies a deployment.
type deploymentKey struct {
	team    sardine.Team
	service sardine.ServiceName
}

// rates returns the present cost per second. A group that a straggler slows
// down counts in part.
func (w *World) rates() Usage {
	var u Usage
	served := make(map[deploymentKey]float64)
	for _, e := range w.engines {
		if e.alive {
			u.Stranded += float64(e.Accelerators)
		}
	}
	for _, g := range w.committed.Groups() {
		if g.Service == "" || g.State == sardine.GroupFenced {
			continue
		}
		rate := w.servingRate(g)
		served[deploymentKey{g.Team, g.Service}] += rate
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
			missing := max(float64(d.Groups)-served[deploymentKey{t.Team, d.Name}], 0)
			u.Down += missing
			u.WeightedDown += missing * max(d.Value, 1)
		}
	}
	return u
}

// servingRate returns 0 for a group that does not serve, 1 for one that serves
// at the full rate, and less for one with a straggler.
func (w *World) servingRate(g sardine.Group) float64 {
	if g.State != sardine.GroupServing || w.brokenReason(g) != "" {
		return 0
	}
	slowest := 1.0
	for _, m := range g.Members {
		slowest = max(slowest, w.byVM[m.VM].Slowdown())
	}
	return 1 / slowest
}

// brokenReason returns why a group can't serve by the state of its engines,
// empty if it can.
func (w *World) brokenReason(g sardine.Group) string {
	for _, m := range g.Members {
		e := w.byVM[m.VM]
		h := e.currentOrder
		switch {
		case !e.running(w.now):
			return "VM " + string(m.VM) + " does not run"
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
