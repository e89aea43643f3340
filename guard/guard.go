package guard

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// ownProposals marks the guard's proposals; the others are the keeper's.
const ownProposals claim.ProposalID = 1 << 63

// request is one caller's request.
type request struct {
	id          claim.RequestID
	fingerprint Fingerprint
	deadline    sardine.Millis
	group       sardine.GroupID // that runs it, "" if none
	attempt     uint64          // of its permit, 0 if it needs none
	followed    uint64          // index that the register must have applied
	started     bool
}

// strike is a proposal of the guard's own that awaits the log.
type strike struct {
	request claim.RequestID
	command state.Command
	pending claim.ProposalID // 0 if none
	nextAt  sardine.Millis
	retries int
}

type options struct {
	first   sardine.Millis
	longest sardine.Millis
	hooks   hooks
}

// hooks are defects that tests seed to see them caught.
type hooks struct {
	noStrikes bool // crashes are not reported
	noPermits bool // struck requests run without a permit
	noFollow  bool // a permit is used before the register has its index
}

// Option changes a guard's construction.
type Option func(*options)

// WithBackoff sets the first and longest wait between repeated proposals.
func WithBackoff(first, longest sardine.Millis) Option {
	return func(o *options) {
		o.first = first
		o.longest = longest
	}
}

// Guard follows the requests that one entry node runs. It is not safe for
// concurrent use.
type Guard struct {
	options  options
	register Register
	keeper   *claim.Keeper
	random   sardine.Random
	requests map[claim.RequestID]*request
	copies   map[Fingerprint][]*request // by arrival
	strikes  map[claim.RequestID]*strike
	pending  map[claim.ProposalID]*strike
	held     []*request // with a permit that the register must catch up with
	answered uint64     // highest index in the log's answers
	last     claim.ProposalID
}

// New returns a guard without requests. The incarnation must have joined the
// log before the first Offer.
func New(node sardine.NodeID, incarnation sardine.Incarnation, register Register, random sardine.Random, opts ...Option) *Guard {
	o := options{first: 100, longest: 2 * sardine.Second}
	for _, option := range opts {
		option(&o)
	}
	return &Guard{
		options:  o,
		register: register,
		keeper:   claim.New(node, incarnation, random, claim.WithBackoff(o.first, o.longest)),
		random:   random,
		requests: make(map[claim.RequestID]*request),
		copies:   make(map[Fingerprint][]*request),
		strikes:  make(map[claim.RequestID]*strike),
		pending:  make(map[claim.ProposalID]*strike),
	}
}

// Offer takes a request before it is dispatched, for the first time or again
// after an Ended and Struck. deadline is when it is refused if its turn has not
// come.
func (g *Guard) Offer(now sardine.Millis, id claim.RequestID, f Fingerprint, deadline sardine.Millis) []Action {
	r := &request{id: id, fingerprint: f, deadline: deadline}
	struck := g.register.Strikes(f[:])
	if len(struck) >= state.PoisonGroups {
		return []Action{Refuse{Request: id, Code: codes.PoisonRequest}}
	}
	g.requests[id] = r
	g.copies[f] = append(g.copies[f], r)
	if len(struck) == 0 {
		r.started = true
		return []Action{Run{Request: id, Prefer: g.placeOf(f)}}
	}
	return g.advance(now, f)
}

// placeOf returns the group that runs a copy of the fingerprint here, so that
// copies at once cost one group.
func (g *Guard) placeOf(f Fingerprint) sardine.GroupID {
	for _, r := range g.copies[f] {
		if r.group != "" {
			return r.group
		}
	}
	return ""
}

// Placed notes the group that a request is dispatched to.
func (g *Guard) Placed(id claim.RequestID, group sardine.GroupID) {
	if r := g.requests[id]; r != nil {
		r.group = group
	}
}

