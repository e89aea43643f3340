package repl

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	tomb "gopkg.in/tomb.v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/ring"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/store"
)

// Sizes of the rings between the loops, in items.
const (
	inboxItems   = 1024 // batches of messages; when full, the oldest is dropped and the sender retransmits
	requestItems = 1024 // calls; when full, the caller waits
	diskItems    = 256  // writes; when full, the core waits
	applyItems   = 256  // committed batches; when full, the core waits
)

// Node is one running member of the replicated log. Its methods are safe for
// concurrent use.
type Node struct {
	settings settings
	tomb     tomb.Tomb
	store    *store.Store

	inbox    *ring.Ring[[]quorum.Message]
	requests *ring.Ring[*request]
	writes   *ring.Ring[diskJob]
	applies  *ring.Ring[applyJob]
	saves    *ring.Ring[quorum.Snapshot]
	synced   atomic.Uint64 // highest durable sequence number
	syncedCh chan struct{} // signals a change of synced
	// transferCh signals that the leadership should be transferred.
	transferCh chan struct{}

	mu             sync.Mutex // guards core and the fields below, up to info
	core           *quorum.Core
	lastTimestamp  state.WallTime // highest timestamp in the log
	tickets        map[uint64]*request
	leadershipLost chan struct{} // closed when the current leadership ends; nil if this node does not lead
	leadershipTerm uint64
	appended       []*request // requests appended in the current batch

	info    atomic.Pointer[LeaderInfo]
	members atomic.Pointer[[]quorum.Member]

	applied  *appliedState
	disk     diskMetrics
	diskFull bool // the disk was full at the last write; used by diskLoop only
}

// New opens the data folder and returns a node that is not yet running. Errors:
// codes.ForeignFolder, codes.FormatVersion, codes.LogDamaged, codes.DiskFull,
// codes.SyncFailed, codes.BadSettings.
func New(options ...Option) (*Node, error) {
	s, err := newSettings(options)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		inbox:    ring.New[[]quorum.Message](inboxItems, ring.DropOldest),
		requests: ring.New[*request](requestItems, ring.Block),
		writes:   ring.New[diskJob](diskItems, ring.Block),
		applies:  ring.New[applyJob](applyItems, ring.Block),
		saves:    ring.New[quorum.Snapshot](1, ring.Reject),
		syncedCh: make(chan struct{}, 1),
		tickets:  make(map[uint64]*request),

		transferCh: make(chan struct{}, 1),
	}
	if err := n.open(); err != nil {
		event.Log(s.logger, event.StorageFailed, attrError(err))
		return nil, err
	}
	n.publish()
	return n, nil
}

// open opens the data folder and builds the core and the state from it.
func (n *Node) open() error {
	s := n.settings
	files, loaded, err := store.Open(s.disk, store.Identity{Site: s.site, Node: s.id}, store.WithFullDiskHandler(n.waitForDiskSpace))
	if err != nil {
		return err
	}
	n.store = files
	if loaded.TruncatedBytes > 0 {
		event.Log(s.logger, event.TailCut, attrInt("bytes", loaded.TruncatedBytes))
	}
	stored := loaded.Stored
	if loaded.Empty && slices.ContainsFunc(s.members, func(m quorum.Member) bool { return m.Node == s.id }) {
		if stored, err = files.Bootstrap(s.members, s.singleBootstrap); err != nil {
			return err
		}
	}
	machine, err := restoreMachine(loaded.Snapshot.Data, stored.Snapshot.Index)
	if err != nil {
		return err
	}
	n.lastTimestamp = machine.Time()
	for _, e := range stored.Entries {
		n.lastTimestamp = max(n.lastTimestamp, entryTimestamp(e))
	}
	n.applied = newApplied(machine, stored.Snapshot, len(loaded.Snapshot.Data))
	n.core = quorum.New(s.id, s.random, stored, s.clock.Now(),
		quorum.WithTiming(s.timing), quorum.WithLimits(s.limits), quorum.WithFolder(uint64(s.wallTime()/1000)))
	return nil
}

func restoreMachine(data []byte, index uint64) (*state.Machine, error) {
	if len(data) == 0 {
		m := state.NewMachine()
		m.Skip(index)
		return m, nil
	}
	m, err := state.RestoreMachine(data)
	if err != nil {
		return nil, err
	}
	m.Skip(index)
	return m, nil
}

// Start starts the background loops.
func (n *Node) Start() {
	n.tomb.Go(func() error {
		n.tomb.Go(n.logExit(n.diskLoop))
		n.tomb.Go(n.logExit(n.applyLoop))
		n.tomb.Go(n.logExit(n.snapshotLoop))
		return n.logExit(n.coreLoop)()
	})
}

// logExit wraps a loop so that the error that ends it is logged.
func (n *Node) logExit(loop func() error) func() error {
	return func() error {
		err := loop()
		switch codes.Of(err) {
		case codes.OK:
		case codes.InvariantBroken:
			event.Log(n.settings.logger, event.InvariantBroken, attrError(err))
		case codes.DiskFull, codes.SyncFailed, codes.LogDamaged:
			event.Log(n.settings.logger, event.StorageFailed, attrError(err))
		default:
			event.Log(n.settings.logger, event.DutyFailed, attrError(err))
		}
		return err
	}
}

// Stop transfers the leadership if this node leads, ends the loops and closes the
// files. It returns the error that ended the node earlier, if any.
func (n *Node) Stop(ctx context.Context) error {
	n.transferLeadership(ctx)
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	if closeErr := n.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// transferLeadership transfers the leadership and waits until this node has lost it,
// ctx ends or the shortest election timeout has passed. If ctx has ended already,
// nothing is transferred, as when the process is killed.
func (n *Node) transferLeadership(ctx context.Context) {
	if ctx.Err() != nil || !n.Leader().IsLeader || len(n.Members()) < 2 {
		return
	}
	n.submit(ctx, newRequest(transferRequest))
	limit := n.settings.clock.After(n.settings.timing.ElectionMin)
	n.mu.Lock()
	lost := n.leadershipLost
	n.mu.Unlock()
	if lost == nil {
		return
	}
	select {
	case <-lost:
	case <-limit:
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
}

// Dying is closed when the node stops or has failed.
func (n *Node) Dying() <-chan struct{} {
	return n.tomb.Dying()
}

// Err returns why the node ended, tomb.ErrStillAlive while it runs.
func (n *Node) Err() error {
	return n.tomb.Err()
}

// Deliver queues messages from another member. It never blocks: a full ring drops
// the oldest batch, which its sender retransmits.
func (n *Node) Deliver(batch []quorum.Message) {
	n.inbox.Push(context.Background(), batch)
}

// View calls f with the replicated state. Calls may run concurrently; f must
// neither modify nor retain the machine, and should return quickly.
func (n *Node) View(f func(m *state.Machine)) {
	n.applied.view(f)
}

// Updates returns the commands for entry nodes after an index, oldest first, at most
// limit of them (at least 1), and the index up to which they are complete. ok is
// false if some of them are no longer kept; use EntrySnapshot then.
func (n *Node) Updates(after uint64, limit int) (commands []Applied, through uint64, ok bool) {
	return n.applied.updates(after, limit)
}

// Changed returns a channel that is closed when the applied index next advances.
func (n *Node) Changed() <-chan struct{} {
	return n.applied.changed()
}

// Applied returns the index of the last applied entry.
func (n *Node) Applied() uint64 {
	return n.applied.lastIndex()
}

// ID returns the node's name.
func (n *Node) ID() sardine.NodeID {
	return n.settings.id
}
