package guard

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

const nodes = 4

// sim runs the guards of several entry nodes on one log, which each node applies
// with a random delay. Time passes in steps of 10 ms.
type sim struct {
	random    *rand.Rand
	now       sardine.Millis
	log       []state.Command
	leader    *state.Machine
	views     []*state.Machine
	guards    []*Guard
	due       map[sardine.Millis][]func()
	crashed   map[Fingerprint]map[sardine.GroupID]bool
	replies   map[claim.RequestID]codes.Code
	last      claim.RequestID
	sameGroup bool // all nodes send the copies of a fingerprint without strikes to one group
}

func newSim(seed uint64, h hooks) *sim {
	w := &sim{
		random: rand.New(rand.NewPCG(seed, 5)), leader: state.NewMachine(), due: map[sardine.Millis][]func(){},
		crashed: map[Fingerprint]map[sardine.GroupID]bool{}, replies: map[claim.RequestID]codes.Code{},
	}
	for i := range nodes {
		id := sardine.NodeID(fmt.Sprint("e", i))
		w.apply(state.JoinEntry{Node: id, Incarnation: 1})
		view := state.NewMachine()
		w.views = append(w.views, view)
		g := New(id, 1, view, w.random)
		g.options.hooks = h
		w.guards = append(w.guards, g)
	}
	return w
}

func (w *sim) apply(c state.Command) state.Result {
	w.log = append(w.log, c)
	return w.leader.Apply(uint64(len(w.log)), state.WallTime(w.now), c)
}

func (w *sim) after(low, high int, run func()) {
	at := w.now + 10*sardine.Millis(1+low+w.random.IntN(high-low+1))
	w.due[at] = append(w.due[at], run)
}

// step advances the time by 10 ms; random nodes catch up with the log.
func (w *sim) step() {
	w.now += 10
	for _, run := range w.due[w.now] {
		run()
	}
	delete(w.due, w.now)
	for i, view := range w.views {
		if w.random.IntN(8) == 0 {
			w.catchUp(view)
		}
		w.perform(i, w.guards[i].Tick(w.now))
	}
}

func (w *sim) catchUp(view *state.Machine) {
	for k := view.Index(); k < uint64(len(w.log)); k++ {
		if state.SentToEntries(w.log[k]) {
			view.Apply(k+1, state.WallTime(w.now), w.log[k])
		}
		view.Skip(k + 1)
	}
}

func (w *sim) perform(node int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			w.dispatch(node, a)
		case Refuse:
			w.replies[a.Request] = a.Code
		case Propose:
			w.propose(node, a)
		case StrikeCommitted:
			w.answerWhenApplied(a)
		}
	}
}

func (w *sim) propose(node int, p Propose) {
	g := w.guards[node]
	if w.random.IntN(10) == 0 {
		w.after(20, 20, func() { w.perform(node, g.Proposed(w.now, p.ID, state.Result{}, errors.New("lost"))) })
		return
	}
	w.after(0, 3, func() {
		r := w.apply(p.Command)
		w.after(0, 3, func() { w.perform(node, g.Proposed(w.now, p.ID, r, nil)) })
	})
}

// answerWhenApplied answers the request once every node has applied the strike.
func (w *sim) answerWhenApplied(s StrikeCommitted) {
	for _, view := range w.views {
		if view.Index() < s.Index {
			w.after(0, 0, func() { w.answerWhenApplied(s) })
			return
		}
	}
	w.replies[s.Request] = codes.TargetFailed
}

func (w *sim) dispatch(node int, a Run) {
	f := w.guards[node].requests[a.Request].fingerprint
	group := a.Prefer
	for i := 0; group == "" || contains(a.Avoid, group); i++ {
		k := int(f[0]) + i
		if !w.sameGroup || len(a.Avoid) > 0 {
			k += w.random.IntN(6)
		}
		group = sardine.GroupID(fmt.Sprint("g", k%6))
	}
	w.guards[node].Dispatched(a.Request, group)
	w.after(1, 20, func() {
		end := DispatchResult{Group: group, Epoch: 1, Outcome: OutcomeCompleted}
		if f[1] == 0 { // a poison request
			end.Outcome = OutcomeCrashed
			if w.crashed[f] == nil {
				w.crashed[f] = map[sardine.GroupID]bool{}
			}
			w.crashed[f][group] = true
		}
		if end.Outcome == OutcomeCompleted {
			w.replies[a.Request] = codes.OK
		}
		w.perform(node, w.guards[node].Ended(w.now, a.Request, end))
	})
}

