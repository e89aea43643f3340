package state

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

func fullGroup() sardine.Group {
	return sardine.Group{
		ID: "g1", Epoch: 7, Team: "adinkra", Service: "surtitles", Model: "twi", Version: "3", Domain: "rack1",
		Members: []sardine.Member{{VM: "vm1", Incarnation: 2, Rank: 1, Address: "10.0.0.1:80"}},
		State:   sardine.GroupServing,
	}
}

func fullTarget() Target {
	return Target{
		VM: "vm1", Incarnation: 2, Kind: sardine.KindEngine, Address: "10.0.0.1:80", DataCentre: "osu", Domain: "rack1",
		Accelerators: 4, Service: "app", Loadable: []sardine.ModelName{"twi", "ga"}, ChecksEpoch: true, Leaving: true,
	}
}

// allCommands returns one command of each type with every field set.
func allCommands() []Command {
	fingerprint := []byte{1, 2, 3}
	return []Command{
		JoinEntry{Node: "e1", Incarnation: 3, Address: "10.0.0.9:70", DataCentre: "tema"},
		LeaveEntry{Node: "e1", Incarnation: 3, Spent: SpentRetries{Known: true, Services: []ServiceRetries{{Service: "app", Spent: []uint32{1, 2}}}}},
		ChangeSettings{Team: "adinkra", Base: 4, ChangeID: "c1", Document: "x = 1\n", Author: "ama", Path: "/teams/adinkra"},
		TargetUp{Target: fullTarget()},
		TargetDown{VM: "vm1", Incarnation: 2},
		TargetLeaving{VM: "vm1", Incarnation: 2},
		AssignGroup{Group: fullGroup()},
		MoveGroup{Group: "g1", Epoch: 7, State: sardine.GroupFenced},
		FreeMember{VM: "vm1", Group: "g1", Epoch: 7},
		ClaimKey{Workspace: "box-office", Key: "k", Fingerprint: fingerprint, Node: "e1", Incarnation: 3, Attempt: 4},
		FinishClaim{Workspace: "box-office", Key: "k", Node: "e1", Incarnation: 3, Attempt: 4, Ran: sardine.RanYes, Answer: Answer{Status: 200, ContentType: "text/plain", Body: []byte("ok")}},
		DropClaim{Workspace: "box-office", Key: "k", Node: "e1", Incarnation: 3, Attempt: 4},
		Strike{Fingerprint: fingerprint, Failure: TargetFailure{Group: "g1", Epoch: 7, VM: "vm1", Incarnation: 2}, Limit: 3, Doubtful: true},
		ReleasePoison{Fingerprint: fingerprint},
		PutToken{Token: Token{Hash: fingerprint, Scope: "operator", Name: "ama", Expires: 99}},
		DropToken{Hash: fingerprint},
		PutLayout{Number: 7, Packed: []byte{1}},
		OpenTraffic{},
	}
}

func TestCommandsRoundTripThroughCodec(t *testing.T) {
	for _, c := range allCommands() {
		if v := reflect.ValueOf(c); v.NumField() > 0 {
			requireNoZero(t, v, fmt.Sprintf("%T", c))
		}
		b, err := EncodeCommand(1234, c)
		require.NoError(t, err)
		at, back, err := DecodeCommand(b)
		require.NoError(t, err)
		require.EqualValues(t, 1234, at)
		require.Equal(t, c, back)
	}
}

// requireNoZero fails for a field that allCommands leaves unset: the test would not
// notice that the codec omits such a field.
func requireNoZero(t *testing.T, v reflect.Value, name string) {
	require.False(t, v.IsZero(), name)
	if v.Kind() == reflect.Struct {
		for i := range v.NumField() {
			requireNoZero(t, v.Field(i), name+"."+v.Type().Field(i).Name)
		}
	}
}

