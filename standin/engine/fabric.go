package engine

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Fabric is the link between the members of groups in one process. An engine
// that is dead or paused is missing from it.
type Fabric struct {
	mu    sync.Mutex
	links map[link]map[int]bool // ranks that are present
}

type link struct {
	group sardine.GroupID
	epoch sardine.Epoch
}

// NewFabric returns a fabric without members.
func NewFabric() *Fabric {
	return &Fabric{links: map[link]map[int]bool{}}
}

// Whole reports whether ranks 0 to size-1 of the group's epoch are present.
func (f *Fabric) Whole(g sardine.GroupID, e sardine.Epoch, size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links[link{g, e}]) == size
}

func (f *Fabric) join(o sardine.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := link{o.Group, o.Epoch}
	if f.links[l] == nil {
		f.links[l] = map[int]bool{}
	}
	f.links[l][o.Rank] = true
}

func (f *Fabric) drop(o sardine.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := link{o.Group, o.Epoch}
	delete(f.links[l], o.Rank)
	if len(f.links[l]) == 0 {
		delete(f.links, l)
	}
}
