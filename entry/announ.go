package entry

import (
	"io"
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

// handleAnnounce takes a target's word about itself. The answer names this
// node's address, so that the target goes on announcing here and its news does
// not reach the control leader through every entry node in turn.
func (n *Node) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	n.extendRead(w)
	body, err := io.ReadAll(io.LimitReader(r.Body, annc.MaxBytes+1))
	if err != nil {
		n.refuseOperator(w, codes.New(codes.BadRequest, "announcement ended after %d bytes", len(body)))
		return
	}
	if n.targetTokens {
		if err := n.access.Check(oper.Bearer(r), oper.SourceOf(r), oper.NeedScope(keys.TargetScope()), n.view().tokens); err != nil {
			n.refuseOperator(w, err)
			return
		}
	}
	a, err := annc.Decode(body)
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	if n.draining.Load() {
		n.refuseOperator(w, codes.New(codes.Draining, "this entry node is shutting down"))
		return
	}
	if err := n.heard(a); err != nil {
		n.refuseOperator(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(annc.EncodeAnswer(annc.NewAnswer(n.advertiseTargets, n.timing.Announce))) // the target asks again
}

// heard records the announcement, and wakes the follow duty when it is news.
func (n *Node) heard(a sardine.Announcement) error {
	now := n.clock.Now()
	n.homeMu.Lock()
	before, known := n.home.Target(now, a.VM)
	err := n.home.Announce(now, a)
	news := err == nil && notable(before, known, a)
	n.homeNews = n.homeNews || news
	n.homeMu.Unlock()
	if err != nil {
		return err
	}
	if a.Kind == sardine.KindPlain || a.Holding.Rank == 0 {
		n.gate.load(refOf(a), a.Load)
	}
	if !known {
		event.Log(n.log, event.TargetSeen, vmAttr(a.VM))
	}
	if a.Leaving && news {
		event.Log(n.log, event.TargetLeaving, vmAttr(a.VM))
	}
	if news {
		n.wakeFollow()
	}
	return nil
}

// refOf returns the target that the router knows by the announcement's load. A
// group's load is told by its rank 0.
func refOf(a sardine.Announcement) route.Ref {
	if a.Kind == sardine.KindEngine {
		return route.Ref{Group: a.Holding.Group, Epoch: a.Holding.Epoch}
	}
	return route.Ref{VM: a.VM, Incarnation: a.Incarnation}
}

// tickHome drops targets whose lease has lapsed.
func (n *Node) tickHome() {
	now := n.clock.Now()
	n.homeMu.Lock()
	lost := n.home.Tick(now)
	n.homeNews = n.homeNews || len(lost) > 0
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
