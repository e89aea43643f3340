package entry

import (
	"sync"

	sardine "sardineswitch.dev/sardine"
)

// patiences knows how long the callers of each route wait at most. One with less
// time left has been refused before, or has waited elsewhere.
type patiences struct {
	mu   sync.Mutex
	most map[string]sardine.Millis // by route
}

// waited returns how long a caller has waited before it came here, by the time that
// it has left. It is 0 for a caller that does not say.
func (p *patiences) waited(route string, left sardine.Millis) sardine.Millis {
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

// keep forgets the routes that a layout does not have.
func (p *patiences) keep(l sardine.Layout) {
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
