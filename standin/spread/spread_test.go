package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
)

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
	t.Logf("%d admissions, %d changes accepted at once and %d after resends, %d lost races", admitted, accepted, resent, lost)
	require.Positive(t, resent)
	require.Positive(t, lost)
	require.Greater(t, admitted, 100_000)
}

// Three levels of relays, with members that fail.
func TestDeepTree(t *testing.T) {
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

// caught reports whether one of the seeds shows a broken invariant or a history
// that is not linearizable.
func caught(t *testing.T, plant func(o *Options)) bool {
	for seed := range uint64(60) {
		o := RandomOptions(seed)
		plant(&o)
		w := New(o)
		w.Run(20_000)
		if len(w.Violations) > 0 || !w.Linearizable() {
			return true
		}
	}
	return false
}

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
	for name, plant := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.True(t, caught(t, plant))
		})
	}
}

// cutLeader runs a site whose leader is cut off from the other control nodes,
// but not from the entry nodes and operators.
func cutLeader(seed uint64, defect follow.Defect) *World {
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

func TestCutLeaderGrantsNothing(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		require.Empty(t, cutLeader(seed, follow.DefectNone).Violations, "seed %d", seed)
		found += len(cutLeader(seed, follow.DefectNoRound).Violations)
	}
	require.Positive(t, found, "grant without a quorum round")
}

// replaced runs a site where a process is cut off while another one takes over
// its name at another address.
func replaced(seed uint64, defect lease.Defect) *World {
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

func TestReplacedNodeKeepsItsClaim(t *testing.T) {
	found := 0
	for seed := range uint64(10) {
		require.Empty(t, replaced(seed, lease.DefectNone).Violations, "seed %d", seed)
		found += len(replaced(seed, lease.DefectEarlyReplace).Violations)
	}
	require.Positive(t, found, "a new incarnation that does not wait")
}
