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
		{"unsynced_vote", quorum.Defects{UnsyncedVote: true}, ""},
		{"early_acknowledge", quorum.Defects{EarlyAcknowledge: true}, ""},
		{"old_term_commit", quorum.Defects{OldTermCommit: true}, ""},
		{"no_disturb_check", quorum.Defects{NoDisturbCheck: true}, ""},
		{"unconfirmed_read", quorum.Defects{UnconfirmedRead: true}, ""},
		{"unlisted_snapshot", quorum.Defects{UnlistedSnapshot: true}, ""},
		{"forgotten_vote", quorum.Defects{ForgottenVote: true}, ""},
		{"overlapped_change", quorum.Defects{OverlappedChange: true}, ""},
		{"lease_forever", quorum.Defects{LeaseForever: true}, ""},
	}
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(200) {
				r := Run(Options{Seed: seed, Steps: steps, Defects: d.set})
				if r.Violation != "" {
					t.Logf("seed %d: %s", seed, r.Violation)
					return
				}
			}
			t.Fatal("no seed shows the defect")
		})
	}
}
