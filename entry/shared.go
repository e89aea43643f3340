package entry

import (
	"net"
	"net/http"
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Connections of the node's clients.
const (
	maxIdleInternal  = 64
	maxIdleTargets   = 256
	targetConnect    = sardine.Second
	targetIdle       = 30 * sardine.Second
	targetReadBuffer = 16 << 10
)

// newTargetTransport returns the transport to targets: no proxy, HTTP/1.1 only,
// so that a broken connection concerns one request.
func newTargetTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: targetConnect.Duration()}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleTargets,
		IdleConnTimeout:     targetIdle.Duration(),
		ReadBufferSize:      targetReadBuffer,
		DisableCompression:  true,
	}
}

// sharedRandom lets the node's cores, which run under different locks, share one
// source.
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
