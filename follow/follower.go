package follow

import (
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// maxSent bounds the requests whose send times are kept: a relay may grant a
// lease for an earlier request than the one it replies to.
const maxSent = 16

// OutgoingRequest is a request that the caller sends now. The caller passes the
// reply to HandleReply, or an error to HandleFailure, with the request's
// sequence number.
type OutgoingRequest struct {
	Address string
	ToRelay bool // the address is a relay's, not a control node's
	Request Request
	Timeout sardine.Millis
}

// Outcome is the effect of a reply or of a failed request.
type Outcome struct {
	Restored   bool     // a snapshot replaced the whole state
	Updates    []Update // the updates applied, oldest first
	Join       bool     // the node must join, by a JoinEntry to the control node
	Superseded bool     // a later incarnation has joined; the process must stop
	WantFull   bool     // the next target report must be full
}

// pendingPoll is a request that was sent and not yet answered.
type pendingPoll struct {
	ask       OutgoingRequest
	at        sardine.Millis
	aggregate aggregate
	main      bool
	hedge     bool
}

// Follower is the side of one entry node: it applies the log to its own state
// machine and keeps the node's serving lease. It is not safe for concurrent use.
type Follower struct {
	self        NodeRef
	address     string
	timing      Timing
	defect      Defect
	machine     *state.Machine
	published   uint64 // highest index whose state the node serves requests with
	sequence    uint64
	sentAt      map[uint64]sardine.Millis
	main        *pendingPoll   // held for updates, unless requests fail
	extra       *pendingPoll   // not held, sent while main is pending
	hedge       *pendingPoll   // to another control node, while main is late
	hedgeNext   sardine.Millis // earliest instant of the next hedge
	route       route
	leaseHolder leaseHolder
	relay       *Relay
	sentSetHash uint64 // hash of the set that was sent last
	sentSetTo   string // address that it was sent to, empty if it must be sent again
	gatherUntil sardine.Millis
	// extraNotBefore is the earliest instant of the next extra poll.
	extraNotBefore sardine.Millis
	reports        []TargetReport
	left           bool
}

// Option configures a Follower.
type Option func(*Follower)

// WithTiming sets the intervals.
func WithTiming(t Timing) Option {
	return func(f *Follower) { f.timing = t }
}

// WithDefect injects a defect. It is for tests only.
func WithDefect(d Defect) Option {
	return func(f *Follower) { f.defect = d }
}

// NewFollower returns the follower of an entry node with an empty state. address
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
	f.leaseHolder.defect = f.defect
	f.route = route{
		self:     address,
		controls: slices.Clone(controls),
		random:   random,
		retry:    f.timing.RelayAvoidance,
		avoided:  make(map[string]sardine.Millis),
		at:       random.IntN(max(len(controls), 1)),
	}
	f.relay = newRelay(self, f.timing, f.defect)
	f.relay.snapshot = func() ([]byte, uint64, error) {
		b, err := f.machine.EntrySnapshot()
		return b, f.machine.Index(), err
	}
	return f
}

// SetControls replaces the control nodes to poll while no leader is known.
func (f *Follower) SetControls(controls []string) {
	f.route.controls = slices.Clone(controls)
}

// Machine returns the state machine with all updates received so far. Only the
// goroutine that calls the follower may read it.
func (f *Follower) Machine() *state.Machine {
	return f.machine
}

// Relay returns the part that serves other entry nodes.
func (f *Follower) Relay() *Relay {
	return f.relay
}

// Lease returns the node's lease, which counts only grants whose floor the
// published state has reached.
func (f *Follower) Lease() Lease {
	return f.leaseHolder.lease
}

// ConfirmedAt returns the instant at which a leader last confirmed, through all relays
// in between, that this node's state was current. It is 0 before the first reply.
func (f *Follower) ConfirmedAt() sardine.Millis {
	return f.relay.confirmedAt
}

// ControlAddress returns the address of the control node to send commands to.
func (f *Follower) ControlAddress() string {
	return f.route.control()
}

// ThroughRelay reports whether the node polls a relay at present.
func (f *Follower) ThroughRelay() bool {
	return f.route.relay != ""
}

// MarkPublished records that every request admitted from now on is served with the
// state up to index. Only then is index reported to the leader as applied.
func (f *Follower) MarkPublished(index uint64) {
	f.published = max(f.published, index)
	f.leaseHolder.advanceTo(f.published)
}

