package follow

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// maxSent bounds the requests whose sending instants are kept: a relay may grant
// an earlier request than the one it answers.
const maxSent = 16

// Ask is a request that the shell sends now. It hands the answer to Took, or an
// error to Failed, under the request's sequence.
type Ask struct {
	Address string
	Relay   bool // the address is a relay's, not a control node's
	Request Request
	Timeout sardine.Millis
}

// Outcome is what an answer changed.
type Outcome struct {
	Restored   bool   // a snapshot replaced the whole state
	News       []News // the entries applied, oldest first
	Join       bool   // the node must join, by a JoinEntry to the control node
	Superseded bool   // a later incarnation has joined, the process must stop
	WantFull   bool   // the next target report must be full
}

// sending is a request under way.
type sending struct {
	ask   Ask
	at    sardine.Millis
	cover cover
	main  bool
}

// Follower is one entry node's side: it follows the log into its own machine
// and keeps the node's serving lease. It is not safe for concurrent use.
type Follower struct {
	self      NodeRef
	address   string
	timing    Timing
	defect    Defect
	machine   *state.Machine
	published uint64 // highest index that the shell serves by
	sequence  uint64
	sentAt    map[uint64]sardine.Millis
	main      *sending
	prompt    *sending
	route     route
	holder    holder
	relay     *Relay
	setKnown  uint64 // hash of the set that the asked node knows
	setOwner  string // address of that node
	readyAt   sardine.Millis
	// promptNotUntil is the earliest instant of the next request beside the held poll.
	promptNotUntil sardine.Millis
	reports        []TargetReport
	left           bool
}

// Option changes a follower under construction.
type Option func(*Follower)

// WithTiming sets the intervals.
func WithTiming(t Timing) Option {
	return func(f *Follower) { f.timing = t }
}

// WithDefect plants a defect. For tests only.
func WithDefect(d Defect) Option {
	return func(f *Follower) { f.defect = d }
}

// NewFollower returns the follower of an entry node with an empty state. Address
// is the node's own internal address, controls are those of the control nodes.
func NewFollower(self NodeRef, address string, controls []string, random sardine.Random, options ...Option) *Follower {
	f := &Follower{
		self:    self,
		address: address,
		timing:  DefaultTiming(),
		machine: state.NewMachine(),
		sentAt:  make(map[uint64]sardine.Millis),
	}
	for _, o := range options {
		o(f)
	}
	f.holder.defect = f.defect
	f.route = route{
		self:     address,
		controls: slices.Clone(controls),
		random:   random,
		retry:    f.timing.Retry,
		blocked:  make(map[string]sardine.Millis),
		at:       random.IntN(max(len(controls), 1)),
	}
	f.relay = newRelay(self, f.timing, f.defect)
	f.relay.snapshot = func() ([]byte, uint64, error) {
		b, err := f.machine.SpreadSnapshot()
		return b, f.machine.Index(), err
	}
	return f
}

// SetControls replaces the control nodes that are asked when no leader is known.
func (f *Follower) SetControls(controls []string) {
	f.route.controls = slices.Clone(controls)
}

// Machine returns the state as far as it was followed. Only the goroutine that
// drives the follower may read it.
func (f *Follower) Machine() *state.Machine {
	return f.machine
}

// Relay returns the part that others follow through.
func (f *Follower) Relay() *Relay {
	return f.relay
}

// Lease returns the node's lease as of the published state.
func (f *Follower) Lease() Lease {
	return f.holder.lease
}

// FreshAt returns the instant at which a leader last said, through all relays on
// the way, that it had nothing newer than what this node knows. It is 0 before
// the first answer.
func (f *Follower) FreshAt() sardine.Millis {
	return f.relay.freshAt
}

// Control returns the address of the control node to send commands to.
func (f *Follower) Control() string {
	return f.route.control()
}

// ThroughRelay reports whether the node asks a relay at present.
func (f *Follower) ThroughRelay() bool {
	return f.route.relay != ""
}

// Published notes that every request admitted from now on is served by the state
// up to index. Only then is index reported as applied.
func (f *Follower) Published(index uint64) {
	f.published = max(f.published, index)
	f.holder.reach(f.published)
}

// Report queues a target report for the next request.
func (f *Follower) Report(r TargetReport) {
	f.reports = append(f.reports, r)
}

// Leave drops the lease and stops following. The shell then sends a LeaveEntry.
func (f *Follower) Leave() {
	f.left = true
	f.holder.drop()
	f.relay.close("this relay leaves")
}

// Next returns a request to send now, if there is one. Call it until there is
// none.
func (f *Follower) Next(now sardine.Millis) (Ask, bool) {
	f.relay.tick(now)
	if f.left {
		return Ask{}, false
	}
	if f.main == nil {
		if now < f.mainAt() {
			return Ask{}, false
		}
		f.main = f.send(now, true)
		return f.main.ask, true
	}
	if f.prompt == nil && now >= f.promptAt() {
		f.prompt = f.send(now, false)
		return f.prompt.ask, true
	}
	return Ask{}, false
}

// mainAt returns when to send the next main request: at once, or as soon as the
// followers have asked again, but for at most Gather.
func (f *Follower) mainAt() sardine.Millis {
	if f.relay.complete() {
		return f.route.notUntil
	}
	return max(f.route.notUntil, f.readyAt)
}

// Wake returns when Next or the lease needs attention, if nothing else happens.
func (f *Follower) Wake() sardine.Millis {
	if f.left {
		return math.MaxInt64
	}
	next := f.relay.wake()
	if f.main == nil {
		return min(next, f.mainAt())
	}
	if f.prompt == nil {
		next = min(next, f.promptAt())
	}
	return next
}

