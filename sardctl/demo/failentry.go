package demo

import (
	"context"

	"sardineswitch.dev/sardine/status"
)

// failedEntry is the number of the entry node that dies.
const failedEntry = 1

// failEntry lets an entry node die; it does not say that it leaves.
func failEntry(_ context.Context, s *stage) (trouble, error) {
	name := string(s.site.Entries()[failedEntry].Node().ID())
	if err := s.site.StopEntry(failedEntry); err != nil {
		return trouble{}, err
	}
	return trouble{
		about: name,
		told: func(r status.Report) error {
			if checked(r, "every entry node serves") {
				return wrong("every entry node is said to serve")
			}
			return tellsOnly(r, "entry", name)
		},
		mend: func(context.Context) error { return s.site.StartEntry(failedEntry) },
		over: func() bool { return whole(s) },
	}, nil
}
