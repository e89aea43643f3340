package entry

import (
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/route"
)

// handleAnnounce records a target's announcement. The reply names this node's
// address so that the target keeps announcing here; otherwise its changes would
// reach the control leader through every entry node in turn.
func (n *Node) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	unlimit := n.limitRead(w)
	held, err := n.uploads.Read(w, r, annc.MaxBytes, shortBodyWait)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		n.refuseOperator(w, err)
		return
	}
	defer held.Release()
	unlimit()
	if n.targetTokens {
		if err := n.access.Check(oper.Bearer(r), oper.SourceOf(r), oper.RequireScope(keys.TargetScope()), n.view().tokens); err != nil {
			n.refuseOperator(w, err)
			return
		}
	}
	a, err := annc.Decode(held.Bytes())
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	if n.draining.Load() {
		n.refuseOperator(w, codes.New(codes.Draining, "this entry node is shutting down"))
		return
	}
	if err := n.recordAnnouncement(a); err != nil {
		n.refuseOperator(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(annc.EncodeAnswer(annc.NewAnswer(n.advertiseTargets, n.timing.AnnounceInterval))) // the target announces again
}

// recordAnnouncement stores the announcement and wakes the follow loop if it
// contains a change that must be reported at once.
func (n *Node) recordAnnouncement(a sardine.Announcement) error {
	now := n.clock.Now()
	n.homeMu.Lock()
	before, known := n.home.Target(now, a.VM)
	err := n.home.Announce(now, a)
	changed := err == nil && isChange(before, known, a)
	n.homeChanged = n.homeChanged || changed
	n.homeMu.Unlock()
	if err != nil {
		return err
	}
	if a.Kind == sardine.KindPlain || a.CurrentOrder.Rank == 0 {
		n.gate.updateLoad(refOf(a), a.Load)
	}
	if !known {
		event.Log(n.log, event.TargetSeen, vmAttr(a.VM))
	}
	if a.Leaving && changed {
		event.Log(n.log, event.TargetLeaving, vmAttr(a.VM))
	}
	if changed {
		n.wakeFollow()
	}
	return nil
}

// refOf returns the router's reference for the target whose load is announced.
// A group's load is announced by its rank 0.
func refOf(a sardine.Announcement) route.Ref {
	if a.Kind == sardine.KindEngine {
		return route.Ref{Group: a.CurrentOrder.Group, Epoch: a.CurrentOrder.Epoch}
	}
	return route.Ref{VM: a.VM, Incarnation: a.Incarnation}
}

// expireTargets removes targets whose announcement has expired.
func (n *Node) expireTargets() {
	now := n.clock.Now()
	n.homeMu.Lock()
	lost := n.home.Expire(now)
	n.homeChanged = n.homeChanged || len(lost) > 0
	n.homeMu.Unlock()
	for _, ref := range lost {
		event.Log(n.log, event.TargetLost, vmAttr(ref.VM))
	}
	if len(lost) > 0 {
		n.wakeFollow()
	}
}

func (n *Node) refuseOperator(w http.ResponseWriter, err error) {
	reply.NewProblem(err, reply.WithRan(sardine.RanNo)).Write(w)
}
