package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
)

// TestRandomRuns runs sites under random faults and checks the invariants and
// the histories of the operators.
func TestRandomRuns(t *testing.T) {
	var admitted, accepted, lost, resent int
	for seed := range uint64(200) {
		w := New(RandomOptions(seed))
		w.Run(4000)
		settled := w.Settle(15_000)
		require.True(t, settled, "seed %d", seed)
		require.Empty(t, w.Violations, "seed %d", seed)
		require.True(t, w.Linearizable(), "seed %d", seed)
		admitted += w.Admitted
		for _, op := range w.History {
			switch {
			case op.Accepted && op.Resends > 0:
				resent++
			case op.Accepted:
				accepted++
			case op.Return > 0 && !op.Read:
				lost++
			}
		}
	}
	t.Logf("%d admissions, %d changes accepted at the first send and %d after resends, %d lost races", admitted, accepted, resent, lost)
	require.Positive(t, resent)
	require.Positive(t, lost)
	require.Greater(t, admitted, 100_000)
}

// TestDeepRelayTree runs sites with three levels of relays, whose nodes fail.
func TestDeepRelayTree(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		o := RandomOptions(seed)
		o.Centres = []int{40, 3}
		o.Faults.DisturbanceInterval = 400
		w := New(o)
		w.Run(30_000)
		require.True(t, w.Settle(15_000), "seed %d", seed)
		require.Empty(t, w.Violations, "seed %d", seed)
		require.True(t, w.Linearizable(), "seed %d", seed)
	}
}

// defectCaught reports whether one of the seeds shows an invariant violation or
// a history that is not linearizable.
func defectCaught(t *testing.T, enable func(o *Options)) bool {
	for seed := range uint64(60) {
		o := RandomOptions(seed)
		enable(&o)
		w := New(o)
		w.Run(20_000)
		if len(w.Violations) > 0 || !w.Linearizable() {
			return true
		}
	}
	return false
}

// TestDefectsAreCaught shows that the checks find each defect.
func TestDefectsAreCaught(t *testing.T) {
	defects := map[string]func(o *Options){
		"lease counted from the reply":       func(o *Options) { o.Follow = follow.DefectLeaseFromReply },
		"applied reported before publishing": func(o *Options) { o.Follow = follow.DefectEarlyApplied },
		"floor ignored by the follower":      func(o *Options) { o.Follow = follow.DefectIgnoreFloor },
		"absent followers covered":           func(o *Options) { o.Follow = follow.DefectRenewAbsent },
		"no wait after an election":          func(o *Options) { o.Lease = lease.DefectTrustNew },
		"no floor in the grant":              func(o *Options) { o.Lease = lease.DefectNoFloor },
		"change ids not in the snapshot":     func(o *Options) { o.LoseChangeIDs = true },
	}
	for name, enable := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.True(t, defectCaught(t, enable))
		})
	}
}

// runWithCutOffLeader runs a site whose leader is cut off from the other
// control nodes, but not from the entry nodes and operators.
func runWithCutOffLeader(seed uint64, defect follow.Defect) *World {
	o := RandomOptions(seed)
	o.Faults = drive.Faults{MaxDelay: 3}
	o.Follow = defect
	w := New(o)
	w.RunFor(5000)
	leader := w.Leader()
	for _, other := range w.controlIDs {
		w.driver.Cut(leader, other, 20_000)
		w.driver.Cut(other, leader, 20_000)
	}
	w.RunFor(15_000)
	return w
}

// TestCutOffLeaderGrantsNoLease: a leader that is cut off from the majority
// must grant no leases, and does with follow.DefectNoRound.
func TestCutOffLeaderGrantsNoLease(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		require.Empty(t, runWithCutOffLeader(seed, follow.DefectNone).Violations, "seed %d", seed)
		found += len(runWithCutOffLeader(seed, follow.DefectNoRound).Violations)
	}
	require.Positive(t, found, "no seed shows grants without a quorum round")
}

// runWithReplacedNode runs a site where a process is cut off while another one
// at another address takes over its name.
func runWithReplacedNode(seed uint64, defect lease.Defect) *World {
	o := RandomOptions(seed)
	o.Faults = drive.Faults{MaxDelay: 3}
	o.Lease = defect
	w := New(o)
	w.RunFor(5000)
	w.driver.Isolate("e1-1", 4000)
	w.AddTwin("e1-1")
	w.RunFor(10_000)
	return w
}

// TestNewIncarnationWaitsForOldLease: a new incarnation at another address may
// join only after the leases of the earlier one have expired.
func TestNewIncarnationWaitsForOldLease(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		require.Empty(t, runWithReplacedNode(seed, lease.DefectNone).Violations, "seed %d", seed)
		found += len(runWithReplacedNode(seed, lease.DefectEarlyReplace).Violations)
	}
	require.Positive(t, found, "no seed shows a new incarnation that does not wait")
}
