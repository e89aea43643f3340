package plan

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// propose adds commands about one group to the output and marks the group busy
// until they are answered.
func (r *round) propose(g *groupView, vms []sardine.VMID, commands ...state.Command) {
	r.out.Commands = append(r.out.Commands, commands...)
	if g != nil {
		g.busy = true
	}
	for _, c := range commands {
		id := groupOf(c)
		w := r.p.pending[id]
		if w == nil {
			w = &pending{}
			r.p.pending[id] = w
		}
		w.commands++
		w.at = r.now
	}
	for _, vm := range vms {
		r.taken[vm] = true
	}
	if len(commands) > 0 {
		w := r.p.pending[groupOf(commands[len(commands)-1])]
		w.vms = append(w.vms, vms...)
	}
}

func (r *round) move(g *groupView, s sardine.GroupState, why string) {
	g.note.why = why
	r.propose(g, nil, state.MoveGroup{Group: g.ID, Epoch: g.Epoch, State: s})
}

// noteVMs follows each VM's absences and failures.
func (r *round) noteVMs() {
	for _, vm := range r.sorted {
		v := r.vms[vm]
		if v.alive {
			r.noteAlive(v)
		} else {
			r.noteGone(v.note)
		}
	}
}

func (r *round) noteGone(n *vmNote) {
	if n.goneSince != 0 || !r.live.Settled() {
		return
	}
	n.goneSince = r.now
	if n.incarnation != 0 && !n.leaving {
		n.fail(r.now, r.p.limits)
	}
}

func (r *round) noteAlive(v *vmView) {
	n := v.note
	if n.goneSince != 0 {
		warm := n.incarnation == v.target.Incarnation
		r.p.history.add(absence{length: r.now - n.goneSince, warm: warm})
		n.goneSince = 0
	} else if n.incarnation != 0 && n.incarnation < v.target.Incarnation && !n.leaving {
		n.fail(r.now, r.p.limits)
	}
	if n.incarnation == 0 {
		r.p.newestAt = r.now
	}
	if n.incarnation != v.target.Incarnation {
		r.renew(n, v)
	}
	n.leaving = v.target.Leaving
}

// renew starts the note of a VM's next incarnation. Orders to the earlier one
// may still reach the new process, which listens at the same address.
func (r *round) renew(n *vmNote, v *vmView) {
	if n.underWay {
		n.unsureUntil = max(n.unsureUntil, r.now+r.p.limits.orderLife())
	}
	n.incarnation = v.target.Incarnation
	n.underWay = false
	n.confirmed = false
	n.order = sardine.Order{}
	n.tries = 0
	n.retryAt = 0
	n.slowSince = 0
	n.staging = ""
}

// settleGroups moves each group to the state its members are in.
func (r *round) settleGroups() {
	for _, g := range r.groups {
		if g.busy {
			continue
		}
		if g.spare {
			r.settleSpare(g)
			continue
		}
		r.settleGroup(g)
	}
}

func (r *round) settleSpare(g *groupView) {
	switch {
	case g.State == sardine.GroupFenced:
	case len(g.missing()) > 0:
		r.move(g, sardine.GroupFenced, "the spare is "+g.missing()[0].condition.String())
	case g.State == sardine.GroupAssigned && g.holds():
		r.move(g, sardine.GroupLoading, "the spare loads")
	}
}

func (r *round) settleGroup(g *groupView) {
	switch g.State {
	case sardine.GroupServing:
		r.watchServing(g)
	case sardine.GroupAssigned, sardine.GroupLoading, sardine.GroupDegraded:
		r.settleForming(g)
	}
}

func (r *round) watchServing(g *groupView) {
	if r.p.defect == DefectKeepServing {
		return
	}
	for _, m := range g.members {
		if m.condition == memberLeaving {
			r.drain(g, drainSwap, "member "+string(m.VM)+" leaves")
			return
		}
		if m.condition == memberFailed {
			m.vm.note.fail(r.now, r.p.limits)
		}
		if m.condition != memberReady && m.condition != memberUnseen {
			r.move(g, sardine.GroupDegraded, "member "+string(m.VM)+" is "+m.condition.String())
			return
		}
	}
}

func (r *round) settleForming(g *groupView) {
	early := r.p.defect == DefectServeEarly && g.holds()
	switch {
	case g.note.drain != notDraining:
	case early, g.ready() && g.open():
		r.move(g, sardine.GroupServing, "every member is ready")
	case g.State == sardine.GroupDegraded:
	case len(g.missing()) > 0:
		r.move(g, sardine.GroupDegraded, "member "+string(g.missing()[0].VM)+" is "+g.missing()[0].condition.String())
	case g.State == sardine.GroupAssigned && g.holds():
		r.move(g, sardine.GroupLoading, "every member holds the order")
	}
}

// holds reports whether every member holds the group's order.
func (g *groupView) holds() bool {
	for _, m := range g.members {
		if m.condition != memberReady && m.condition != memberLoading {
			return false
		}
	}
	return true
}
