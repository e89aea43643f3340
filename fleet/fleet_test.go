package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

func announcement(vm string, incarnation sardine.Incarnation) sardine.Announcement {
	return sardine.Announcement{VM: sardine.VMID(vm), Incarnation: incarnation, Kind: sardine.KindEngine, Address: vm + ":80"}
}

func TestHomeReportsChangesUntilAcked(t *testing.T) {
	h := NewHome("home", 1)
	require.NoError(t, h.Announce(0, announcement("a", 1)))
	first, changed := h.Report(0)
	require.True(t, changed)
	require.True(t, first.Full)
	require.Len(t, first.Statuses, 1)
	again, _ := h.Report(10)
	require.Len(t, again.Statuses, 1)
	h.Acknowledge(Ack{Sequence: first.Sequence})
	require.True(t, h.HasChanges(20), "only the last report's answer counts")
	h.Acknowledge(Ack{Sequence: again.Sequence})
	require.False(t, h.HasChanges(20))
	_, changed = h.Report(1000)
	require.False(t, changed)
}

func TestHomeDelaysLoadReports(t *testing.T) {
	h := NewHome("home", 1)
	a := announcement("a", 1)
	require.NoError(t, h.Announce(0, a))
	r, _ := h.Report(0)
	h.Acknowledge(Ack{Sequence: r.Sequence})
	a.Load.TokensPerSecond = 100
	require.NoError(t, h.Announce(1000, a))
	require.False(t, h.HasChanges(1000))
	require.True(t, h.HasChanges(2000))
	r, _ = h.Report(2000)
	require.Equal(t, 100.0, r.Statuses[0].Load.TokensPerSecond)
	h.Acknowledge(Ack{Sequence: r.Sequence})
	a.Load.TokensPerSecond = 110
	require.NoError(t, h.Announce(5000, a))
	require.False(t, h.HasChanges(5000), "a small change is not reported")
}

func TestHomeRejectsEarlierIncarnation(t *testing.T) {
	h := NewHome("home", 1)
	require.NoError(t, h.Announce(0, announcement("a", 2)))
	require.True(t, codes.Is(h.Announce(1, announcement("a", 1)), codes.Superseded))
	require.Empty(t, h.Expire(2999))
	require.Equal(t, []Ref{{VM: "a", Incarnation: 2}}, h.Expire(3000))
}

func TestLeaderIgnoresOlderStatus(t *testing.T) {
	l := NewLeader()
	l.Lead(0, 1)
	ready := announcement("a", 1)
	ready.CurrentOrder.State = sardine.MemberReady
	l.Merge(1000, Report{Home: "one", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: announcement("a", 1), Age: 100}}})
	l.Merge(1001, Report{Home: "two", Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: ready, Age: 900}}})
	s, live := l.Live(1001, "a")
	require.True(t, live)
	require.NotEqual(t, sardine.MemberReady, s.CurrentOrder.State, "the older announcement must not win")
	require.False(t, l.Merge(1002, Report{Home: "two", Incarnation: 1, Sequence: 1}).WantFull)
	require.True(t, l.RecordContact(1003, "three", 1).WantFull)
}

// fleetSim simulates targets, homes and a leader with its log under random
// faults.
type fleetSim struct {
	random  *rand.Rand
	homes   []*Home
	alive   []bool
	died    []sardine.Millis
	started []sardine.Incarnation
	leader  *Leader
	machine *state.Machine
	index   uint64
	ledAt   sardine.Millis
}

func (n *fleetSim) step(now sardine.Millis) {
	for i, alive := range n.alive {
		if alive && now%1000 == sardine.Millis(i*50%1000) {
			h := n.homes[n.random.IntN(len(n.homes))]
			_ = h.Announce(now, announcement(fmt.Sprint(i), n.started[i]))
		}
	}
	for i, h := range n.homes {
		h.Expire(now)
		r, changed := h.Report(now)
		switch {
		case n.random.Float64() < 0.1: // the report is lost
		case !changed:
			h.Acknowledge(n.leader.RecordContact(now, sardine.NodeID(fmt.Sprint("home", i)), 1))
		default:
			h.Acknowledge(n.leader.Merge(now, r))
		}
	}
	for _, c := range n.leader.Commands(now, n.machine) {
		n.index++
		n.machine.Apply(n.index, 0, c)
	}
}

