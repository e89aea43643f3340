package ctrl

import (
	"sardineswitch.dev/sardine/meter"
)

// acceptBounds are the upper bounds of the acceptance histogram in seconds.
var acceptBounds = []float64{0.01, 0.05, 0.1, 0.5, 1, 2, 5, 11}

// instruments are the node's metrics.
type instruments struct {
	meter    *meter.Meter
	accepted *meter.Durations
}

func newInstruments(n *Node) (*instruments, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	i := &instruments{meter: m}
	i.accepted, err = m.Durations("sardine_change_accepted", "time from a settings change's arrival until it is in force on every entry node", acceptBounds...)
	if err != nil {
		return nil, err
	}
	return i, i.addGauges(n)
}

// gauge is a value that is read whenever the metrics are fetched.
type gauge struct {
	name        string
	description string
	read        func() float64
}

func (i *instruments) addGauges(n *Node) error {
	gauges := []gauge{
		{"sardine_leading", "1 if this control node leads", func() float64 { return boolValue(n.log.Leader().Leading) }},
		{"sardine_term", "term of the log", func() float64 { return float64(n.log.Leader().Term) }},
		{"sardine_applied_index", "index of the last applied entry", func() float64 { return float64(n.log.Applied()) }},
		{"sardine_log_bytes", "size of the log's files", func() float64 { return float64(n.log.Status().LogBytes) }},
		{"sardine_planning_stopped", "1 after an internal check of the planner failed", func() float64 { return boolValue(n.leadership.broken()) }},
	}
	for _, g := range gauges {
		if err := i.meter.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// broken reports whether planning has stopped.
func (l *leadership) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breach != nil
}
