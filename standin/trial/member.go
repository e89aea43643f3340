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
	snapshotEvery = 25       // entries
	segmentBytes  = 2 << 10  // so that segments are rolled and removed
	stateBytes    = 40       // of a snapshot, several chunks
	chunkBytes    = 16       //
	syncMost      = 20       // milliseconds of a disk's sync at most
	keepEntries   = 10       // behind a snapshot
	promoteLag    = 10       // entries
	batchBytes    = 400      // of one message
	flightBytes   = 4 * 400  // for each follower
	openBytes     = 64 << 10 // uncommitted
	crashVotes    = 0.03     // share of votes after which the node crashes soon
	crashAppends  = 0.002    // share of acknowledgements after which it does
)

func limits() quorum.Limits {
	return quorum.Limits{
		BatchBytes:       batchBytes,
		InFlightBytes:    flightBytes,
		UncommittedBytes: openBytes,
		ChunkBytes:       chunkBytes,
		KeepEntries:      keepEntries,
		KeepBytes:        openBytes,
		PromoteLag:       promoteLag,
	}
}

// member is one control node: core, store and a state that is only a digest.
type member struct {
	trial      *trial
	id         sardine.NodeID
	first      []quorum.Member // the site's first list, nil for one that joins later
	disk       *disk.Memory
	folder     uint64
	wasSettled bool // seen settled once
	core       *quorum.Core
	store      *store.Store
	broken     bool // refused to start, for good

	queue   []quorum.Write
	writing []quorum.Write
	index   uint64
	term    uint64
	state   uint64
	members []quorum.Member
	names   string // members, as text
	saved   uint64
	acked   uint64            // highest entry that it claimed to hold durably
	vote    quorum.HardState  // newest vote that it gave
	reads   map[uint64]uint64 // ticket to the highest entry applied anywhere before
}

// Start opens the folder.
func (m *member) Start(now sardine.Millis) {
	m.queue, m.writing = nil, nil
	m.core, m.store = nil, nil
	m.reads = make(map[uint64]uint64)
	if m.broken {
		return
	}
	files, loaded, err := store.Open(m.disk, store.Identity{Site: "trial", Node: m.id}, store.WithSegmentBytes(segmentBytes))
	if err != nil {
		m.refuse(err)
		return
	}
	m.checkDurable(loaded.Stored)
	stored := loaded.Stored
	if loaded.Empty && m.first != nil {
		if stored, err = files.Bootstrap(m.first, false); err != nil {
			m.refuse(err)
			return
		}
	}
	if loaded.TruncatedBytes > 0 {
		m.trial.report.TailCuts++
	}
	m.store = files
	m.load(loaded.Snapshot, stored.Snapshot)
	m.core = quorum.New(m.id, m.trial.driver.Random(), stored, now,
		quorum.WithTiming(m.trial.options.Timing), quorum.WithLimits(limits()), quorum.WithDefects(m.trial.options.Defects), quorum.WithFolder(m.folder))
}

// refuse notes that the folder can't be used. That is right only after bit
// damage, or while the disk fails.
func (m *member) refuse(err error) {
	if codes.Is(err, codes.SyncFailed) || codes.Is(err, codes.DiskFull) {
		m.store = nil
		m.stop()
		return
	}
	if !m.trial.damaged[m.id] || !codes.Is(err, codes.LogDamaged) {
		m.trial.book.fail("%s does not start: %v", m.id, err)
	}
	m.broken = true
	m.trial.report.UnusableFolders++
}

func (m *member) load(snap, known quorum.Snapshot) {
	m.index, m.term = known.Index, known.Term
	m.setMembers(known.Members)
	m.saved = known.Index
	m.state = 0
	if len(snap.Data) > 0 {
		m.state = binary.LittleEndian.Uint64(snap.Data)
	}
	if known.Index > 0 {
		m.trial.book.restore(m.id, m.index, m.fact())
	}
}

func (m *member) setMembers(members []quorum.Member) {
	m.members = members
	m.names = fmt.Sprint(members)
}

func (m *member) fact() fact {
	return fact{term: m.term, state: m.state, members: m.names}
}

// Receive takes a message.
func (m *member) Receive(now sardine.Millis, _ sardine.NodeID, message quorum.Message) {
	m.use(func() { m.core.Step(now, message) })
}