func (n *fleetSim) fault(now sardine.Millis) {
	i := n.random.IntN(len(n.alive))
	switch n.random.IntN(40) {
	case 0:
		n.alive[i] = false
		n.died[i] = now
	case 1:
		if !n.alive[i] {
			n.alive[i] = true
			n.started[i]++
			n.died[i] = now
		}
	case 2:
		if n.random.IntN(10) == 0 {
			n.leader.Lead(now, uint64(now))
			n.ledAt = now
		}
	}
}

// TestRandomFleet sends every announcement to a random home, loses reports and
// changes the leader. The log must match the live targets whenever the bound has
// passed since a target's last start or stop and since the last election. The
// bound covers a target's lease, a home's lease and the grace period.
func TestRandomFleet(t *testing.T) {
	const bound = 8 * sardine.Second
	for seed := uint64(1); seed <= 8; seed++ {
		n := &fleetSim{random: rand.New(rand.NewPCG(seed, 0)), leader: NewLeader(), machine: state.NewMachine()}
		for i := range 20 {
			n.homes = append(n.homes, NewHome(sardine.NodeID(fmt.Sprint("home", i%5)), 1))
			n.alive = append(n.alive, true)
			n.died = append(n.died, 0)
			n.started = append(n.started, 1)
		}
		n.homes = n.homes[:5]
		n.leader.Lead(0, 1)
		for now := sardine.Millis(0); now < 200*sardine.Second; now += 50 {
			if now%100 == 0 {
				n.fault(now)
			}
			n.step(now)
			for i, alive := range n.alive {
				if now < max(n.died[i], n.ledAt)+bound {
					continue
				}
				target, known := n.machine.Target(sardine.VMID(fmt.Sprint(i)))
				require.Equal(t, alive, known, "seed %d target %d at %d", seed, i, now)
				require.True(t, !known || target.Incarnation == n.started[i])
			}
		}
	}
}

// TestHomeReportsInFullAfterPartition partitions a home for longer than the
// lease, so that the leader drops its targets, and reconnects the same
// incarnation.
func TestHomeReportsInFullAfterPartition(t *testing.T) {
	l := NewLeader(WithGrace(0))
	m := state.NewMachine()
	l.Lead(0, 1)
	h := NewHome("entry-1", 1)
	require.NoError(t, h.Announce(0, announcement("vm-1", 1)))
	r, _ := h.Report(0)
	h.Acknowledge(l.Merge(0, r))
	back := 2 * DefaultLease
	l.Commands(back, m)
	_, live := l.Live(back, "vm-1")
	require.False(t, live)
	require.NoError(t, h.Announce(back, announcement("vm-1", 1)))
	h.Acknowledge(l.RecordContact(back, "entry-1", 1))
	r, changed := h.Report(back)
	require.True(t, changed && r.Full, "the home repeats what the leader dropped")
	require.False(t, l.Merge(back, r).WantFull)
	_, live = l.Live(back, "vm-1")
	require.True(t, live)
}

// TestReportFromBeforeLeaveNoticeKeepsTargetLeaving covers a home that reports,
// after the target was dropped, an announcement which it received before the
// target announced that it leaves. The target must not get requests again because
// of that.
func TestReportFromBeforeLeaveNoticeKeepsTargetLeaving(t *testing.T) {
	l, m := NewLeader(), state.NewMachine()
	index := uint64(0)
	apply := func(commands ...state.Command) {
		for _, c := range commands {
			index++
			m.Apply(index, 1, c)
		}
	}
	reportTarget := func(now sardine.Millis, home sardine.NodeID, age sardine.Millis) {
		l.Merge(now, Report{Home: home, Incarnation: 1, Sequence: 1, Full: true, Statuses: []Status{{Announcement: announcement("a", 7), Age: age}}})
		apply(l.Commands(now, m)...)
	}
	l.Lead(0, 1)
	l.SetSettleTime(0)
	reportTarget(1000, "one", 0)
	known, listed := m.Target("a")
	require.True(t, listed)
	require.False(t, known.Leaving)
	apply(state.TargetLeaving{VM: "a", Incarnation: 7})
	l.Merge(3000, Report{Home: "one", Incarnation: 1, Sequence: 2, Lost: []Ref{{VM: "a", Incarnation: 7}}})
	apply(l.Commands(3000, m)...)
	_, listed = m.Target("a")
	require.False(t, listed, "the log drops it")
	reportTarget(3500, "two", 2000)
	known, listed = m.Target("a")
	require.True(t, listed)
	require.True(t, known.Leaving)
}