func (f *Follower) send(now sardine.Millis, main bool) *sending {
	f.sequence++
	f.sentAt[f.sequence] = now
	delete(f.sentAt, f.sequence-maxSent)
	address, relay := f.route.next(now)
	c := f.relay.gather(now, f.underWay(), f.reportable())
	s := &sending{at: now, cover: c, main: main}
	s.ask = Ask{Address: address, Relay: relay, Timeout: f.route.probeTimeout(address), Request: Request{
		From:     f.self,
		Sequence: f.sequence,
		Applied:  c.applied,
		Have:     f.machine.Index(),
		SetHash:  hashRefs(c.set),
		Covered:  c.covered,
		Reports:  append(c.reports, f.reports...),
	}}
	f.reports = nil
	if f.setOwner != address || f.setKnown != s.ask.Request.SetHash {
		s.ask.Request.Set = c.set
	}
	if main && f.route.failures == 0 {
		s.ask.Request.Hold = f.timing.Hold
		s.ask.Timeout = f.timing.Hold + ReplyMargin
		if relay {
			s.ask.Timeout += RelayMargin
		}
	}
	return s
}

func (f *Follower) reportable() uint64 {
	if f.defect == DefectEarlyApplied {
		return f.machine.Index()
	}
	return f.published
}

// underWay returns the polls of followers that the main request includes.
func (f *Follower) underWay() map[uint64]bool {
	if f.main == nil {
		return nil
	}
	return f.main.cover.included
}

// take returns the request with the sequence and forgets it.
func (f *Follower) take(sequence uint64) *sending {
	for _, s := range []**sending{&f.main, &f.prompt} {
		if *s != nil && (*s).ask.Request.Sequence == sequence {
			found := *s
			*s = nil
			return found
		}
	}
	return nil
}

// Failed notes that a request got no answer in time, or an error of transport.
func (f *Follower) Failed(now sardine.Millis, sequence uint64) Outcome {
	s := f.take(sequence)
	if s == nil {
		return Outcome{}
	}
	f.unanswered(s)
	if f.besideHeld(s) {
		f.promptNotUntil = now + BackoffMost
	} else {
		f.route.failed(now, s.ask.Address, s.ask.Relay)
	}
	return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
}

// besideHeld reports whether a request was a prompt one beside a held poll that
// is under way: the held poll shows whether the address still answers.
func (f *Follower) besideHeld(s *sending) bool {
	return !s.main && f.main != nil
}

// unanswered notes what a request without a useful answer did not deliver. The
// followers stay: the next request carries their polls again.
func (f *Follower) unanswered(s *sending) {
	for _, r := range s.cover.reports {
		f.relay.wantFull[r.Home] = true
	}
	f.setOwner = ""
}

// Took takes in the answer to a request. An answer to a request that is no
// longer under way changes nothing. After an outcome with news or a restored
// state the shell publishes it and calls Published. The error is that of a
// snapshot which can't be read, or codes.InvariantBroken.
func (f *Follower) Took(now sardine.Millis, sequence uint64, r Reply) (Outcome, error) {
	s := f.take(sequence)
	if s == nil || f.left {
		return Outcome{}, nil
	}
	if r.Fault != nil {
		return f.refused(now, s, r.Fault), nil
	}
	if s.ask.Relay {
		f.route.relayed(now, r.Leader)
	} else {
		f.route.answered(now, s.ask.Address, r.Relay)
	}
	f.relay.leader = f.route.leader
	f.setOwner, f.setKnown = s.ask.Address, s.ask.Request.SetHash
	if r.WantSet {
		f.setOwner = ""
	}
	outcome, err := f.absorb(r)
	if err != nil {
		f.route.failed(now, s.ask.Address, s.ask.Relay)
		f.unanswered(s)
		f.relay.close("this relay can't read the log")
		return outcome, err
	}
	f.accept(now, r, &outcome)
	f.relay.upstream(now, s.cover, r, s.main)
	if s.main {
		f.readyAt = now + f.gatherTime(s.ask.Relay)
	}
	return outcome, nil
}

func (f *Follower) gatherTime(fromRelay bool) sardine.Millis {
	if fromRelay {
		return GatherInner
	}
	return Gather
}

func (f *Follower) refused(now sardine.Millis, s *sending, fault *Fault) Outcome {
	if fault.Code != codes.Superseded && f.besideHeld(s) {
		f.unanswered(s)
		f.promptNotUntil = now + BackoffMost
		return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
	}
	if fault.Code == codes.NotLeader && !s.ask.Relay {
		f.route.redirected(now, s.ask.Address, fault.Leader)
		return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
	}
	f.route.refused(now, s.ask.Address, s.ask.Relay)
	f.unanswered(s)
	if fault.Code == codes.Superseded {
		f.relay.close("this relay is superseded")
	}
	return Outcome{
		Superseded: fault.Code == codes.Superseded,
		WantFull:   len(s.ask.Request.Reports) > 0,
	}
}

// promptAt returns when to ask beside the held poll: at once with an urgent
// report of the own node, a little later for followers, so that several share
// one request.
func (f *Follower) promptAt() sardine.Millis {
	if slices.ContainsFunc(f.reports, func(r TargetReport) bool { return r.Urgent }) {
		return max(f.main.at, f.promptNotUntil)
	}
	return max(f.relay.promptAt(f.main.cover.included), f.promptNotUntil)
}
