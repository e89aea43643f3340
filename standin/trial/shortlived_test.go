package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

// TestShortLivedSuccessorDoesNotCostTheQuorum guards against a quorum that needs a successor
// which ends soon after its promotion, while the vote of the voter that it replaces still counts.
func TestShortLivedSuccessorDoesNotCostTheQuorum(t *testing.T) {
	for _, voters := range []int{3, 4, 5, 7} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			failed := 0
			for _, victim := range []string{"oldest", "leader"} {
				for lived := sardine.Millis(0); lived < 4000; lived += 100 {
					p := Succession{Seed: uint64(lived) + uint64(voters), Voters: voters, Spacing: 5 * sardine.Second, Victim: victim, EnrolDelay: 500}
					if r := runShortLived(p, lived); r.Failed() || r.Margin.Answering < voters {
						t.Logf("successor lived %d ms, victim %s: %+v", lived, victim, r)
						failed++
					}
				}
			}
			require.Zero(t, failed)
		})
	}
}

// runShortLived replaces one voter by a successor that ends after a time and is replaced in turn.
func runShortLived(p Succession, lived sardine.Millis) SuccessionReport {
	s := newSuccession(p)
	s.loseOne()
	s.driver.At(successorDelay+1+lived, func(sardine.Millis) {
		s.driver.Crash(s.members[len(s.members)-1].id)
		s.driver.At(successorDelay, func(sardine.Millis) { s.addSuccessor() })
	})
	s.runFor(15 * sardine.Second)
	return s.report()
}

// TestVotesOfSeveralLostVotersEnd guards against votes of lost voters that stay for good because
// their successors were promoted before the others had been silent for long enough.
func TestVotesOfSeveralLostVotersEnd(t *testing.T) {
	for _, voters := range []int{5, 7, 9} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			failed := 0
			for seed := range uint64(20) {
				s := newSuccession(Succession{Seed: seed, Voters: voters, EnrolDelay: 500})
				for _, m := range s.members[voters-2:] {
					s.driver.Crash(m.id)
				}
				s.driver.At(successorDelay, func(sardine.Millis) { s.addSuccessor() })
				s.driver.At(successorDelay, func(sardine.Millis) { s.addSuccessor() })
				s.runFor(20 * sardine.Second)
				if r := s.report(); r.Failed() || r.Margin.Answering != voters || r.Margin.Voters != voters {
					t.Logf("seed %d: %+v", seed, r)
					failed++
				}
			}
			require.Zero(t, failed)
		})
	}
}

// TestOutageAfterPlannedReplacement guards against a disk that is lost, once a successor has had
// its time to catch up, while the vote of the member that was stopped still counts.
func TestOutageAfterPlannedReplacement(t *testing.T) {
	const catchUp = 4 * sardine.Second
	failed := 0
	for seed := range uint64(40) {
		p := Succession{Seed: seed, Voters: 3, Rounds: 1, Spacing: catchUp, Victim: "random", Event: "planned", EnrolDelay: 500, Outage: true}
		if r := RunSuccession(p); r.Failed() {
			t.Logf("seed %d: %+v", seed, r)
			failed++
		}
	}
	require.Zero(t, failed)
}
