package store

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/wire"
	"sardineswitch.dev/sardine/wirequ"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

// SaveSnapshot makes a snapshot durable and removes the previous one. It does
// nothing if the snapshot is not newer. It may run concurrently with Write.
func (s *Store) SaveSnapshot(snap quorum.Snapshot) error {
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	if snap.Index <= s.snapshot.Index {
		return nil
	}
	stored := &wire.StoredSnapshot{
		Format:  formatVersion,
		Site:    s.identity.Site,
		Node:    string(s.identity.Node),
		Index:   snap.Index,
		Term:    snap.Term,
		Members: wirequ.MembersToWire(snap.Members),
		Data:    snap.Data,
	}
	payload, err := proto.Marshal(stored)
	if err != nil {
		return codes.Wrap(codes.Internal, err, "encode snapshot")
	}
	if err := writeFileAtomically(s.disk, snapshotName(snap.Index), appendFrame(nil, snap.Index, payload)); err != nil {
		return err
	}
	old := s.snapshot
	s.snapshot = snap
	s.snapshot.Size = uint64(len(snap.Data))
	s.snapshot.Data = nil
	s.cached = nil
	if old.Index == 0 {
		return nil
	}
	return s.disk.Remove(snapshotName(old.Index))
}

// Chunk fills in the data of a chunk from its offset on, at most limit bytes. It
// returns false if the snapshot was replaced by a newer one or cannot be read, or
// if the offset is beyond its end.
func (s *Store) Chunk(c *quorum.Chunk, limit int) bool {
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	if c.Position != s.snapshot.Position {
		return false
	}
	if s.cached == nil && s.snapshot.Size > 0 {
		snap, err := readSnapshot(s.disk, snapshotName(c.Index), s.identity)
		if err != nil {
			return false
		}
		s.cached = snap.Data
	}
	if c.Offset > uint64(len(s.cached)) {
		return false
	}
	end := min(c.Offset+uint64(limit), uint64(len(s.cached)))
	c.Data = s.cached[c.Offset:end]
	if end == uint64(len(s.cached)) {
		s.cached = nil
	}
	return true
}

// Snapshot returns the newest durable snapshot, without Data.
func (s *Store) Snapshot() quorum.Snapshot {
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	return s.snapshot
}

func readSnapshot(d sardine.Disk, name string, id Identity) (quorum.Snapshot, error) {
	data, err := d.ReadFile(name)
	if err != nil {
		return quorum.Snapshot{}, err
	}
	f, ok := readFrame(data, 0)
	if !ok || f.end != len(data) {
		return quorum.Snapshot{}, codes.New(codes.LogDamaged, "snapshot file %s does not match its checksum", name)
	}
	stored := &wire.StoredSnapshot{}
	if err := proto.Unmarshal(f.payload, stored); err != nil {
		return quorum.Snapshot{}, codes.Wrap(codes.LogDamaged, err, "snapshot file "+name)
	}
	if err := id.match(name, stored.GetFormat(), stored.GetSite(), stored.GetNode()); err != nil {
		return quorum.Snapshot{}, err
	}
	return quorum.Snapshot{
		Position: quorum.Position{Index: stored.GetIndex(), Term: stored.GetTerm()},
		Members:  wirequ.MembersFromWire(stored.GetMembers()),
		Size:     uint64(len(stored.GetData())),
		Data:     stored.GetData(),
	}, nil
}

// writeFileAtomically durably writes a file that, after a crash, exists with all
// of its content or not at all.
func writeFileAtomically(d sardine.Disk, name string, data []byte) error {
	temp := name + tempSuffix
	f, err := d.Create(temp)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := d.Rename(temp, name); err != nil {
		return err
	}
	return d.SyncFolder()
}
