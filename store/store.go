package store

import (
	"fmt"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
	"sardineswitch.dev/sardine/wirequ"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
	// defaultSegmentBytes is the size from which on a new segment is begun.
	defaultSegmentBytes = 4 << 20
)

// segment is one file of the log.
type segment struct {
	name  string
	bytes int64
	last  uint64 // highest entry index in it
}

// Store is an open data folder. Write, Compact and Close belong to one
// goroutine; SaveSnapshot, Chunk and Snapshot may run beside them.
type Store struct {
	disk         sardine.Disk
	identity     Identity
	segmentBytes int64
	segments     []segment // oldest first, the last one is open
	file         sardine.File
	number       uint64 // of the last frame
	hard         quorum.HardState
	last         quorum.Position
	broken       error
	syncs        uint64
	buffer       []byte

	snapshots sync.Mutex // guards what follows
	snapshot  quorum.Snapshot
	cached    []byte      // data of snapshot while it is sent
	waitFull  func() bool // nil gives up at once
}

// Option configures a Store.
type Option func(*Store)

// WithSegmentBytes sets the size from which on a new segment is begun.
func WithSegmentBytes(n int64) Option {
	return func(s *Store) { s.segmentBytes = n }
}

// WithFullDisk sets what to do when the disk is full: wait and return true to try
// the same write again, or return false to give the store up. Nothing was
// acknowledged yet, so that trying again is safe.
func WithFullDisk(wait func() bool) Option {
	return func(s *Store) { s.waitFull = wait }
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// Bootstrap stores the first member list in an empty folder, as a snapshot at
// index 1: every first member starts from it, and later ones receive it.
//
// Settled tells that the list is given at the very first start only, so that this
// folder can't have replaced a lost one.
func (s *Store) Bootstrap(members []quorum.Member, settled bool) (quorum.Stored, error) {
	first := quorum.Position{Index: 1, Term: 1}
	snap := quorum.Snapshot{Position: first, Members: members}
	if err := s.SaveSnapshot(snap); err != nil {
		return quorum.Stored{}, s.fail(err)
	}
	s.hard = quorum.HardState{Term: first.Term, Settled: settled}
	if err := s.write(&wire.LogFrame{Hard: hardTo(s.hard), Reset_: &wire.LogReset{Index: 1, Term: 1}}, first.Index); err != nil {
		return quorum.Stored{}, err
	}
	s.last = first
	return quorum.Stored{Hard: s.hard, Snapshot: snap, Base: first}, nil
}

// Write makes writes of the core durable with one sync. After an error the
// store stays broken: what the disk holds is unknown until the next start, and
// a second sync could report success for pages that the kernel has dropped.
func (s *Store) Write(writes ...quorum.Write) error {
	if s.broken != nil {
		return s.broken
	}
	f := &wire.LogFrame{}
	last := s.last.Index
	for _, w := range writes {
		if w.Install != nil {
			if err := s.install(f, *w.Install); err != nil {
				return s.fail(err)
			}
			last = max(last, w.Install.Index)
		}
		if w.Hard != nil {
			s.hard = *w.Hard
			f.Hard = hardTo(s.hard)
		}
		if n := len(w.Entries); n > 0 {
			f.Entries = append(f.Entries, wirequ.EntriesTo(w.Entries)...)
			s.last = quorum.Position{Index: w.Entries[n-1].Index, Term: w.Entries[n-1].Term}
			last = max(last, s.last.Index)
		}
	}
	if f.Hard == nil && f.Reset_ == nil && len(f.Entries) == 0 {
		return nil
	}
	if err := s.write(f, last); err != nil {
		return err
	}
	return s.roll()
}

// install stores a received snapshot. Entries that the frame has gathered before
// are obsolete.
func (s *Store) install(f *wire.LogFrame, snap quorum.Snapshot) error {
	f.Entries = nil
	f.Reset_ = &wire.LogReset{Index: snap.Index, Term: snap.Term}
	s.last = snap.Position
	return s.tryFull(func() error { return s.SaveSnapshot(snap) })
}

// write appends one frame to the open segment and syncs it.
func (s *Store) write(f *wire.LogFrame, last uint64) error {
	payload, err := proto.Marshal(f)
	if err != nil {
		return s.fail(codes.Wrap(codes.Internal, err, "encode log frame"))
	}
	s.buffer = appendFrame(s.buffer[:0], s.number+1, payload)
	if err := s.append(); err != nil {
		return s.fail(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err)
	}
	s.syncs++
	s.number++
	open := &s.segments[len(s.segments)-1]
	open.bytes += int64(len(s.buffer))
	open.last = max(open.last, last)
	return nil
}

// append writes the buffer to the end of the open segment. What a full disk took
// of it is cut off again before the next try.
func (s *Store) append() error {
	for {
		_, err := s.file.Write(s.buffer)
		if !codes.Is(err, codes.DiskFull) {
			return err
		}
		open := s.segments[len(s.segments)-1]
		if cutErr := s.disk.Truncate(open.name, open.bytes); cutErr != nil {
			return cutErr
		}
		if s.waitFull == nil || !s.waitFull() {
			return err
		}
	}
}

// tryFull repeats a step of several files as long as the disk is full.
func (s *Store) tryFull(step func() error) error {
	for {
		err := step()
		if !codes.Is(err, codes.DiskFull) || s.waitFull == nil || !s.waitFull() {
			return err
		}
	}
}

// roll begins a new segment when the open one is full.
func (s *Store) roll() error {
	if s.segments[len(s.segments)-1].bytes < s.segmentBytes {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return s.fail(err)
	}
	return s.begin()
}

// begin creates a segment. Its first frame repeats what older segments say, so
// that they can be removed.
func (s *Store) begin() error {
	name := segmentName(s.number + 1)
	var file sardine.File
	err := s.tryFull(func() (err error) {
		file, err = s.disk.Create(name)
		return err
	})
	if err != nil {
		return s.fail(err)
	}
	s.file = file
	s.segments = append(s.segments, segment{name: name, last: s.last.Index})
	head := &wire.LogHeader{
		Format:    formatVersion,
		Site:      s.identity.Site,
		Node:      string(s.identity.Node),
		BaseIndex: s.last.Index,
		BaseTerm:  s.last.Term,
	}
	if err := s.write(&wire.LogFrame{Header: head, Hard: hardTo(s.hard)}, s.last.Index); err != nil {
		return err
	}
	if err := s.disk.SyncFolder(); err != nil {
		return s.fail(err)
	}
	return nil
}

// Compact removes the segments that hold only entries up to index. The snapshot
// must cover them.
func (s *Store) Compact(index uint64) error {
	if s.broken != nil {
		return s.broken
	}
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.disk.Remove(s.segments[0].name); err != nil {
			return s.fail(err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Bytes returns the size of all log segments.
func (s *Store) Bytes() int64 {
	var sum int64
	for _, g := range s.segments {
		sum += g.bytes
	}
	return sum
}

// Syncs returns the number of synced frames.
func (s *Store) Syncs() uint64 {
	return s.syncs
}

// Close closes the open segment.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	s.file = nil
	if s.broken == nil {
		s.broken = codes.New(codes.Internal, "the store is closed")
	}
	return err
}

func (s *Store) fail(err error) error {
	if s.broken == nil {
		s.broken = err
	}
	return err
}

func hardTo(h quorum.HardState) *wire.HardState {
	return &wire.HardState{Term: h.Term, Vote: string(h.Vote), Settled: h.Settled, Folder: h.Folder}
}
