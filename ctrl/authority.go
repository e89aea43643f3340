package ctrl

import (
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/state"
)

// Scopes of tokens for operators.
const (
	scopeOperator = "operator"
	scopeTeam     = "team:"
)

// authorise checks that a token covers the team's subtree; an empty team asks
// for an operator's token. As long as a site has no tokens at all, everyone who
// reaches the server is an operator.
func (n *Node) authorise(token string, name sardine.Team) error {
	sum := sha256.Sum256([]byte(token))
	if len(n.operatorHash) > 0 && subtle.ConstantTimeCompare(sum[:], n.operatorHash) == 1 {
		return nil
	}
	var found state.Token
	var known, open bool
	n.log.View(func(m *state.Machine) {
		found, known = m.Token(sum[:])
		open = len(m.Tokens()) == 0 && len(n.operatorHash) == 0
	})
	switch {
	case open:
		return nil
	case !known:
		event.Log(n.logger, event.KeyRefused, slog.String("reason", "unknown or expired token"))
		return codes.New(codes.KeyRefused, "the token is missing, unknown or expired")
	case found.Scope == scopeOperator, name != "" && found.Scope == scopeTeam+string(name):
		return nil
	default:
		event.Log(n.logger, event.KeyRefused, slog.String("reason", "scope"), slog.String("name", found.Name))
		return codes.New(codes.ScopeRefused, "the token %q covers %s", found.Name, found.Scope)
	}
}
