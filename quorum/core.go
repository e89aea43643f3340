package quorum

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Defects switch off single safeguards, so that tests can show that a check
// notices. Production code leaves them all false.
type Defects struct {
	UnsyncedVote     bool // a vote is answered before it is durable
	EarlyAcknowledge bool // entries are acknowledged before they are durable
	OldTermCommit    bool // entries of earlier terms are committed by counting
	NoDisturbCheck   bool // votes are granted while a leader is heard
	UnconfirmedRead  bool // reads are confirmed without a quorum round
	UnlistedSnapshot bool // snapshots are installed without their member list
	ForgottenVote    bool // a second vote in a term is granted
	AmnesicVote      bool // a node whose folder was emptied votes on
	OverlappedChange bool // a member change starts before the last one is committed
	LeaseForever     bool // a leader without quorum contact goes on
}

// Stored is what a node finds on its disk when it starts.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot // without Data; zero for a new member that waits for its first snapshot
	Base     Position // entry before Entries[0]
	Entries  []Entry
}

// membership is a member list and the entry that brought it.
type membership struct {
	index   uint64
	members []Member
}

func (l membership) holds(n sardine.NodeID) bool {
	return slices.ContainsFunc(l.members, func(m Member) bool { return m.Node == n })
}

// Core is one member's consensus state. It is not safe for concurrent use.
type Core struct {
	id      sardine.NodeID
	timing  Timing
	limits  Limits
	random  sardine.Random
	defects Defects
	folder  uint64 // for a new folder
	err     error

	now         sardine.Millis
	role        Role
	hard        HardState
	written     HardState // as last handed out to be stored
	leader      sardine.NodeID
	leaderSince sardine.Millis
	log         memory
	snapshot    Snapshot // newest durable one, without Data
	lists       []membership
	commit      uint64
	handed      uint64 // committed entries given to the caller

	heardAt     sardine.Millis // last message of the leader
	heard       bool           // heardAt is set
	electionAt  sardine.Millis
	heartbeatAt sardine.Millis
	votes       map[sardine.NodeID]bool
	removed     bool // a member that hears a leader does not list this node
	yielded     bool // stood back from an election since a leader was heard
	force       bool // this election is on behalf of the last leader
	peers       map[sardine.NodeID]*progress
	firstOfTerm uint64 // index of the leader's empty entry
	waiting     int    // bytes of uncommitted proposals
	partial     Chunk  // snapshot being received
	reads       reads

	out          Output
	sequence     uint64
	synced       uint64
	hardSequence uint64
	durable      uint64
	pending      []pending
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

// WithFolder numbers the data folder, if it has no number yet. A folder that
// replaces a lost one must get a higher number.
func WithFolder(n uint64) Option {
	return func(c *Core) { c.folder = n }
}

// WithDefects switches off safeguards. Tests only.
func WithDefects(d Defects) Option {
	return func(c *Core) { c.defects = d }
}

// New returns a core that starts as a follower with what its disk holds.
func New(id sardine.NodeID, random sardine.Random, stored Stored, now sardine.Millis, options ...Option) *Core {
	c := &Core{
		id:       id,
		timing:   DefaultTiming(),
		limits:   DefaultLimits(),
		random:   random,
		now:      now,
		role:     Follower,
		hard:     stored.Hard,
		log:      memory{base: stored.Base, entries: stored.Entries},
		snapshot: stored.Snapshot,
		commit:   stored.Snapshot.Index,
		handed:   stored.Snapshot.Index,
		votes:    make(map[sardine.NodeID]bool),
		peers:    make(map[sardine.NodeID]*progress),
	}
	for _, o := range options {
		o(c)
	}
	c.durable = c.log.last().Index
	c.hard.Term = max(c.hard.Term, c.log.last().Term)
	c.written = c.hard
	c.lists = []membership{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			c.noteMembers(e)
		}
	}
	if c.hard.Folder == 0 {
		c.hard.Folder = c.folder
		c.writeHard()
	}
	c.resetElection()
	if c.timing.First > 0 && c.mayLead() {
		// All members may have started at once. If there is a leader, the others hear
		// it and refuse the pre-vote.
		c.electionAt = now + sardine.Millis(random.IntN(int(c.timing.First)))
	}
	return c
}

