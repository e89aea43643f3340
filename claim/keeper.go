package claim

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

type options struct {
	first   sardine.Millis // wait before the first repeated proposal
	longest sardine.Millis
	sweep   sardine.Millis
	hooks   hooks
}

// hooks are defects that tests seed to see them caught.
type hooks struct {
	dispatchBeforeClaim bool
	retryUnknown        bool // a run with unknown outcome is taken for not run
}

// Option changes a keeper's construction.
type Option func(*options)

// WithBackoff sets the first and longest wait between repeated proposals.
func WithBackoff(first, longest sardine.Millis) Option {
	return func(o *options) {
		o.first = first
		o.longest = longest
	}
}

// WithSweep sets how long after a drop late duplicates of the claim are undone.
func WithSweep(span sardine.Millis) Option {
	return func(o *options) { o.sweep = span }
}

// Keeper follows the keys that one entry node's incarnation acts on. It is not
// safe for concurrent use.
type Keeper struct {
	options      options
	node         sardine.NodeID
	incarnation  sardine.Incarnation
	random       sardine.Random
	current      map[slot]*entry   // that new requests join
	entries      map[uint64]*entry // by attempt
	requests     map[RequestID]*entry
	proposals    map[ProposalID]*entry
	lastProposal ProposalID
	lastAttempt  uint64
}

// New returns a keeper without keys. The incarnation must have joined the log
// before the first Offer.
func New(node sardine.NodeID, incarnation sardine.Incarnation, random sardine.Random, opts ...Option) *Keeper {
	o := options{first: 100, longest: 2 * sardine.Second, sweep: 30 * sardine.Second}
	for _, option := range opts {
		option(&o)
	}
	return &Keeper{
		options:     o,
		node:        node,
		incarnation: incarnation,
		random:      random,
		current:     make(map[slot]*entry),
		entries:     make(map[uint64]*entry),
		requests:    make(map[RequestID]*entry),
		proposals:   make(map[ProposalID]*entry),
	}
}

// Offer takes a caller's request with a key. fingerprint is a hash of its
// method, path and body; deadline is when the caller is told that its outcome
// is unknown, if nothing else is known by then.
func (k *Keeper) Offer(now sardine.Millis, r RequestID, key Key, fingerprint []byte, deadline sardine.Millis) []Action {
	e := k.current[slot{key: key, fingerprint: string(fingerprint)}]
	if e == nil {
		e = k.open(key, fingerprint)
	}
	e.waiters = append(e.waiters, waiter{request: r, deadline: deadline})
	k.requests[r] = e
	switch e.stage {
	case finishing:
		return k.release(e.tell())
	case claiming, waiting:
		return k.claimNow(now, e)
	default:
		return nil
	}
}

// open starts a new attempt at a key.
func (k *Keeper) open(key Key, fingerprint []byte) *entry {
	k.lastAttempt++
	e := &entry{key: key, fingerprint: fingerprint, attempt: k.lastAttempt, stage: claiming}
	k.current[e.slot()] = e
	k.entries[e.attempt] = e
	return e
}

// claimNow proposes the claim unless a proposal is under way or will be.
func (k *Keeper) claimNow(now sardine.Millis, e *entry) []Action {
	if e.pending != 0 || e.nextAt > now {
		return nil
	}
	actions := []Action{k.propose(e)}
	if k.options.hooks.dispatchBeforeClaim && e.stage == claiming {
		e.stage = running
		return append(actions, e.dispatch())
	}
	return actions
}

func (k *Keeper) propose(e *entry) Action {
	k.lastProposal++
	e.pending = k.lastProposal
	e.retries++
	k.proposals[e.pending] = e
	return Propose{ID: e.pending, Command: k.command(e)}
}

// move changes the stage and proposes its command.
func (k *Keeper) move(e *entry, s stage) []Action {
	e.stage = s
	e.retries = 0
	e.nextAt = 0
	e.pending = 0
	return []Action{k.propose(e)}
}

// backoff sets when an entry is proposed again: a wait that doubles, with jitter.
func (k *Keeper) backoff(now sardine.Millis, e *entry) {
	span := min(k.options.first<<min(max(e.retries-1, 0), 16), k.options.longest)
	e.nextAt = now + span/2 + sardine.Millis(k.random.IntN(int(span/2)+1))
}

// Proposed takes the result of a proposal. err is not nil if it is unknown
// whether the log took it; r.Err is the log's own refusal.
func (k *Keeper) Proposed(now sardine.Millis, p ProposalID, r state.Result, err error) []Action {
	e := k.proposals[p]
	delete(k.proposals, p)
	if e == nil || e.pending != p {
		return nil
	}
	e.pending = 0
	if err != nil {
		e.unresolved = true
		k.backoff(now, e)
		return nil
	}
	switch e.stage {
	case claiming, waiting:
		return k.claimed(now, e, r)
	case finishing:
		return k.close(e)
	case dropping:
		return k.dropped(now, e)
	case sweeping:
		e.nextAt = now + k.options.sweep/2
	}
	return nil
}

// Gone removes a request whose caller has gone. A dispatch under way goes on,
// so that a resend gets its answer.
func (k *Keeper) Gone(r RequestID) {
	e := k.requests[r]
	delete(k.requests, r)
	if e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool { return w.request == r })
	}
}

// Tick proposes again what is due and gives up on requests past their deadline.
// Call it every 50 ms or so.
func (k *Keeper) Tick(now sardine.Millis) []Action {
	var actions []Action
	for _, e := range k.sorted() {
		actions = append(actions, k.giveUp(now, e)...)
		if e.stage == sweeping && now >= e.until {
			delete(k.entries, e.attempt)
			continue
		}
		if e.stage == waiting && len(e.waiters) == 0 && e.pending == 0 {
			actions = append(actions, k.abandon(e)...)
			continue
		}
		if e.stage != running && e.pending == 0 && e.nextAt <= now {
			actions = append(actions, k.propose(e))
		}
	}
	return actions
}

// giveUp refuses the waiters past their deadline.
func (k *Keeper) giveUp(now sardine.Millis, e *entry) []Action {
	var actions []Action
	e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		code := codes.OutcomeUnknown
		if e.stage == claiming {
			code = codes.NoQuorum
		}
		actions = append(actions, Refuse{Request: w.request, Code: code, Ran: sardine.RanUnknown})
		return true
	})
	return k.release(actions)
}

// release forgets the requests that the actions answer.
func (k *Keeper) release(actions []Action) []Action {
	for _, a := range actions {
		switch a := a.(type) {
		case Reply:
			delete(k.requests, a.Request)
		case Refuse:
			delete(k.requests, a.Request)
		}
	}
	return actions
}

func (k *Keeper) sorted() []*entry {
	all := make([]*entry, 0, len(k.entries))
	for _, e := range k.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.attempt, b.attempt) })
	return all
}

// Held returns the number of keys the node acts on.
func (k *Keeper) Held() int {
	return len(k.entries)
}

// Running returns the number of keys whose dispatch is under way.
func (k *Keeper) Running() int {
	n := 0
	for _, e := range k.entries {
		if e.stage == running {
			n++
		}
	}
	return n
}
