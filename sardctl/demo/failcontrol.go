package demo

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

// failControl crashes the leading control node, without a transfer of leadership.
func failControl(_ context.Context, s *demoState) (injectedFailure, error) {
	leader := s.site.LeaderIndex()
	if leader < 0 {
		return injectedFailure{}, codes.New(codes.NoQuorum, "no control node leads")
	}
	name := string(s.site.Controls()[leader].Node().ID())
	if err := s.site.StopControl(leader); err != nil {
		return injectedFailure{}, err
	}
	return injectedFailure{
		subject: name,
		check: func(r status.Report) error {
			if r.Leader == "" || r.Leader == sardine.NodeID(name) || !guaranteeHolds(r, "settings can be changed") {
				return mismatch("leader %q, settings can be changed: %t", r.Leader, guaranteeHolds(r, "settings can be changed"))
			}
			return checkOnlyUnhealthy(r, "control", name)
		},
		removeCause: func(context.Context) error { return s.site.StartControl(leader) },
		recovered: func() bool {
			l := s.site.LeaderIndex()
			return l >= 0 && servesFully(s) && s.site.Controls()[leader].Node().Dump().Leader == string(s.site.Controls()[l].Node().ID())
		},
	}, nil
}
