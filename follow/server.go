package follow

import (
	"cmp"
	"math"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/state"
)

// assignInterval is how often the server assigns relays.
const assignInterval = 1 * sardine.Second

// poll is a request that was not answered yet, at a server or a relay.
type poll struct {
	id           uint64
	r            Request
	arrived      sardine.Millis
	until        sardine.Millis // end of its hold time
	roundStarted bool           // a quorum round for it was started
	confirmed    bool           // the round succeeded
	refreshed    bool           // it was decided whether it needs another round at the end of its hold time
	refreshing   bool           // that round is in progress
	index        uint64         // of the newest entry that was committed when it was confirmed
	reply        Reply
}

// Confirmation is the result of a quorum round: this node led at the instant At, and
// every entry committed until then has an index of at most Index.
type Confirmation struct {
	At    sardine.Millis // no later than the start of the round
	Index uint64
}

// Server is the side of the leader: it keeps the polls of the nodes that poll a
// control node, grants their leases and replies with updates. It is not safe for
// concurrent use.
type Server struct {
	ledger   *lease.Ledger
	timing   Timing
	defect   Defect
	snapshot func() ([]byte, uint64, error)
	leading  bool
	term     uint64
	leader   string
	cache    cache
	// currentAt is the newest instant as of which the cache is known to hold every
	// committed update, 0 before the first.
	currentAt sardine.Millis
	ahead     []Confirmation // of entries that the cache does not hold yet
	polls     map[uint64]*poll
	sets      map[sardine.NodeID][]NodeRef // nodes below each node that polls
	wantFull  map[sardine.NodeID]bool      // home nodes whose next report must be full
	parents   map[sardine.NodeID]string    // address of the relay assigned to each node
	granted   []NodeRef                    // granted a lease since the last call of TakeGranted
	roundAt   sardine.Millis               // earliest instant of the next quorum round
	assignAt  sardine.Millis
	replies   []PollReply
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithSnapshot sets the function that returns a snapshot for nodes that lag too
// far behind, and its index: EntrySnapshot of the state machine.
func WithSnapshot(takeSnapshot func() ([]byte, uint64, error)) ServerOption {
	return func(s *Server) { s.snapshot = takeSnapshot }
}

// WithServerTiming sets the intervals.
func WithServerTiming(t Timing) ServerOption {
	return func(s *Server) { s.timing = t }
}

// WithServerDefect injects a defect. It is for tests only.
func WithServerDefect(d Defect) ServerOption {
	return func(s *Server) { s.defect = d }
}

// NewServer returns a server that does not lead yet.
func NewServer(ledger *lease.Ledger, options ...ServerOption) *Server {
	s := &Server{ledger: ledger, timing: DefaultTiming()}
	s.snapshot = func() ([]byte, uint64, error) {
		return nil, 0, codes.New(codes.Internal, "the server has no source of snapshots")
	}
	for _, o := range options {
		o(s)
	}
	s.clear()
	return s
}

func (s *Server) clear() {
	s.polls = make(map[uint64]*poll)
	s.sets = make(map[sardine.NodeID][]NodeRef)
	s.wantFull = make(map[sardine.NodeID]bool)
	s.parents = nil
	s.granted = nil
	s.assignAt = 0
	s.currentAt = 0
	s.roundAt = 0
	s.ahead = nil
}

// Lead starts a term. The ledger must have started it before.
func (s *Server) Lead(term uint64) {
	s.clear()
	s.leading = true
	s.term = term
}

// Restored drops the cached updates after the state machine was restored from a
// snapshot of the given index. It is also called at the start.
func (s *Server) Restored(index uint64) {
	s.cache.reset(index)
	s.confirmCache()
}

// Resign ends the term and answers every poll with codes.NotLeader. leader is the
// address of the node that leads now, empty if unknown.
func (s *Server) Resign(leader string) {
	s.leading = false
	s.leader = leader
	for _, p := range s.sorted() {
		s.answer(p, s.notLeader())
	}
	s.clear()
}

func (s *Server) notLeader() Reply {
	return faultReply(codes.NotLeader, "this control node does not lead", s.leader)
}

func faultReply(code codes.Code, detail, leader string) Reply {
	return Reply{Fault: &Fault{Code: code, Detail: detail, Leader: leader}}
}

// Applied records a committed and applied log entry, whether or not the node
// leads; c is nil for an entry without a command.
func (s *Server) Applied(index uint64, at state.WallTime, c state.Command) {
	if c == nil || !state.SentToEntries(c) {
		s.cache.advanceTo(index)
	} else {
		s.cache.add(Update{Index: index, At: at, Command: c})
	}
	s.confirmCache()
}

// confirmCache applies the confirmations whose entries the cache holds.
func (s *Server) confirmCache() {
	s.ahead = slices.DeleteFunc(s.ahead, func(c Confirmation) bool {
		if c.Index > s.cache.through {
			return false
		}
		s.currentAt = max(s.currentAt, c.At)
		return true
	})
}

// WantFull makes the next reply to a home node request a full target report.
func (s *Server) WantFull(home sardine.NodeID) {
	s.wantFull[home] = true
}

// HandleRequest handles a request. TakeReplies returns the reply with the same id.
func (s *Server) HandleRequest(now sardine.Millis, id uint64, r Request) {
	p := &poll{id: id, r: r, arrived: now, until: now + min(r.Hold, s.timing.PollHold)}
	switch {
	case !s.leading:
		s.answer(p, s.notLeader())
		return
	case len(s.polls) >= MaxPolls:
		s.answer(p, faultReply(codes.LimitReached, "too many polls", ""))
		return
	}
	s.polls[id] = p
	if s.defect == DefectNoRound {
		p.roundStarted = true
		s.ConfirmPolls(now, Confirmation{At: now, Index: s.cache.through}, []uint64{id})
	}
}

const (
	// refreshLead is how long before the end of its hold time a poll gets another quorum
	// round if the newest one is older than refreshAge: the reply says as of when the
	// leader has confirmed it.
	refreshLead = 30 * sardine.Millis(1)
	// refreshAge is below the time between the rounds of a few entry nodes, and above that
	// of many, whose polls need no further rounds.
	refreshAge = 100 * sardine.Millis(1)
	// refreshWait is how long after its hold time a reply waits for that round. It is
	// half of ReplyMargin.
	refreshWait = ReplyMargin / 2
)

// TakeUnconfirmed returns the ids of the polls that need a quorum round. The caller
// starts one now and passes the ids to ConfirmPolls or FailPolls. Polls that arrive
// within RoundInterval of a round share the next one.
func (s *Server) TakeUnconfirmed(now sardine.Millis) []uint64 {
	var ids []uint64
	for id, p := range s.polls {
		refresh := s.mayRefresh(now, p)
		if refresh && s.currentAt >= now-refreshAge {
			p.refreshed = true
			continue
		}
		if p.roundStarted && !refresh || now < s.roundAt {
			continue
		}
		p.roundStarted = true
		p.refreshed, p.refreshing = refresh, refresh
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		s.roundAt = now + RoundInterval
	}
	slices.Sort(ids)
	return ids
}

// HasUnconfirmed reports whether polls wait for the next quorum round.
func (s *Server) HasUnconfirmed() bool {
	for _, p := range s.polls {
		if !p.roundStarted {
			return true
		}
	}
	return false
}

// mayRefresh reports whether a poll is about to be answered without an update.
func (s *Server) mayRefresh(now sardine.Millis, p *poll) bool {
	return s.defect != DefectNoRound && p.confirmed && !p.refreshed && now >= p.until-refreshLead && now < p.until
}

// ConfirmPolls grants leases to the polls for which a quorum round was started
// after their arrival and has ended. They are answered once the cache holds what was
// committed then.
func (s *Server) ConfirmPolls(now sardine.Millis, c Confirmation, ids []uint64) {
	s.ahead = append(s.ahead, c)
	s.confirmCache()
	for _, id := range ids {
		p, pending := s.polls[id]
		if !pending {
			continue
		}
		p.index, p.refreshing = max(p.index, c.Index), false
		if !p.confirmed {
			p.confirmed = true
			s.grant(now, p)
		}
	}
}

// CancelRequest drops a request whose sender no longer waits for the reply.
func (s *Server) CancelRequest(id uint64) {
	delete(s.polls, id)
}

// FailPolls answers polls whose quorum round failed.
func (s *Server) FailPolls(ids []uint64, code codes.Code, detail string) {
	for _, id := range ids {
		if p, pending := s.polls[id]; pending {
			s.answer(p, faultReply(code, detail, ""))
		}
	}
}

// grant renews the leases of the node that sent the poll and of the nodes below
// it whose polls the request covers.
func (s *Server) grant(now sardine.Millis, p *poll) {
	s.grantOne(now, p, p.r.From)
	set, known := s.followersOf(p.r)
	p.reply.WantSet = !known
	for i, ref := range set {
		if i < len(p.r.Covered) && p.r.Covered[i] {
			s.grantOne(now, p, ref)
		}
	}
}

func (s *Server) grantOne(now sardine.Millis, p *poll, ref NodeRef) {
	g, err := s.ledger.Grant(now, ref.Node, ref.Incarnation, p.r.Sequence, p.r.Applied)
	if err != nil {
		p.reply.Refused = append(p.reply.Refused, Refusal{Ref: ref, Code: codes.Of(err)})
		return
	}
	p.reply.Grant = &g
	s.granted = append(s.granted, ref)
}

// TakeGranted returns the nodes that were granted a lease since the last call. Each of
// them has polled, which confirms as alive the targets that it reported.
func (s *Server) TakeGranted() []NodeRef {
	all := s.granted
	s.granted = nil
	return all
}

// followersOf returns the nodes below the node that sent the request, and whether
// they are known. If not, the grant is for the sender alone.
func (s *Server) followersOf(r Request) ([]NodeRef, bool) {
	if r.SetHash == 0 {
		delete(s.sets, r.From.Node)
		return nil, true
	}
	if hashRefs(r.Set) == r.SetHash {
		s.sets[r.From.Node] = r.Set
	}
	set := s.sets[r.From.Node]
	if hashRefs(set) != r.SetHash {
		return nil, false
	}
	return set, true
}

// Tick answers the polls that are due.
func (s *Server) Tick(now sardine.Millis) {
	if !s.leading {
		return
	}
	if now >= s.assignAt {
		s.assignAt = now + assignInterval
		s.parents = AssignRelays(now, s.ledger.Holders())
	}
	for _, p := range s.sorted() {
		if s.due(now, p) {
			s.answerWithUpdates(p)
		}
	}
}

func (s *Server) due(now sardine.Millis, p *poll) bool {
	if !p.confirmed || p.index > s.cache.through {
		return false
	}
	return now >= p.answerAt() || s.cache.hasNewer(p.r.Have) || p.reply.WantSet || len(p.reply.Refused) > 0 || s.wantsFull(p)
}

// answerAt returns when to answer a poll without updates.
func (p *poll) answerAt() sardine.Millis {
	if p.refreshing {
		return p.until + refreshWait
	}
	return p.until
}

func (s *Server) wantsFull(p *poll) bool {
	if len(s.wantFull) == 0 {
		return false
	}
	return s.wantFull[p.r.From.Node] || slices.ContainsFunc(s.sets[p.r.From.Node], func(ref NodeRef) bool { return s.wantFull[ref.Node] })
}

// answerWithUpdates completes and queues the reply to a confirmed poll.
func (s *Server) answerWithUpdates(p *poll) {
	reply := p.reply
	reply.Term = s.term
	reply.ConfirmedOffset = s.currentAt - p.arrived
	reply.Relay = s.parents[p.r.From.Node]
	reply.WantFull = s.takeWantFull(p)
	updates, ok := s.cache.since(p.r.Have)
	reply.After, reply.Through, reply.Updates = p.r.Have, s.cache.through, updates
	if !ok {
		snap, updates, err := s.cache.snapshotAndUpdates(s.snapshot)
		if err != nil {
			s.answer(p, faultReply(codes.Of(err), err.Error(), ""))
			return
		}
		reply.Snapshot, reply.After, reply.Updates = snap.bytes, snap.index, updates
		reply.Through = max(snap.index, s.cache.through)
	}
	s.answer(p, reply)
}

func (s *Server) takeWantFull(p *poll) []sardine.NodeID {
	if len(s.wantFull) == 0 {
		return nil
	}
	var homes []sardine.NodeID
	for _, ref := range append([]NodeRef{p.r.From}, s.sets[p.r.From.Node]...) {
		if s.wantFull[ref.Node] {
			homes = append(homes, ref.Node)
			delete(s.wantFull, ref.Node)
		}
	}
	return homes
}

func (s *Server) answer(p *poll, r Reply) {
	delete(s.polls, p.id)
	s.replies = append(s.replies, PollReply{ID: p.id, Reply: r})
}

// TakeReplies returns and removes the replies that are ready.
func (s *Server) TakeReplies() []PollReply {
	all := s.replies
	s.replies = nil
	return all
}

// Wake returns when to call Tick next if nothing else happens.
func (s *Server) Wake() sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	for _, p := range s.polls {
		switch {
		case !p.roundStarted:
			next = min(next, s.roundAt)
		case !p.confirmed:
		case p.refreshed:
			next = min(next, p.answerAt())
		default:
			next = min(next, max(p.until-refreshLead, s.roundAt))
		}
	}
	return next
}

// PendingPolls returns the number of pending polls.
func (s *Server) PendingPolls() int {
	return len(s.polls)
}

func (s *Server) sorted() []*poll {
	return sortedPolls(s.polls)
}

func sortedPolls(polls map[uint64]*poll) []*poll {
	all := make([]*poll, 0, len(polls))
	for _, p := range polls {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *poll) int { return cmp.Compare(a.id, b.id) })
	return all
}
