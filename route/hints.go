package route

// hintSet holds the prefix hashes that one target probably caches, at most
// limit of them; the oldest is forgotten first, as the engine's own cache does.
//
// The use of hints follows P. Sarkar and J. Hartman, "Efficient Cooperative
// Caching using Hints" (OSDI 1996): a place learned from own dispatches and
// late cache events is used unchecked and corrected only when contact shows it
// wrong.
type hintSet struct {
	limit int
	clock uint64
	used  map[uint64]uint64
	order []hintUse // oldest first, with outdated entries
}

type hintUse struct {
	hash uint64
	tick uint64
}

func newHintSet(limit int) *hintSet {
	return &hintSet{limit: limit, used: make(map[uint64]uint64)}
}

// add marks the hashes as most recently used.
func (h *hintSet) add(hashes []uint64) {
	for _, hash := range hashes {
		h.clock++
		h.used[hash] = h.clock
		h.order = append(h.order, hintUse{hash: hash, tick: h.clock})
	}
	h.shrink()
}

// drop forgets the hashes.
func (h *hintSet) drop(hashes []uint64) {
	for _, hash := range hashes {
		delete(h.used, hash)
	}
}

func (h *hintSet) clear() {
	h.used = make(map[uint64]uint64)
	h.order = nil
}

// match returns how many leading blocks are hinted.
func (h *hintSet) match(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, held := h.used[hashes[i]]; held {
			return i + 1
		}
	}
	return 0
}

func (h *hintSet) shrink() {
	for len(h.used) > h.limit || len(h.order) > 4*h.limit {
		oldest := h.order[0]
		h.order = h.order[1:]
		if h.used[oldest.hash] == oldest.tick {
			delete(h.used, oldest.hash)
		}
	}
}
