package state

import (
	"cmp"
	"slices"
)

// aged is a key and the stamp from which its retention counts.
type aged[K cmp.Ordered] struct {
	key K
	at  WallTime
}

// aging is a set of keys that finds the expired ones without a walk over the
// others: the queue is ordered by stamp, and a key that was removed or stamped
// anew leaves a stale item behind, which is skipped.
type aging[K cmp.Ordered] struct {
	stamps map[K]WallTime
	queue  []aged[K]
}

func newAging[K cmp.Ordered]() *aging[K] {
	return &aging[K]{stamps: make(map[K]WallTime)}
}

func (a *aging[K]) len() int {
	return len(a.stamps)
}

func (a *aging[K]) has(key K) bool {
	_, ok := a.stamps[key]
	return ok
}

// put adds a key or stamps it anew. Stamps must not fall from call to call.
func (a *aging[K]) put(key K, at WallTime) {
	if old, ok := a.stamps[key]; ok && old == at {
		return
	}
	a.stamps[key] = at
	a.queue = append(a.queue, aged[K]{key: key, at: at})
	a.compact()
}

func (a *aging[K]) remove(key K) {
	delete(a.stamps, key)
	a.compact()
}

// compact drops the stale items once they are more than the current ones.
func (a *aging[K]) compact() {
	const slack = 64
	if len(a.queue) <= 2*len(a.stamps)+slack {
		return
	}
	kept := make([]aged[K], 0, len(a.stamps))
	for _, item := range a.queue {
		if at, ok := a.stamps[item.key]; ok && at == item.at {
			kept = append(kept, item)
		}
	}
	a.queue = kept
}

// takeUntil removes and returns the oldest key if its stamp is at most limit.
func (a *aging[K]) takeUntil(limit WallTime) (K, bool) {
	for len(a.queue) > 0 && a.queue[0].at <= limit {
		item := a.queue[0]
		a.queue = a.queue[1:]
		if at, ok := a.stamps[item.key]; ok && at == item.at {
			delete(a.stamps, item.key)
			return item.key, true
		}
	}
	var none K
	return none, false
}

// sorted returns the keys by stamp, equal stamps by key.
func (a *aging[K]) sorted() []aged[K] {
	all := make([]aged[K], 0, len(a.stamps))
	for key, at := range a.stamps {
		all = append(all, aged[K]{key: key, at: at})
	}
	slices.SortFunc(all, func(x, y aged[K]) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.key, y.key))
	})
	return all
}
