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
	// strikeQueue is the length of the ring to the duty that reports strikes.
	strikeQueue = 2048
	// strikeSubmit bounds one proposal of a strike. It does no harm twice, so that
	// another control node is asked soon if one does not answer.
	strikeSubmit = sardine.Second
	// strikeAgain is the pause before a strike is proposed again.
	strikeAgain = 200 * sardine.Millis(1)
)

// strikes lets the request handlers take turns at the ledger of requests that end
// their targets, and brings its strikes into the log.
type strikes struct {
	node     *Node
	commands *ring.Ring[state.Command]
	mu       sync.Mutex
	ledger   *guard.Ledger
	waiting  atomic.Int64 // commands that the log does not have
}

func newStrikes(n *Node) *strikes {
	return &strikes{
		node:     n,
		commands: ring.New[state.Command](strikeQueue, ring.Refuse),
		ledger:   guard.NewLedger(register{n}),
	}
}

// known returns the number of targets that have ended under the request.
func (s *strikes) known(f guard.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Known(f)
}

// allow returns nil if the request may be sent to a target, with the ends that its
// handler knows of.
func (s *strikes) allow(f guard.Fingerprint, handler ...state.End) error {
	n := s.node
	s.mu.Lock()
	verdict := s.ledger.Ask(n.clock.Now(), f, handler...)
	ask := state.ClaimKey{}
	if verdict == guard.Trial {
		ask = s.ledger.TrialClaim(n.id, n.incarnation, f)
	}
	s.mu.Unlock()
	refused := codes.New(codes.PoisonRequest, "%s", codes.PoisonRequest.Row().Meaning)
	switch verdict {
	case guard.Allowed:
		return nil
	case guard.Trial:
		if result, err := n.proposeWithin(strikeSubmit, ask); err != nil || result.Verdict != state.ClaimGranted {
			return refused // another node has it, or nobody can tell
		}
		event.Log(n.log, event.RequestTried, poisonAttr(f))
		return nil
	default:
		return refused
	}
}

// ended counts a loss whose target has ended.
func (s *strikes) ended(l guard.Loss) {
	n := s.node
	s.mu.Lock()
	strike, counts := s.ledger.Ended(n.clock.Now(), l)
	known := s.ledger.Known(l.Fingerprint)
	s.mu.Unlock()
	event.Log(n.log, event.RequestStruck, poisonAttr(l.Fingerprint), slog.String("target", l.End.Target()),
		slog.Bool("counts", counts), slog.Int("known", known))
	if counts {
		s.push(strike)
	}
}

// survived notes that a request has run to its end.
func (s *strikes) survived(f guard.Fingerprint) {
	s.mu.Lock()
	release, struck := s.ledger.Survived(s.node.clock.Now(), f)
	s.mu.Unlock()
	if struck {
		event.Log(s.node.log, event.RequestCleared, poisonAttr(f))
		s.push(release)
	}
}

func (s *strikes) push(c state.Command) {
	s.waiting.Add(1)
	if !s.commands.Push(s.node.life, c) {
		s.taken(c, state.Result{Err: codes.New(codes.QueueFull, "%d strikes wait for the log", strikeQueue)})
	}
}

// report is a duty: it proposes strikes one after the other, each until the log has
// it. What the node knows counts on this node meanwhile.
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
			s.taken(c, result)
			return
		}
		select {
		case <-n.tomb.Dying():
			s.taken(c, state.Result{Err: codes.New(codes.Draining, "the node stops")})
			return
		case <-n.clock.After(strikeAgain):
		}
	}
}

// retriable reports whether the log may take a command later that it did not take
// now.
func retriable(err error) bool {
	return codes.Is(err, codes.NotLeader) || codes.Is(err, codes.NoQuorum) || codes.Is(err, codes.OutcomeUnknown) || codes.Is(err, codes.Draining)
}

// taken takes the log's answer to a command.
func (s *strikes) taken(c state.Command, result state.Result) {
	defer s.waiting.Add(-1)
	if result.Err != nil {
		event.Log(s.node.log, event.DutyFailed, slog.String("duty", "strikes"), codeAttr(result.Err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c := c.(type) {
	case state.Strike:
		s.ledger.Struck(c, result.Index)
	case state.ReleasePoison:
		s.ledger.Released(c, result.Index)
	}
}

// tick lets the ledger forget what the node has followed.
func (s *strikes) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Tick()
}

// drain waits until the log has every strike, for strikeWait at most.
func (s *strikes) drain() {
	n := s.node
	for end := n.clock.Now() + strikeWait; s.waiting.Load() > 0 && n.clock.Now() < end; {
		if n.sleep(n.life, strikePause) != nil {
			return
		}
	}
}
