package trial

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/disk"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/store"
)

const (
	snapshotEntries  = 25       // entries between snapshots
	segmentBytes     = 2 << 10  // small, so that segments are rolled and removed
	snapshotBytes    = 40       // of a snapshot, which is several chunks
	chunkBytes       = 16       // of a snapshot
	maxSyncMillis    = 20       // maximum duration of a disk's sync
	keepEntries      = 10       // entries kept behind a snapshot
	promoteLag       = 10       // entries that a learner may lack when it is promoted
	batchBytes       = 400      // of one append message
	inFlightBytes    = 4 * 400  // of append messages to one follower
	uncommittedBytes = 64 << 10 // of uncommitted entries, and of those kept behind a snapshot
	crashAfterVote   = 0.03     // share of the votes after which the node crashes soon
	crashAfterAppend = 0.002    // share of the acknowledgements after which it does
)

func limits() quorum.Limits {
	return quorum.Limits{
		BatchBytes:       batchBytes,
		InFlightBytes:    inFlightBytes,
		UncommittedBytes: uncommittedBytes,
		ChunkBytes:       chunkBytes,
		KeepEntries:      keepEntries,
		KeepBytes:        uncommittedBytes,
		PromoteLag:       promoteLag,
	}
}

// member is one control node: a quorum core, its store and a state machine that
// is only a digest.
type member struct {
	trial          *trial
	id             sardine.NodeID
	initialMembers []quorum.Member // the site's initial list, nil for a member that joins later
	disk           *disk.Memory
	folderNumber   uint64
	wasSettled     bool // HardState.Settled has been set
	core           *quorum.Core
	store          *store.Store
	broken         bool // its folder can't be used any more

	queue         []quorum.Write
	writing       []quorum.Write
	index         uint64
	term          uint64
	digest        uint64
	members       []quorum.Member
	membersText   string // members as text, for comparison
	snapshotIndex uint64
	acked         uint64            // highest entry that it has acknowledged as durable
	vote          quorum.HardState  // newest vote that it has sent
	reads         map[uint64]uint64 // highest entry that a member had applied before the read, by ticket
}

// Start opens the data folder and starts the core.
func (m *member) Start(now sardine.Millis) {
	m.queue, m.writing = nil, nil
	m.core, m.store = nil, nil
	m.reads = make(map[uint64]uint64)
	if m.broken {
		return
	}
	files, loaded, err := store.Open(m.disk, store.Identity{Site: "trial", Node: m.id}, store.WithSegmentBytes(segmentBytes))
	if err != nil {
		m.handleOpenError(err)
		return
	}
	m.checkDurable(loaded.Stored)
	stored := loaded.Stored
	if loaded.Empty && m.initialMembers != nil {
		if stored, err = files.Bootstrap(m.initialMembers, false); err != nil {
			m.handleOpenError(err)
			return
		}
	}
	if loaded.TruncatedBytes > 0 {
		m.trial.report.TailCuts++
	}
	m.store = files
	m.loadSnapshot(loaded.Snapshot, stored.Snapshot)
	m.core = quorum.New(m.id, m.trial.driver.Random(), stored, now,
		quorum.WithTiming(m.trial.options.Timing), quorum.WithLimits(limits()), quorum.WithDefects(m.trial.options.Defects), quorum.WithFolder(m.folderNumber))
}

// handleOpenError handles the error of opening the folder. If the disk fails,
// the node ends and is restarted later. Any other error makes the folder
// unusable, which is right only after a bit was damaged.
func (m *member) handleOpenError(err error) {
	if codes.Is(err, codes.SyncFailed) || codes.Is(err, codes.DiskFull) {
		m.store = nil
		m.crashAndRestart()
		return
	}
	if !m.trial.damagedNodes[m.id] || !codes.Is(err, codes.LogDamaged) {
		m.trial.checker.fail("%s does not start: %v", m.id, err)
	}
	m.broken = true
	m.trial.report.UnusableFolders++
}

// loadSnapshot sets the state from a snapshot: snap has the data, known the
// position and the members.
func (m *member) loadSnapshot(snap, known quorum.Snapshot) {
	m.index, m.term = known.Index, known.Term
	m.setMembers(known.Members)
	m.snapshotIndex = known.Index
	m.digest = 0
	if len(snap.Data) > 0 {
		m.digest = binary.LittleEndian.Uint64(snap.Data)
	}
	if known.Index > 0 {
		m.trial.checker.recordSnapshot(m.id, m.index, m.result())
	}
}

func (m *member) setMembers(members []quorum.Member) {
	m.members = members
	m.membersText = fmt.Sprint(members)
}

func (m *member) result() entryResult {
	return entryResult{term: m.term, digest: m.digest, members: m.membersText}
}

// Receive passes a message to the core.
func (m *member) Receive(now sardine.Millis, _ sardine.NodeID, message quorum.Message) {
	m.runCore(func() { m.core.Step(now, message) })
}

// Tick passes the time to the core.
func (m *member) Tick(now sardine.Millis) {
	m.runCore(func() { m.core.Tick(now) })
}

// Wake returns when Tick is due.
func (m *member) Wake() sardine.Millis {
	if m.core == nil {
		return 1 << 40
	}
	return m.core.NextTick()
}