// Step takes a message of another member.
func (c *Core) Step(now sardine.Millis, m Message) {
	if c.err != nil || m.To != c.id {
		return
	}
	c.setNow(now)
	if m.Term > c.hard.Term && !c.stepNewer(m) {
		return
	}
	if m.Term < c.hard.Term {
		c.stepOlder(m)
		return
	}
	c.stepEqual(m)
}

// stepNewer handles a higher term and reports whether m is to be handled on.
func (c *Core) stepNewer(m Message) bool {
	switch m.Kind {
	case PreVote:
		c.answerPreVote(m)
		return false
	case PreVoteReply:
		if !m.Reject {
			c.countPreVote(m)
			return false
		}
	case Vote:
		if c.hearsLeader() && !m.Force {
			return false
		}
	}
	c.becomeFollower(m.Term, "")
	return true
}

// stepOlder tells a sender of an earlier term about the current one.
func (c *Core) stepOlder(m Message) {
	switch m.Kind {
	case PreVote:
		c.refusePreVote(m)
	case Vote:
		c.send(Message{Kind: VoteReply, To: m.From, Reject: true})
	case Append, Heartbeat, Install:
		c.send(Message{Kind: HeartbeatReply, To: m.From, Reject: true})
	}
}

func (c *Core) stepEqual(m Message) {
	switch m.Kind {
	case PreVote:
		c.answerPreVote(m)
	case PreVoteReply:
		c.noteRefusal(m)
	case Vote:
		c.answerVote(m)
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

// Tick lets time pass. Call it at NextTick, or more often.
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

// NextTick returns the instant at which Tick must be called next.
func (c *Core) NextTick() sardine.Millis {
	if c.role == Leader && c.defects.LeaseForever {
		return c.heartbeatAt
	}
	if c.role == Leader {
		return min(c.heartbeatAt, c.contactEnds())
	}
	return c.electionAt
}

// Propose appends a command. It returns the entry's position, or
// codes.NotLeader, codes.NoQuorum or codes.QueueFull; in these cases the command
// was surely not appended.
func (c *Core) Propose(now sardine.Millis, data []byte) (Position, error) {
	if err := c.mayPropose(now); err != nil {
		return Position{}, err
	}
	if c.waiting+len(data) > c.limits.UncommittedBytes && c.waiting > 0 {
		return Position{}, codes.New(codes.QueueFull, "%d bytes of changes wait for a quorum", c.waiting)
	}
	return c.appendOwn(Entry{Kind: KindCommand, Data: data}), nil
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

// appendOwn adds an entry of the leader.
func (c *Core) appendOwn(e Entry) Position {
	e.Index = c.log.last().Index + 1
	e.Term = c.hard.Term
	c.log.add(e)
	c.waiting += e.size()
	c.noteMembers(e)
	c.writeEntries([]Entry{e})
	return Position{Index: e.Index, Term: e.Term}
}

// Compacted reports that a snapshot is durable, so that the entries behind it
// may go.
func (c *Core) Compacted(s Snapshot) {
	if c.err != nil || s.Index <= c.snapshot.Index || !c.check(s.Index <= c.commit, "snapshot at %d is beyond commit %d", s.Index, c.commit) {
		return
	}
	s.Data = nil
	c.snapshot = s
	c.log.compact(c.log.keepFrom(s.Index, c.limits.KeepEntries, c.limits.KeepBytes))
	c.trimLists(s.Index)
}

func (c *Core) setNow(now sardine.Millis) {
	c.now = max(c.now, now)
}

// check stops the core if a condition that must always hold does not.
func (c *Core) check(ok bool, format string, args ...any) bool {
	if !ok && c.err == nil {
		c.err = codes.New(codes.InvariantBroken, "quorum: "+format, args...)
	}
	return ok
}

// noteMembers records the member list that an entry brings.
func (c *Core) noteMembers(e Entry) {
	if e.Kind != KindMembers {
		return
	}
	c.lists = append(c.lists, membership{index: e.Index, members: e.Members})
	c.syncPeers()
}

// dropLists forgets the member lists from index on.
func (c *Core) dropLists(index uint64) {
	for len(c.lists) > 1 && c.lists[len(c.lists)-1].index >= index {
		c.lists = c.lists[:len(c.lists)-1]
	}
	c.syncPeers()
}

// trimLists forgets the lists that a newer one at or below index replaced.
func (c *Core) trimLists(index uint64) {
	for len(c.lists) > 1 && c.lists[1].index <= index {
		c.lists = slices.Clone(c.lists[1:])
	}
}
