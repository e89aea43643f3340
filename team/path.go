package team

import (
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const (
	pathRoot = "teams"
	// maxName is the longest name of a team, deployment or workspace, in bytes.
	maxName = 63
)

// Path identifies a key of the settings: a team and the keys in its document.
type Path struct {
	team sardine.Team
	keys []string
}

// ParsePath parses a path such as /teams/adinkra/deployments/surtitles. Its
// error is codes.UnknownPath.
func ParsePath(text string) (Path, error) {
	parts := strings.Split(strings.TrimSuffix(text, "/"), "/")
	if len(parts) < 3 || parts[0] != "" || parts[1] != pathRoot {
		return Path{}, codes.New(codes.UnknownPath, "found %q, expected /teams/TEAM or a path below it", text)
	}
	if !isName(parts[2]) {
		return Path{}, codes.New(codes.UnknownPath, "found the team %q, expected %s", parts[2], nameRule)
	}
	for _, key := range parts[3:] {
		if key == "" {
			return Path{}, codes.New(codes.UnknownPath, "found an empty part in %q, expected names between the slashes", text)
		}
	}
	return Path{team: sardine.Team(parts[2]), keys: parts[3:]}, nil
}

// Team returns the team whose subtree holds the path.
func (p Path) Team() sardine.Team {
	return p.team
}

// IsRoot reports whether the path is the team's whole subtree.
func (p Path) IsRoot() bool {
	return len(p.keys) == 0
}

// String returns the path in the form that ParsePath parses.
func (p Path) String() string {
	return "/" + strings.Join(append([]string{pathRoot, string(p.team)}, p.keys...), "/")
}

// Child returns the path of a key below p.
func (p Path) Child(key string) Path {
	keys := make([]string, 0, len(p.keys)+1)
	return Path{team: p.team, keys: append(append(keys, p.keys...), key)}
}

const nameRule = "1 to 63 of a-z, 0-9, - and _"

func isName(s string) bool {
	return s != "" && len(s) <= maxName && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}
