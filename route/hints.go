package route

// maxHolders is the number of targets remembered for one prefix.
const maxHolders = 12

// hintTable holds the targets that probably cache a prefix, for at most limit
// prefixes of all services. The least recently used prefix is evicted first.
//
// The use of hints follows P. Sarkar and J. Hartman, "Efficient Cooperative
// Caching using Hints" (OSDI 1996): a location learned from own dispatches
// and delayed cache events is used without checking it, and corrected only
// when a response shows that it was wrong.
type hintTable struct {
	limit   int
	entries map[uint64]*hint
	newest  *hint
	oldest  *hint
}

// hint is one prefix in the table's list, which is ordered by last use.
type hint struct {
	hash    uint64
	holders [maxHolders]*target // newest first
	newer   *hint
	older   *hint
}

func newHintTable(limit int) *hintTable {
	return &hintTable{limit: max(limit, 1), entries: make(map[uint64]*hint)}
}

// add records that the target caches the prefixes.
func (h *hintTable) add(t *target, hashes []uint64) {
	for _, hash := range hashes {
		e := h.entries[hash]
		if e == nil {
			e = &hint{hash: hash}
			h.entries[hash] = e
		} else {
			h.unlink(e)
		}
		h.link(e)
		e.put(t)
	}
	for len(h.entries) > h.limit {
		delete(h.entries, h.oldest.hash)
		h.unlink(h.oldest)
	}
}

// drop records that the target no longer caches the prefixes.
func (h *hintTable) drop(t *target, hashes []uint64) {
	for _, hash := range hashes {
		e := h.entries[hash]
		if e == nil {
			continue
		}
		e.remove(t)
		if e.holders[0] == nil {
			delete(h.entries, hash)
			h.unlink(e)
		}
	}
}

// removeTarget drops all hints about a target.
func (h *hintTable) removeTarget(t *target) {
	for hash, e := range h.entries {
		e.remove(t)
		if e.holders[0] == nil {
			delete(h.entries, hash)
			h.unlink(e)
		}
	}
}

// match returns how many leading blocks the target probably caches.
func (h *hintTable) match(t *target, hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e := h.entries[hashes[i]]; e != nil && e.holds(t) {
			return i + 1
		}
	}
	return 0
}

// holders returns the probable holders of the longest known prefix.
func (h *hintTable) holders(hashes []uint64) []*target {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e := h.entries[hashes[i]]; e != nil {
			return e.holders[:]
		}
	}
	return nil
}

func (e *hint) holds(t *target) bool {
	for _, held := range e.holders {
		if held == t {
			return true
		}
	}
	return false
}

// put makes t the newest holder.
func (e *hint) put(t *target) {
	last := t
	for i, held := range e.holders {
		e.holders[i] = last
		if held == t || held == nil {
			return
		}
		last = held
	}
}

func (e *hint) remove(t *target) {
	kept := 0
	for _, held := range e.holders {
		if held != nil && held != t {
			e.holders[kept] = held
			kept++
		}
	}
	for ; kept < maxHolders; kept++ {
		e.holders[kept] = nil
	}
}

func (h *hintTable) link(e *hint) {
	e.older = h.newest
	e.newer = nil
	if h.newest != nil {
		h.newest.newer = e
	}
	h.newest = e
	if h.oldest == nil {
		h.oldest = e
	}
}

func (h *hintTable) unlink(e *hint) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		h.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		h.oldest = e.newer
	}
}
