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
			w = &pendingCommands{}
			r.p.pending[id] = w
		}
		w.commands++
		w.at = r.now
	}
	for _, vm := range vms {
		r.allocated[vm] = true
	}
	if len(commands) > 0 {
		w := r.p.pending[groupOf(commands[len(commands)-1])]
		w.vms = append(w.vms, vms...)
	}
}

func (r *round) move(g *groupView, s sardine.GroupState, reason string) {
	g.record.reason = reason
	r.propose(g, nil, state.MoveGroup{Group: g.ID, Epoch: g.Epoch, State: s})
}

// recordVMs tracks the absences and failures of each VM.
func (r *round) recordVMs() {
	var lost []*vmRecord
	alive := 0
	for _, vm := range r.sorted {
		v := r.vms[vm]
		if v.alive {
			alive++
			r.recordAlive(v)
		} else if v.record.absentSince == 0 {
			lost = append(lost, v.record)
		}
	}
	if r.live.Settled() {
		r.recordAbsences(lost, len(lost) >= minCommonLoss && len(lost) > alive)
	}
}

// minCommonLoss is the number of VMs from which on the loss of most of them in one round
// has a common cause, such as missing reports, which says nothing about each VM.
const minCommonLoss = 3

// recordAbsences records VMs that are lost from this round on.
func (r *round) recordAbsences(lost []*vmRecord, commonCause bool) {
	for _, n := range lost {
		n.absentSince = r.now
		if n.incarnation != 0 && !n.leaving && !commonCause {
			n.fail(r.now, r.p.limits)
		}
	}
}

func (r *round) recordAlive(v *vmView) {
	n := v.record
	if n.absentSince != 0 {
		warm := n.incarnation == v.target.Incarnation
		r.p.returnHistory.add(absence{length: r.now - n.absentSince, warm: warm})
		n.absentSince = 0
	} else if n.incarnation != 0 && n.incarnation < v.target.Incarnation && !n.leaving {
		n.fail(r.now, r.p.limits)
	}
	if n.incarnation == 0 {
		r.p.lastArrivalAt = r.now
	}
	if n.incarnation != v.target.Incarnation {
		r.resetVM(n, v)
	}
	n.leaving = v.target.Leaving
}

// resetVM starts the record of a VM's next incarnation. Orders to the earlier
// one may still reach the new process, which listens at the same address.
func (r *round) resetVM(n *vmRecord, v *vmView) {
	if n.outstanding {
		n.staleOrderUntil = max(n.staleOrderUntil, r.now+r.p.limits.orderLifetime())
	}
	n.incarnation = v.target.Incarnation
	n.outstanding = false
	n.confirmed = false
	n.order = sardine.Order{}
	n.attempts = 0
	n.retryAt = 0
	n.slowSince = 0
	n.staging = ""
}

// advanceGroups moves each group to the state that matches its members.
func (r *round) advanceGroups() {
	for _, g := range r.groups {
		if g.busy {
			continue
		}
		if g.spare {
			r.advanceSpare(g)
			continue
		}
		r.advanceGroup(g)
	}
}

func (r *round) advanceSpare(g *groupView) {
	switch {
	case g.State == sardine.GroupFenced:
	case len(g.missing()) > 0:
		r.move(g, sardine.GroupFenced, "the spare is "+g.missing()[0].condition.String())
	case g.State == sardine.GroupAssigned && g.holds():
		r.move(g, sardine.GroupLoading, "the spare loads")
	}
}

func (r *round) advanceGroup(g *groupView) {
	switch g.State {
	case sardine.GroupServing:
		r.degradeServing(g)
	case sardine.GroupAssigned, sardine.GroupLoading, sardine.GroupDegraded:
		r.advanceForming(g)
	}
}

func (r *round) degradeServing(g *groupView) {
	if r.p.defect == DefectKeepServing {
		return
	}
	for _, m := range g.members {
		if m.condition == memberLeaving {
			r.drain(g, drainReplace, "member "+string(m.VM)+" leaves")
			return
		}
		if m.condition == memberFailed {
			m.vm.record.fail(r.now, r.p.limits)
		}
		if m.condition != memberReady && m.condition != memberUnseen {
			r.move(g, sardine.GroupDegraded, "member "+string(m.VM)+" is "+m.condition.String())
			return
		}
	}
}

func (r *round) advanceForming(g *groupView) {
	early := r.p.defect == DefectServeEarly && g.holds()
	switch {
	case g.record.drain == drainInherited:
		r.endInheritedDrain(g)
	case g.record.drain != notDraining:
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
