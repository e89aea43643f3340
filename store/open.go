package store

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
	"sardineswitch.dev/sardine/wirequ"
)

// Loaded is the content of a data folder when it was opened.
type Loaded struct {
	Stored         quorum.Stored
	Snapshot       quorum.Snapshot // with Data; zero in an empty folder
	TruncatedBytes int             // bytes of the log's torn tail that were removed
	Empty          bool            // nothing was ever stored in the folder
}

// loader reads the snapshot and the segments when a folder is opened.
type loader struct {
	store       *Store
	loaded      *Loaded
	base        quorum.Position
	entries     []quorum.Entry
	started     bool // at least one frame was read
	resetNeeded bool // the snapshot replaces the log, which must be reset
}

// Open opens a data folder and reads its content. Errors:
// codes.ForeignFolder, codes.FormatVersion, codes.LogDamaged, codes.DiskFull,
// codes.SyncFailed.
func Open(d sardine.Disk, id Identity, options ...Option) (*Store, *Loaded, error) {
	s := &Store{disk: d, identity: id, segmentBytes: defaultSegmentBytes}
	for _, o := range options {
		o(s)
	}
	names, err := removeTempFiles(d)
	if err != nil {
		return nil, nil, err
	}
	if err := id.checkOrWrite(d, names); err != nil {
		return nil, nil, err
	}
	l := &loader{store: s, loaded: &Loaded{}}
	if err := l.readSnapshots(names); err != nil {
		return nil, nil, err
	}
	if err := l.readSegments(names); err != nil {
		return nil, nil, err
	}
	if err := l.finish(); err != nil {
		return nil, nil, err
	}
	return s, l.loaded, nil
}

// removeTempFiles removes files that were never completed and returns the names
// of the others.
func removeTempFiles(d sardine.Disk) ([]string, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		if strings.HasSuffix(n, tempSuffix) {
			if err := d.Remove(n); err != nil {
				return nil, err
			}
		}
	}
	return slices.DeleteFunc(names, func(n string) bool { return strings.HasSuffix(n, tempSuffix) }), nil
}

// readSnapshots reads the newest snapshot and removes older ones, which a crash
// may have left behind.
func (l *loader) readSnapshots(names []string) error {
	s := l.store
	found := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !isSnapshot(n) })
	if len(found) == 0 {
		return nil
	}
	newest := found[len(found)-1]
	snap, err := readSnapshot(s.disk, newest, s.identity)
	if err != nil {
		return err
	}
	for _, n := range found[:len(found)-1] {
		if err := s.disk.Remove(n); err != nil {
			return err
		}
	}
	l.loaded.Snapshot = snap
	s.snapshot = snap
	s.snapshot.Data = nil
	return nil
}

func (l *loader) readSegments(names []string) error {
	found := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !isSegment(n) })
	for i, name := range found {
		data, err := l.store.disk.ReadFile(name)
		if err != nil {
			return err
		}
		if err := l.readSegment(name, data, i == len(found)-1); err != nil {
			return err
		}
	}
	return nil
}

// readSegment reads the frames of one segment. Only the last segment may have a
// torn tail.
func (l *loader) readSegment(name string, data []byte, last bool) error {
	s := l.store
	at := 0
	for at < len(data) {
		f, ok := readFrame(data, at)
		if !ok {
			break
		}
		if err := l.readFrame(name, at, f); err != nil {
			return err
		}
		at = f.end
	}
	if at < len(data) || at == 0 {
		if !last || !isTorn(data, at) {
			return codes.New(codes.LogDamaged, "log file %s is damaged at byte %d of %d", name, at, len(data))
		}
		l.loaded.TruncatedBytes += len(data) - at
		if at == 0 {
			return removeTornSegment(s.disk, name)
		}
		if err := truncateTail(s.disk, name, int64(at)); err != nil {
			return err
		}
	}
	s.segments = append(s.segments, segment{name: name, bytes: int64(at), last: l.lastIndex()})
	return nil
}

// removeTornSegment durably removes a segment without a complete frame: if it
// reappeared after a crash, the segment before it would no longer count as the
// last one.
func removeTornSegment(d sardine.Disk, name string) error {
	if err := d.Remove(name); err != nil {
		return err
	}
	return d.SyncFolder()
}

