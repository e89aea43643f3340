package ctrl

import "sync"

// signal wakes all who wait for the next news.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

func newSignal() *signal {
	return &signal{next: make(chan struct{})}
}

// wait returns a channel that is closed at the next news.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// tell wakes all waiters.
func (s *signal) tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}
