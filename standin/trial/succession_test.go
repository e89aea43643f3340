package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// siteVoters are the numbers of voters of the sites in which members are replaced.
var siteVoters = [...]int{3, 4, 5, 9}

// TestReplacedVotersDoNotOutnumberTheRest guards against a quorum that is lost because voters
// that were replaced still count.
func TestReplacedVotersDoNotOutnumberTheRest(t *testing.T) {
	for _, voters := range siteVoters {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			failed := 0
			for _, victim := range []string{"oldest", "newest", "leader", "random"} {
				for _, event := range []string{"replaced", "planned"} {
					for spacing := sardine.Millis(5000); spacing <= 9000; spacing += 1000 {
						p := Succession{Seed: uint64(spacing) + uint64(voters), Voters: voters, Rounds: 8, Spacing: spacing, Victim: victim, Event: event, EnrolDelay: sardine.Second, Outage: true}
						failed += countFailed(t, p)
					}
				}
			}
			require.Zero(t, failed)
		})
	}
}

// TestPausedVotersKeepTheirPlace guards against a site that shrinks because voters are silent
// for a while and nobody has replaced them.
func TestPausedVotersKeepTheirPlace(t *testing.T) {
	for _, voters := range siteVoters {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			failed := 0
			for _, victim := range []string{"leader", "random"} {
				for spacing := sardine.Millis(5000); spacing <= 11000; spacing += 2000 {
					p := Succession{Seed: uint64(spacing), Voters: voters, Rounds: 5, Spacing: spacing, Victim: victim, Event: "paused", EnrolDelay: sardine.Second}
					failed += countFailed(t, p)
				}
			}
			require.Zero(t, failed)
		})
	}
}

// countFailed runs p and returns 1 if a check fails.
func countFailed(t *testing.T, p Succession) int {
	r := RunSuccession(p)
	if !r.Failed() && (p.Outage || r.Voters == p.Voters && r.Answering == p.Voters) {
		return 0
	}
	t.Logf("%+v: %+v", p, r)
	return 1
}