// Crash drops the memory and the unsynced writes. A write in progress may have
// reached the files in part.
func (m *member) Crash() {
	random := m.trial.driver.Random()
	if m.store != nil && len(m.writing) > 0 && random.IntN(2) == 0 {
		m.disk.FailSyncs(random.IntN(4), -1)
		_ = m.store.Write(m.writing...)
		m.disk.FailSyncs(0, 0)
	}
	m.disk.Crash()
	m.core = nil
	m.store = nil
}

// runCore passes an input to the core and performs its outputs.
func (m *member) runCore(input func()) {
	if m.core == nil {
		return
	}
	input()
	out := m.core.Take()
	if out.Err != nil {
		m.trial.checker.fail("%s: %v", m.id, out.Err)
		return
	}
	if m.core.IsLeader() {
		m.trial.checker.recordLeader(m.id, m.core.Term())
	}
	m.dropReplaced(out.Write)
	m.sendAll(out.Messages)
	if !out.Write.Empty() {
		m.queue = append(m.queue, out.Write)
		m.beginWrite()
	}
	m.apply(out)
}

func (m *member) sendAll(messages []quorum.Message) {
	for _, message := range messages {
		if message.Kind == quorum.Install && !m.store.Chunk(&message.Chunk, chunkBytes) {
			continue
		}
		m.trial.checker.recordSent(message)
		m.recordClaims(message)
		m.crashSoon(message)
		m.trial.driver.Send(m.id, message.To, message)
	}
}

// beginWrite starts one sync for all queued writes.
func (m *member) beginWrite() {
	if len(m.writing) > 0 || len(m.queue) == 0 {
		return
	}
	m.writing, m.queue = m.queue, nil
	d := m.trial.driver
	d.After(m.id, 1+sardine.Millis(d.Random().IntN(maxSyncMillis)), m.endWrite)
}

func (m *member) endWrite(now sardine.Millis) {
	if m.core == nil {
		return
	}
	if err := m.store.Write(m.writing...); err != nil {
		m.crashAndRestart()
		return
	}
	last := uint64(0)
	for _, w := range m.writing {
		last = w.Sequence
		m.wasSettled = m.wasSettled || w.Hard != nil && w.Hard.Settled
		m.dropReplaced(w)
		m.sendAll(w.SendAfterSync)
	}
	m.writing = nil
	m.runCore(func() { m.core.Synced(now, last) })
	m.beginWrite()
}

// crashAndRestart does what follows a failed write: the node ends, and an
// operator repairs the disk and restarts the node a second later.
func (m *member) crashAndRestart() {
	m.trial.report.DiskStops++
	m.writing = nil
	m.trial.driver.Crash(m.id)
	m.disk.LimitFree(-1)
	m.disk.FailSyncs(0, 0)
	m.trial.driver.At(1000, func(sardine.Millis) { m.trial.driver.Restart(m.id) })
}

func (m *member) apply(out quorum.Output) {
	if s := out.Restore; s != nil {
		if s.Index <= m.index {
			m.trial.checker.fail("%s: snapshot %d would reset the state from %d", m.id, s.Index, m.index)
		}
		m.loadSnapshot(*s, *s)
		m.trial.report.Installs++
	}
	for _, e := range out.Committed {
		m.applyEntry(e)
	}
	for _, r := range out.Reads {
		if r.Confirmed {
			m.trial.report.Reads++
			m.trial.checker.checkRead(m.id, r.Index, m.reads[r.Ticket])
		}
		delete(m.reads, r.Ticket)
	}
	m.saveIfDue()
}

func (m *member) applyEntry(e quorum.Entry) {
	if e.Index != m.index+1 {
		m.trial.checker.fail("%s: entry %d follows %d", m.id, e.Index, m.index)
	}
	m.index, m.term = e.Index, e.Term
	if e.Kind == quorum.KindMembers {
		m.setMembers(e.Members)
	}
	if e.Kind == quorum.KindCommand {
		m.digest = xxhash.Sum64(binary.LittleEndian.AppendUint64(e.Data[:len(e.Data):len(e.Data)], m.digest))
	}
	m.trial.checker.recordApply(m.id, m.index, m.result())
}

// saveIfDue starts to save a snapshot once enough entries were applied since
// the last one. The save ends some time later.
func (m *member) saveIfDue() {
	if m.index < m.snapshotIndex+snapshotEntries {
		return
	}
	m.snapshotIndex = m.index
	data := binary.LittleEndian.AppendUint64(nil, m.digest)
	data = append(data, make([]byte, snapshotBytes-len(data))...)
	snap := quorum.Snapshot{Position: quorum.Position{Index: m.index, Term: m.term}, Members: m.members, Size: snapshotBytes, Data: data}
	d := m.trial.driver
	d.After(m.id, 1+sardine.Millis(d.Random().IntN(5*maxSyncMillis)), func(sardine.Millis) { m.save(snap) })
}

func (m *member) save(snap quorum.Snapshot) {
	if m.core == nil {
		return
	}
	err := m.store.SaveSnapshot(snap)
	if err == nil {
		m.runCore(func() { m.core.SnapshotSaved(snap) })
	}
	if err == nil && m.core != nil {
		err = m.store.Compact(m.core.First() - 1)
	}
	if err != nil {
		m.crashAndRestart()
		return
	}
	m.trial.report.Snapshots++
}
