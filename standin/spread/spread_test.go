package spread

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/drive"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
)

// register is a team's settings as a reader sees them.
type register struct {
	version sardine.Version
	change  string
}

// settingsModel checks each team's history: a change takes effect exactly when
// its base is the current version, and only then is it accepted; reads and lost
// races show the current version and who made it. An unanswered change may take
// effect at any time after its call.
var settingsModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(s, input, output any) (bool, any) {
		now, o, answered := s.(register), input.(*Operation), output.(bool)
		next := now
		if !o.Read && o.Base == now.version {
			next = register{version: o.Base + 1, change: o.ID}
		}
		switch {
		case !answered:
			return true, next
		case o.Accepted:
			return next != now && o.Version == next.version, next
		default:
			return next == now && o.Version == now.version && o.Seen == now.change, next
		}
	},
}

func linearizable(t *testing.T, w *World) bool {
	byTeam := make(map[sardine.Team][]porcupine.Operation)
	for i, o := range w.History {
		p := porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.Call), Output: o.Return > 0, Return: int64(o.Return)}
		if o.Return == 0 {
			p.ClientId, p.Return = 1000+i, math.MaxInt64
		}
		byTeam[o.Team] = append(byTeam[o.Team], p)
	}
	for _, history := range byTeam {
		if porcupine.CheckOperations(settingsModel, history) {
			continue
		}
		return false
	}
	return true
}

// options is the site of the random runs: one data centre without relays, one
// with a relay, three control nodes, three operators.
func options(seed uint64) Options {
	return Options{Seed: seed, Controls: 3, Centres: []int{2, 9}, Operators: 3, Teams: 2, Faults: drive.AllFaults()}
}

func TestRandomRuns(t *testing.T) {
	var admitted, accepted, lost, resent int
	for seed := range uint64(200) {
		o := options(seed)
		if seed%4 == 3 {
			o.Hold, o.Holding = true, 15_000
		}
		w := New(o)
		w.Run(6000)
		require.Empty(t, w.Breaches, "seed %d", seed)
		require.True(t, linearizable(t, w), "seed %d", seed)
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
	for seed := range uint64(4) {
		o := options(seed)
		o.Centres = []int{40, 3}
		o.Faults.Every = 400
		w := New(o)
		w.Run(30_000)
		require.Empty(t, w.Breaches, "seed %d", seed)
		require.True(t, linearizable(t, w), "seed %d", seed)
	}
}

// caught reports whether one of the seeds shows a broken invariant or a history
// that is not linearizable.
func caught(t *testing.T, plant func(o *Options)) bool {
	for seed := range uint64(60) {
		o := options(seed)
		plant(&o)
		w := New(o)
		w.Run(20_000)
		if len(w.Breaches) > 0 || !linearizable(t, w) {
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
		"absent followers covered":           func(o *Options) { o.Follow = follow.DefectCoverAbsent },
		"no wait after an election":          func(o *Options) { o.Lease = lease.DefectTrustNew },
		"no floor in the grant":              func(o *Options) { o.Lease = lease.DefectNoFloor },
		"change ids not in the snapshot":     func(o *Options) { o.LoseChangeIDs = true },
	}
	for name, plant := range defects {
		t.Run(name, func(t *testing.T) {
			require.True(t, caught(t, plant))
		})
	}
}

// cutLeader runs a site whose leader is cut off from the other control nodes,
// but not from the entry nodes and operators.
func cutLeader(seed uint64, defect follow.Defect) *World {
	o := options(seed)
	o.Faults = drive.Faults{Delay: 3}
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
		require.Empty(t, cutLeader(seed, follow.DefectNone).Breaches, "seed %d", seed)
		found += len(cutLeader(seed, follow.DefectNoRound).Breaches)
	}
	require.Positive(t, found, "grant without a quorum round")
}

// replaced runs a site where a process is cut off while another one takes over
// its name at another address.
func replaced(seed uint64, defect lease.Defect) *World {
	o := options(seed)
	o.Faults = drive.Faults{Delay: 3}
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
		require.Empty(t, replaced(seed, lease.DefectNone).Breaches, "seed %d", seed)
		found += len(replaced(seed, lease.DefectEarlyReplace).Breaches)
	}
	require.Positive(t, found, "a new incarnation that does not wait")
}
