package plan

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/state"
)

// TestNewLeaderKeepsRequestsOfDrainedGroups guards against requests that are cut off
// because a new leader releases or re-forms a group that an earlier leader was draining,
// and against groups that are then drained for ever.
func TestNewLeaderKeepsRequestsOfDrainedGroups(t *testing.T) {
	datadriven.Walk(t, "testdata/succession", func(t *testing.T, file string) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			require.Equal(t, "play", d.Cmd)
			s := newSuccession()
			var b strings.Builder
			for line := range strings.Lines(d.Input) {
				if shown := s.step(t, strings.Fields(line)); shown != "" {
					fmt.Fprintf(&b, "%s: %s\n", strings.TrimSpace(line), shown)
				}
			}
			return b.String()
		})
	})
}

// succession is a group of two members, and a free VM, over several leaders.
type succession struct {
	planner *Planner
	machine *state.Machine
	live    successionFleet
	teams   []sardine.TeamSettings
}

func newSuccession() *succession {
	s := &succession{
		planner: New(),
		machine: state.NewMachine(),
		live:    successionFleet{seen: make(map[sardine.VMID]bool), inFlight: -1},
		teams: []sardine.TeamSettings{{Team: "t", Deployments: []sardine.Deployment{{
			Name: "s", Kind: sardine.KindEngine, Model: "m", ModelVersion: "1", GroupSize: 2, Groups: 1,
		}}}},
	}
	s.live.machine = s.machine
	for _, vm := range []sardine.VMID{"a", "b", "free"} {
		s.apply(state.TargetUp{Target: successionTarget(vm)})
	}
	members := []sardine.Member{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1, Rank: 1}}
	s.apply(state.AssignGroup{Group: sardine.Group{ID: "g", Team: "t", Service: "s", Model: "m", Version: "1", Domain: "d", Members: members}})
	s.live.epoch = s.group().Epoch
	s.apply(state.MoveGroup{Group: "g", Epoch: s.live.epoch, State: sardine.GroupServing})
	return s
}

func successionTarget(vm sardine.VMID) state.Target {
	return state.Target{VM: vm, Incarnation: 1, Kind: sardine.KindEngine, Domain: "d", Accelerators: 1, ChecksEpoch: true}
}

func (s *succession) group() sardine.Group {
	g, _ := s.machine.Group("g")
	return g
}

func (s *succession) apply(c state.Command) {
	s.machine.Apply(s.machine.Index()+1, 0, c)
}

// step runs one line of a script and returns what a round shows, "" for other lines.
func (s *succession) step(t *testing.T, words []string) string {
	switch words[0] {
	case "earlier_leader_drains":
		s.apply(state.MoveGroup{Group: "g", Epoch: s.live.epoch, State: sardine.GroupDegraded})
	case "deployment_removed":
		s.teams[0].Deployments = nil
	case "version_changed":
		s.teams[0].Deployments[0].ModelVersion = "2"
	case "leaves":
		s.apply(state.TargetLeaving{VM: sardine.VMID(words[1]), Incarnation: 1})
	case "lost":
		s.apply(state.TargetDown{VM: sardine.VMID(words[1]), Incarnation: 1})
	case "seen":
		for _, vm := range words[1:] {
			s.live.seen[sardine.VMID(vm)] = true
		}
	case "in_flight":
		_, err := fmt.Sscan(words[1], &s.live.inFlight)
		require.NoError(t, err)
	case "entries_missing":
		s.live.missing = words[1] == "yes"
	case "lead":
		s.live.settled = false
		s.live.seen = make(map[sardine.VMID]bool)
		s.planner.Lead(millisOf(t, words[1]), 2, s.machine)
	case "settled":
		s.live.settled = true
	case "round":
		return s.round(t, millisOf(t, words[1]))
	default:
		t.Fatalf("unknown step %s", words[0])
	}
	return ""
}

func millisOf(t *testing.T, word string) (m sardine.Millis) {
	_, err := fmt.Sscan(word, &m)
	require.NoError(t, err)
	return m
}

// round plans once, applies the commands and returns what happens to the group.
func (s *succession) round(t *testing.T, now sardine.Millis) string {
	out, err := s.planner.Round(now, s.machine, s.live, s.teams)
	require.NoError(t, err)
	for _, c := range out.Commands {
		s.apply(c)
		s.planner.Proposed(now, c, state.Result{})
	}
	what := s.group().State.String()
	if s.group().Epoch != s.live.epoch {
		what += " under a new epoch"
	}
	for _, o := range out.Orders {
		if o.Order.Release {
			what += ", " + string(o.VM) + " is released"
		}
	}
	return what
}

// successionFleet shows the VMs that have announced themselves since the election.
type successionFleet struct {
	machine  *state.Machine
	epoch    sardine.Epoch
	seen     map[sardine.VMID]bool
	settled  bool
	inFlight int // negative if no entry node has reported on the group
	missing  bool
}

// Live implements Fleet.
func (f successionFleet) Live(vm sardine.VMID) (fleet.Status, bool) {
	if !f.seen[vm] {
		return fleet.Status{}, false
	}
	a := sardine.Announcement{VM: vm, Incarnation: 1, Kind: sardine.KindEngine, Domain: "d"}
	if g, _ := f.machine.Group("g"); len(g.Members) > 0 && (vm == "a" || vm == "b") {
		a.CurrentOrder = sardine.CurrentOrder{Group: "g", Epoch: f.epoch, Model: "m", Version: "1", State: sardine.MemberReady}
	}
	return fleet.Status{Announcement: a}, true
}

// Settled implements Fleet.
func (f successionFleet) Settled() bool {
	return f.settled
}

// GroupInFlight returns the requests that entry nodes have reported.
func (f successionFleet) GroupInFlight(sardine.GroupID, sardine.Epoch) (count int, known bool) {
	return max(f.inFlight, 0), f.inFlight >= 0
}

// EntriesMissing reports whether some entry node has not reported.
func (f successionFleet) EntriesMissing() bool {
	return f.missing
}
