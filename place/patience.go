package place

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// Patiences knows how long the callers of each route wait at most. One with less
// time left has been refused before, or has waited elsewhere. It is safe for
// concurrent use.
type Patiences struct {
	mu   sync.Mutex
	most map[string]sardine.Millis // by route
}

// Waited returns how long a caller has waited before it came here, by the time that
// it has left. It is 0 for a caller that does not say.
func (p *Patiences) Waited(route string, left sardine.Millis) sardine.Millis {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil {
		p.most = make(map[string]sardine.Millis)
	}
	p.most[route] = max(p.most[route], left)
	return p.most[route] - left
}

// Keep forgets the routes that a layout does not have.
func (p *Patiences) Keep(l sardine.Layout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]sardine.Millis, len(p.most))
	for _, r := range l.Routes {
		if most, known := p.most[r.Name]; known {
			kept[r.Name] = most
		}
	}
	p.most = kept
}
