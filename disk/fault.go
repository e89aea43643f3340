package disk

import (
	"maps"
	"slices"
)

// Fill leaves room for n more bytes; a negative n lifts the limit.
func (m *Memory) Fill(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room = n
}

// FailSyncs lets a number of syncs pass and makes the next n fail; a negative n
// all of them, zero none.
func (m *Memory) FailSyncs(after, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passSyncs = after
	m.failSyncs = n
}

// LoseSyncs makes syncs report success without making anything durable.
func (m *Memory) LoseSyncs(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = on
}

// Crash ends the power: open files are dead, and what was not synced is lost,
// kept in part, or kept. The order in which sectors reached the disk is random.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	m.names = m.survivingNames()
	m.durable = maps.Clone(m.names)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		c := m.names[name]
		c.data = m.survivingData(c)
		c.synced = len(c.data)
	}
}

// survivingNames keeps either all changes since the last folder sync or none: a
// journal commits them in order.
func (m *Memory) survivingNames() map[string]*content {
	if m.random.IntN(2) == 0 {
		return maps.Clone(m.names)
	}
	return maps.Clone(m.durable)
}

func (m *Memory) survivingData(c *content) []byte {
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

// zeroSectors keeps the new length, but some sectors of the new part were never
// written.
func (m *Memory) zeroSectors(c *content) []byte {
	data := slices.Clone(c.data)
	for at := c.synced; at < len(data); {
		end := min(at-at%sector+sector, len(data))
		if m.random.IntN(2) == 0 {
			clear(data[at:end])
		}
		at = end
	}
	return data
}

// Flip inverts one bit of a file and reports whether the file has that many
// bytes.
func (m *Memory) Flip(name string, offset int) bool {
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
