package keys

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Limits on rejected tokens.
const (
	maxRejections   = 10 // per source and window; then the source is blocked until the window ends
	rejectionWindow = 10 * sardine.Second
	maxSources      = 4096 // that are tracked at the same time
	dropDivisor     = 4    // when full, at least 1/dropDivisor of maxSources is freed
)

// Throttle counts rejected tokens by source and blocks sources that send too many. It
// is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	sources map[string]rejections
}

type rejections struct {
	count int
	since sardine.Millis
}

// NewThrottle returns a throttle without blocked sources.
func NewThrottle() *Throttle {
	return &Throttle{sources: map[string]rejections{}}
}

// Blocked reports whether the source has sent too many rejected tokens.
func (t *Throttle) Blocked(now sardine.Millis, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.sources[source]
	return known && now-r.since < rejectionWindow && r.count >= maxRejections
}

// CountRejected counts one rejected token of the source.
func (t *Throttle) CountRejected(now sardine.Millis, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.sources[source]
	if !known || now-r.since >= rejectionWindow {
		r = rejections{since: now}
	}
	r.count++
	if !known && len(t.sources) >= maxSources {
		t.dropOld(now)
	}
	t.sources[source] = r
}

// dropOld drops sources whose window has ended, and others until a quarter of the
// places is free: memory stays bounded when an attacker uses many addresses.
func (t *Throttle) dropOld(now sardine.Millis) {
	for source, r := range t.sources {
		if now-r.since >= rejectionWindow {
			delete(t.sources, source)
		}
	}
	drop := len(t.sources) - maxSources*(dropDivisor-1)/dropDivisor
	for source := range t.sources {
		if drop <= 0 {
			return
		}
		delete(t.sources, source)
		drop--
	}
}
