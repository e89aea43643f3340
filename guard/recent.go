package guard

import (
	sardine "sardineswitch.dev/sardine"
)

// recent remembers when fingerprints were noted last, for a span at least unless
// more than most of them come within it. It keeps two generations and forgets the
// older one whole.
type recent struct {
	span     sardine.Millis
	most     int
	turnedAt sardine.Millis
	now      map[Fingerprint]sardine.Millis
	before   map[Fingerprint]sardine.Millis
}

func newRecent(span sardine.Millis, most int) *recent {
	return &recent{span: span, most: most, now: make(map[Fingerprint]sardine.Millis)}
}

func (r *recent) note(now sardine.Millis, f Fingerprint) {
	if now >= r.turnedAt+r.span || len(r.now) >= r.most {
		r.before, r.now = r.now, make(map[Fingerprint]sardine.Millis)
		r.turnedAt = now
	}
	r.now[f] = now
}

// at returns when the fingerprint was noted last, 0 if that is not known.
func (r *recent) at(f Fingerprint) sardine.Millis {
	if at, known := r.now[f]; known {
		return at
	}
	return r.before[f]
}

// has reports whether the fingerprint was noted within the span.
func (r *recent) has(now sardine.Millis, f Fingerprint) bool {
	at := r.at(f)
	return at > 0 && now-at < r.span
}
