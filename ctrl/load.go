package ctrl

import (
	"log/slog"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/meter"
	"sardineswitch.dev/sardine/wire"
)

// loadInterval is the time between two log lines on a control node's load.
const loadInterval = 10 * sardine.Second

// task is a kind of work whose amount tells how the load is distributed over the
// control nodes.
type task uint8

// The kinds of work.
const (
	taskAnnouncement  task = iota // a target's announcement
	taskHealthReport              // an entry node's report on target health
	taskReport                    // another control node's report to the leader
	taskPoll                      // an entry node's poll
	taskQuorumRound               // a round that confirms the leadership for polls
	taskPlanningRound             // a round of the leader's planner
	taskClaim                     // a claim of a key, a trial or a probe that an entry node submits
	taskStrike                    // a strike or the release of one
	taskCommand                   // any other command
	taskUnchanged                 // one of these that changes nothing and is not added to the log
	taskShare                     // an entry node's report of its demand for shared limits
	taskMembers                   // a query for the control nodes' addresses, or a change of members
	tasks                         // number of kinds
)

// String returns the name in metrics and log lines.
func (t task) String() string {
	names := [tasks]string{"announcements", "health_reports", "reports", "polls", "quorum_rounds", "planning_rounds", "claims", "strikes", "commands", "unchanged", "shares", "members"}
	return names[t]
}

// taskOf returns the kind of a command that an entry node submits.
func taskOf(w *wire.Command) task {
	switch w.GetBody().(type) {
	case *wire.Command_ClaimKey, *wire.Command_FinishClaim, *wire.Command_DropClaim:
		return taskClaim
	case *wire.Command_Strike, *wire.Command_ReleasePoison:
		return taskStrike
	default:
		return taskCommand
	}
}

// load counts a control node's work. It is safe for concurrent use.
type load struct {
	done     [tasks]atomic.Int64
	refused  [tasks]atomic.Int64
	counters [tasks][2]*meter.Counter // done, refused
}

func newLoad(m *meter.Meter) (*load, error) {
	c, err := m.Counter("sardine_control_work", "work of this control node by kind and result")
	if err != nil {
		return nil, err
	}
	l := &load{}
	for t := range tasks {
		for i, result := range []string{"done", "refused"} {
			l.counters[t][i] = c.With(meter.NewLabel("task", t.String()), meter.NewLabel("result", result))
		}
	}
	return l, nil
}

// count records one piece of work; err is why it was refused, nil if it was not.
func (l *load) count(t task, err error) {
	if err != nil {
		l.refused[t].Add(1)
		l.counters[t][1].Add(1)
		return
	}
	l.done[t].Add(1)
	l.counters[t][0].Add(1)
}

// take returns the work since the last call as log attributes, without kinds of which
// there was none.
func (l *load) take() []slog.Attr {
	var attrs []slog.Attr
	for t := range tasks {
		if n := l.done[t].Swap(0); n > 0 {
			attrs = append(attrs, slog.Int64(t.String(), n))
		}
		if n := l.refused[t].Swap(0); n > 0 {
			attrs = append(attrs, slog.Int64("refused_"+t.String(), n))
		}
	}
	return attrs
}

// loadLoop logs this node's load until the node stops.
func (n *Node) loadLoop() error {
	for {
		if n.sleep(loadInterval) != nil {
			return nil
		}
		event.Log(n.logger, event.ControlLoad, n.instruments.load.take()...)
	}
}
