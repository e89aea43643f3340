package entry

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// maxIdleInternal bounds the idle connections to other nodes.
const maxIdleInternal = 64

// sharedRandom is a random source that can be used under different locks.
type sharedRandom struct {
	mu     sync.Mutex
	source sardine.Random
}

func newSharedRandom(source sardine.Random) *sharedRandom {
	return &sharedRandom{source: source}
}

// Uint64 returns a uniform 64-bit number.
func (s *sharedRandom) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// IntN returns a uniform number in [0,n).
func (s *sharedRandom) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.IntN(n)
}

// Float64 returns a uniform number in [0,1).
func (s *sharedRandom) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Float64()
}
