package demo

import (
	"context"

	"sardineswitch.dev/sardine/status"
)

// failedEntry is the index of the entry node that crashes.
const failedEntry = 1

// failEntry crashes an entry node, which does not announce that it leaves.
func failEntry(_ context.Context, s *demoState) (injectedFailure, error) {
	name := string(s.site.Entries()[failedEntry].Node().ID())
	if err := s.site.StopEntry(failedEntry); err != nil {
		return injectedFailure{}, err
	}
	return injectedFailure{
		subject: name,
		check: func(r status.Report) error {
			if guaranteeHolds(r, "every entry node serves") {
				return mismatch("every entry node is said to serve")
			}
			return checkOnlyUnhealthy(r, "entry", name)
		},
		removeCause: func(context.Context) error { return s.site.StartEntry(failedEntry) },
		recovered:   func() bool { return servesFully(s) },
	}, nil
}
