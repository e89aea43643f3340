package demo

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/status"
)

// failMember crashes the last member of a serving group.
func failMember(_ context.Context, s *demoState) (injectedFailure, error) {
	serving := s.site.Serving()
	if len(serving) == 0 {
		return injectedFailure{}, codes.New(codes.NoTarget, "no group serves")
	}
	vm := serving[0].Members[len(serving[0].Members)-1]
	dead := s.site.Engines()[s.site.EngineIndex(vm)]
	dead.Crash()
	return injectedFailure{
		subject: vm + " of " + serving[0].Group,
		check: func(r status.Report) error {
			if err := checkLost(r, sardine.VMID(vm)); err != nil {
				return err
			}
			return checkOnlyUnhealthy(r, "target", vm)
		},
		removeCause: func(context.Context) error { return dead.Start() },
		recovered:   func() bool { return servesFully(s) },
	}, nil
}

// servesFully reports whether the site serves as it did at the start: every engine
// runs, and every entry node routes to all groups and plain targets.
func servesFully(s *demoState) bool {
	for _, e := range s.site.Engines() {
		if !e.Running() {
			return false
		}
	}
	for _, e := range s.site.Entries() {
		if e.Node() == nil {
			return false
		}
		if d := e.Node().Dump(); !d.Ready || len(d.Candidates) < groupCount+plainCount {
			return false
		}
	}
	return true
}

// startAll starts the engines that are not running.
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
