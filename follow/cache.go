package follow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"sardineswitch.dev/sardine/state"
)

const (
	// cacheItems and cacheBytes bound the updates kept for followers that lag
	// behind; one that lags further gets a snapshot.
	cacheItems = 1024
	cacheBytes = 1 << 20
	// updateBytes is the assumed size of an update without its document.
	updateBytes = 200
)

// cache holds the recent updates: every command sent to entry nodes after index
// after, up to through, but only the newest layout.
type cache struct {
	after        uint64
	through      uint64
	items        []Update
	bytes        int
	lastSnapshot snapshot // sent last
}

// snapshot is a state that was encoded for followers.
type snapshot struct {
	bytes []byte
	index uint64
}

// maxUpdatesAfterSnapshot is the number of updates up to which an encoded
// snapshot is sent again instead of a new one: when all entry nodes restart
// together, each asks for a snapshot within a second and adds a JoinEntry to the
// log.
const maxUpdatesAfterSnapshot = 128

// snapshotAndUpdates returns the reply to a follower that lags too far for
// updates alone: a snapshot and the updates after it. It calls take only if the
// last snapshot is missing or too old.
func (c *cache) snapshotAndUpdates(take func() ([]byte, uint64, error)) (snapshot, []Update, error) {
	updates, ok := c.since(c.lastSnapshot.index)
	if c.lastSnapshot.bytes == nil || !ok || len(updates) > maxUpdatesAfterSnapshot {
		b, index, err := take()
		if err != nil {
			return snapshot{}, nil, err
		}
		c.lastSnapshot = snapshot{bytes: b, index: index}
		updates, _ = c.since(index)
	}
	return c.lastSnapshot, updates, nil
}

func (c *cache) reset(index uint64) {
	*c = cache{after: index, through: index}
}

func (c *cache) add(n Update) {
	if n.Index <= c.through {
		return
	}
	c.through = n.Index
	if put, ok := n.Command.(state.PutLayout); ok && !c.addLayout(put) {
		return
	}
	c.items = append(c.items, n)
	c.bytes += updateSize(n)
	for len(c.items) > cacheItems || c.bytes > cacheBytes {
		c.after = c.items[0].Index
		c.bytes -= updateSize(c.items[0])
		c.items = c.items[1:]
	}
}

// addLayout drops the layouts that put supersedes, and reports whether put itself
// is the newest: followers need no other.
func (c *cache) addLayout(put state.PutLayout) bool {
	kept := c.items[:0:0]
	for _, n := range c.items {
		held, ok := n.Command.(state.PutLayout)
		if ok && held.Number >= put.Number {
			return false
		}
		if ok {
			c.bytes -= updateSize(n)
			continue
		}
		kept = append(kept, n)
	}
	c.items = kept
	return true
}

// advanceTo records that no further command up to index is sent to entry nodes.
func (c *cache) advanceTo(index uint64) {
	c.through = max(c.through, index)
}

// since returns the updates after index; ok is false if some of them are no
// longer kept.
func (c *cache) since(index uint64) (updates []Update, ok bool) {
	if index < c.after {
		return nil, false
	}
	i := len(c.items)
	for i > 0 && c.items[i-1].Index > index {
		i--
	}
	return c.items[i:len(c.items):len(c.items)], true
}

// hasNewer reports whether there are updates after index.
func (c *cache) hasNewer(index uint64) bool {
	return index < c.after || (len(c.items) > 0 && c.items[len(c.items)-1].Index > index)
}

func updateSize(n Update) int {
	switch c := n.Command.(type) {
	case state.ChangeSettings:
		return updateBytes + len(c.Document)
	case state.PutLayout:
		return updateBytes + len(c.Packed)
	default:
		return updateBytes
	}
}

func hashRefs(set []NodeRef) uint64 {
	if len(set) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for _, ref := range set {
		_, _ = d.WriteString(string(ref.Node))
		binary.BigEndian.PutUint64(number[:], uint64(ref.Incarnation))
		_, _ = d.Write(number[:])
	}
	return max(d.Sum64(), 1)
}
