package demo

import (
	"context"
	"fmt"
	"time"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/site"
)

// Sizes and limits of the demo. The limits are the times guaranteed to users, or
// generous ones for steps without a guarantee.
const (
	groupCount    = 2
	groupSize     = 4
	plainCount    = 2
	startLimit    = 15 * time.Second
	inForceLimit  = 5 * time.Second
	detectLimit   = 5 * time.Second
	repairLimit   = 15 * time.Second
	leaveLimit    = 3 * time.Second
	electionLimit = 2 * time.Second
	drainLimit    = 15 * time.Second
	bookingSeat   = "seat 7, row C"
	minAnswers    = 100
)

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func electLeader(_ context.Context, s *demoState) (float64, error) {
	d, err := site.Await(startLimit, "a leader", func() bool { return s.site.LeaderIndex() >= 0 })
	return milliseconds(d), err
}

// applyChange changes the settings and returns how long it took until the change
// was accepted. It checks that every ready entry node has it in force by then.
func applyChange(ctx context.Context, s *demoState, path, document string, bound time.Duration) (float64, error) {
	started := time.Now()
	answer, err := s.site.Set(ctx, s.base, fmt.Sprintf("demo-%d", s.base+1), path, document)
	took := time.Since(started)
	if err != nil {
		return milliseconds(took), err
	}
	s.base = answer.Version
	for _, e := range s.site.Entries() {
		if e.Node() == nil {
			continue
		}
		d := e.Node().Dump()
		if d.Ready && (len(d.Versions) == 0 || d.Versions[0].Version < answer.Version) {
			return milliseconds(took), codes.New(codes.InvariantBroken, "%s serves an older version than the accepted one", d.Node)
		}
	}
	if took > bound {
		return milliseconds(took), codes.New(codes.Internal, "accepted after %s, the bound is %s", took, bound)
	}
	return milliseconds(took), nil
}

func setSettings(ctx context.Context, s *demoState) (float64, error) {
	return applyChange(ctx, s, "/teams/"+string(site.Team), site.Document(groupCount, groupSize), inForceLimit)
}

func formGroups(_ context.Context, s *demoState) (float64, error) {
	d, err := s.site.AwaitServing(startLimit, groupCount, plainCount)
	return milliseconds(d), err
}

func chatEverywhere(ctx context.Context, s *demoState) (float64, error) {
	c := newCaller()
	var longest time.Duration
	for _, e := range s.site.Entries() {
		a, right, err := c.chat(ctx, e.Node().PublicAddress(), "cue 1", loadTokens)
		if err != nil {
			return 0, err
		}
		if !right {
			return 0, codes.New(codes.AnswerInvalid, "%s answered %d %q", e.Node().ID(), a.status, a.text)
		}
		longest = max(longest, a.firstToken)
	}
	s.load = startLoad(s.site)
	return milliseconds(longest), nil
}

func bookOnce(ctx context.Context, s *demoState) (float64, error) {
	c := newCaller()
	for i := range 2 {
		node := s.site.Entries()[i].Node()
		a, right, err := c.book(ctx, node.PublicAddress(), "booking-1", bookingSeat)
		if err != nil {
			return 0, err
		}
		if !right {
			return 0, codes.New(codes.AnswerInvalid, "%s answered %d %q", node.ID(), a.status, a.text)
		}
	}
	runs := 0
	for _, p := range s.site.PlainServices() {
		runs += p.Runs(bookingSeat)
	}
	if runs != 1 {
		return float64(runs), codes.New(codes.InvariantBroken, "the booking ran %d times", runs)
	}
	return 1, nil
}

// routed reports whether any entry node routes to the target.
func routed(s *demoState, target string) bool {
	for _, e := range s.site.Entries() {
		if e.Node() == nil {
			continue
		}
		for _, c := range e.Node().Dump().Candidates {
			if c.Target == target {
				return true
			}
		}
	}
	return false
}

func killMember(_ context.Context, s *demoState) (float64, error) {
	serving := s.site.Serving()
	if len(serving) == 0 {
		return 0, codes.New(codes.NoTarget, "no group serves")
	}
	victim := serving[0]
	target := fmt.Sprintf("%s@%d", victim.Group, victim.Epoch)
	s.site.Engines()[s.site.EngineIndex(victim.Members[len(victim.Members)-1])].Crash()
	d, err := site.Await(detectLimit, "the group leaves every entry node's routes", func() bool { return !routed(s, target) })
	return milliseconds(d), err
}

func awaitRepair(_ context.Context, s *demoState) (float64, error) {
	d, err := s.site.AwaitServing(repairLimit, groupCount, plainCount)
	return milliseconds(d), err
}

func leaveTarget(_ context.Context, s *demoState) (float64, error) {
	leaver := s.site.PlainServices()[0]
	target := fmt.Sprintf("%s@%d", leaver.VM(), leaver.Announcement().Incarnation)
	leaver.Leave()
	d, err := site.Await(leaveLimit, "the target leaves every entry node's routes", func() bool { return !routed(s, target) })
	return milliseconds(d), err
}

func changeSettings(ctx context.Context, s *demoState) (float64, error) {
	return applyChange(ctx, s, "/teams/"+string(site.Team)+"/objective", "downtime_weight = 20.0\nstranded_weight = 1.0\n", inForceLimit)
}

func killLeader(ctx context.Context, s *demoState) (float64, error) {
	leader := s.site.LeaderIndex()
	if leader < 0 {
		return 0, codes.New(codes.NoQuorum, "no control node leads")
	}
	started := time.Now()
	if err := s.site.StopControl(leader); err != nil {
		return 0, err
	}
	// The change can be durable on a quorum within electionLimit; it is in force at
	// most one lease later.
	if _, err := site.Await(electionLimit, "a new leader", func() bool { return s.site.LeaderIndex() >= 0 }); err != nil {
		return milliseconds(time.Since(started)), err
	}
	elected := time.Since(started)
	figure, err := applyChange(ctx, s, "/teams/"+string(site.Team)+"/objective", "downtime_weight = 30.0\nstranded_weight = 1.0\n", inForceLimit)
	return milliseconds(elected) + figure, err
}

// drainEntry drains an entry node while callers keep sending requests.
func drainEntry(_ context.Context, s *demoState) (float64, error) {
	before := s.load.counts()
	node := s.site.Entries()[0].Node()
	node.Drain()
	_, err := site.Await(drainLimit, "the node ends", func() bool {
		select {
		case <-node.Done():
			return true
		default:
			return false
		}
	})
	if err != nil {
		return 0, err
	}
	cut := s.load.counts().Broken - before.Broken
	if cut > 0 {
		return float64(cut), codes.New(codes.InvariantBroken, "%d requests were cut off", cut)
	}
	return 0, s.site.StopEntry(0)
}

func checkLoad(_ context.Context, s *demoState) (float64, error) {
	_, err := site.Await(startLimit, "enough answers", func() bool { return s.load.counts().Right >= minAnswers })
	if err != nil {
		return 0, err
	}
	t := s.load.counts()
	if t.Wrong > 0 {
		return float64(t.Right), codes.New(codes.InvariantBroken, "%d answers were wrong", t.Wrong)
	}
	return float64(t.Right), nil
}