// Ended takes the end of a dispatch. After a crash the strike is proposed; wait
// for Struck.
func (g *Guard) Ended(now sardine.Millis, id claim.RequestID, e End) []Action {
	r := g.requests[id]
	if r == nil {
		return nil
	}
	if e.Fate == Crashed && !g.options.hooks.noStrikes {
		return []Action{g.strike(id, state.Strike{Fingerprint: slices.Clone(r.fingerprint[:]), End: state.End{Group: e.Group, Epoch: e.Epoch}})}
	}
	var actions []Action
	if e.Fate == Survived && r.attempt != 0 {
		actions = append(actions, g.strike(id, state.ReleasePoison{Fingerprint: slices.Clone(r.fingerprint[:])}))
		return actions
	}
	return g.leave(now, r)
}

func (g *Guard) forget(r *request) {
	delete(g.requests, r.id)
	left := slices.DeleteFunc(g.copies[r.fingerprint], func(o *request) bool { return o == r })
	if len(left) == 0 {
		delete(g.copies, r.fingerprint)
		return
	}
	g.copies[r.fingerprint] = left
}

// strike proposes a command about a request's fingerprint.
func (g *Guard) strike(id claim.RequestID, c state.Command) Action {
	s := &strike{request: id, command: c}
	g.strikes[id] = s
	return g.propose(s)
}

func (g *Guard) propose(s *strike) Action {
	g.last++
	s.pending = ownProposals | g.last
	s.retries++
	g.pending[s.pending] = s
	return Propose{ID: s.pending, Command: s.command}
}

// Proposed takes the result of a proposal. err is not nil if it is unknown
// whether the log took it.
func (g *Guard) Proposed(now sardine.Millis, p claim.ProposalID, result state.Result, err error) []Action {
	g.answered = max(g.answered, result.Index)
	if p&ownProposals == 0 {
		return g.perform(now, g.keeper.Proposed(now, p, result, err))
	}
	s := g.pending[p]
	delete(g.pending, p)
	if s == nil || s.pending != p {
		return nil
	}
	s.pending = 0
	if err != nil || result.Err != nil {
		s.nextAt = now + min(g.options.first<<min(s.retries, 8), g.options.longest)
		return nil
	}
	delete(g.strikes, s.request)
	actions := g.settled(now, s, result.Index)
	return actions
}

func (g *Guard) settled(now sardine.Millis, s *strike, index uint64) []Action {
	var actions []Action
	if _, isStrike := s.command.(state.Strike); isStrike {
		actions = append(actions, Struck{Request: s.request, Index: index})
	}
	if r := g.requests[s.request]; r != nil {
		actions = append(actions, g.leave(now, r)...)
	}
	return actions
}

// Gone removes a request that waits for its turn and whose caller has gone. One
// that runs must end by Ended.
func (g *Guard) Gone(now sardine.Millis, id claim.RequestID) []Action {
	r := g.requests[id]
	if r == nil || r.group != "" || g.strikes[id] != nil {
		return nil
	}
	g.keeper.Gone(id)
	return g.leave(now, r)
}

// Tick repeats proposals and refuses requests past their deadline. Call it
// every 50 ms or so.
func (g *Guard) Tick(now sardine.Millis) []Action {
	actions := append(g.Followed(now), g.perform(now, g.keeper.Tick(now))...)
	for _, id := range sortedKeys(g.strikes) {
		if s := g.strikes[id]; s.pending == 0 && s.nextAt <= now {
			actions = append(actions, g.propose(s))
		}
	}
	for _, id := range sortedKeys(g.requests) {
		r := g.requests[id]
		if r != nil && !r.started && now >= r.deadline {
			g.forget(r)
			actions = append(actions, Refuse{Request: id, Code: codes.QueueFull})
		}
	}
	return actions
}

func sortedKeys[V any](m map[claim.RequestID]V) []claim.RequestID {
	keys := make([]claim.RequestID, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.SortFunc(keys, func(a, b claim.RequestID) int { return cmp.Compare(a, b) })
	return keys
}
