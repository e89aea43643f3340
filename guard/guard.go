package guard

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// ownProposalBit is the bit that marks the guard's own proposals; those without
// it belong to the claim coordinator.
const ownProposalBit claim.ProposalID = 1 << 63

// request is one caller's request.
type request struct {
	id          claim.RequestID
	fingerprint Fingerprint
	deadline    sardine.Millis
	group       sardine.GroupID // group that runs it, "" if none
	attempt     uint64          // attempt number of its permit, 0 if it needs none
	minIndex    uint64          // index that this node must apply before it runs
	started     bool            // dispatched, or its permit was requested
}

// strike is one of the guard's own commands that is not yet committed.
type strike struct {
	request claim.RequestID
	command state.Command
	pending claim.ProposalID // 0 if none
	nextAt  sardine.Millis
	retries int
}

type options struct {
	firstBackoff sardine.Millis
	maxBackoff   sardine.Millis
	hooks        hooks
}

// hooks inject defects, for tests that verify that the checks detect them.
type hooks struct {
	noStrikes   bool // crashes are not reported
	noPermits   bool // requests with a strike run without a permit
	ignoreIndex bool // a permit is used before this node has applied its index
}

// Option changes a guard's construction.
type Option func(*options)

// WithBackoff sets the first and the longest delay between repeated proposals.
func WithBackoff(firstBackoff, maxBackoff sardine.Millis) Option {
	return func(o *options) {
		o.firstBackoff = firstBackoff
		o.maxBackoff = maxBackoff
	}
}

// Guard limits the damage of poison requests at one entry node. It is not safe
// for concurrent use.
type Guard struct {
	options       options
	reader        StrikeReader
	claims        *claim.Coordinator
	random        sardine.Random
	requests      map[claim.RequestID]*request
	copies        map[Fingerprint][]*request // in order of arrival
	strikes       map[claim.RequestID]*strike
	pending       map[claim.ProposalID]*strike
	awaitingIndex []*request // have a permit whose index this node has not applied
	highestIndex  uint64     // highest log index in a proposal's result
	lastProposal  claim.ProposalID
}

// New returns a guard without requests. The incarnation must have joined the
// log before the first Offer.
func New(node sardine.NodeID, incarnation sardine.Incarnation, reader StrikeReader, random sardine.Random, opts ...Option) *Guard {
	o := options{firstBackoff: 100, maxBackoff: 2 * sardine.Second}
	for _, option := range opts {
		option(&o)
	}
	return &Guard{
		options:  o,
		reader:   reader,
		claims:   claim.New(node, incarnation, random, claim.WithBackoff(o.firstBackoff, o.maxBackoff)),
		random:   random,
		requests: make(map[claim.RequestID]*request),
		copies:   make(map[Fingerprint][]*request),
		strikes:  make(map[claim.RequestID]*strike),
		pending:  make(map[claim.ProposalID]*strike),
	}
}

// Offer submits a request before it is dispatched, for the first time or again
// after Ended and StrikeCommitted. It is refused if it may not run before the deadline.
func (g *Guard) Offer(now sardine.Millis, id claim.RequestID, f Fingerprint, deadline sardine.Millis) []Action {
	r := &request{id: id, fingerprint: f, deadline: deadline}
	struck := g.reader.StrikeGroups(f[:])
	if len(struck) >= state.DefaultPoisonLimit {
		return []Action{Refuse{Request: id, Code: codes.PoisonRequest}}
	}
	g.requests[id] = r
	g.copies[f] = append(g.copies[f], r)
	if len(struck) == 0 {
		r.started = true
		return []Action{Run{Request: id, Prefer: g.groupOf(f)}}
	}
	return g.advance(now, f)
}

// groupOf returns the group that runs another request with the fingerprint for
// this node, so that concurrent copies can crash one group only.
func (g *Guard) groupOf(f Fingerprint) sardine.GroupID {
	for _, r := range g.copies[f] {
		if r.group != "" {
			return r.group
		}
	}
	return ""
}

// Dispatched records the group that a request is dispatched to.
func (g *Guard) Dispatched(id claim.RequestID, group sardine.GroupID) {
	if r := g.requests[id]; r != nil {
		r.group = group
	}
}

