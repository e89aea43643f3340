package demo

import (
	"context"
	"fmt"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/status"
)

// failDomain crashes all VMs of a serving group's fabric domain, spares included:
// no VM of the domain is left for a repair.
func failDomain(_ context.Context, s *demoState) (injectedFailure, error) {
	serving := s.site.Serving()
	if len(serving) == 0 {
		return injectedFailure{}, codes.New(codes.NoTarget, "no group serves")
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
		e.Crash()
	}
	return injectedFailure{
		subject: fmt.Sprintf("%s, %d VMs", serving[0].Domain, len(dead)),
		check: func(r status.Report) error {
			for _, e := range dead {
				if err := checkLost(r, e.VM()); err != nil {
					return err
				}
			}
			if guaranteeHolds(r, "every wanted group serves") {
				return mismatch("every wanted group is said to serve")
			}
			return checkOnlyUnhealthy(r, "target", names...)
		},
		removeCause: func(context.Context) error { return startAll(dead) },
		recovered:   func() bool { return servesFully(s) },
	}, nil
}
