package trial

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/quorum"
)

const steps = 2000

func TestSeeds(t *testing.T) {
	t.Parallel()
	failed := 0
	for seed := range uint64(200) {
		r := Run(Options{Seed: seed, Steps: steps})
		if r.Violation != "" {
			t.Log(r)
			failed++
		}
	}
	require.Zero(t, failed)
}

func TestDefectsAreCaught(t *testing.T) {
	t.Parallel()
	defects := []struct {
		name  string
		set   quorum.Defects
		check string // part of the violation
	}{
		{"unsynced_vote", quorum.Defects{UnsyncedVote: true}, "after a crash it knows"},
		{"early_acknowledge", quorum.Defects{EarlyAcknowledge: true}, "after a crash its log ends at"},
		{"old_term_commit", quorum.Defects{OldTermCommit: true}, "committed by counting"},
		{"no_disturb_check", quorum.Defects{VoteDespiteLeader: true}, "deposed it"},
		{"unconfirmed_read", quorum.Defects{UnconfirmedRead: true}, "confirmed a read"},
		{"unlisted_snapshot", quorum.Defects{NewestListSnapshot: true}, "another member applied"},
		{"forgotten_vote", quorum.Defects{SecondVote: true}, "a second vote in term"},
		{"amnesic_vote", quorum.Defects{VoteAfterDataLoss: true}, "another member"},
		{"overlapped_change", quorum.Defects{ConcurrentMemberChange: true}, "member changes are uncommitted"},
		{"lease_forever", quorum.Defects{NoStepDown: true}, "leads on"},
	}
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(200) {
				r := Run(Options{Seed: seed, Steps: steps, Defects: d.set})
				if r.Violation != "" {
					t.Logf("seed %d: %s", seed, r.Violation)
					require.Contains(t, r.Violation, d.check)
					return
				}
			}
			t.Fatal("no seed shows the defect")
		})
	}
}
