package demo

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/status"
)

// failControl lets the leading control node crash, without a hand-over.
func failControl(_ context.Context, s *stage) (trouble, error) {
	leader := s.site.Leader()
	if leader < 0 {
		return trouble{}, codes.New(codes.NoQuorum, "no control node leads")
	}
	name := string(s.site.Controls()[leader].Node().ID())
	if err := s.site.StopControl(leader); err != nil {
		return trouble{}, err
	}
	return trouble{
		about: name,
		told: func(r status.Report) error {
			if r.Leader == "" || r.Leader == sardine.NodeID(name) || !checked(r, "settings can be changed") {
				return wrong("leader %q, settings can be changed: %t", r.Leader, checked(r, "settings can be changed"))
			}
			return tellsOnly(r, "control", name)
		},
		mend: func(context.Context) error { return s.site.StartControl(leader) },
		over: func() bool {
			l := s.site.Leader()
			return l >= 0 && whole(s) && s.site.Controls()[leader].Node().Dump().Leader == string(s.site.Controls()[l].Node().ID())
		},
	}, nil
}
