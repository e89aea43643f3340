package team

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// CheckSite refuses settings that define a workspace of another team. Requests
// name only a workspace, so that its name must be unique in the site. Changes
// must be checked and applied one at a time.
func CheckSite(changed sardine.TeamSettings, all []sardine.TeamSettings) error {
	owners := make(map[sardine.Workspace]sardine.Team)
	for _, s := range all {
		if s.Team == changed.Team {
			continue
		}
		for _, w := range s.Tenants {
			owners[w.Name] = s.Team
		}
	}
	for _, w := range changed.Tenants {
		if owner, taken := owners[w.Name]; taken {
			path := fmt.Sprintf("/%s/%s/workspaces/%s", pathRoot, changed.Team, w.Name)
			return codes.New(codes.BadSettings, "%s: found a workspace of team %s, expected a name that is unique in the site", path, owner)
		}
	}
	return nil
}
