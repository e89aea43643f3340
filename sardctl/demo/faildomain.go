package demo

import (
	"context"
	"fmt"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/status"
)

// failDomain lets all VMs of a serving group's fabric domain die, also those that
// are spare: no VM of the domain is left for a repair.
func failDomain(_ context.Context, s *stage) (trouble, error) {
	serving := s.site.Serving()
	if len(serving) == 0 {
		return trouble{}, codes.New(codes.NoTarget, "no group serves")
	}
	var dead []*engine.Engine
	var names []string
	for _, e := range s.site.Engines() {
		if string(e.Announcement().Domain) == serving[0].Domain {
			dead = append(dead, e)
			names = append(names, string(e.VM()))
		}
	}
	for _, e := range dead {
		e.Die()
	}
	return trouble{
		about: fmt.Sprintf("%s, %d VMs", serving[0].Domain, len(dead)),
		told: func(r status.Report) error {
			for _, e := range dead {
				if err := tellsLost(r, e.VM()); err != nil {
					return err
				}
			}
			if checked(r, "every wanted group serves") {
				return wrong("every wanted group is said to serve")
			}
			return tellsOnly(r, "target", names...)
		},
		mend: func(context.Context) error { return startAll(dead) },
		over: func() bool { return whole(s) },
	}, nil
}