// Report queues a target report for the next request.
func (f *Follower) Report(r TargetReport) {
	f.reports = append(f.reports, r)
}

// Leave drops the lease and stops following. The caller then submits a LeaveEntry.
func (f *Follower) Leave() {
	f.left = true
	f.leaseHolder.drop()
	f.relay.close("this relay leaves")
}

// Next returns a request to send now, if there is one. It is called until it
// returns false.
func (f *Follower) Next(now sardine.Millis) (OutgoingRequest, bool) {
	f.relay.tick(now)
	if f.left {
		return OutgoingRequest{}, false
	}
	if f.main == nil {
		if now < f.mainAt() {
			return OutgoingRequest{}, false
		}
		f.main = f.send(now, true)
		return f.main.ask, true
	}
	if f.extra == nil && now >= f.extraAt() {
		f.extra = f.send(now, false)
		return f.extra.ask, true
	}
	if f.hedge == nil && now >= f.hedgeAt() {
		f.hedge = f.sendHedge(now)
		return f.hedge.ask, true
	}
	return OutgoingRequest{}, false
}

// mainAt returns when to send the next main poll: as soon as all followers have
// polled again, and after at most GatherWait, or GatherWaitInner below another relay.
func (f *Follower) mainAt() sardine.Millis {
	if f.relay.complete() {
		return f.route.notBefore
	}
	return max(f.route.notBefore, f.gatherUntil)
}

// Wake returns when to call Next again if nothing else happens.
func (f *Follower) Wake() sardine.Millis {
	if f.left {
		return math.MaxInt64
	}
	next := f.relay.wake()
	if f.main == nil {
		return min(next, f.mainAt())
	}
	if f.extra == nil {
		next = min(next, f.extraAt())
	}
	if f.hedge == nil {
		next = min(next, f.hedgeAt())
	}
	return next
}

func (f *Follower) send(now sardine.Millis, main bool) *pendingPoll {
	f.sequence++
	f.sentAt[f.sequence] = now
	delete(f.sentAt, f.sequence-maxSent)
	address, relay := f.route.next(now)
	agg := f.relay.aggregate(now, f.includedInMain(), f.reportableIndex())
	s := &pendingPoll{at: now, aggregate: agg, main: main}
	s.ask = OutgoingRequest{Address: address, ToRelay: relay, Timeout: f.route.probeTimeout(address), Request: Request{
		From:     f.self,
		Sequence: f.sequence,
		Applied:  agg.applied,
		Have:     f.machine.Index(),
		SetHash:  hashRefs(agg.set),
		Covered:  agg.covered,
		Reports:  append(agg.reports, f.reports...),
	}}
	f.reports = nil
	if f.sentSetTo != address || f.sentSetHash != s.ask.Request.SetHash {
		s.ask.Request.Set = agg.set
	}
	if main && f.route.failures == 0 {
		s.ask.Request.Hold = f.timing.PollHold
		s.ask.Timeout = f.timing.PollHold + ReplyMargin
		if relay {
			s.ask.Timeout += RelayMargin
		}
	}
	return s
}

func (f *Follower) reportableIndex() uint64 {
	if f.defect == DefectEarlyApplied {
		return f.machine.Index()
	}
	return f.published
}

// includedInMain returns the ids of the followers' polls that the pending main
// poll includes.
func (f *Follower) includedInMain() map[uint64]bool {
	if f.main == nil {
		return nil
	}
	return f.main.aggregate.included
}

// takePending removes and returns the pending poll with the sequence number, or
// returns nil.
func (f *Follower) takePending(sequence uint64) *pendingPoll {
	for _, s := range []**pendingPoll{&f.main, &f.extra, &f.hedge} {
		if *s != nil && (*s).ask.Request.Sequence == sequence {
			found := *s
			*s = nil
			return found
		}
	}
	return nil
}

// HandleFailure handles a request that timed out or failed with a transport error.
func (f *Follower) HandleFailure(now sardine.Millis, sequence uint64) Outcome {
	s := f.takePending(sequence)
	if s == nil || s.hedge {
		return Outcome{}
	}
	f.recordUndelivered(s)
	if f.extraBesideMain(s) {
		f.extraNotBefore = now + MaxBackoff
	} else {
		f.route.failed(now, s.ask.Address, s.ask.ToRelay)
	}
	return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
}

