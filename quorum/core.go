package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Defects disables individual safeguards, so that tests can prove that a
// checker detects the resulting fault. Production code leaves all of them
// false.
type Defects struct {
	UnsyncedVote           bool // a vote is sent before it is durable
	EarlyAcknowledge       bool // entries are acknowledged before they are durable
	OldTermCommit          bool // entries of earlier terms are committed by counting replicas
	VoteDespiteLeader      bool // votes are granted while a leader is active
	UnconfirmedRead        bool // reads are confirmed without a quorum round
	NewestListSnapshot     bool // snapshots are sent with the newest member list instead of their own
	SecondVote             bool // a second vote in a term is granted
	VoteAfterDataLoss      bool // a node that may have lost its data folder keeps voting
	ConcurrentMemberChange bool // a member change starts before the previous one is committed
	NoStepDown             bool // a leader without quorum contact does not step down
}

// Stored is the persistent state that a node loads when it starts.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot // without Data; zero for a new member that has not received a snapshot yet
	Base     Position // position of the entry before Entries[0]
	Entries  []Entry
}

// memberList is a member list and the index of the entry that contains it.
type memberList struct {
	index   uint64
	members []Member
}

func (l memberList) contains(n sardine.NodeID) bool {
	return slices.ContainsFunc(l.members, func(m Member) bool { return m.Node == n })
}

// Core is one member's consensus state. It is not safe for concurrent use.
type Core struct {
	id        sardine.NodeID
	timing    Timing
	limits    Limits
	random    sardine.Random
	defects   Defects
	newFolder uint64 // number for a data folder that has none yet
	err       error

	now         sardine.Millis
	role        Role
	hard        HardState
	queuedHard  HardState // as last queued for writing
	leader      sardine.NodeID
	leaderSince sardine.Millis
	log         memoryLog
	snapshot    Snapshot // newest durable snapshot, without Data
	memberLists []memberList
	commit      uint64
	delivered   uint64 // highest committed entry returned to the caller

	lastContact      sardine.Millis                    // time of the last message from a leader
	contacted        bool                              // lastContact is set
	lastLeader       sardine.NodeID                    // that lastContact belongs to
	heard            map[sardine.NodeID]sardine.Millis // time of the last message from each member; kept up to date while another node leads or none does
	electionAt       sardine.Millis
	heartbeatAt      sardine.Millis
	votes            map[sardine.NodeID]bool
	removed          bool // a member with an active leader reported that this node is not a member
	yielded          bool // deferred to another candidate since the last leader contact
	force            bool // this election is a leadership transfer
	peers            map[sardine.NodeID]*progress
	firstOfTerm      uint64 // index of the empty entry that starts this leader's term
	uncommittedBytes int    // of proposals
	partial          Chunk  // snapshot being received
	reads            reads

	out            Output
	sequence       uint64    // of the last write
	syncedSequence uint64    // highest write reported as durable
	hardSequence   uint64    // last write that contains the hard state
	durableIndex   uint64    // highest entry that is durable on this node
	pending        []pending // writes not reported as durable yet
}

// Option configures a Core.
type Option func(*Core)

// WithTiming sets the election timing.
func WithTiming(t Timing) Option {
	return func(c *Core) { c.timing = t }
}

// WithLimits sets the limits.
func WithLimits(l Limits) Option {
	return func(c *Core) { c.limits = l }
}

// WithFolder sets the number of the data folder if it has none yet. A folder
// that replaces a lost one must get a higher number.
func WithFolder(n uint64) Option {
	return func(c *Core) { c.newFolder = n }
}

// WithDefects disables safeguards. For tests only.
func WithDefects(d Defects) Option {
	return func(c *Core) { c.defects = d }
}

// New returns a core that starts as a follower with the stored state.
func New(id sardine.NodeID, random sardine.Random, stored Stored, now sardine.Millis, options ...Option) *Core {
	c := &Core{
		id:        id,
		timing:    DefaultTiming(),
		limits:    DefaultLimits(),
		random:    random,
		now:       now,
		role:      Follower,
		hard:      stored.Hard,
		log:       memoryLog{base: stored.Base, entries: stored.Entries},
		snapshot:  stored.Snapshot,
		commit:    stored.Snapshot.Index,
		delivered: stored.Snapshot.Index,
		votes:     make(map[sardine.NodeID]bool),
		peers:     make(map[sardine.NodeID]*progress),
	}
	for _, o := range options {
		o(c)
	}
	c.durableIndex = c.log.last().Index
	c.hard.Term = max(c.hard.Term, c.log.last().Term)
	c.queuedHard = c.hard
	c.leaderSince = now
	c.memberLists = []memberList{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			c.recordMembers(e)
		}
	}
	if c.hard.Folder == 0 {
		c.hard.Folder = c.newFolder
		c.writeHard()
	}
	c.resetElectionTimeout()
	if c.timing.FirstElectionMax > 0 && c.mayLead() {
		// If all members started at once, there is no leader to wait for. If there is
		// one, members in contact with it reject the pre-vote.
		c.electionAt = now + sardine.Millis(random.IntN(int(c.timing.FirstElectionMax)))
	}
	return c
}

// Step handles a message from another member.
func (c *Core) Step(now sardine.Millis, m Message) {
	if c.err != nil || m.To != c.id {
		return
	}
	c.setNow(now)
	c.recordContactWith(m.From)
	if m.Term > c.hard.Term && !c.stepHigherTerm(m) {
		return
	}
	if m.Term < c.hard.Term {
		c.stepLowerTerm(m)
		return
	}
	c.stepSameTerm(m)
}

