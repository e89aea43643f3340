package entry

import (
	"net/http"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
)

// handleStatus tells how the site fares, as far as this node knows.
func (n *Node) handleStatus(w http.ResponseWriter, r *http.Request) {
	in := status.Input{
		Node:   n.id,
		Role:   status.RoleEntry,
		At:     state.WallTime(time.Now().UnixMilli()),
		Seen:   n.seen(),
		Leases: []status.Lease{{Node: n.id, Held: n.mayServe() == nil, Applied: n.view().index}},
	}
	var report status.Report
	looked := n.follower.inspect(r.Context(), func(m *state.Machine) {
		report = status.Build(m, in, n.history)
	})
	if !looked {
		n.refuseOperator(w, codes.New(codes.Draining, "this entry node stops"))
		return
	}
	text, err := status.Encode(report)
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the operator asks again
}

// seen returns the targets that announce themselves to this node.
func (n *Node) seen() []status.Seen {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	var all []status.Seen
	for _, s := range n.home.Targets(n.clock.Now()) {
		all = append(all, status.Seen{
			VM:          s.VM,
			Incarnation: s.Incarnation,
			Present:     true,
			Leaving:     s.Leaving,
			Load:        s.Load,
		})
	}
	return all
}
