package demo

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/status"
)

// failMember lets the last member of a serving group die.
func failMember(_ context.Context, s *stage) (trouble, error) {
	serving := s.site.Serving()
	if len(serving) == 0 {
		return trouble{}, codes.New(codes.NoTarget, "no group serves")
	}
	vm := serving[0].Members[len(serving[0].Members)-1]
	dead := s.site.Engines()[s.site.Engine(vm)]
	dead.Die()
	return trouble{
		about: vm + " of " + serving[0].Group,
		told: func(r status.Report) error {
			if err := tellsLost(r, sardine.VMID(vm)); err != nil {
				return err
			}
			return tellsOnly(r, "target", vm)
		},
		mend: func(context.Context) error { return dead.Start() },
		over: func() bool { return whole(s) },
	}, nil
}

// whole reports whether the site serves as it did at the start: every engine
// runs, and every entry node routes to all groups and plain targets.
func whole(s *stage) bool {
	for _, e := range s.site.Engines() {
		if !e.Running() {
			return false
		}
	}
	for _, e := range s.site.Entries() {
		if e.Node() == nil {
			return false
		}
		if d := e.Node().Dump(); !d.Ready || len(d.Candidates) < groups+plains {
			return false
		}
	}
	return true
}

// startAll starts the engines that do not run.
func startAll(engines []*engine.Engine) error {
	for _, e := range engines {
		if e.Running() {
			continue
		}
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}
