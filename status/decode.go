package status

import (
	"encoding/json"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// Decode decodes the JSON form of a report. Unknown fields are ignored, so that
// sardctl can query nodes of a later version. Errors carry codes.AnswerInvalid.
func Decode(text []byte) (Report, error) {
	var m reportMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return Report{}, codes.Wrap(codes.AnswerInvalid, err, "status")
	}
	return Report{
		Node:     sardine.NodeID(m.Node),
		Role:     Role(m.Role),
		Site:     m.Site,
		At:       state.WallTime(m.At),
		Applied:  m.Applied,
		Leader:   sardine.NodeID(m.Leader),
		Checks:   convertAll(m.Checks, func(c checkMessage) Check { return Check(c) }),
		Teams:    convertAll(m.Teams, decodeTeam),
		Groups:   convertAll(m.Groups, decodeGroup),
		Targets:  convertAll(m.Targets, decodeTarget),
		Entries:  convertAll(m.Entries, decodeEntry),
		Controls: convertAll(m.Controls, decodeControl),
		Poisons:  convertAll(m.Poisons, decodePoison),
	}, nil
}

func decodeCondition(m conditionMessage) Condition {
	return Condition{State: m.State, Healthy: m.Good, Since: state.WallTime(m.Since), SystemAction: m.System, OperatorAction: m.Person}
}

func decodeKind(name string) sardine.TargetKind {
	for _, k := range []sardine.TargetKind{sardine.KindEngine, sardine.KindPlain} {
		if k.String() == name {
			return k
		}
	}
	return 0
}

func decodeTeam(m teamMessage) Team {
	return Team{
		Name:    sardine.Team(m.Name),
		Version: sardine.Version(m.Version),
		Services: convertAll(m.Services, func(s serviceMessage) Service {
			return Service{Name: sardine.ServiceName(s.Name), Kind: decodeKind(s.Kind), Wanted: s.Wanted, Serving: s.Serving}
		}),
		Condition: decodeCondition(m.Condition),
	}
}

func decodeGroup(m groupMessage) Group {
	return Group{
		ID:      sardine.GroupID(m.ID),
		Epoch:   sardine.Epoch(m.Epoch),
		Team:    sardine.Team(m.Team),
		Service: sardine.ServiceName(m.Service),
		Domain:  sardine.FabricDomain(m.Domain),
		Members: convertAll(m.Members, func(s memberMessage) Member {
			return Member{VM: sardine.VMID(s.VM), Rank: s.Rank, Present: s.Present}
		}),
		Condition: decodeCondition(m.Condition),
	}
}

func decodeTarget(m targetMessage) Target {
	return Target{
		VM:           sardine.VMID(m.VM),
		Incarnation:  sardine.Incarnation(m.Incarnation),
		Kind:         decodeKind(m.Kind),
		DataCentre:   sardine.DataCentre(m.DataCentre),
		Domain:       sardine.FabricDomain(m.Domain),
		Service:      sardine.ServiceName(m.Service),
		Group:        sardine.GroupID(m.Group),
		Accelerators: m.Accelerators,
		Load:         sardine.Load{Running: m.Running, Queued: m.Queued, TokensPerSecond: m.TokensPerSecond},
		Condition:    decodeCondition(m.Condition),
	}
}

func decodeEntry(m entryMessage) Entry {
	return Entry{
		Node:       sardine.NodeID(m.Node),
		DataCentre: sardine.DataCentre(m.DataCentre),
		Address:    m.Address,
		Applied:    m.Applied,
		Condition:  decodeCondition(m.Condition),
	}
}

func decodeControl(m controlMessage) Control {
	return Control{
		Node:      sardine.NodeID(m.Node),
		Address:   m.Address,
		Leader:    m.Leader,
		Learner:   m.Learner,
		Applied:   m.Applied,
		Condition: decodeCondition(m.Condition),
	}
}

func decodePoison(m poisonMessage) Poison {
	return Poison{
		Fingerprint: m.Fingerprint,
		Targets:     m.Targets,
		Condition:   decodeCondition(m.Condition),
	}
}
