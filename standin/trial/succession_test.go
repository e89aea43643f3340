package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestReplacedVotersDoNotOutnumberTheRest guards against a quorum that is lost because voters
// that were replaced still count.
func TestReplacedVotersDoNotOutnumberTheRest(t *testing.T) {
	t.Parallel()
	failed := 0
	for _, voters := range []int{3, 4, 5, 9} {
		for _, victim := range []string{"oldest", "newest", "leader", "random"} {
			for _, event := range []string{"replaced", "planned"} {
				for spacing := sardine.Millis(5000); spacing <= 9000; spacing += 1000 {
					p := Succession{Seed: uint64(spacing) + uint64(voters), Voters: voters, Rounds: 8, Spacing: spacing, Victim: victim, Event: event, EnrolDelay: sardine.Second, Outage: true}
					r := RunSuccession(p)
					if r.Violation != "" || r.LongestGap > maxFailover {
						failed++
						t.Log(fmt.Sprintf("%+v: %+v", p, r))
					}
				}
			}
		}
	}
	require.Zero(t, failed)
}
