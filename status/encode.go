package status

import (
	"encoding/json"
)

// Encode returns the JSON form of a report. Empty lists are encoded as [], never as
// null, so that clients need no special case.
func Encode(r Report) ([]byte, error) {
	return json.MarshalIndent(reportMessage{
		Node:     string(r.Node),
		Role:     string(r.Role),
		Site:     r.Site,
		At:       int64(r.At),
		Applied:  r.Applied,
		Leader:   string(r.Leader),
		Held:     r.AllPassed(),
		Checks:   convertAll(r.Checks, func(c Check) checkMessage { return checkMessage(c) }),
		Teams:    convertAll(r.Teams, encodeTeam),
		Groups:   convertAll(r.Groups, encodeGroup),
		Targets:  convertAll(r.Targets, encodeTarget),
		Entries:  convertAll(r.Entries, encodeEntry),
		Controls: convertAll(r.Controls, encodeControl),
		Poisons:  convertAll(r.Poisons, encodePoison),
	}, "", "  ")
}

func convertAll[A, B any](all []A, convert func(A) B) []B {
	converted := make([]B, 0, len(all))
	for _, a := range all {
		converted = append(converted, convert(a))
	}
	return converted
}

func encodeCondition(c Condition) conditionMessage {
	return conditionMessage{State: c.State, Good: c.Healthy, Since: int64(c.Since), System: c.SystemAction, Person: c.OperatorAction}
}

func encodeTeam(t Team) teamMessage {
	return teamMessage{
		Name:    string(t.Name),
		Version: uint64(t.Version),
		Services: convertAll(t.Services, func(s Service) serviceMessage {
			return serviceMessage{Name: string(s.Name), Kind: s.Kind.String(), Wanted: s.Wanted, Serving: s.Serving}
		}),
		Condition: encodeCondition(t.Condition),
	}
}

func encodeGroup(g Group) groupMessage {
	return groupMessage{
		ID:      string(g.ID),
		Epoch:   uint64(g.Epoch),
		Team:    string(g.Team),
		Service: string(g.Service),
		Domain:  string(g.Domain),
		Members: convertAll(g.Members, func(m Member) memberMessage {
			return memberMessage{VM: string(m.VM), Rank: m.Rank, Present: m.Present}
		}),
		Condition: encodeCondition(g.Condition),
	}
}

func encodeTarget(t Target) targetMessage {
	return targetMessage{
		VM:              string(t.VM),
		Incarnation:     uint64(t.Incarnation),
		Kind:            t.Kind.String(),
		DataCentre:      string(t.DataCentre),
		Domain:          string(t.Domain),
		Service:         string(t.Service),
		Group:           string(t.Group),
		Accelerators:    t.Accelerators,
		Running:         t.Load.Running,
		Queued:          t.Load.Queued,
		TokensPerSecond: t.Load.TokensPerSecond,
		Condition:       encodeCondition(t.Condition),
	}
}

func encodeEntry(e Entry) entryMessage {
	return entryMessage{
		Node:       string(e.Node),
		DataCentre: string(e.DataCentre),
		Address:    e.Address,
		Applied:    e.Applied,
		Condition:  encodeCondition(e.Condition),
	}
}

func encodeControl(c Control) controlMessage {
	return controlMessage{
		Node:      string(c.Node),
		Address:   c.Address,
		Leader:    c.Leader,
		Learner:   c.Learner,
		Applied:   c.Applied,
		Condition: encodeCondition(c.Condition),
	}
}

func encodePoison(p Poison) poisonMessage {
	return poisonMessage{
		Fingerprint: p.Fingerprint,
		Targets:     p.Targets,
		Condition:   encodeCondition(p.Condition),
	}
}