// Tick lets time pass.
func (m *member) Tick(now sardine.Millis) {
	m.use(func() { m.core.Tick(now) })
}

// Wake returns when the core must be ticked.
func (m *member) Wake() sardine.Millis {
	if m.core == nil {
		return 1 << 40
	}
	return m.core.NextTick()
}

// Crash loses memory and unsynced writes. A write under way has reached the
// files in part.
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

// use gives the core an input and performs its outputs.
func (m *member) use(input func()) {
	if m.core == nil {
		return
	}
	input()
	out := m.core.Take()
	if out.Err != nil {
		m.trial.book.fail("%s: %v", m.id, out.Err)
		return
	}
	if m.core.IsLeader() {
		m.trial.book.lead(m.id, m.core.Term())
	}
	m.replace(out.Write)
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
		m.trial.book.send(message)
		m.claim(message)
		m.crashSoon(message)
		m.trial.driver.Send(m.id, message.To, message)
	}
}

// beginWrite starts one sync for all writes that wait.
func (m *member) beginWrite() {
	if len(m.writing) > 0 || len(m.queue) == 0 {
		return
	}
	m.writing, m.queue = m.queue, nil
	d := m.trial.driver
	d.After(m.id, 1+sardine.Millis(d.Random().IntN(syncMost)), m.endWrite)
}

func (m *member) endWrite(now sardine.Millis) {
	if m.core == nil {
		return
	}
	if err := m.store.Write(m.writing...); err != nil {
		m.stop()
		return
	}
	last := uint64(0)
	for _, w := range m.writing {
		last = w.Sequence
		m.wasSettled = m.wasSettled || w.Hard != nil && w.Hard.Settled
		m.replace(w)
		m.sendAll(w.SendAfterSync)
	}
	m.writing = nil
	m.use(func() { m.core.Synced(now, last) })
	m.beginWrite()
}

// stop is what a node does after a failed write: it ends, and an operator
// starts it again later.
func (m *member) stop() {
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
			m.trial.book.fail("%s: snapshot %d would turn back the state from %d", m.id, s.Index, m.index)
		}
		m.load(*s, *s)
		m.trial.report.Installs++
	}
	for _, e := range out.Committed {
		m.applyEntry(e)
	}
	for _, r := range out.Reads {
		if r.Confirmed {
			m.trial.report.Reads++
			m.trial.book.read(m.id, r.Index, m.reads[r.Ticket])
		}
		delete(m.reads, r.Ticket)
	}
	m.saveIfDue()
}

func (m *member) applyEntry(e quorum.Entry) {
	if e.Index != m.index+1 {
		m.trial.book.fail("%s: entry %d follows %d", m.id, e.Index, m.index)
	}
	m.index, m.term = e.Index, e.Term
	if e.Kind == quorum.KindMembers {
		m.setMembers(e.Members)
	}
	if e.Kind == quorum.KindCommand {
		m.state = xxhash.Sum64(binary.LittleEndian.AppendUint64(e.Data[:len(e.Data):len(e.Data)], m.state))
	}
	m.trial.book.apply(m.id, m.index, m.fact())
}

// saveIfDue saves a snapshot some time after enough entries were applied.
func (m *member) saveIfDue() {
	if m.index < m.saved+snapshotEvery {
		return
	}
	m.saved = m.index
	data := binary.LittleEndian.AppendUint64(nil, m.state)
	data = append(data, make([]byte, stateBytes-len(data))...)
	snap := quorum.Snapshot{Position: quorum.Position{Index: m.index, Term: m.term}, Members: m.members, Size: stateBytes, Data: data}
	d := m.trial.driver
	d.After(m.id, 1+sardine.Millis(d.Random().IntN(5*syncMost)), func(sardine.Millis) { m.save(snap) })
}

func (m *member) save(snap quorum.Snapshot) {
	if m.core == nil {
		return
	}
	err := m.store.SaveSnapshot(snap)
	if err == nil {
		m.use(func() { m.core.SnapshotSaved(snap) })
	}
	if err == nil && m.core != nil {
		err = m.store.Compact(m.core.First() - 1)
	}
	if err != nil {
		m.stop()
		return
	}
	m.trial.report.Snapshots++
}
