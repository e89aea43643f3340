package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/state"
)

const (
	// strikeQueue is the capacity of the queue of strikes to submit.
	strikeQueue = 2048
	// strikeSubmit bounds one proposal of a strike. Proposing a strike twice is
	// harmless, so the next control node is tried soon if one does not answer.
	strikeSubmit = sardine.Second
	// strikeRetryDelay is the pause before a strike is proposed again.
	strikeRetryDelay = 200 * sardine.Millis(1)
)

// strikes serializes the request handlers' access to the failure counter of
// requests, and submits the strikes that it yields to the replicated log.
type strikes struct {
	node     *Node
	commands *ring.Ring[state.Command]
	mu       sync.Mutex
	counter  *guard.FailureCounter
	segments *guard.SegmentCounter
	waiting  atomic.Int64 // commands that are not in the log yet
}

func newStrikes(n *Node) *strikes {
	return &strikes{
		node:     n,
		commands: ring.New[state.Command](strikeQueue, ring.Reject),
		counter:  guard.NewFailureCounter(publishedStrikes{n}),
		segments: guard.NewSegmentCounter(publishedStrikes{n}),
	}
}

// failureCount returns the number of targets that failed while they ran the
// request.
func (s *strikes) failureCount(f guard.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.Count(f)
}

// allow returns nil if the request may be sent to a target. handler lists the
// failures that its handler has observed.
func (s *strikes) allow(f guard.Fingerprint, handler ...state.TargetFailure) error {
	n := s.node
	s.mu.Lock()
	verdict := s.counter.Check(n.clock.Now(), f, handler...)
	ask := state.ClaimKey{}
	if verdict == guard.Trial {
		ask = s.counter.TrialClaim(n.id, n.incarnation, f)
	}
	s.mu.Unlock()
	refused := codes.New(codes.PoisonRequest, "%s", codes.PoisonRequest.Row().Meaning)
	switch verdict {
	case guard.Allowed:
		return nil
	case guard.Trial:
		if !n.linksTrusted() {
			return refused // the trial might not reach a target
		}
		if result, err := n.proposeWithin(strikeSubmit, ask); err != nil || result.Verdict != state.ClaimGranted {
			return refused // another node has the trial, or this is unknown
		}
		event.Log(n.log, event.RequestTried, poisonAttr(f))
		return nil
	default:
		return refused
	}
}

// recordFailure counts a loss whose target has exited.
func (s *strikes) recordFailure(l guard.Loss) {
	n := s.node
	s.mu.Lock()
	strike, counts := s.counter.CountLoss(n.clock.Now(), l)
	known := s.counter.Count(l.Fingerprint)
	s.mu.Unlock()
	event.Log(n.log, event.RequestStruck, requestAttr(l.Request), poisonAttr(l.Fingerprint), slog.String("target", l.Failure.Target()),
		slog.Uint64("epoch", uint64(l.Failure.Epoch)), slog.Int("events", l.Events), segmentsAttr(l.Segments),
		slog.Bool("counts", counts), slog.Int("known", known))
	if counts {
		s.push(strike)
	}
}

// survived records that a request has completed.
func (s *strikes) survived(f guard.Fingerprint) {
	s.mu.Lock()
	release, struck := s.counter.Completed(s.node.clock.Now(), f)
	s.mu.Unlock()
	if struck {
		event.Log(s.node.log, event.RequestCleared, poisonAttr(f))
		s.push(release)
	}
}

func (s *strikes) push(c state.Command) {
	s.waiting.Add(1)
	if !s.commands.Push(s.node.baseCtx, c) {
		s.recordResult(c, state.Result{Err: codes.New(codes.QueueFull, "%d strikes are waiting to be committed", strikeQueue)})
	}
}

// report is the loop that proposes strikes one after the other, each until the
// log contains it. Strikes that are not committed yet already count on this
// node.
func (s *strikes) report() error {
	for {
		select {
		case <-s.node.tomb.Dying():
			return nil
		case c := <-s.commands.Items():
			s.propose(c)
		}
	}
}

func (s *strikes) propose(c state.Command) {
	n := s.node
	for {
		result, err := n.proposeWithin(strikeSubmit, c)
		if err == nil && (result.Err == nil || !retriable(result.Err)) {
			s.recordResult(c, result)
			return
		}
		select {
		case <-n.tomb.Dying():
			s.recordResult(c, state.Result{Err: codes.New(codes.Draining, "the node is stopping")})
			return
		case <-n.clock.After(strikeRetryDelay):
		}
	}
}

// retriable reports whether the log may accept the command at a later try.
func retriable(err error) bool {
	return codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) || codes.Is(err, codes.OutcomeUnknown) || codes.Is(err, codes.Draining)
}

// recordResult records the outcome of a command.
func (s *strikes) recordResult(c state.Command, result state.Result) {
	defer s.waiting.Add(-1)
	if result.Err != nil {
		event.Log(s.node.log, event.DutyFailed, slog.String("duty", "strikes"), codeAttr(result.Err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c := c.(type) {
	case state.Strike:
		s.counter.StrikeCommitted(c, result.Index)
		s.segments.StrikeCommitted(c, result.Index)
	case state.ReleasePoison:
		s.counter.ReleaseCommitted(c, result.Index)
		s.segments.ReleaseCommitted(c, result.Index)
	}
}

// tick lets the counter remove what the node has followed.
func (s *strikes) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Prune()
	s.segments.Prune()
}

// drain waits until the log contains all strikes, at most for strikeWait.
func (s *strikes) drain() {
	n := s.node
	for end := n.clock.Now() + strikeWait; s.waiting.Load() > 0 && n.clock.Now() < end; {
		if n.sleep(n.baseCtx, strikePollInterval) != nil {
			return
		}
	}
}