func TestUnknownCommandIsRefused(t *testing.T) {
	_, _, err := FromWire(&wire.Command{At: 1})
	require.Equal(t, codes.FormatVersion, codes.Of(err))
	_, _, err = DecodeCommand([]byte{0xff})
	require.Equal(t, codes.LogDamaged, codes.Of(err))
	_, err = RestoreMachine(nil)
	require.Equal(t, codes.FormatVersion, codes.Of(err))
}

// randomCommand returns a command with names from small sets, so that commands often
// concern the same node, target or key.
func randomCommand(r *rand.Rand) Command {
	node := sardine.NodeID(fmt.Sprintf("e%d", r.IntN(3)))
	number := r.IntN(20)
	key := fmt.Sprintf("k%d", number)
	incarnation := sardine.Incarnation(r.IntN(2) + 1)
	fingerprint := []byte{byte(r.IntN(4))}
	target := fullTarget()
	target.VM = sardine.VMID(fmt.Sprintf("vm%d", r.IntN(4)))
	group := fullGroup()
	group.ID = sardine.GroupID(fmt.Sprintf("g%d", r.IntN(3)))
	group.Members[0].VM = target.VM
	all := []Command{
		JoinEntry{Node: node, Incarnation: incarnation, Address: "a", DataCentre: "osu"},
		LeaveEntry{Node: node, Incarnation: incarnation},
		ChangeSettings{Team: "adinkra", Base: sardine.Version(r.IntN(6)), ChangeID: key, Document: key},
		TargetUp{Target: target},
		TargetDown{VM: target.VM, Incarnation: 2},
		AssignGroup{Group: group},
		MoveGroup{Group: group.ID, Epoch: sardine.Epoch(r.IntN(100)), State: sardine.GroupServing},
		ClaimKey{Workspace: "w", Key: key, Fingerprint: []byte("f"), Node: node, Incarnation: incarnation},
		FinishClaim{Workspace: "w", Key: key, Node: node, Incarnation: incarnation, Ran: sardine.RanYes, Answer: Answer{Status: 200}},
		DropClaim{Workspace: "w", Key: key, Node: node, Incarnation: incarnation},
		Strike{Fingerprint: fingerprint, Failure: TargetFailure{Group: group.ID, Epoch: sardine.Epoch(number % 5)}, Limit: number % 2 * 3, Doubtful: number%7 < 3},
		PutToken{Token: Token{Hash: fingerprint, Scope: "operator"}},
		DropToken{Hash: fingerprint},
	}
	return all[r.IntN(len(all))]
}

// TestRestoredMachineAppliesIdentically checks that a machine restored from a
// snapshot at any point applies later commands exactly as the original machine does,
// also while claims, tombstones and strikes expire.
func TestRestoredMachineAppliesIdentically(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		m, other := NewMachine(), NewMachine()
		at := WallTime(1)
		for i := uint64(1); i <= 600; i++ {
			at += WallTime(r.Int64N(int64(ClaimRetention / 20)))
			c := randomCommand(r)
			want := m.Apply(i, at, c)
			got := other.Apply(i, at, c)
			require.Equal(t, want.Verdict, got.Verdict)
			require.Equal(t, codes.Of(want.Err), codes.Of(got.Err))
			if r.IntN(40) == 0 {
				other = restored(t, m)
			}
		}
		require.Equal(t, snapshotOf(t, m), snapshotOf(t, other))
		require.NotEmpty(t, m.tombstones.timestamps)
	}
}

func snapshotOf(t *testing.T, m *Machine) []byte {
	b, err := m.Snapshot()
	require.NoError(t, err)
	return b
}

func restored(t *testing.T, m *Machine) *Machine {
	other, err := RestoreMachine(snapshotOf(t, m))
	require.NoError(t, err)
	require.Equal(t, snapshotOf(t, m), snapshotOf(t, other))
	return other
}

