package entry

import (
	"net/http"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
)

// handleStatus reports the status of the site as this node sees it.
func (n *Node) handleStatus(w http.ResponseWriter, r *http.Request) {
	in := status.Input{
		Node:      n.id,
		Role:      status.RoleEntry,
		At:        state.WallTime(time.Now().UnixMilli()),
		Announced: n.announcedTargets(),
		Leases:    []status.EntryLease{{Node: n.id, Held: n.mayServe() == nil, Applied: n.view().index}},
	}
	var report status.Report
	looked := n.follower.inspect(r.Context(), func(m *state.Machine) {
		report = status.Build(m, in, n.history)
	})
	if !looked {
		n.refuseOperator(w, codes.New(codes.Draining, "this entry node is stopping"))
		return
	}
	text, err := status.Encode(report)
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the operator can ask again
}

// announcedTargets returns the targets that announce themselves to this node.
func (n *Node) announcedTargets() []status.AnnouncedTarget {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	var all []status.AnnouncedTarget
	for _, s := range n.home.Targets(n.clock.Now()) {
		all = append(all, status.AnnouncedTarget{
			VM:          s.VM,
			Incarnation: s.Incarnation,
			Present:     true,
			Leaving:     s.Leaving,
			Load:        s.Load,
		})
	}
	return all
}
