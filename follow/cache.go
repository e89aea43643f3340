package follow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"sardineswitch.dev/sardine/state"
)

const (
	// cacheItems and cacheBytes bound the news kept for followers that lag;
	// one that lags further gets a snapshot.
	cacheItems = 1024
	cacheBytes = 1 << 20
	// newsBytes is the size of an entry besides its document.
	newsBytes = 200
)

// cache holds the recent news: every spread entry after index after, up to
// through.
type cache struct {
	after   uint64
	through uint64
	items   []News
	bytes   int
	kept    snapshot // handed out last
}

// snapshot is a state that was encoded for followers.
type snapshot struct {
	bytes []byte
	index uint64
}

// keptNews is how many entries may have followed a snapshot that is handed out
// again: after a loss of all nodes each of them asks for one within a second, and
// each of them joins by an entry.
const keptNews = 128

// whole returns what a follower gets that lags too far for news: a snapshot and the
// news after it.
func (c *cache) whole(take func() ([]byte, uint64, error)) (snapshot, []News, error) {
	news, ok := c.since(c.kept.index)
	if c.kept.bytes == nil || !ok || len(news) > keptNews {
		b, index, err := take()
		if err != nil {
			return snapshot{}, nil, err
		}
		c.kept = snapshot{bytes: b, index: index}
		news, _ = c.since(index)
	}
	return c.kept, news, nil
}

func (c *cache) reset(index uint64) {
	*c = cache{after: index, through: index}
}

func (c *cache) add(n News) {
	if n.Index <= c.through {
		return
	}
	c.through = n.Index
	if put, ok := n.Command.(state.PutLayout); ok && !c.addLayout(put) {
		return
	}
	c.items = append(c.items, n)
	c.bytes += newsSize(n)
	for len(c.items) > cacheItems || c.bytes > cacheBytes {
		c.after = c.items[0].Index
		c.bytes -= newsSize(c.items[0])
		c.items = c.items[1:]
	}
}

// addLayout drops the layouts that a new one overtakes, and reports whether it is
// the newest itself: followers need no other.
func (c *cache) addLayout(put state.PutLayout) bool {
	kept := c.items[:0:0]
	for _, n := range c.items {
		held, ok := n.Command.(state.PutLayout)
		if ok && held.Number >= put.Number {
			return false
		}
		if ok {
			c.bytes -= newsSize(n)
			continue
		}
		kept = append(kept, n)
	}
	c.items = kept
	return true
}

// reach notes that there are no more spread entries up to index.
func (c *cache) reach(index uint64) {
	c.through = max(c.through, index)
}

// since returns the news after index; ok is false if some of them are no longer
// kept.
func (c *cache) since(index uint64) (news []News, ok bool) {
	if index < c.after {
		return nil, false
	}
	i := len(c.items)
	for i > 0 && c.items[i-1].Index > index {
		i--
	}
	return c.items[i:len(c.items):len(c.items)], true
}

// newer reports whether there is news after index.
func (c *cache) newer(index uint64) bool {
	return index < c.after || (len(c.items) > 0 && c.items[len(c.items)-1].Index > index)
}

func newsSize(n News) int {
	switch c := n.Command.(type) {
	case state.ChangeSettings:
		return newsBytes + len(c.Document)
	case state.PutLayout:
		return newsBytes + len(c.Packed)
	default:
		return newsBytes
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
