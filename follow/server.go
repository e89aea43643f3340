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

// assignPause is how often the server plans the relays anew.
const assignPause = 1 * sardine.Second

// poll is a request that was not answered yet.
type poll struct {
	id        uint64
	r         Request
	arrived   sardine.Millis
	until     sardine.Millis // end of its hold time
	asked     bool           // a quorum round for it is under way
	confirmed bool           // the round ended
	reply     Reply
}

// Server is the leader's side: it keeps the polls of the nodes that ask a
// control node, grants their leases and answers with news. It is not safe for
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
	polls    map[uint64]*poll
	sets     map[sardine.NodeID][]NodeRef
	wantFull map[sardine.NodeID]bool
	parents  map[sardine.NodeID]string
	heard    []NodeRef
	assignAt sardine.Millis
	answers  []Answer
}

// ServerOption changes a server under construction.
type ServerOption func(*Server)

// WithSnapshot sets the source of snapshots for nodes that lag too far: the
// machine's SpreadSnapshot and the index it reaches.
func WithSnapshot(take func() ([]byte, uint64, error)) ServerOption {
	return func(s *Server) { s.snapshot = take }
}

// WithServerTiming sets the intervals.
func WithServerTiming(t Timing) ServerOption {
	return func(s *Server) { s.timing = t }
}

// WithServerDefect plants a defect. For tests only.
func WithServerDefect(d Defect) ServerOption {
	return func(s *Server) { s.defect = d }
}

// NewServer returns a server that does not lead.
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
	s.heard = nil
	s.assignAt = 0
}

// Lead starts a term once the ledger does.
func (s *Server) Lead(term uint64) {
	s.clear()
	s.leading = true
	s.term = term
}

// Restored forgets the news, after the machine was restored from a snapshot that
// reaches index. It is called at the start too.
func (s *Server) Restored(index uint64) {
	s.cache.reset(index)
}

// Resign answers every poll with codes.NotLeader. Leader is the address of the
// node that leads now, if known.
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

// Applied takes in an entry that was committed and applied, whether or not the
// node leads; c is nil for one without a command.
func (s *Server) Applied(index uint64, at state.WallTime, c state.Command) {
	if c == nil || !state.Spread(c) {
		s.cache.reach(index)
		return
	}
	s.cache.add(News{Index: index, At: at, Command: c})
}

// WantFull makes the next answer to a home node ask for a full target report.
func (s *Server) WantFull(home sardine.NodeID) {
	s.wantFull[home] = true
}

// Arrived takes in a request, which Answers answers under id.
func (s *Server) Arrived(now sardine.Millis, id uint64, r Request) {
	p := &poll{id: id, r: r, arrived: now, until: now + min(r.Hold, s.timing.Hold)}
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
		p.asked = true
		s.Confirmed(now, []uint64{id})
	}
}

// Round returns the polls that wait for a quorum round. The caller starts one
// now and hands them to Confirmed or Failed.
func (s *Server) Round() []uint64 {
	var ids []uint64
	for id, p := range s.polls {
		if !p.asked {
			p.asked = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Confirmed grants leases to the polls for which a quorum round was started
// after their arrival and has ended.
func (s *Server) Confirmed(now sardine.Millis, ids []uint64) {
	for _, id := range ids {
		if p, waits := s.polls[id]; waits && !p.confirmed {
			p.confirmed = true
			s.grant(now, p)
		}
	}
}

// Gone notes that the asking side of a request has given up.
func (s *Server) Gone(id uint64) {
	delete(s.polls, id)
}

// Failed answers polls whose quorum round failed.
func (s *Server) Failed(ids []uint64, code codes.Code, detail string) {
	for _, id := range ids {
		if p, waits := s.polls[id]; waits {
			s.answer(p, faultReply(code, detail, ""))
		}
	}
}

// grant renews the leases of the asking node and of all that it covers.
func (s *Server) grant(now sardine.Millis, p *poll) {
	s.grantOne(now, p, p.r.From)
	set, known := s.setOf(p.r)
	p.reply.WantSet = !known
	for i, ref := range set {
		if i < len(p.r.Covered) && p.r.Covered[i] {
			s.grantOne(now, p, ref)
		}
	}
}

func (s *Server) grantOne(now sardine.Millis, p *poll, ref NodeRef) {
	g, err := s.ledger.Granted(now, ref.Node, ref.Incarnation, p.r.Sequence, p.r.Applied)
	if err != nil {
		p.reply.Refused = append(p.reply.Refused, Refusal{Ref: ref, Code: codes.Of(err)})
		return
	}
	p.reply.Grant = &g
	s.heard = append(s.heard, ref)
}

// Heard returns the nodes that were granted a lease since the last call: each of
// them has asked, and so vouches for the targets that it reported.
func (s *Server) Heard() []NodeRef {
	all := s.heard
	s.heard = nil
	return all
}

// setOf returns the nodes that follow through the asking node. Without them the
// grant is for the asking node alone.
func (s *Server) setOf(r Request) ([]NodeRef, bool) {
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
		s.assignAt = now + assignPause
		s.parents = Assign(now, s.ledger.Holders())
	}
	for _, p := range s.sorted() {
		if s.due(now, p) {
			s.answerNews(now, p)
		}
	}
}

func (s *Server) due(now sardine.Millis, p *poll) bool {
	if !p.confirmed {
		return false
	}
	return now >= p.until || s.cache.newer(p.r.Have) || p.reply.WantSet || len(p.reply.Refused) > 0 || s.wantsFull(p)
}

func (s *Server) wantsFull(p *poll) bool {
	if len(s.wantFull) == 0 {
		return false
	}
	return s.wantFull[p.r.From.Node] || slices.ContainsFunc(s.sets[p.r.From.Node], func(ref NodeRef) bool { return s.wantFull[ref.Node] })
}

// answerNews completes the reply of a confirmed poll.
func (s *Server) answerNews(now sardine.Millis, p *poll) {
	reply := p.reply
	reply.Term = s.term
	reply.Fresh = now - p.arrived
	reply.Relay = s.parents[p.r.From.Node]
	reply.WantFull = s.takeWantFull(p)
	news, ok := s.cache.since(p.r.Have)
	reply.After, reply.Through, reply.News = p.r.Have, s.cache.through, news
	if !ok {
		whole, news, err := s.cache.whole(s.snapshot)
		if err != nil {
			s.answer(p, faultReply(codes.Of(err), err.Error(), ""))
			return
		}
		reply.Snapshot, reply.After, reply.News = whole.bytes, whole.index, news
		reply.Through = max(whole.index, s.cache.through)
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
	s.answers = append(s.answers, Answer{ID: p.id, Reply: r})
}

// Answers returns the replies that are ready and forgets them.
func (s *Server) Answers() []Answer {
	all := s.answers
	s.answers = nil
	return all
}

// Wake returns when Tick is due next, if nothing else happens.
func (s *Server) Wake() sardine.Millis {
	next := sardine.Millis(math.MaxInt64)
	for _, p := range s.polls {
		if p.confirmed {
			next = min(next, p.until)
		}
	}
	return next
}

// Held returns the number of polls that wait.
func (s *Server) Held() int {
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
