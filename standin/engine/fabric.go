package engine

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Fabric is the interconnect between the members of groups in one process. An
// engine that is stopped or paused is missing from it.
type Fabric struct {
	mu    sync.Mutex
	ranks map[groupEpoch]map[int]bool // present ranks
}

type groupEpoch struct {
	group sardine.GroupID
	epoch sardine.Epoch
}

// NewFabric returns a fabric without members.
func NewFabric() *Fabric {
	return &Fabric{ranks: map[groupEpoch]map[int]bool{}}
}

// Complete reports whether ranks 0 to size-1 of the group's epoch are present.
func (f *Fabric) Complete(g sardine.GroupID, e sardine.Epoch, size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ranks[groupEpoch{g, e}]) == size
}

func (f *Fabric) add(o sardine.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := groupEpoch{o.Group, o.Epoch}
	if f.ranks[l] == nil {
		f.ranks[l] = map[int]bool{}
	}
	f.ranks[l][o.Rank] = true
}

func (f *Fabric) remove(o sardine.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := groupEpoch{o.Group, o.Epoch}
	delete(f.ranks[l], o.Rank)
	if len(f.ranks[l]) == 0 {
		delete(f.ranks, l)
	}
}