// truncateTail durably removes a torn tail, so that later frames are not written
// after it.
func truncateTail(d sardine.Disk, name string, size int64) error {
	if err := d.Truncate(name, size); err != nil {
		return err
	}
	f, err := d.Append(name)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *loader) readFrame(name string, at int, f frame) error {
	s := l.store
	if l.started && f.number != s.frameNumber+1 || !l.started && name != segmentName(f.number) {
		return codes.New(codes.LogDamaged, "log file %s holds frame %d after frame %d, a part of the log is missing", name, f.number, s.frameNumber)
	}
	l.started = true
	content := &wire.LogFrame{}
	if err := proto.Unmarshal(f.payload, content); err != nil {
		return codes.Wrap(codes.LogDamaged, err, "log file "+name)
	}
	if at == 0 {
		if err := l.readHeader(name, content.GetHeader()); err != nil {
			return err
		}
	}
	s.frameNumber = f.number
	if h := content.GetHard(); h != nil {
		s.hard = quorum.HardState{Term: h.GetTerm(), Vote: sardine.NodeID(h.GetVote()), Settled: h.GetSettled(), Folder: h.GetFolder()}
	}
	if r := content.GetReset_(); r != nil {
		l.base = quorum.Position{Index: r.GetIndex(), Term: r.GetTerm()}
		l.entries = nil
	}
	return l.addEntries(name, wirequ.EntriesFromWire(content.GetEntries()))
}

func (l *loader) readHeader(name string, h *wire.LogHeader) error {
	if h == nil {
		return codes.New(codes.LogDamaged, "log file %s has no header", name)
	}
	if err := l.store.identity.match(name, h.GetFormat(), h.GetSite(), h.GetNode()); err != nil {
		return err
	}
	if len(l.store.segments) == 0 {
		l.base = quorum.Position{Index: h.GetBaseIndex(), Term: h.GetBaseTerm()}
	}
	return nil
}

// addEntries replaces the log from the first entry on. Entries at or below the
// base come from a segment that replaced part of a removed one.
func (l *loader) addEntries(name string, entries []quorum.Entry) error {
	for _, e := range entries {
		switch {
		case e.Index == l.base.Index:
			l.base.Term = e.Term
			l.entries = nil
		case e.Index < l.base.Index:
			l.entries = nil
		case e.Index > l.lastIndex()+1:
			return codes.New(codes.LogDamaged, "log file %s holds entry %d after entry %d", name, e.Index, l.lastIndex())
		default:
			l.entries = append(l.entries[:e.Index-l.base.Index-1], e)
		}
	}
	return nil
}

func (l *loader) lastIndex() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

// finish combines log and snapshot and opens the last segment.
func (l *loader) finish() error {
	s := l.store
	snap := l.loaded.Snapshot
	l.loaded.Empty = snap.Index == 0 && s.hard == (quorum.HardState{}) && l.lastIndex() == 0
	if l.base.Index > snap.Index && !l.loaded.Empty {
		return codes.New(codes.LogDamaged, "the log begins after entry %d, the snapshot ends at %d", l.base.Index, snap.Index)
	}
	if !l.contains(snap.Position) {
		l.base = snap.Position
		l.entries = nil
		l.resetNeeded = true
	}
	s.last = quorum.Position{Index: l.lastIndex(), Term: l.base.Term}
	if n := len(l.entries); n > 0 {
		s.last.Term = l.entries[n-1].Term
	}
	metadata := snap
	metadata.Data = nil
	l.loaded.Stored = quorum.Stored{Hard: s.hard, Snapshot: metadata, Base: l.base, Entries: l.entries}
	return l.openLastSegment()
}

// contains reports whether the log contains the snapshot's last entry. If not, the
// entries after it were never committed, or a crash came between storing the
// snapshot and resetting the log.
func (l *loader) contains(p quorum.Position) bool {
	if p.Index == l.base.Index {
		return p.Term == l.base.Term
	}
	if p.Index > l.lastIndex() {
		return false
	}
	return l.entries[p.Index-l.base.Index-1].Term == p.Term
}

// openLastSegment opens the last segment for appending, or creates the first one.
// A log that the snapshot replaces is reset before anything is added.
func (l *loader) openLastSegment() error {
	s := l.store
	if len(s.segments) == 0 {
		if err := s.startSegment(); err != nil {
			return err
		}
	} else {
		file, err := s.disk.Append(s.segments[len(s.segments)-1].name)
		if err != nil {
			return err
		}
		s.file = file
	}
	if !l.resetNeeded {
		return nil
	}
	return s.write(&wire.LogFrame{Reset_: &wire.LogReset{Index: l.base.Index, Term: l.base.Term}}, l.base.Index)
}
