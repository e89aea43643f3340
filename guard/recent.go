package guard

import (
	sardine "sardineswitch.dev/sardine"
)

// recent records when each fingerprint was last added. It keeps two generations
// and drops the older one as a whole, so an entry stays for at least the span
// unless more than limit fingerprints are added within it.
type recent struct {
	span      sardine.Millis
	limit     int
	rotatedAt sardine.Millis
	current   map[Fingerprint]sardine.Millis
	previous  map[Fingerprint]sardine.Millis
}

func newRecent(span sardine.Millis, limit int) *recent {
	return &recent{span: span, limit: limit, current: make(map[Fingerprint]sardine.Millis)}
}

func (r *recent) add(now sardine.Millis, f Fingerprint) {
	if now >= r.rotatedAt+r.span || len(r.current) >= r.limit {
		r.previous, r.current = r.current, make(map[Fingerprint]sardine.Millis)
		r.rotatedAt = now
	}
	r.current[f] = now
}

// at returns when the fingerprint was last added, 0 if it is not held.
func (r *recent) at(f Fingerprint) sardine.Millis {
	if at, ok := r.current[f]; ok {
		return at
	}
	return r.previous[f]
}

// has reports whether the fingerprint was added within the span.
func (r *recent) has(now sardine.Millis, f Fingerprint) bool {
	at := r.at(f)
	return at > 0 && now-at < r.span
}