func contains(groups []sardine.GroupID, g sardine.GroupID) bool {
	for _, o := range groups {
		if o == g {
			return true
		}
	}
	return false
}

func (w *sim) offer(f Fingerprint) claim.RequestID {
	w.last++
	node := w.random.IntN(nodes)
	w.perform(node, w.guards[node].Offer(w.now, w.last, f, w.now+5000))
	return w.last
}

// resend sends a poison request eight times through random nodes, each time
// after the answer, and returns the number of groups that it crashed.
func (w *sim) resend(f Fingerprint, copies int) int {
	for range 8 {
		var ids []claim.RequestID
		for range copies {
			ids = append(ids, w.offer(f))
		}
		for steps := 0; steps < 3000; steps++ {
			w.step()
			if w.allAnswered(ids) {
				break
			}
		}
	}
	return len(w.crashed[f])
}

func (w *sim) allAnswered(ids []claim.RequestID) bool {
	for _, id := range ids {
		if _, answered := w.replies[id]; !answered {
			return false
		}
	}
	return true
}

// TestPoisonRequestCrashesAtMostTwoGroups resends through nodes that apply the
// log late. Concurrent copies go to one group, as package route places them.
func TestPoisonRequestCrashesAtMostTwoGroups(t *testing.T) {
	for seed := range uint64(60) {
		for _, copies := range []int{1, 3} {
			w := newSim(seed, hooks{})
			w.sameGroup = copies > 1
			f := Fingerprint{byte(seed), 0}
			require.LessOrEqual(t, w.resend(f, copies), 2, "seed %d copies %d", seed, copies)
			id := w.offer(f)
			for range 600 {
				w.step()
			}
			require.Equal(t, codes.PoisonRequest, w.replies[id], "seed %d copies %d", seed, copies)
			w.checkEmpty(t)
		}
	}
}

func (w *sim) checkEmpty(t *testing.T) {
	for _, g := range w.guards {
		require.Empty(t, g.requests)
		require.Empty(t, g.copies)
		require.Empty(t, g.strikes)
		require.Empty(t, g.awaitingIndex)
	}
}

// TestHarmlessRequestLosesItsStrike gives a strike to a harmless request, as if
// it had shared a group with a poison request: it runs again and loses the
// strike.
func TestHarmlessRequestLosesItsStrike(t *testing.T) {
	w := newSim(1, hooks{})
	f := Fingerprint{1, 1}
	w.apply(state.Strike{Fingerprint: f[:], Failure: state.TargetFailure{Group: "g5"}})
	for _, view := range w.views {
		w.catchUp(view)
	}
	ids := []claim.RequestID{w.offer(f), w.offer(f), w.offer(f)}
	for range 600 {
		w.step()
	}
	for _, id := range ids {
		require.Equal(t, codes.OK, w.replies[id])
	}
	require.Empty(t, w.leader.StrikeGroups(f[:]))
	w.checkEmpty(t)
}

func TestInjectedDefectsAreDetected(t *testing.T) {
	for name, h := range map[string]hooks{
		"no strikes":        {noStrikes: true},
		"no permits":        {noPermits: true},
		"permit not waited": {ignoreIndex: true},
	} {
		detected := false
		for seed := uint64(0); seed < 200 && !detected; seed++ {
			w := newSim(seed, h)
			w.sameGroup = seed%2 == 0
			copies := 1 + 2*int(1-seed%2)
			detected = w.resend(Fingerprint{byte(seed), 0}, copies) > 2
		}
		require.True(t, detected, name)
	}
}
