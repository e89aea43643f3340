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
	// defaultSegmentBytes is the size at which a new segment is started.
	defaultSegmentBytes = 4 << 20
)

// segment is one log file.
type segment struct {
	name  string
	bytes int64
	last  uint64 // highest entry index in the segment
}

// Store is an open data folder. Write, Compact and Close must be called from one
// goroutine; SaveSnapshot, Chunk and Snapshot may run concurrently with them.
type Store struct {
	disk         sardine.Disk
	identity     Identity
	segmentBytes int64
	segments     []segment // oldest first, the last one is open
	file         sardine.File
	frameNumber  uint64 // of the last frame
	hard         quorum.HardState
	last         quorum.Position
	failure      error
	syncs        uint64
	buffer       []byte

	snapshots    sync.Mutex // guards snapshot and cached
	snapshot     quorum.Snapshot
	cached       []byte      // data of snapshot while its chunks are read
	waitForSpace func() bool // nil returns the error of a full disk at once
}

// Option configures a Store.
type Option func(*Store)

// WithSegmentBytes sets the size at which a new segment is started.
func WithSegmentBytes(n int64) Option {
	return func(s *Store) { s.segmentBytes = n }
}

// WithFullDiskHandler sets the function that is called when the disk is full. It waits
// and returns true to retry the same write, or returns false to make the write
// fail. A retry is safe because nothing was acknowledged yet.
func WithFullDiskHandler(wait func() bool) Option {
	return func(s *Store) { s.waitForSpace = wait }
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix)
}

// Bootstrap stores the initial member list in an empty folder, as a snapshot at
// index 1: every initial member starts from it, and later ones receive it.
//
// Settled states that the list is passed only at the very first start of the
// site, so that this folder can't be a replacement of a lost one.
func (s *Store) Bootstrap(members []quorum.Member, settled bool) (quorum.Stored, error) {
	first := quorum.Position{Index: 1, Term: 1}
	snap := quorum.Snapshot{Position: first, Members: members}
	if err := s.SaveSnapshot(snap); err != nil {
		return quorum.Stored{}, s.recordFailure(err)
	}
	s.hard = quorum.HardState{Term: first.Term, Settled: settled}
	if err := s.write(&wire.LogFrame{Hard: hardStateToWire(s.hard), Reset_: &wire.LogReset{Index: 1, Term: 1}}, first.Index); err != nil {
		return quorum.Stored{}, err
	}
	s.last = first
	return quorum.Stored{Hard: s.hard, Snapshot: snap, Base: first}, nil
}

// Write makes writes of the core durable with a single sync. After an error the
// store fails all further writes: the content of the disk is unknown until the
// next start, and a second sync could report success for pages that the kernel
// has dropped.
func (s *Store) Write(writes ...quorum.Write) error {
	if s.failure != nil {
		return s.failure
	}
	f := &wire.LogFrame{}
	last := s.last.Index
	for _, w := range writes {
		if w.Install != nil {
			if err := s.install(f, *w.Install); err != nil {
				return s.recordFailure(err)
			}
			last = max(last, w.Install.Index)
		}
		if w.Hard != nil {
			s.hard = *w.Hard
			f.Hard = hardStateToWire(s.hard)
		}
		if n := len(w.Entries); n > 0 {
			f.Entries = append(f.Entries, wirequ.EntriesToWire(w.Entries)...)
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
	return s.rollSegment()
}

// install stores a snapshot received from the leader. Entries already added to the
// frame are obsolete.
func (s *Store) install(f *wire.LogFrame, snap quorum.Snapshot) error {
	f.Entries = nil
	f.Reset_ = &wire.LogReset{Index: snap.Index, Term: snap.Term}
	s.last = snap.Position
	return s.retryWhileFull(func() error { return s.SaveSnapshot(snap) })
}

// write appends one frame to the open segment and syncs it.
func (s *Store) write(f *wire.LogFrame, last uint64) error {
	payload, err := proto.Marshal(f)
	if err != nil {
		return s.recordFailure(codes.Wrap(codes.Internal, err, "encode log frame"))
	}
	s.buffer = appendFrame(s.buffer[:0], s.frameNumber+1, payload)
	if err := s.appendBuffer(); err != nil {
		return s.recordFailure(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.recordFailure(err)
	}
	s.syncs++
	s.frameNumber++
	open := &s.segments[len(s.segments)-1]
	open.bytes += int64(len(s.buffer))
	open.last = max(open.last, last)
	return nil
}

// appendBuffer writes the buffer to the end of the open segment. What was written
// before the disk became full is truncated before the next attempt.
func (s *Store) appendBuffer() error {
	for {
		_, err := s.file.Write(s.buffer)
		if !codes.Is(err, codes.DiskFull) {
			return err
		}
		open := s.segments[len(s.segments)-1]
		if cutErr := s.disk.Truncate(open.name, open.bytes); cutErr != nil {
			return cutErr
		}
		if s.waitForSpace == nil || !s.waitForSpace() {
			return err
		}
	}
}

// retryWhileFull repeats a step that may create or write files while the disk is
// full.
func (s *Store) retryWhileFull(step func() error) error {
	for {
		err := step()
		if !codes.Is(err, codes.DiskFull) || s.waitForSpace == nil || !s.waitForSpace() {
			return err
		}
	}
}

// rollSegment starts a new segment when the open one has reached its size limit.
func (s *Store) rollSegment() error {
	if s.segments[len(s.segments)-1].bytes < s.segmentBytes {
		return nil
	}
	if err := s.file.Close(); err != nil {
		return s.recordFailure(err)
	}
	return s.startSegment()
}

// startSegment creates a segment. Its first frame repeats the position of the last
// entry and the hard state, so that older segments can be removed.
func (s *Store) startSegment() error {
	name := segmentName(s.frameNumber + 1)
	var file sardine.File
	err := s.retryWhileFull(func() (err error) {
		file, err = s.disk.Create(name)
		return err
	})
	if err != nil {
		return s.recordFailure(err)
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
	if err := s.write(&wire.LogFrame{Header: head, Hard: hardStateToWire(s.hard)}, s.last.Index); err != nil {
		return err
	}
	if err := s.disk.SyncFolder(); err != nil {
		return s.recordFailure(err)
	}
	return nil
}

// Compact removes the segments that contain no entry after index. The snapshot
// must cover index.
func (s *Store) Compact(index uint64) error {
	if s.failure != nil {
		return s.failure
	}
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.disk.Remove(s.segments[0].name); err != nil {
			return s.recordFailure(err)
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
	if s.failure == nil {
		s.failure = codes.New(codes.Internal, "the store is closed")
	}
	return err
}

func (s *Store) recordFailure(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return err
}

func hardStateToWire(h quorum.HardState) *wire.HardState {
	return &wire.HardState{Term: h.Term, Vote: string(h.Vote), Settled: h.Settled, Folder: h.Folder}
}
