package claim

import (
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

const seeds = 300

func check(s *sim) bool {
	return len(s.violations) == 0 && porcupine.CheckEvents(model, s.history)
}

// TestRunsAtMostOnceWithOneAnswer runs simulations in which nodes may crash or
// pause before each action. In half of them the log's clock jumps past the
// retention of claims.
func TestRunsAtMostOnceWithOneAnswer(t *testing.T) {
	answered := 0
	for seed := range uint64(seeds) {
		s := newSim(seed, hooks{})
		s.run(12000, state.WallTime(seed%2)*(state.ClaimRetention+1))
		require.Empty(t, s.violations, "seed %d", seed)
		require.True(t, porcupine.CheckEvents(model, s.history), "seed %d", seed)
		answered += s.answered
		for _, n := range s.nodes {
			if n.up {
				require.Zero(t, n.coordinator.KeyCount(), "seed %d: every key is settled", seed)
				require.Empty(t, n.coordinator.requests)
			}
		}
	}
	require.Greater(t, answered, seeds*50, "too few requests were answered")
}

// TestInjectedDefectsAreDetected verifies that the checks of the simulation
// detect each defect.
func TestInjectedDefectsAreDetected(t *testing.T) {
	defects := map[string]func(uint64) *sim{
		"dispatch before the claim": func(seed uint64) *sim { return newSim(seed, hooks{dispatchBeforeClaim: true}) },
		"unknown taken for not run": func(seed uint64) *sim { return newSim(seed, hooks{retryUnknown: true}) },
		"log ignores attempts": func(seed uint64) *sim {
			s := newSim(seed, hooks{})
			s.noAttempts = true
			return s
		},
	}
	for name, build := range defects {
		detected := false
		for seed := uint64(0); seed < 400 && !detected; seed++ {
			s := build(seed)
			s.run(12000, 0)
			detected = !check(s)
		}
		require.True(t, detected, name)
	}
}

func newCoordinator() *Coordinator {
	return New("e", 1, rand.New(rand.NewPCG(1, 1)))
}

func TestConcurrentResendsShareTheAnswer(t *testing.T) {
	k := newCoordinator()
	key := Key{Workspace: "w", Key: "k"}
	first := k.Offer(0, 1, key, []byte("a"), 1000)
	require.Len(t, first, 1)
	require.Empty(t, k.Offer(0, 2, key, []byte("a"), 1000))
	dispatched := k.Proposed(5, first[0].(Propose).ID, state.Result{Verdict: state.ClaimGranted}, nil)
	require.Equal(t, Dispatch{Key: key, Attempt: 1, Request: 1}, dispatched[0])
	require.Empty(t, k.Offer(6, 3, key, []byte("a"), 1000))
	answer := state.Answer{Status: 200, Body: []byte("x")}
	actions, err := k.Ended(1, Outcome{Ran: sardine.RanYes, Answer: answer})
	require.NoError(t, err)
	require.Equal(t, []Action{Reply{1, answer}, Reply{2, answer}, Reply{3, answer}}, actions[:3])
	require.IsType(t, state.FinishClaim{}, actions[3].(Propose).Command)
	require.Equal(t, []Action{Reply{4, answer}}, k.Offer(7, 4, key, []byte("a"), 1000))
	_, err = k.Ended(1, Outcome{})
	require.Equal(t, codes.InvariantBroken, codes.Of(err))
}

func TestVerdictsMapToRefusals(t *testing.T) {
	cases := []struct {
		result state.Result
		want   Refuse
	}{
		{state.Result{Verdict: state.ClaimReused}, Refuse{1, codes.KeyReused, sardine.RanNo}},
		{state.Result{Verdict: state.ClaimExpired}, Refuse{1, codes.KeyExpired, sardine.RanUnknown}},
		{state.Result{Verdict: state.ClaimOutcomeUnknown}, Refuse{1, codes.OutcomeUnknown, sardine.RanUnknown}},
		{state.Result{Err: codes.New(codes.Superseded, "gone")}, Refuse{1, codes.Superseded, sardine.RanNo}},
	}
	for _, c := range cases {
		k := newCoordinator()
		p := k.Offer(0, 1, Key{Key: "k"}, []byte("a"), 1000)[0].(Propose)
		require.Equal(t, []Action{c.want}, k.Proposed(1, p.ID, c.result, nil))
		require.Zero(t, k.KeyCount())
	}
}
