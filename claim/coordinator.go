package claim

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

type options struct {
	firstBackoff sardine.Millis // delay before a proposal is repeated for the first time
	maxBackoff   sardine.Millis
	sweep        sardine.Millis
	hooks        hooks
}

// hooks inject defects, for tests that verify that the checks detect them.
type hooks struct {
	dispatchBeforeClaim bool
	retryUnknown        bool // an unknown outcome is treated as not run
}

// Option changes a coordinator's construction.
type Option func(*options)

// WithBackoff sets the first and the longest delay between repeated proposals.
func WithBackoff(firstBackoff, maxBackoff sardine.Millis) Option {
	return func(o *options) {
		o.firstBackoff = firstBackoff
		o.maxBackoff = maxBackoff
	}
}

// WithSweep sets how long after a drop the coordinator undoes late duplicates of the
// claim.
func WithSweep(span sardine.Millis) Option {
	return func(o *options) { o.sweep = span }
}

// Coordinator coordinates the idempotency keys of one incarnation of an entry node.
// It is not safe for concurrent use.
type Coordinator struct {
	options      options
	node         sardine.NodeID
	incarnation  sardine.Incarnation
	random       sardine.Random
	current      map[entryID]*entry // entries that new requests join
	entries      map[uint64]*entry  // by attempt
	requests     map[RequestID]*entry
	proposals    map[ProposalID]*entry
	lastProposal ProposalID
	lastAttempt  uint64
}

// New returns a coordinator without keys. The incarnation must have joined the log
// before the first Offer.
func New(node sardine.NodeID, incarnation sardine.Incarnation, random sardine.Random, opts ...Option) *Coordinator {
	o := options{firstBackoff: 100, maxBackoff: 2 * sardine.Second, sweep: 30 * sardine.Second}
	for _, option := range opts {
		option(&o)
	}
	return &Coordinator{
		options:     o,
		node:        node,
		incarnation: incarnation,
		random:      random,
		current:     make(map[entryID]*entry),
		entries:     make(map[uint64]*entry),
		requests:    make(map[RequestID]*entry),
		proposals:   make(map[ProposalID]*entry),
	}
}

// Offer submits a caller's request with a key. fingerprint is a hash of its
// method, path and body. A request that has no answer at its deadline is refused
// with codes.OutcomeUnknown, or codes.NoQuorum while its claim has no verdict.
func (k *Coordinator) Offer(now sardine.Millis, r RequestID, key Key, fingerprint []byte, deadline sardine.Millis) []Action {
	e := k.current[entryID{key: key, fingerprint: string(fingerprint)}]
	if e == nil {
		e = k.open(key, fingerprint)
	}
	e.waiters = append(e.waiters, waiter{request: r, deadline: deadline})
	k.requests[r] = e
	switch e.stage {
	case finishing:
		return k.forgetAnswered(e.deliverOutcome())
	case claiming, waiting:
		return k.proposeClaim(now, e)
	default:
		return nil
	}
}

// open starts a new attempt at a key.
func (k *Coordinator) open(key Key, fingerprint []byte) *entry {
	k.lastAttempt++
	e := &entry{key: key, fingerprint: fingerprint, attempt: k.lastAttempt, stage: claiming}
	k.current[e.entryID()] = e
	k.entries[e.attempt] = e
	return e
}

// proposeClaim proposes the claim unless a proposal is pending or scheduled.
func (k *Coordinator) proposeClaim(now sardine.Millis, e *entry) []Action {
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

func (k *Coordinator) propose(e *entry) Action {
	k.lastProposal++
	e.pending = k.lastProposal
	e.retries++
	k.proposals[e.pending] = e
	return Propose{ID: e.pending, Command: k.command(e)}
}

// enter enters a stage and proposes its command.
func (k *Coordinator) enter(e *entry, s stage) []Action {
	e.stage = s
	e.retries = 0
	e.nextAt = 0
	e.pending = 0
	return []Action{k.propose(e)}
}

// backoff schedules the next proposal of an entry after an exponential delay
// with jitter.
func (k *Coordinator) backoff(now sardine.Millis, e *entry) {
	span := min(k.options.firstBackoff<<min(max(e.retries-1, 0), 16), k.options.maxBackoff)
	e.nextAt = now + span/2 + sardine.Millis(k.random.IntN(int(span/2)+1))
}

// Proposed processes the result of a proposal. A non-nil err means that it is
// unknown whether the command was committed; r.Err is the log's own refusal.
func (k *Coordinator) Proposed(now sardine.Millis, p ProposalID, r state.Result, err error) []Action {
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
		return k.handleVerdict(now, e, r)
	case finishing:
		return k.close(e)
	case dropping:
		return k.handleDropped(now, e)
	case sweeping:
		e.nextAt = now + k.options.sweep/2
	}
	return nil
}

// Cancel removes a request whose caller has disconnected. A running dispatch
// continues, so that a resend gets its answer.
func (k *Coordinator) Cancel(r RequestID) {
	e := k.requests[r]
	delete(k.requests, r)
	if e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool { return w.request == r })
	}
}

// Tick repeats proposals that are due and refuses requests past their deadline.
// Call it about every 50 ms.
func (k *Coordinator) Tick(now sardine.Millis) []Action {
	var actions []Action
	for _, e := range k.sorted() {
		actions = append(actions, k.refuseExpired(now, e)...)
		if e.stage == sweeping && now >= e.sweepUntil {
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

// refuseExpired refuses the waiters whose deadline has passed.
func (k *Coordinator) refuseExpired(now sardine.Millis, e *entry) []Action {
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
	return k.forgetAnswered(actions)
}

// forgetAnswered removes the requests that the actions answer or refuse.
func (k *Coordinator) forgetAnswered(actions []Action) []Action {
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

func (k *Coordinator) sorted() []*entry {
	all := make([]*entry, 0, len(k.entries))
	for _, e := range k.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.attempt, b.attempt) })
	return all
}

// KeyCount returns the number of keys that the node is working on.
func (k *Coordinator) KeyCount() int {
	return len(k.entries)
}

// Running returns the number of keys whose request is being run.
func (k *Coordinator) Running() int {
	n := 0
	for _, e := range k.entries {
		if e.stage == running {
			n++
		}
	}
	return n
}
