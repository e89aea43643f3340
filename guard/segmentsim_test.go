package guard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/state"
)

var (
	segmentSeed = flag.Uint64("segment-seed", 1, "first seed of TestSegmentRuns")
	segmentRuns = flag.Int("segment-runs", 30, "number of seeds of TestSegmentRuns")
)

// Properties of a simulated deployment.
const (
	simNodes       = 9
	simGroups      = 6
	simStep        = 10 * sardine.Millis(1)
	simLength      = 30 * sardine.Second
	simArrivals    = 1.2 // requests per step
	simFirsts      = 180 // first segments of prompts
	simFirstToken  = 300 * sardine.Millis(1)
	simAnswer      = 1500 * sardine.Millis(1)
	simRepair      = 2 * sardine.Second
	simHold        = 1400 * sardine.Millis(1)
	simCommit      = 20 * sardine.Millis(1) // until the log has a command
	simFollow      = 40 * sardine.Millis(1) // until the entry nodes have applied it
	simStableAfter = 3 * sardine.Second
	simJudgedAfter = 5 // failures under one segment
	simMaxLate     = 3 // of them later than simStableAfter after that
)

// simRequest is a request of the simulation.
type simRequest struct {
	node     int
	segments []Segment
	deadly   int // index of its deadly segment, -1 for none
	arrived  sardine.Millis
	sent     sardine.Millis // 0 while it waits
	proven   bool
	attempts int
}

// simGroup is a group of the simulation, out of service until upAt.
type simGroup struct {
	epoch   sardine.Epoch
	upAt    sardine.Millis
	running []*simRequest
}

// segmentSim plays requests, some with segments that crash their groups, in virtual
// time. Groups also fail together for another cause, and entry nodes restart.
type segmentSim struct {
	cluster *cluster
	random  *rand.Rand
	groups  [simGroups]simGroup
	waiting []*simRequest
	pending []simCommand
	crashes [2][]sardine.Millis // by deadly segment

	sound, refused, late int // sound requests; refused; refused long after the last failure
}

// simCommand is a command on its way to the log.
type simCommand struct {
	at     sardine.Millis
	commit func()
}

func newSegmentSim(seed uint64) *segmentSim {
	c := newCluster()
	c.now = 1000
	for i := 1; i <= simNodes; i++ {
		c.start(fmt.Sprintf("e%d", i))
	}
	return &segmentSim{cluster: c, random: rand.New(rand.NewPCG(seed, 43))}
}

func (s *segmentSim) node(i int) *entryNode {
	return s.cluster.nodes[fmt.Sprintf("e%d", i+1)]
}

// propose applies a command once the log has it.
func (s *segmentSim) propose(commit func()) {
	s.pending = append(s.pending, simCommand{at: s.cluster.now + simCommit, commit: commit})
}

// arrive adds a request. Popular first segments are in more requests than others.
func (s *segmentSim) arrive(shares [2]float64) {
	first := int(float64(simFirsts) * s.random.Float64() * s.random.Float64() * s.random.Float64())
	ids := fmt.Sprintf("first%d", first)
	r := &simRequest{node: s.random.IntN(simNodes), deadly: -1, arrived: s.cluster.now}
	for i, share := range shares {
		if s.random.Float64() < share {
			r.deadly = i
			ids += fmt.Sprintf(",deadly%d", i)
			break
		}
	}
	r.segments = segmentsOf(ids)
	if r.deadly < 0 {
		s.sound++
	}
	s.node(r.node).segments.Arrived(testService, r.segments)
	s.waiting = append(s.waiting, r)
}

// dispatch sends a waiting request if it may be sent, and reports whether it still waits.
func (s *segmentSim) dispatch(r *simRequest) (waits bool) {
	now, node := s.cluster.now, s.node(r.node)
	verdict, _, _ := strings.Cut(s.cluster.askSegments(fmt.Sprintf("e%d", r.node+1), node, r.segments), " ")
	switch verdict {
	case "allowed", "probe", "trial":
	case "refused":
		s.countRefusal(r)
		return false
	default:
		if now-r.arrived > simHold {
			s.countRefusal(r)
			return false
		}
		return true
	}
	up := []*simGroup{}
	for i := range s.groups {
		if s.groups[i].upAt <= now {
			up = append(up, &s.groups[i])
		}
	}
	if len(up) == 0 {
		return now-r.arrived <= simHold
	}
	g := up[s.random.IntN(len(up))]
	r.sent, r.attempts = now, r.attempts+1
	g.running = append(g.running, r)
	return false
}

func (s *segmentSim) countRefusal(r *simRequest) {
	if r.deadly >= 0 {
		return
	}
	s.refused++
	if s.cluster.now > s.lastCrash()+2*simStableAfter {
		s.late++
	}
}