// extraBesideMain reports whether s is an extra poll while the main poll is
// pending. Its failure does not count against the address: the main poll shows
// whether that still replies.
func (f *Follower) extraBesideMain(s *pendingPoll) bool {
	return !s.main && f.main != nil
}

// recordUndelivered makes the next requests repeat what s may not have delivered:
// the followers' reports in full, and the set of followers. The followers' polls
// remain and are included in the next request.
func (f *Follower) recordUndelivered(s *pendingPoll) {
	for _, r := range s.aggregate.reports {
		f.relay.wantFull[r.Home] = true
	}
	f.sentSetTo = ""
}

// HandleReply handles the reply to a request. A reply to a request that is no longer
// pending changes nothing. After an outcome with updates or a restored state the
// caller publishes the state and calls MarkPublished. HandleReply fails if the snapshot
// can't be decoded, or with codes.InvariantBroken.
func (f *Follower) HandleReply(now sardine.Millis, sequence uint64, r Reply) (Outcome, error) {
	s := f.takePending(sequence)
	if s == nil || f.left {
		return Outcome{}, nil
	}
	if r.Fault != nil && s.hedge {
		return f.handleHedgeFault(now, s, r.Fault), nil
	}
	if r.Fault != nil {
		return f.handleFault(now, s, r.Fault), nil
	}
	repeatReports := s.hedge && f.abandonMain() // the hedge has reached the leader
	if s.ask.ToRelay {
		f.route.relayed(now, r.Leader)
	} else {
		f.route.answered(now, s.ask.Address, r.Relay)
	}
	f.relay.leader = f.route.leader
	f.sentSetTo, f.sentSetHash = s.ask.Address, s.ask.Request.SetHash
	if r.WantSet {
		f.sentSetTo = ""
	}
	outcome, err := f.applyUpdates(r)
	if err != nil {
		f.route.failed(now, s.ask.Address, s.ask.ToRelay)
		f.recordUndelivered(s)
		f.relay.close("this relay can't read the log")
		return outcome, err
	}
	f.acceptOwn(now, r, &outcome)
	outcome.WantFull = outcome.WantFull || repeatReports
	f.relay.handleUpstream(now, s.aggregate, r, s.main)
	if s.main {
		f.gatherUntil = now + f.gatherTime(s.ask.ToRelay)
	}
	return outcome, nil
}

// gatherTime returns how long to wait for followers after a reply.
func (f *Follower) gatherTime(fromRelay bool) sardine.Millis {
	if fromRelay {
		return GatherWaitInner
	}
	return GatherWait
}

// handleFault handles a reply with a fault. For an extra poll beside the main poll
// it only delays the next extra poll, except for codes.Superseded.
func (f *Follower) handleFault(now sardine.Millis, s *pendingPoll, fault *Fault) Outcome {
	if fault.Code != codes.Superseded && f.extraBesideMain(s) {
		f.recordUndelivered(s)
		f.extraNotBefore = now + MaxBackoff
		return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
	}
	if fault.Code == codes.NotLeader && !s.ask.ToRelay {
		f.route.redirected(now, s.ask.Address, fault.Leader)
		if fault.Leader == "" { // one that only this node can't reach may lead nevertheless
			f.relay.recordLeaderless(now)
		}
		return Outcome{WantFull: len(s.ask.Request.Reports) > 0}
	}
	f.route.refused(now, s.ask.Address, s.ask.ToRelay)
	f.recordUndelivered(s)
	if fault.Code == codes.Superseded {
		f.relay.close("this relay is superseded")
	}
	return Outcome{
		Superseded: fault.Code == codes.Superseded,
		WantFull:   len(s.ask.Request.Reports) > 0,
	}
}

// extraAt returns when to send an extra poll while the main poll is pending: at
// once for an urgent report of this node, and after ExtraPollDelay for followers, so
// that several of them share one request.
func (f *Follower) extraAt() sardine.Millis {
	if slices.ContainsFunc(f.reports, func(r TargetReport) bool { return r.Urgent }) {
		return max(f.main.at, f.extraNotBefore)
	}
	return max(f.relay.extraAt(f.main.aggregate.included), f.extraNotBefore)
}
