package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/state"
)

// Retry limit of the simulated site, and its timing.
const (
	simRetryRatio     = 0.2
	simWindow         = 10 * sardine.Second
	simStep           = sardine.Millis(10)
	simService        = sardine.ServiceName("s")
	maxPollInterval   = 700                 // maximum time between two polls of the log, in ms
	maxJoinDelay      = 4000                // maximum time from a start until the join is in the log, in ms
	maxDowntime       = 2000                // maximum time until a killed process is back, in ms
	maxDisconnection  = 40000               // maximum time without access to the log, in ms
	maxLongAbsence    = 200000              // maximum absence of a machine that is stopped for long, in ms
	removeAfter       = 64 * sardine.Second // until the leader removes a silent entry node
	warmUp            = 5 * sardine.Second  // before the first caller
	failurePeriod     = 40                  // period of target failures, in s
	healthyPart       = 10                  // part of it before targets fail, in s, after the warm-up
	maxAge            = 2500                // maximum age of the state that a node follows, in ms
	lostLeaveInterval = 5                   // one in this many deregistrations does not reach the log
	maxAttempts       = 3
)

// simNode is a machine with an entry node whose process may be down.
type simNode struct {
	name        sardine.NodeID
	incarnation sardine.Incarnation
	limit       *retryLimit // nil while the process is down
	startedAt   sardine.Millis
	restartAt   sardine.Millis // when the process restarts, 0 for never
	joinAt      sardine.Millis // when its join is committed, 0 once it is
	pollAt      sardine.Millis // next poll of the log
	following   bool           // has followed the log
	silentSince sardine.Millis
}

// simSite is a site in virtual time: its log, its machines, and the requests
// of callers.
type simSite struct {
	random  *rand.Rand
	now     sardine.Millis
	machine *state.Machine
	index   uint64
	nodes   []*simNode
	slack   float64
	firsts  []sardine.Millis
	retries []sardine.Millis
}

func newSimSite(seed uint64, nodes int, slack float64) *simSite {
	s := &simSite{random: rand.New(rand.NewPCG(seed, 1)), machine: state.NewMachine(), slack: slack}
	for range nodes {
		s.add()
	}
	return s
}

func (s *simSite) apply(c state.Command) {
	s.index++
	s.machine.Apply(s.index, state.WallTime(s.now+1), c)
}

func (s *simSite) randomUpTo(maximum int) sardine.Millis {
	return sardine.Millis(s.random.IntN(maximum) + 1)
}

// add starts a new machine.
func (s *simSite) add() {
	n := &simNode{name: sardine.NodeID(fmt.Sprintf("e%d", len(s.nodes)))}
	s.nodes = append(s.nodes, n)
	s.start(n)
}

func (s *simSite) start(n *simNode) {
	n.incarnation++
	n.limit = newRetryLimit(n.incarnation, s.now, retry.NewWindow(simRetryRatio, s.slack, simWindow))
	n.startedAt, n.restartAt, n.following = s.now, 0, false
	n.joinAt, n.pollAt = s.now+s.randomUpTo(maxJoinDelay), s.now+s.randomUpTo(maxPollInterval)
}

// terminate ends the process. It restarts after at most the given time.
func (s *simSite) terminate(n *simNode, maximum int) {
	n.limit, n.joinAt, n.silentSince = nil, 0, s.now
	n.restartAt = s.now + s.randomUpTo(maximum)
}

// stop shuts the process down gracefully.
func (s *simSite) stop(n *simNode, maximum int) {
	if n.joinAt == 0 && s.random.IntN(lostLeaveInterval) > 0 {
		s.apply(state.LeaveEntry{Node: n.name, Incarnation: n.incarnation, Spent: n.limit.close(s.now)})
	}
	s.terminate(n, maximum)
}

// poll lets a node follow the log.
func (s *simSite) poll(n *simNode) {
	n.pollAt = s.now + s.randomUpTo(maxPollInterval)
	n.following = true
	v, _ := newView(s.machine, n.name, nil, nil)
	n.limit.applyView(s.now, v)
	n.limit.confirmed(s.now - s.randomUpTo(maxAge))
}

// tick advances all processes to the current time.
func (s *simSite) tick() {
	for _, n := range s.nodes {
		if n.limit == nil {
			if n.restartAt != 0 && s.now >= n.restartAt {
				s.start(n)
			}
			if e, known := s.machine.Entry(n.name); known && n.limit == nil && s.now >= n.silentSince+removeAfter {
				s.apply(state.LeaveEntry{Node: n.name, Incarnation: e.Incarnation})
			}
			continue
		}
		if s.now < n.pollAt {
			continue
		}
		if n.joinAt != 0 && s.now >= n.joinAt {
			n.joinAt = 0
			s.apply(state.JoinEntry{Node: n.name, Incarnation: n.incarnation, Address: "10.0.0.1:" + string(n.name)})
		}
		s.poll(n)
	}
}

