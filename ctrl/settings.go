package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
	"sardineswitch.dev/sardine/wire"
)

// Settings reads or changes settings by path.
func (n *Node) Settings(ctx context.Context, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	answer, err := n.settings(ctx, r)
	if answer == nil {
		answer = &wire.SettingsReply{}
	}
	answer.Fault = ctlapi.FaultOf(err)
	return answer, nil
}

func (n *Node) settings(ctx context.Context, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if _, _, err := n.confirm(ctx); err != nil {
		return nil, err
	}
	if r.Operation == "teams" {
		return n.listTeams(ctx, r)
	}
	path, err := team.ParsePath(r.Path)
	if err != nil {
		return nil, codes.Wrap(codes.UnknownPath, err, "path "+r.Path)
	}
	if err := n.authorise(ctx, r.Token, path.Team()); err != nil {
		return nil, err
	}
	switch r.Operation {
	case "get":
		return n.getSettings(path, sardine.Version(r.Version))
	case "set", "delete":
		return n.changeSettings(ctx, path, r)
	case "history":
		return n.settingsHistory(path)
	default:
		return nil, codes.New(codes.BadRequest, "operation %q, expected get, set, delete, history or teams", r.Operation)
	}
}

func (n *Node) listTeams(ctx context.Context, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if err := n.authorise(ctx, r.Token, ""); err != nil {
		return nil, err
	}
	answer := &wire.SettingsReply{}
	n.log.View(func(m *state.Machine) {
		for _, name := range m.Teams() {
			answer.Teams = append(answer.Teams, string(name))
		}
	})
	return answer, nil
}

// revision returns a team's document at a version, 0 for the newest.
func (n *Node) revision(name sardine.Team, v sardine.Version) (found state.Revision, known bool) {
	n.log.View(func(m *state.Machine) {
		if v == 0 {
			found, known = m.Current(name)
			return
		}
		for _, r := range m.History(name) {
			if r.Version == v {
				found, known = r, true
			}
		}
	})
	return found, known
}

func (n *Node) getSettings(path team.Path, v sardine.Version) (*wire.SettingsReply, error) {
	r, known := n.revision(path.Team(), v)
	if !known {
		return nil, codes.New(codes.UnknownPath, "team %q has no settings at version %d", path.Team(), v)
	}
	text, err := team.Get(r.Document, path.String())
	if err != nil {
		return nil, err
	}
	return &wire.SettingsReply{Version: uint64(r.Version), Document: text, InForce: n.inForce(r.Index)}, nil
}

func (n *Node) settingsHistory(path team.Path) (*wire.SettingsReply, error) {
	answer := &wire.SettingsReply{}
	n.log.View(func(m *state.Machine) {
		for _, r := range m.History(path.Team()) {
			answer.History = append(answer.History, state.RevisionToWire(r))
		}
		if current, known := m.Current(path.Team()); known {
			answer.Version = uint64(current.Version)
		}
	})
	return answer, nil
}

// changeSettings proposes a change and waits until it is in force on every entry node
// that may serve. A change id that was used before gets the result of its first change.
func (n *Node) changeSettings(ctx context.Context, path team.Path, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	arrived := n.clock.Now()
	if r.ChangeId == "" {
		return nil, codes.New(codes.BadRequest, "the change id is missing; it distinguishes a resend from a new change")
	}
	result, known := n.earlierResult(path.Team(), r.ChangeId)
	if !known {
		var err error
		if result, err = n.proposeChange(ctx, path, r); err != nil {
			event.Log(n.logger, event.ChangeRefused, pathAttr(path), errorAttr(err))
			return n.conflictReply(path, result, err), err
		}
	}
	answer := &wire.SettingsReply{Version: uint64(result.Version), Repeat: known || result.Repeat}
	if err := n.awaitInForce(ctx, path.Team(), result.Index); err != nil {
		return answer, err
	}
	answer.InForce = true
	n.instruments.changesInForce.Record(n.clock.Now() - arrived)
	event.Log(n.logger, event.ChangeAccepted, pathAttr(path), versionAttr(result.Version))
	return answer, nil
}

func (n *Node) earlierResult(name sardine.Team, changeID string) (result state.Result, known bool) {
	n.log.View(func(m *state.Machine) {
		first, seen := m.Change(name, changeID)
		result = state.Result{Index: first.Index, Version: first.Version, Repeat: true}
		known = seen
	})
	return result, known
}

func (n *Node) proposeChange(ctx context.Context, path team.Path, r *wire.SettingsRequest) (state.Result, error) {
	current, _ := n.revision(path.Team(), 0)
	if sardine.Version(r.Base) != current.Version {
		err := codes.New(codes.VersionRace, "team %s is at version %d, the change is based on %d", path.Team(), current.Version, r.Base)
		return state.Result{Version: current.Version}, err
	}
	document, err := edit(current.Document, path, r)
	if err != nil {
		return state.Result{}, err
	}
	if err := n.validate(path.Team(), document); err != nil {
		return state.Result{}, err
	}
	result, err := n.propose(ctx, state.ChangeSettings{
		Team:     path.Team(),
		Base:     sardine.Version(r.Base),
		ChangeID: r.ChangeId,
		Document: document,
		Author:   r.Author,
		Path:     path.String(),
	})
	if err != nil {
		return result, err
	}
	return result, result.Err
}

// edit returns the team's whole document after the change.
func edit(document string, path team.Path, r *wire.SettingsRequest) (string, error) {
	if r.Operation == "delete" {
		return team.Delete(document, path.String())
	}
	return team.Replace(document, path.String(), r.Document)
}

// validate checks the document by itself and against those of the other teams.
func (n *Node) validate(name sardine.Team, document string) error {
	settings, err := team.Parse(name, document)
	if err != nil {
		return err
	}
	return team.CheckSite(settings, n.allSettings())
}

// allSettings returns the newest settings of every team. A document that this version
// can't parse is logged and left out; all were validated when they were accepted.
func (n *Node) allSettings() []sardine.TeamSettings {
	var revisions []state.Revision
	var names []sardine.Team
	n.log.View(func(m *state.Machine) {
		for _, name := range m.Teams() {
			if r, known := m.Current(name); known {
				names = append(names, name)
				revisions = append(revisions, r)
			}
		}
	})
	all := make([]sardine.TeamSettings, 0, len(names))
	for i, name := range names {
		settings, err := n.settingsCache.parse(name, revisions[i])
		if err != nil {
			event.Log(n.logger, event.DutyFailed, errorAttr(err))
			continue
		}
		all = append(all, settings)
	}
	return all
}

// conflictReply returns the current revision for an operator whose change was based
// on an earlier version, nil for any other error.
func (n *Node) conflictReply(path team.Path, result state.Result, err error) *wire.SettingsReply {
	if !codes.Is(err, codes.VersionRace) {
		return nil
	}
	answer := &wire.SettingsReply{Version: uint64(result.Version)}
	if current, known := n.revision(path.Team(), 0); known {
		answer.Version = uint64(current.Version)
		answer.Document, _ = team.Get(current.Document, path.String()) // the path may be gone
		answer.History = []*wire.Revision{state.RevisionToWire(current)}
	}
	return answer
}
