package state

import (
	"cmp"
	"slices"
)

// expiryItem is a key and the timestamp from which its retention counts.
type expiryItem[K cmp.Ordered] struct {
	key K
	at  WallTime
}

// expirySet is a set of keys that finds expired keys without scanning the others.
// The queue is ordered by timestamp. A key that is removed or gets a new timestamp
// leaves a stale item in the queue, which is skipped.
type expirySet[K cmp.Ordered] struct {
	timestamps map[K]WallTime
	queue      []expiryItem[K]
}

func newExpirySet[K cmp.Ordered]() *expirySet[K] {
	return &expirySet[K]{timestamps: make(map[K]WallTime)}
}

func (a *expirySet[K]) len() int {
	return len(a.timestamps)
}

func (a *expirySet[K]) has(key K) bool {
	_, ok := a.timestamps[key]
	return ok
}

// put adds a key or updates its timestamp. Timestamps must not decrease from call to
// call.
func (a *expirySet[K]) put(key K, at WallTime) {
	if old, ok := a.timestamps[key]; ok && old == at {
		return
	}
	a.timestamps[key] = at
	a.queue = append(a.queue, expiryItem[K]{key: key, at: at})
	a.compact()
}

func (a *expirySet[K]) remove(key K) {
	delete(a.timestamps, key)
	a.compact()
}

// compact drops stale items once they outnumber the current ones by slack.
func (a *expirySet[K]) compact() {
	const slack = 64
	if len(a.queue) <= 2*len(a.timestamps)+slack {
		return
	}
	kept := make([]expiryItem[K], 0, len(a.timestamps))
	for _, item := range a.queue {
		if at, ok := a.timestamps[item.key]; ok && at == item.at {
			kept = append(kept, item)
		}
	}
	a.queue = kept
}

// popExpired removes and returns the oldest key if its timestamp is at most limit.
func (a *expirySet[K]) popExpired(limit WallTime) (K, bool) {
	for len(a.queue) > 0 && a.queue[0].at <= limit {
		item := a.queue[0]
		a.queue = a.queue[1:]
		if at, ok := a.timestamps[item.key]; ok && at == item.at {
			delete(a.timestamps, item.key)
			return item.key, true
		}
	}
	var none K
	return none, false
}

// sorted returns the items by timestamp, those with equal timestamps by key.
func (a *expirySet[K]) sorted() []expiryItem[K] {
	all := make([]expiryItem[K], 0, len(a.timestamps))
	for key, at := range a.timestamps {
		all = append(all, expiryItem[K]{key: key, at: at})
	}
	slices.SortFunc(all, func(x, y expiryItem[K]) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.key, y.key))
	})
	return all
}
