package keys

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Limits of refused tokens.
const (
	maxRefusals    = 10 // of one source in a window, then it is blocked until the window ends
	refusalWindow  = 10 * sardine.Second
	maxSources     = 4096 // remembered at once
	forgottenShare = 4    // of maxSources, dropped when full
)

// Throttle slows down sources that show wrong tokens. It is safe for concurrent
// use.
type Throttle struct {
	mu      sync.Mutex
	sources map[string]refusals
}

type refusals struct {
	count int
	since sardine.Millis
}

// NewThrottle returns a throttle that knows no source.
func NewThrottle() *Throttle {
	return &Throttle{sources: map[string]refusals{}}
}

// Blocked reports whether the source has shown too many wrong tokens.
func (t *Throttle) Blocked(now sardine.Millis, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.sources[source]
	return known && now-r.since < refusalWindow && r.count >= maxRefusals
}

// Refused counts one wrong token of the source.
func (t *Throttle) Refused(now sardine.Millis, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.sources[source]
	if !known || now-r.since >= refusalWindow {
		r = refusals{since: now}
	}
	r.count++
	if !known && len(t.sources) >= maxSources {
		t.forget(now)
	}
	t.sources[source] = r
}

// forget drops ended windows, and some others if none has ended: memory stays
// bounded when an attacker has many addresses.
func (t *Throttle) forget(now sardine.Millis) {
	for source, r := range t.sources {
		if now-r.since >= refusalWindow {
			delete(t.sources, source)
		}
	}
	drop := len(t.sources) - maxSources*(forgottenShare-1)/forgottenShare
	for source := range t.sources {
		if drop <= 0 {
			return
		}
		delete(t.sources, source)
		drop--
	}
}
