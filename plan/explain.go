package plan

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
)

// Explain describes in plain sentences the state of a group, the reason for it,
// and what the planner waits for, as of the latest round.
func (p *Planner) Explain(id sardine.GroupID) []string {
	if p.last == nil {
		return []string{"This node has run no planning round since it became the leader."}
	}
	g := p.last.byID[id]
	if g == nil {
		return []string{fmt.Sprintf("There is no group %s.", id)}
	}
	lines := []string{fmt.Sprintf("Group %s is %s in domain %s under epoch %d, for %d s.", g.ID, g.State, g.Domain, g.Epoch, (p.last.now-g.record.since)/sardine.Second)}
	if g.spare {
		lines = append(lines, fmt.Sprintf("It is a spare of model %s version %s and takes no requests.", g.Model, g.Version))
	}
	if g.record.placement != "" {
		lines = append(lines, "Reason for the placement: "+g.record.placement+".")
	}
	if g.record.reason != "" {
		lines = append(lines, "Last decision: "+g.record.reason+".")
	}
	for _, m := range g.members {
		lines = append(lines, m.explain(p.last.now))
	}
	if g.record.drain != notDraining {
		lines = append(lines, "It is being drained: requests in flight end first.")
	}
	return append(lines, p.last.explainWaits(g)...)
}

func (m memberView) explain(now sardine.Millis) string {
	line := fmt.Sprintf("Rank %d is VM %s: %s", m.Rank, m.VM, m.condition)
	if n := m.vm.record; n.absentSince != 0 {
		line += fmt.Sprintf(" for %d s", (now-n.absentSince)/sardine.Second)
	}
	if n := m.vm.record; n.excludedUntil > now {
		line += fmt.Sprintf(", not used for another %d s because it failed often", (n.excludedUntil-now)/sardine.Second)
	}
	return line + "."
}

func (r *round) explainWaits(g *groupView) []string {
	var lines []string
	for _, w := range r.out.Waits {
		ofKind := w.Group == "" && w.Team == g.Team && w.Service == g.Service
		if w.Group == g.ID || ofKind {
			lines = append(lines, "Waiting: "+w.Reason+".")
		}
	}
	return lines
}

// VMStage is a VM and its stage.
type VMStage struct {
	VM    sardine.VMID
	Stage Stage
}

// Stages returns the stage of each engine VM, sorted by VM, as of the latest
// round.
func (p *Planner) Stages() []VMStage {
	if p.last == nil {
		return nil
	}
	var stages []VMStage
	for _, vm := range p.last.sorted {
		stages = append(stages, VMStage{VM: vm, Stage: p.last.stage(p.last.vms[vm])})
	}
	return stages
}
