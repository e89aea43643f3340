package disk

import (
	"maps"
	"slices"
)

// LimitFree limits the free space to n bytes; a negative n lifts the limit.
func (m *Memory) LimitFree(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeBytes = n
}

// FailSyncs lets the given number of syncs succeed and makes the next n fail; a
// negative n makes all later ones fail, zero none.
func (m *Memory) FailSyncs(after, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncsBeforeFailure = after
	m.failSyncs = n
}

// IgnoreSyncs makes syncs report success without making anything durable.
func (m *Memory) IgnoreSyncs(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ignoreSyncs = on
}

// Crash simulates a power loss: open files become unusable, and unsynced changes
// are lost, kept in part or kept. Which unsynced sectors reached the disk is
// random.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	m.names = m.namesAfterCrash()
	m.durableNames = maps.Clone(m.names)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		c := m.names[name]
		c.data = m.dataAfterCrash(c)
		c.synced = len(c.data)
	}
}

// namesAfterCrash returns the names with either all changes since the last folder
// sync or none of them, as a journaling file system commits them in order.
func (m *Memory) namesAfterCrash() map[string]*content {
	if m.random.IntN(2) == 0 {
		return maps.Clone(m.names)
	}
	return maps.Clone(m.durableNames)
}

func (m *Memory) dataAfterCrash(c *content) []byte {
	grown := len(c.data) - c.synced
	if grown == 0 {
		return c.data
	}
	switch m.random.IntN(4) {
	case 0:
		return slices.Clone(c.data[:c.synced])
	case 1:
		return c.data
	case 2:
		return slices.Clone(c.data[:c.synced+m.random.IntN(grown)])
	default:
		return m.zeroSectors(c)
	}
}

// zeroSectors returns the content with its new length, but with random sectors of
// the unsynced part zeroed, as if they had never been written.
func (m *Memory) zeroSectors(c *content) []byte {
	data := slices.Clone(c.data)
	for at := c.synced; at < len(data); {
		end := min(at-at%sectorBytes+sectorBytes, len(data))
		if m.random.IntN(2) == 0 {
			clear(data[at:end])
		}
		at = end
	}
	return data
}

// FlipBit inverts one bit of the byte at offset and reports whether the file has such
// a byte.
func (m *Memory) FlipBit(name string, offset int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	if c == nil || offset >= len(c.data) {
		return false
	}
	c.data = slices.Clone(c.data)
	c.data[offset] ^= 0x10
	return true
}
