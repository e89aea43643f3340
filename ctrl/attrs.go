package ctrl

import (
	"log/slog"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

func errorAttr(err error) slog.Attr {
	return slog.Group("error", slog.Int("code", int(codes.Of(err))), slog.String("detail", err.Error()))
}

func vmAttr(vm sardine.VMID) slog.Attr {
	return slog.String("vm", string(vm))
}

func groupAttr(id sardine.GroupID) slog.Attr {
	return slog.String("group", string(id))
}

func epochAttr(e sardine.Epoch) slog.Attr {
	return slog.Uint64("epoch", uint64(e))
}

func nodeAttr(id sardine.NodeID) slog.Attr {
	return slog.String("entry", string(id))
}

func membersAttr(g sardine.Group) slog.Attr {
	names := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		names = append(names, string(m.VM))
	}
	return slog.String("members", strings.Join(names, ","))
}

// whyAttr returns the reason for the planner's last decision on the group.
func (n *Node) whyAttr(id sardine.GroupID) slog.Attr {
	return slog.String("why", n.leadership.why(id))
}

func memberAttr(id sardine.NodeID) slog.Attr {
	return slog.String("member", string(id))
}

func changeAttr(k quorum.ChangeKind) slog.Attr {
	names := [...]string{"none", "add_learner", "promote", "remove"}
	return slog.String("change", names[k])
}

func pathAttr(p team.Path) slog.Attr {
	return slog.String("path", p.String())
}

func versionAttr(v sardine.Version) slog.Attr {
	return slog.Uint64("version", uint64(v))
}

// logCommand logs the event of a command that took effect.
func (n *Node) logCommand(c state.Command, r state.Result) {
	if r.Err != nil {
		return
	}
	switch c := c.(type) {
	case state.TargetUp:
		event.Log(n.logger, event.TargetSeen, vmAttr(c.Target.VM))
	case state.TargetDown:
		event.Log(n.logger, event.TargetLost, vmAttr(c.VM))
	case state.TargetLeaving:
		event.Log(n.logger, event.TargetLeaving, vmAttr(c.VM))
	case state.AssignGroup:
		event.Log(n.logger, event.GroupAssigned, groupAttr(c.Group.ID), epochAttr(r.Epoch), membersAttr(c.Group), n.whyAttr(c.Group.ID))
	case state.MoveGroup:
		n.logMove(c)
	case state.JoinEntry:
		event.Log(n.logger, event.EntryJoined, nodeAttr(c.Node))
	case state.LeaveEntry:
		event.Log(n.logger, event.EntryLeft, nodeAttr(c.Node))
	}
}

func (n *Node) logMove(c state.MoveGroup) {
	ids := map[sardine.GroupState]event.ID{
		sardine.GroupServing:  event.GroupServing,
		sardine.GroupDegraded: event.GroupDegraded,
		sardine.GroupFenced:   event.GroupDissolved,
		sardine.GroupReleased: event.GroupReleased,
	}
	if id, listed := ids[c.State]; listed {
		event.Log(n.logger, id, groupAttr(c.Group), epochAttr(c.Epoch), n.whyAttr(c.Group), n.servingAttr(c.Group))
	}
}

// servingAttr returns the number of groups that serve the deployment of a group,
// or an empty attribute for a spare.
func (n *Node) servingAttr(id sardine.GroupID) slog.Attr {
	count, spare := 0, true
	n.log.View(func(m *state.Machine) {
		group, found := m.Group(id)
		if spare = !found || group.Service == ""; spare {
			return
		}
		for _, g := range m.Groups() {
			if g.Team == group.Team && g.Service == group.Service && g.State == sardine.GroupServing {
				count++
			}
		}
	})
	if spare {
		return slog.Attr{}
	}
	return slog.Int("serving", count)
}
