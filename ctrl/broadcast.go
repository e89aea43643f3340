package ctrl

import "sync"

// broadcast wakes all goroutines that wait for the next event.
type broadcast struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{changed: make(chan struct{})}
}

// wait returns a channel that the next notify closes.
func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes all waiters.
func (s *broadcast) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