// stepHigherTerm handles a message of a higher term and reports whether the
// caller must process it further.
func (c *Core) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		c.handlePreVote(m)
		return false
	case PreVoteReply:
		if !m.Reject {
			c.countPreVote(m)
			return false
		}
	case Vote:
		if c.hasActiveLeader() && !m.Force {
			return false
		}
	}
	c.becomeFollower(m.Term, "")
	return true
}

// stepLowerTerm rejects a message of an earlier term; the reply carries the
// current one.
func (c *Core) stepLowerTerm(m Message) {
	switch m.Kind {
	case PreVote:
		c.rejectPreVote(m)
	case Vote:
		c.send(Message{Kind: VoteReply, To: m.From, Reject: true})
	case Append, Heartbeat, Install:
		c.send(Message{Kind: HeartbeatReply, To: m.From, Reject: true})
	}
}

func (c *Core) stepSameTerm(m Message) {
	switch m.Kind {
	case PreVote:
		c.handlePreVote(m)
	case PreVoteReply:
		c.handlePreVoteReject(m)
	case Vote:
		c.handleVote(m)
	case VoteReply:
		c.countVote(m)
	case Append:
		c.handleAppend(m)
	case Heartbeat:
		c.handleHeartbeat(m)
	case Install:
		c.handleInstall(m)
	case ElectNow:
		c.handleElectNow(m)
	case AppendReply:
		c.handleAppendReply(m)
	case HeartbeatReply:
		c.handleHeartbeatReply(m)
	case InstallReply:
		c.handleInstallReply(m)
	}
}

// Tick processes the timeouts that are due. Call it at NextTick or more often.
func (c *Core) Tick(now sardine.Millis) {
	if c.err != nil {
		return
	}
	c.setNow(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionAt {
		c.startElection()
	}
}

// NextTick returns the time by which Tick must be called next.
func (c *Core) NextTick() sardine.Millis {
	if c.role == Leader && c.defects.NoStepDown {
		return c.heartbeatAt
	}
	if c.role == Leader {
		return min(c.heartbeatAt, c.stepDownAt())
	}
	return c.electionAt
}

// Propose appends a command and returns the position of its entry. Errors:
// codes.NotLeader, codes.NoQuorum, codes.QueueFull and codes.InvariantBroken; the
// command was not appended.
func (c *Core) Propose(now sardine.Millis, data []byte) (Position, error) {
	if err := c.mayPropose(now); err != nil {
		return Position{}, err
	}
	if c.uncommittedBytes+len(data) > c.limits.UncommittedBytes && c.uncommittedBytes > 0 {
		return Position{}, codes.New(codes.QueueFull, "%d bytes of changes wait for a quorum", c.uncommittedBytes)
	}
	return c.appendAsLeader(Entry{Kind: KindCommand, Data: data}), nil
}

func (c *Core) mayPropose(now sardine.Millis) error {
	if c.err != nil {
		return c.err
	}
	c.setNow(now)
	if c.role == Leader {
		return nil
	}
	if c.leader == "" {
		return codes.New(codes.NoQuorum, "no leader is known in term %d", c.hard.Term)
	}
	return codes.New(codes.NotLeader, "control node %s at %s leads", c.leader, c.memberAddress(c.leader))
}

// appendAsLeader appends an entry in the current term and queues its write.
func (c *Core) appendAsLeader(e Entry) Position {
	e.Index = c.log.last().Index + 1
	e.Term = c.hard.Term
	c.log.add(e)
	c.uncommittedBytes += e.size()
	c.recordMembers(e)
	c.writeEntries([]Entry{e})
	return Position{Index: e.Index, Term: e.Term}
}

// SnapshotSaved records that a snapshot is durable and drops the entries that it
// covers, except for those kept for slow followers.
func (c *Core) SnapshotSaved(s Snapshot) {
	if c.err != nil || s.Index <= c.snapshot.Index || !c.check(s.Index <= c.commit, "snapshot at %d is beyond commit %d", s.Index, c.commit) {
		return
	}
	s.Data = nil
	c.snapshot = s
	c.log.compact(c.log.compactionIndex(s.Index, c.limits.KeepEntries, c.limits.KeepBytes))
	c.trimMemberLists(s.Index)
}

func (c *Core) setNow(now sardine.Millis) {
	c.now = max(c.now, now)
}

// check stops the core if an invariant is violated.
func (c *Core) check(ok bool, format string, args ...any) bool {
	if !ok && c.err == nil {
		c.err = codes.New(codes.InvariantBroken, "quorum: "+format, args...)
	}
	return ok
}

// recordMembers records the member list that an entry contains, if any.
func (c *Core) recordMembers(e Entry) {
	if e.Kind != KindMembers {
		return
	}
	c.memberLists = append(c.memberLists, memberList{index: e.Index, members: e.Members})
	c.updatePeers()
}

// dropMemberLists drops the member lists of the entries from index on.
func (c *Core) dropMemberLists(index uint64) {
	for len(c.memberLists) > 1 && c.memberLists[len(c.memberLists)-1].index >= index {
		c.memberLists = c.memberLists[:len(c.memberLists)-1]
	}
	c.updatePeers()
}

// trimMemberLists drops the member lists that a newer one at or below index
// replaced.
func (c *Core) trimMemberLists(index uint64) {
	for len(c.memberLists) > 1 && c.memberLists[1].index <= index {
		c.memberLists = slices.Clone(c.memberLists[1:])
	}
}