func (s *segmentSim) lastCrash() sardine.Millis {
	last := sardine.Millis(0)
	for _, all := range s.crashes {
		if len(all) > 0 {
			last = max(last, all[len(all)-1])
		}
	}
	return last
}

// run advances the requests of a group. A deadly one crashes it with its first token.
func (s *segmentSim) run(i int) {
	g, now := &s.groups[i], s.cluster.now
	for _, r := range g.running {
		switch {
		case r.proven || now-r.sent < simFirstToken:
		case r.deadly >= 0:
			s.crashes[r.deadly] = append(s.crashes[r.deadly], now)
			s.fail(i)
			return
		default:
			r.proven = true
			node := s.node(r.node)
			for _, release := range node.segments.Proven(now, testService, r.segments) {
				s.propose(func() { node.segments.ReleaseCommitted(release, s.cluster.apply(release).Index) })
			}
		}
	}
	g.running = slices.DeleteFunc(g.running, func(r *simRequest) bool { return now-r.sent >= simAnswer })
}

// fail ends a group. Its requests that had not begun go on elsewhere, once.
func (s *segmentSim) fail(i int) {
	g, now := &s.groups[i], s.cluster.now
	failure := state.TargetFailure{Group: sardine.GroupID(fmt.Sprintf("g%d", i)), Epoch: g.epoch + 1}
	for _, r := range g.running {
		node := s.node(r.node)
		l := Loss{Service: testService, Segments: r.segments, Failure: failure, At: now}
		if r.proven {
			l.Events = ProvenEvents
		}
		for _, strike := range node.segments.CountLoss(now, l) {
			s.propose(func() { node.segments.StrikeCommitted(strike.Strike, s.cluster.apply(strike.Strike).Index) })
		}
		if !r.proven && r.attempts < 2 {
			s.waiting = append(s.waiting, r)
		}
	}
	s.groups[i] = simGroup{epoch: g.epoch + 1, upAt: now + simRepair}
}

// step advances the simulation.
func (s *segmentSim) step() {
	now := s.cluster.now
	s.pending = slices.DeleteFunc(s.pending, func(c simCommand) bool {
		if c.at <= now {
			c.commit()
		}
		return c.at <= now
	})
	if now%simFollow == 0 {
		s.cluster.apply(state.OpenTraffic{}) // other entries let the log's time advance
		for name := range s.cluster.nodes {
			s.cluster.follow(name)
		}
	}
	for i := range s.groups {
		s.run(i)
	}
	again := s.waiting
	s.waiting = nil
	for _, r := range again {
		if s.dispatch(r) {
			s.waiting = append(s.waiting, r)
		}
	}
	s.cluster.now += simStep
}

// TestSegmentRuns plays seeded runs: one or two deadly segments of different shares,
// groups that fail together for another cause, entry nodes that restart. Guards against
// a deadly segment that is sent on, and against sound ones that stay refused.
func TestSegmentRuns(t *testing.T) {
	for seed := *segmentSeed; seed < *segmentSeed+uint64(*segmentRuns); seed++ {
		s := newSegmentSim(seed)
		shares := [2]float64{0.005 + 0.2*s.random.Float64()*s.random.Float64(), 0}
		if seed%2 == 0 {
			shares[1] = 0.05 * s.random.Float64()
		}
		begins := 1000 + sardine.Millis(s.random.IntN(8000))
		for end := s.cluster.now + simLength; s.cluster.now < end; {
			now := s.cluster.now
			for n := simArrivals; n > 0; n-- {
				if s.random.Float64() < n {
					if now < begins {
						s.arrive([2]float64{})
					} else {
						s.arrive(shares)
					}
				}
			}
			if s.random.Float64() < 0.0005 { // about once in 20 s
				for i := range simGroups / 2 {
					s.fail(i)
				}
			}
			if s.random.Float64() < 0.001 {
				s.cluster.start(fmt.Sprintf("e%d", 1+s.random.IntN(simNodes)))
			}
			s.step()
		}
		s.check(t, seed)
	}
}

func (s *segmentSim) check(t *testing.T, seed uint64) {
	t.Helper()
	for i, all := range s.crashes {
		late := 0
		for _, at := range all {
			if len(all) >= simJudgedAfter && at > all[simJudgedAfter-1]+simStableAfter {
				late++
			}
		}
		require.LessOrEqual(t, late, simMaxLate, "seed %d: segment %d failed its groups at %v", seed, i, all)
	}
	t.Logf("seed %d: %d and %d failures, %d of %d sound requests refused, %d of them late", seed, len(s.crashes[0]), len(s.crashes[1]), s.refused, s.sound, s.late)
	require.LessOrEqual(t, float64(s.late), 0.01*float64(s.sound), "seed %d: sound requests refused long after the last failure", seed)
}
