package disk

import (
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// sectorBytes is the size of the unit that a crash keeps or loses as a whole.
const sectorBytes = 512

// content is the content of one file, of which the first synced bytes are
// durable.
type content struct {
	data   []byte
	synced int
}

// Memory is a folder in memory. A crash may lose everything that was not synced:
// content of files, and creations, renames and removals. It is safe for
// concurrent use.
type Memory struct {
	mu                 sync.Mutex
	random             sardine.Random
	names              map[string]*content // including unsynced changes
	durableNames       map[string]*content // as of the last folder sync
	freeBytes          int64               // bytes that may still be written; negative means no limit
	syncsBeforeFailure int                 // syncs that still succeed before failSyncs applies
	failSyncs          int                 // syncs that then fail; negative means all
	ignoreSyncs        bool                // syncs report success without making anything durable
	crashes            uint64              // number of crashes; files opened before the last one are unusable
	syncs              uint64
}

// NewMemory returns an empty folder. The random source determines what a crash
// keeps of unsynced changes.
func NewMemory(random sardine.Random) *Memory {
	return &Memory{random: random, names: make(map[string]*content), durableNames: make(map[string]*content), freeBytes: -1}
}

// Create creates or truncates a file for writing.
func (m *Memory) Create(name string) (sardine.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freeBytes == 0 {
		return nil, codes.Wrap(codes.DiskFull, syscall.ENOSPC, "create "+name)
	}
	m.names[name] = &content{}
	return &memoryFile{disk: m, content: m.names[name], crashes: m.crashes}, nil
}

// Append opens a file for writing at its end and creates it if needed.
func (m *Memory) Append(name string) (sardine.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		m.names[name] = &content{}
	}
	return &memoryFile{disk: m, content: m.names[name], crashes: m.crashes}, nil
}

// ReadFile returns the whole content of a file.
func (m *Memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	if c == nil {
		return nil, codes.Wrap(codes.Internal, fs.ErrNotExist, "read "+name)
	}
	return slices.Clone(c.data), nil
}

// Rename atomically renames oldName to newName and replaces any existing file.
func (m *Memory) Rename(oldName, newName string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[oldName]
	if c == nil {
		return codes.Wrap(codes.Internal, fs.ErrNotExist, "rename "+oldName)
	}
	delete(m.names, oldName)
	m.names[newName] = c
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return codes.Wrap(codes.Internal, fs.ErrNotExist, "remove "+name)
	}
	delete(m.names, name)
	return nil
}

// Truncate shortens a file to size bytes.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	if c == nil {
		return codes.Wrap(codes.Internal, fs.ErrNotExist, "truncate "+name)
	}
	c.data = slices.Clone(c.data[:min(int(size), len(c.data))])
	c.synced = min(c.synced, len(c.data))
	return nil
}

// List returns the names of all files, sorted.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// SyncFolder makes creations, renames and removals durable.
func (m *Memory) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.syncFault("sync folder"); err != nil {
		return err
	}
	if !m.ignoreSyncs {
		m.durableNames = maps.Clone(m.names)
	}
	return nil
}

// Syncs returns the number of successful syncs.
func (m *Memory) Syncs() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Bytes returns the size of all files.
func (m *Memory) Bytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum int64
	for _, c := range m.names {
		sum += int64(len(c.data))
	}
	return sum
}

func (m *Memory) syncFault(what string) error {
	if m.failSyncs != 0 && m.syncsBeforeFailure > 0 {
		m.syncsBeforeFailure--
		m.syncs++
		return nil
	}
	if m.failSyncs != 0 {
		m.failSyncs = max(m.failSyncs-1, -1)
		return codes.Wrap(codes.SyncFailed, syscall.EIO, what)
	}
	m.syncs++
	return nil
}

// memoryFile is an open file of a Memory.
type memoryFile struct {
	disk    *Memory
	content *content
	crashes uint64
}

// Write appends data, as far as there is free space.
func (f *memoryFile) Write(data []byte) (int, error) {
	m := f.disk
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.crashes != m.crashes {
		return 0, codes.Wrap(codes.SyncFailed, fs.ErrClosed, "write")
	}
	written := data
	if m.freeBytes >= 0 && int64(len(data)) > m.freeBytes {
		written = data[:m.freeBytes]
	}
	f.content.data = append(f.content.data, written...)
	if m.freeBytes >= 0 {
		m.freeBytes -= int64(len(written))
	}
	if len(written) < len(data) {
		return len(written), codes.Wrap(codes.DiskFull, syscall.ENOSPC, "write")
	}
	return len(data), nil
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	m := f.disk
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.crashes != m.crashes {
		return codes.Wrap(codes.SyncFailed, fs.ErrClosed, "sync")
	}
	if err := m.syncFault("sync"); err != nil {
		return err
	}
	if !m.ignoreSyncs {
		f.content.synced = len(f.content.data)
	}
	return nil
}

// Close closes the file without syncing it.
func (f *memoryFile) Close() error {
	return nil
}
