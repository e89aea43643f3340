package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/state"
)

// authorise checks that a token covers the team's settings. An empty team requires an
// operator's token.
func (n *Node) authorise(ctx context.Context, token string, name sardine.Team) error {
	needed := oper.RequireOperator()
	if name != "" {
		needed = oper.RequireScope(keys.TeamScope(name))
	}
	return n.access.Check(token, oper.Source(ctx), needed, n.tokens())
}

// tokens returns the tokens of the replicated state.
func (n *Node) tokens() oper.Tokens {
	var known oper.Tokens
	n.log.View(func(m *state.Machine) { known = oper.TokensOf(m) })
	return known
}
