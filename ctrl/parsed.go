package ctrl

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// parsedSettings keeps the parsed form of each team's newest document, so that a
// planning round parses nothing anew.
type parsedSettings struct {
	mu    sync.Mutex
	teams map[sardine.Team]sardine.TeamSettings
}

func newParsedSettings() *parsedSettings {
	return &parsedSettings{teams: make(map[sardine.Team]sardine.TeamSettings)}
}

func (p *parsedSettings) parse(name sardine.Team, r state.Revision) (sardine.TeamSettings, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept, known := p.teams[name]; known && kept.Version == r.Version {
		return kept, nil
	}
	settings, err := team.Parse(name, r.Document)
	if err != nil {
		return sardine.TeamSettings{}, err
	}
	settings.Version = r.Version
	p.teams[name] = settings
	return settings, nil
}

// cutOf returns the cut policy of a revision. Documents were validated before
// they were accepted; one that this program can't read counts as the stricter
// policy, under which changes wait longer.
func cutOf(name sardine.Team, r state.Revision) sardine.CutPolicy {
	settings, err := team.Parse(name, r.Document)
	if err != nil {
		return sardine.CutHoldChanges
	}
	return settings.Cut
}
