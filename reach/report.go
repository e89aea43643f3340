package reach

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
)

// Change is one accepted layout and the time until each node used it or a later
// one, counted from its acceptance. A time is negative if clocks differ or if a
// later layout was in force before.
type Change struct {
	number  uint64
	at      sardine.Millis
	nodes   []Lag    // by time
	missing []string // by name
}

// Number returns the layout's number.
func (c Change) Number() uint64 { return c.number }

// At returns when the layout was accepted, in Unix milliseconds of the accepting
// control node's clock.
func (c Change) At() sardine.Millis { return c.at }

// Nodes returns the number of nodes that used the layout or a later one.
func (c Change) Nodes() int { return len(c.nodes) }

// Missing returns the nodes that ran when the layout was accepted and never used it
// or a later one.
func (c Change) Missing() []string { return c.missing }

// First returns the lag of the first node.
func (c Change) First() Lag { return c.lag(0) }

// Median returns the lag of the node in the middle.
func (c Change) Median() Lag { return c.lag(len(c.nodes) / 2) }

// Slowest returns the lag of the last node.
func (c Change) Slowest() Lag { return c.lag(len(c.nodes) - 1) }

// lag returns the lag at an index, the zero value without nodes.
func (c Change) lag(i int) Lag {
	if len(c.nodes) == 0 {
		return Lag{}
	}
	return c.nodes[i]
}

// Lag is the time that one node took to use a layout.
type Lag struct {
	node     string
	duration sardine.Millis
}

// Node returns the node's name.
func (l Lag) Node() string { return l.node }

// Duration returns the time from the acceptance of the change.
func (l Lag) Duration() sardine.Millis { return l.duration }

// StalePeriod is a period in which no leader confirmed a node's settings as current.
type StalePeriod struct {
	node     string
	at       sardine.Millis // when it ended, or when it was reported if its end is not in the logs
	duration sardine.Millis // 0 if its end is not in the logs
}

// Node returns the node's name.
func (s StalePeriod) Node() string { return s.node }

// Duration returns the time until the settings were confirmed, 0 if they were not.
func (s StalePeriod) Duration() sardine.Millis { return s.duration }

// history holds the layouts and starts that one node logged, by time.
type history struct {
	layouts []record
	starts  []sardine.Millis
}

// Report lists the changes and the periods of stale settings.
type Report struct {
	changes []Change
	stale   []StalePeriod
}

// NewReport returns the report on all lines that the reader has read.
func NewReport(r *Reader) *Report {
	records := slices.Clone(r.records)
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	nodes := make(map[string]*history)
	historyOf := func(name string) *history {
		if nodes[name] == nil {
			nodes[name] = &history{}
		}
		return nodes[name]
	}
	accepted := make(map[uint64]sardine.Millis)
	unconfirmed := make(map[string]sardine.Millis)
	out := &Report{}
	for _, x := range records {
		switch x.event {
		case event.ChangeAccepted:
			if _, known := accepted[x.number]; !known && x.number > 0 && !x.repeat {
				accepted[x.number] = x.at
			}
		case event.LayoutInForce:
			historyOf(x.node).layouts = append(historyOf(x.node).layouts, x)
		case event.NodeStarted:
			historyOf(x.node).starts = append(historyOf(x.node).starts, x.at)
			delete(unconfirmed, x.node)
		case event.SettingsStale:
			unconfirmed[x.node] = x.at
		case event.SettingsFresh:
			delete(unconfirmed, x.node)
			out.stale = append(out.stale, StalePeriod{node: x.node, at: x.at, duration: x.lasted})
		}
	}
	for node, at := range unconfirmed {
		out.stale = append(out.stale, StalePeriod{node: node, at: at})
	}
	for number, at := range accepted {
		out.changes = append(out.changes, changeOf(number, at, nodes))
	}
	slices.SortFunc(out.changes, func(a, b Change) int { return cmp.Compare(a.number, b.number) })
	slices.SortFunc(out.stale, func(a, b StalePeriod) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.node, b.node)) })
	return out
}

// changeOf returns the change with each node's lag. Nodes that did not run at its
// acceptance, or started before they used it, are left out.
func changeOf(number uint64, at sardine.Millis, nodes map[string]*history) Change {
	c := Change{number: number, at: at}
	for name, h := range nodes {
		served, found := h.serves(number)
		switch {
		case !h.ranAt(at), found && h.startedIn(at, served):
		case !found && h.startedIn(at, at+restartGrace):
		case found:
			c.nodes = append(c.nodes, Lag{node: name, duration: served - at})
		default:
			c.missing = append(c.missing, name)
		}
	}
	slices.SortFunc(c.nodes, func(a, b Lag) int { return cmp.Or(cmp.Compare(a.duration, b.duration), cmp.Compare(a.node, b.node)) })
	slices.Sort(c.missing)
	return c
}

// restartGrace is the time after a change within which a start excuses a node that
// never logged the change or a later one: it began with a later layout, or its log
// ends.
const restartGrace = 60 * sardine.Second

// serves returns when the node first used a layout or a later one.
func (h *history) serves(number uint64) (sardine.Millis, bool) {
	for _, x := range h.layouts {
		if x.number >= number {
			return x.at, true
		}
	}
	return 0, false
}

// ranAt reports whether the node used any layout by the instant at. Control nodes
// never do.
func (h *history) ranAt(at sardine.Millis) bool {
	return len(h.layouts) > 0 && h.layouts[0].at <= at
}

// startedIn reports whether the node started within a period.
func (h *history) startedIn(from, to sardine.Millis) bool {
	return slices.ContainsFunc(h.starts, func(at sardine.Millis) bool { return at >= from && at <= to })
}

// Changes returns the accepted layouts by number.
func (r *Report) Changes() []Change {
	return r.changes
}

// Stale returns the periods in which nodes' settings were not confirmed as current,
// by time.
func (r *Report) Stale() []StalePeriod {
	return r.stale
}

// Slowest returns the change that took longest to reach a node, false if there is
// no change.
func (r *Report) Slowest() (Change, bool) {
	if len(r.changes) == 0 {
		return Change{}, false
	}
	return slices.MaxFunc(r.changes, func(a, b Change) int { return cmp.Compare(a.Slowest().duration, b.Slowest().duration) }), true
}
