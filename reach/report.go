package reach

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
)

// Change is one accepted layout and how long the nodes took to serve by it. The
// times count from its acceptance; a negative one is possible where clocks differ
// or a later layout was in force before.
type Change struct {
	number  uint64
	at      sardine.Millis
	nodes   []Lag // by time
	missing []string
}

// Number returns the layout's number.
func (c Change) Number() uint64 { return c.number }

// At returns when it was accepted, in Unix milliseconds of that node's clock.
func (c Change) At() sardine.Millis { return c.at }

// Nodes returns how many nodes came to serve by it.
func (c Change) Nodes() int { return len(c.nodes) }

// Missing returns the nodes that ran and did not.
func (c Change) Missing() []string { return c.missing }

// First returns the lag of the first node.
func (c Change) First() Lag { return c.lag(0) }

// Median returns the lag of the node in the middle.
func (c Change) Median() Lag { return c.lag(len(c.nodes) / 2) }

// Slowest returns the lag of the last node.
func (c Change) Slowest() Lag { return c.lag(len(c.nodes) - 1) }

func (c Change) lag(i int) Lag {
	if len(c.nodes) == 0 {
		return Lag{}
	}
	return c.nodes[i]
}

// Lag is the time that one node took.
type Lag struct {
	node string
	took sardine.Millis
}

// Node returns the node's name.
func (l Lag) Node() string { return l.node }

// Duration returns the time from the acceptance of the change.
func (l Lag) Duration() sardine.Millis { return l.took }

// StalePeriod is one span in which no leader vouched for what a node served by.
type StalePeriod struct {
	node   string
	at     sardine.Millis // of its end, or of the last word on it
	lasted sardine.Millis // 0 if the logs do not tell its end
}

// Node returns the node's name.
func (s StalePeriod) Node() string { return s.node }

// Duration returns the time until the knowledge was renewed, 0 if it was not.
func (s StalePeriod) Duration() sardine.Millis { return s.lasted }

// history is what one entry node told, by time.
type history struct {
	layouts []record
	starts  []sardine.Millis
}

// Report sums up what a reader has read.
type Report struct {
	changes []Change
	stale   []StalePeriod
}

// NewReport returns the report of all that the reader has read.
func NewReport(r *Reader) *Report {
	records := slices.Clone(r.records)
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	nodes := make(map[string]*history)
	of := func(name string) *history {
		if nodes[name] == nil {
			nodes[name] = &history{}
		}
		return nodes[name]
	}
	accepted := make(map[uint64]sardine.Millis)
	open := make(map[string]sardine.Millis)
	out := &Report{}
	for _, x := range records {
		switch x.event {
		case event.ChangeAccepted:
			if _, known := accepted[x.number]; !known && x.number > 0 && !x.repeat {
				accepted[x.number] = x.at
			}
		case event.LayoutInForce:
			of(x.node).layouts = append(of(x.node).layouts, x)
		case event.NodeStarted:
			of(x.node).starts = append(of(x.node).starts, x.at)
			delete(open, x.node)
		case event.SettingsStale:
			open[x.node] = x.at
		case event.SettingsFresh:
			delete(open, x.node)
			out.stale = append(out.stale, StalePeriod{node: x.node, at: x.at, lasted: x.lasted})
		}
	}
	for node, at := range open {
		out.stale = append(out.stale, StalePeriod{node: node, at: at})
	}
	for number, at := range accepted {
		out.changes = append(out.changes, changeOf(number, at, nodes))
	}
	slices.SortFunc(out.changes, func(a, b Change) int { return cmp.Compare(a.number, b.number) })
	slices.SortFunc(out.stale, func(a, b StalePeriod) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.node, b.node)) })
	return out
}

func changeOf(number uint64, at sardine.Millis, nodes map[string]*history) Change {
	c := Change{number: number, at: at}
	for name, h := range nodes {
		served, found := h.serves(number)
		switch {
		case !h.ranAt(at), found && h.startedIn(at, served):
		case !found && h.startedIn(at, at+forgetting):
		case found:
			c.nodes = append(c.nodes, Lag{node: name, took: served - at})
		default:
			c.missing = append(c.missing, name)
		}
	}
	slices.SortFunc(c.nodes, func(a, b Lag) int { return cmp.Or(cmp.Compare(a.took, b.took), cmp.Compare(a.node, b.node)) })
	slices.Sort(c.missing)
	return c
}

// forgetting is how long after a change a start excuses a node that never told of
// it: it has begun with a later layout, or its lines end.
const forgetting = 60 * sardine.Second

// serves returns when the node first served by a layout or a later one.
func (h *history) serves(number uint64) (sardine.Millis, bool) {
	for _, x := range h.layouts {
		if x.number >= number {
			return x.at, true
		}
	}
	return 0, false
}

// ranAt reports whether the node served by any layout before an instant. Control
// nodes never do.
func (h *history) ranAt(at sardine.Millis) bool {
	return len(h.layouts) > 0 && h.layouts[0].at <= at
}

func (h *history) startedIn(from, to sardine.Millis) bool {
	return slices.ContainsFunc(h.starts, func(at sardine.Millis) bool { return at >= from && at <= to })
}

// Changes returns the accepted layouts by number.
func (r *Report) Changes() []Change {
	return r.changes
}

// Stale returns the spans in which nodes were not renewed, by time.
func (r *Report) Stale() []StalePeriod {
	return r.stale
}

// Slowest returns the change that took longest to reach a node, false without one.
func (r *Report) Slowest() (Change, bool) {
	if len(r.changes) == 0 {
		return Change{}, false
	}
	return slices.MaxFunc(r.changes, func(a, b Change) int { return cmp.Compare(a.Slowest().took, b.Slowest().took) }), true
}
