package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

// backend implements the interface that package oper uses to access the node.
type backend struct {
	node *Node
}

// Authorise checks that a token covers the team. An empty team requires an operator's
// token.
func (b backend) Authorise(ctx context.Context, token string, t sardine.Team) error {
	return b.node.authorise(ctx, token, t)
}

// Open reports whether the site has no token yet.
func (b backend) Open() bool {
	return b.node.access.Open(b.node.tokens())
}

// Propose returns once the command is committed and applied.
func (b backend) Propose(c state.Command) error {
	ctx, cancel := context.WithTimeout(b.node.runCtx, b.node.timing.ProposeTimeout.Duration())
	defer cancel()
	r, err := b.node.log.Propose(ctx, c)
	if err != nil {
		return b.node.redirect(err)
	}
	b.node.logCommand(c, r)
	return r.Err
}

// View calls f with the replicated state.
func (b backend) View(f func(m *state.Machine)) {
	b.node.log.View(f)
}
