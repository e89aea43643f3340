package ctrl

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/team"
)

// settingsCache caches the parsed form of each team's newest document, so that a
// planning round parses only documents that have changed.
type settingsCache struct {
	mu    sync.Mutex
	teams map[sardine.Team]sardine.TeamSettings
}

func newSettingsCache() *settingsCache {
	return &settingsCache{teams: make(map[sardine.Team]sardine.TeamSettings)}
}

func (c *settingsCache) parse(name sardine.Team, r state.Revision) (sardine.TeamSettings, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, known := c.teams[name]; known && cached.Version == r.Version {
		return cached, nil
	}
	settings, err := team.Parse(name, r.Document)
	if err != nil {
		return sardine.TeamSettings{}, err
	}
	settings.Version = r.Version
	c.teams[name] = settings
	return settings, nil
}

// cutPolicyOf returns the cut policy of a revision. Documents were validated when
// they were accepted. One that this version can't parse gets the stricter policy,
// under which changes wait longer.
func cutPolicyOf(name sardine.Team, r state.Revision) sardine.CutPolicy {
	settings, err := team.Parse(name, r.Document)
	if err != nil {
		return sardine.CutHoldChanges
	}
	return settings.Cut
}
