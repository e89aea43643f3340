package plan

import (
	"fmt"
	"strings"

	sardine "sardineswitch.dev/sardine"
)

// Stage is a stage in the lifecycle of an engine VM.
type Stage uint8

// The stages of a VM.
const (
	StageAnnounced Stage = iota + 1 // in the log, but may not join a group yet
	StageFree                       // may join a group
	StageAssigned                   // member of a group whose orders are in progress
	StageLoading                    // member of a group that loads
	StageServing                    // member of a group that serves
	StageDegraded                   // member of a group that lacks a member or is drained
	StageFenced                     // owned by a group that it is no longer a member of
	StageReleased                   // its engine confirmed the release, which is not in the log yet
)

// String returns the name used in dumps and in docs/LIFECYCLE.md.
func (s Stage) String() string {
	names := [...]string{"unknown", "announced", "free", "assigned", "loading", "serving", "degraded", "fenced", "released"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// stageOfGroup returns the stage of the members of a group in a state.
func stageOfGroup(s sardine.GroupState) Stage {
	switch s {
	case sardine.GroupAssigned:
		return StageAssigned
	case sardine.GroupLoading:
		return StageLoading
	case sardine.GroupServing:
		return StageServing
	case sardine.GroupDegraded:
		return StageDegraded
	case sardine.GroupFenced:
		return StageFenced
	default:
		return StageReleased
	}
}

// Transition is a possible change of a VM's stage.
type Transition struct {
	From Stage
	To   Stage
	Step string // what causes it
	When string // what the planner requires for it
}

// Lifecycle returns all transitions. docs/LIFECYCLE.md is generated from it,
// and tests compare it with the transitions that the state machine allows.
func Lifecycle() []Transition {
	return []Transition{
		{StageAnnounced, StageFree, "announcement", "nobody owns the VM, its engine holds nothing, it is not leaving, it has not failed often, and no older order can reach it"},
		{StageFree, StageAnnounced, "announcement", "it leaves, fails often or holds an order that nobody gave"},
		{StageFree, StageAssigned, "AssignGroup", "the group's other members are free or its own, in one domain"},
		{StageAnnounced, StageAssigned, "AssignGroup", "the VM was a loaded spare and is used"},
		{StageAssigned, StageLoading, "MoveGroup", "every member holds the order"},
		{StageAssigned, StageServing, "MoveGroup", "every member is ready under the epoch"},
		{StageAssigned, StageDegraded, "MoveGroup, TargetDown, TargetUp", "a member is gone, restarted, failed or leaving"},
		{StageAssigned, StageFenced, "MoveGroup, AssignGroup", "the group is dissolved, or goes on without this VM"},
		{StageLoading, StageAssigned, "AssignGroup", "the group goes on under a new epoch"},
		{StageLoading, StageServing, "MoveGroup", "every member is ready under the epoch"},
		{StageLoading, StageDegraded, "MoveGroup, TargetDown, TargetUp", "a member is gone, restarted, failed or leaving"},
		{StageLoading, StageFenced, "MoveGroup, AssignGroup", "the group is dissolved, or goes on without this VM"},
		{StageServing, StageDegraded, "MoveGroup, TargetDown, TargetUp", "a member is gone, restarted, failed, leaving or too slow, or the group is drained"},
		{StageServing, StageFenced, "MoveGroup", "never by the planner, which drains first"},
		{StageDegraded, StageServing, "MoveGroup", "the member is back under the same incarnation and epoch"},
		{StageDegraded, StageAssigned, "AssignGroup", "the group is repaired under a new epoch"},
		{StageDegraded, StageFenced, "MoveGroup, AssignGroup", "the group is drained and dissolved, or goes on without this VM"},
		{StageFenced, StageReleased, "order", "the engine confirmed the release or refused the old epoch, and no older order can reach it"},
		{StageReleased, StageFenced, "announcement", "the engine restarted before the log had it free"},
		{StageReleased, StageAnnounced, "FreeMember", "the release is confirmed for the owner's epoch"},
		{StageFenced, StageAnnounced, "FreeMember", "the VM has been absent for long, or was a spare that serves nobody"},
	}
}

// stage returns the stage of a VM.
func (r *round) stage(v *vmView) Stage {
	switch {
	case v.member:
		return stageOfGroup(r.byID[v.owner.Group].State)
	case v.owned && r.fenced(v, v.owner.Epoch):
		return StageReleased
	case v.owned:
		return StageFenced
	case r.isFree(v):
		return StageFree
	default:
		return StageAnnounced
	}
}

// LifecycleText returns the content of docs/LIFECYCLE.md.
func LifecycleText() string {
	var b strings.Builder
	b.WriteString("# The life of an engine VM\n\n")
	b.WriteString("Made from the table in package plan (`plan.Lifecycle`); `go test ./plan` compares the two.\n")
	b.WriteString("Groups and owners are in the replicated state; what a VM's engine does is in its announcements.\n\n")
	b.WriteString("| from | to | by | when |\n|---|---|---|---|\n")
	for _, t := range Lifecycle() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", t.From, t.To, t.Step, t.When)
	}
	return b.String()
}