// Ended processes the result of a dispatch. After a crash it proposes the
// strike; the caller must wait for StrikeCommitted.
func (g *Guard) Ended(now sardine.Millis, id claim.RequestID, e DispatchResult) []Action {
	r := g.requests[id]
	if r == nil {
		return nil
	}
	if e.Outcome == OutcomeCrashed && !g.options.hooks.noStrikes {
		return []Action{g.strike(id, state.Strike{Fingerprint: slices.Clone(r.fingerprint[:]), Failure: state.TargetFailure{Group: e.Group, Epoch: e.Epoch}})}
	}
	var actions []Action
	if e.Outcome == OutcomeCompleted && r.attempt != 0 {
		actions = append(actions, g.strike(id, state.ReleasePoison{Fingerprint: slices.Clone(r.fingerprint[:])}))
		return actions
	}
	return g.finish(now, r)
}

func (g *Guard) remove(r *request) {
	delete(g.requests, r.id)
	left := slices.DeleteFunc(g.copies[r.fingerprint], func(o *request) bool { return o == r })
	if len(left) == 0 {
		delete(g.copies, r.fingerprint)
		return
	}
	g.copies[r.fingerprint] = left
}

// strike proposes a command that adds or removes strikes of a request's
// fingerprint.
func (g *Guard) strike(id claim.RequestID, c state.Command) Action {
	s := &strike{request: id, command: c}
	g.strikes[id] = s
	return g.propose(s)
}

func (g *Guard) propose(s *strike) Action {
	g.lastProposal++
	s.pending = ownProposalBit | g.lastProposal
	s.retries++
	g.pending[s.pending] = s
	return Propose{ID: s.pending, Command: s.command}
}

// Proposed processes the result of a proposal. A non-nil err means that it is
// unknown whether the command was committed.
func (g *Guard) Proposed(now sardine.Millis, p claim.ProposalID, result state.Result, err error) []Action {
	g.highestIndex = max(g.highestIndex, result.Index)
	if p&ownProposalBit == 0 {
		return g.perform(now, g.claims.Proposed(now, p, result, err))
	}
	s := g.pending[p]
	delete(g.pending, p)
	if s == nil || s.pending != p {
		return nil
	}
	s.pending = 0
	if err != nil || result.Err != nil {
		s.nextAt = now + min(g.options.firstBackoff<<min(s.retries, 8), g.options.maxBackoff)
		return nil
	}
	delete(g.strikes, s.request)
	actions := g.committed(now, s, result.Index)
	return actions
}

func (g *Guard) committed(now sardine.Millis, s *strike, index uint64) []Action {
	var actions []Action
	if _, isStrike := s.command.(state.Strike); isStrike {
		actions = append(actions, StrikeCommitted{Request: s.request, Index: index})
	}
	if r := g.requests[s.request]; r != nil {
		actions = append(actions, g.finish(now, r)...)
	}
	return actions
}

// Cancel removes a request that has not been dispatched and whose caller has
// disconnected. A request that runs must end by Ended.
func (g *Guard) Cancel(now sardine.Millis, id claim.RequestID) []Action {
	r := g.requests[id]
	if r == nil || r.group != "" || g.strikes[id] != nil {
		return nil
	}
	g.claims.Cancel(id)
	return g.finish(now, r)
}

// Tick repeats proposals and refuses requests past their deadline. Call it about
// every 50 ms.
func (g *Guard) Tick(now sardine.Millis) []Action {
	actions := append(g.IndexAdvanced(now), g.perform(now, g.claims.Tick(now))...)
	for _, id := range sortedIDs(g.strikes) {
		if s := g.strikes[id]; s.pending == 0 && s.nextAt <= now {
			actions = append(actions, g.propose(s))
		}
	}
	for _, id := range sortedIDs(g.requests) {
		r := g.requests[id]
		if r != nil && !r.started && now >= r.deadline {
			g.remove(r)
			actions = append(actions, Refuse{Request: id, Code: codes.QueueFull})
		}
	}
	return actions
}

func sortedIDs[V any](m map[claim.RequestID]V) []claim.RequestID {
	keys := make([]claim.RequestID, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, func(a, b claim.RequestID) int { return cmp.Compare(a, b) })
	return keys
}