func TestEntrySnapshotOmitsClaims(t *testing.T) {
	m := NewMachine()
	for i, c := range allCommands()[:10] {
		m.Apply(uint64(i+1), 5, c)
	}
	m.Apply(20, 5, JoinEntry{Node: "e1", Incarnation: 3})
	m.Apply(21, 5, ChangeSettings{Team: "adinkra", ChangeID: "c1", Document: "one"})
	m.Apply(22, 5, ChangeSettings{Team: "adinkra", Base: 1, ChangeID: "c2", Document: "two"})
	m.Apply(23, 5, ClaimKey{Workspace: "w", Key: "k", Node: "e1", Incarnation: 3})
	require.Len(t, m.Claims(), 1)
	b, err := m.EntrySnapshot()
	require.NoError(t, err)
	entry, err := RestoreMachine(b)
	require.NoError(t, err)
	require.Empty(t, entry.Claims())
	require.EqualValues(t, 23, entry.Index())
	resend := ChangeSettings{Team: "adinkra", ChangeID: "c1", Document: "one"}
	require.True(t, m.Apply(24, 6, resend).Repeat)
	entry.Apply(24, 6, resend)
	current, _ := entry.Current("adinkra")
	require.Equal(t, "two", current.Document)
	require.EqualValues(t, 2, current.Version)
	m.DropHistory()
	require.Len(t, m.History("adinkra"), 1)
	m.Apply(25, 7, resend)
	require.EqualValues(t, 2, m.teams["adinkra"].version())
}

func TestDocumentsAreBounded(t *testing.T) {
	m := NewMachine()
	big := strings.Repeat("x", maxDocumentBytes/4)
	for i := range uint64(20) {
		m.Apply(i+1, 1, ChangeSettings{Team: "t", Base: sardine.Version(i), ChangeID: fmt.Sprint(i), Document: big})
	}
	require.Len(t, m.History("t"), 4)
	m.Apply(30, 1, ChangeSettings{Team: "t", Base: 20, ChangeID: "c", Document: big + big + big + big + big})
	require.Len(t, m.History("t"), 1)
}

func TestClaimsAreBounded(t *testing.T) {
	m := NewMachine()
	m.Apply(1, 1, JoinEntry{Node: "e1", Incarnation: 1})
	claim := ClaimKey{Workspace: "w", Fingerprint: []byte("f"), Node: "e1", Incarnation: 1}
	for i := range MaxClaims {
		claim.Key = fmt.Sprint(i)
		require.Equal(t, ClaimGranted, m.Apply(uint64(i+2), 1, claim).Verdict)
	}
	claim.Key = "more"
	require.Equal(t, codes.ClaimsFull, codes.Of(m.Apply(MaxClaims+2, 1, claim).Err))
	m.Apply(MaxClaims+3, 1, JoinEntry{Node: "e2", Incarnation: 1})
	other := claim // a claim by the same node would count as a resend
	other.Key = "0"
	other.Node = "e2"
	require.Equal(t, ClaimBusy, m.Apply(MaxClaims+4, 1, other).Verdict)
	m.Apply(MaxClaims+5, 1, DropClaim{Workspace: "w", Key: "0", Node: "e1", Incarnation: 1})
	claim.Key = "more"
	require.Equal(t, ClaimGranted, m.Apply(MaxClaims+6, 1, claim).Verdict)
	big := FinishClaim{Workspace: "w", Key: "more", Node: "e1", Incarnation: 1, Ran: sardine.RanYes, Answer: Answer{Body: make([]byte, MaxAnswerBytes+1)}}
	require.NoError(t, m.Apply(MaxClaims+7, 1, big).Err)
	require.Equal(t, ClaimOutcomeUnknown, m.Apply(MaxClaims+8, 1, claim).Verdict)
	m.Apply(MaxClaims+9, 1+ClaimRetention, LeaveEntry{Node: "e9"})
	require.Empty(t, m.claims)
	require.Zero(t, m.claimBytes)
	require.Equal(t, ClaimExpired, m.Apply(MaxClaims+10, 1+ClaimRetention, claim).Verdict)
}