// call simulates a caller's request whose attempts fail with the given
// probability.
func (s *simSite) call(failing float64) {
	s.firsts = append(s.firsts, s.now)
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if n.limit == nil || !n.following {
		return // the caller gets a connection error or 503
	}
	n.limit.countFirst(s.now, simService)
	for attempt := 1; attempt < maxAttempts && s.random.Float64() < failing && n.limit.take(s.now, simService); attempt++ {
		s.retries = append(s.retries, s.now)
	}
}

// disruptionKinds are the kinds of faults of a machine.
var disruptionKinds = []string{"kill", "roll", "join", "stay_away", "cut"}

// disrupt applies a disruption to a random machine.
func (s *simSite) disrupt(what string) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch {
	case what == "join":
		s.add()
	case n.limit == nil:
	case what == "kill":
		s.terminate(n, maxDowntime)
	case what == "roll":
		s.stop(n, maxDowntime)
	case what == "stay_away":
		s.stop(n, maxLongAbsence)
	case what == "cut":
		n.pollAt = s.now + s.randomUpTo(maxDisconnection)
	}
}

// play runs the simulation. disruptions are average rates per second; callers
// come in bursts, and targets fail from time to time.
func (s *simSite) play(seconds int, rate, failing float64, disruptions map[string]float64) {
	for s.now = 0; s.now < warmUp; s.now += simStep {
		s.tick()
	}
	s.apply(state.OpenTraffic{})
	for ; s.now < warmUp+sardine.Millis(seconds)*sardine.Second; s.now += simStep {
		s.tick()
		for _, what := range disruptionKinds {
			if s.random.Float64() < disruptions[what]*float64(simStep)/1000 {
				s.disrupt(what)
			}
		}
		burst, failureRate := 1.0, failing
		if s.now/1000%15 < 9 {
			burst = 1.6
		}
		if s.now/1000%failurePeriod < warmUp/1000+healthyPart {
			failureRate = 0
		}
		for due := rate * burst * float64(simStep) / 1000; due > 0; due-- {
			if s.random.Float64() < due {
				s.call(failureRate)
			}
		}
	}
}

// worst returns the window in which the limit is exceeded most, or is closest
// to it. Each window is compared with the most requests in the window itself,
// in the one before, or in the one half a window earlier.
func (s *simSite) worst() (from sardine.Millis, retries int, allowed float64) {
	excess := -1e9
	for at := sardine.Millis(0); at < s.now; at += 250 {
		sent := inSpan(s.retries, at)
		requests := max(inSpan(s.firsts, at), inSpan(s.firsts, at-simWindow/2), inSpan(s.firsts, at-simWindow))
		bound := simRetryRatio*float64(requests) + s.slack
		if float64(sent)-bound > excess && sent > 0 {
			excess = float64(sent) - bound
			from, retries, allowed = at, sent, bound
		}
	}
	return from, retries, allowed
}

func inSpan(all []sardine.Millis, from sardine.Millis) int {
	count := 0
	for _, at := range all {
		if at >= from && at < from+simWindow {
			count++
		}
	}
	return count
}

// Guards against retries beyond the site's limit: nodes that were killed,
// stopped, added or cut off got their part of the allowance again.
func TestRestartedNodesDoNotReuseRetryAllowance(t *testing.T) {
	datadriven.RunTest(t, "testdata/slack", func(t *testing.T, d *datadriven.TestData) string {
		var nodes, seeds, seconds, percent int
		var rate, slack int
		d.ScanArgs(t, "nodes", &nodes)
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "failing_percent", &percent)
		d.ScanArgs(t, "slack", &slack)
		d.ScanArgs(t, "seeds", &seeds)
		d.ScanArgs(t, "seconds", &seconds)
		disruptions := make(map[string]float64)
		for _, what := range disruptionKinds {
			if d.HasArg(what) {
				var hundredths int
				d.ScanArgs(t, what, &hundredths)
				disruptions[what] = float64(hundredths) / 100
			}
		}
		for seed := range uint64(seeds) {
			s := newSimSite(seed, nodes, float64(slack))
			s.play(seconds, float64(rate), float64(percent)/100, disruptions)
			if from, retries, allowed := s.worst(); float64(retries) > allowed {
				return fmt.Sprintf("seed %d: %d retries from %d ms, %.0f allowed\n", seed, retries, from, allowed)
			}
		}
		return "kept\n"
	})
}

// Guards against a limit that is kept by not using it: while all nodes stay up,
// failing targets use nearly all of it.
func TestRetryLimitIsUsed(t *testing.T) {
	for _, rate := range []float64{30, 160} {
		s := newSimSite(1, 9, 136)
		s.play(60, rate, 0.9, nil)
		_, retries, allowed := s.worst()
		require.GreaterOrEqual(t, float64(retries), 0.9*allowed, "%v requests a second", rate)
	}
}
