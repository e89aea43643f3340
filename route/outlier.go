package route

import (
	sardine "sardineswitch.dev/sardine"
)

// maxEjection bounds how long one ejection lasts.
const maxEjection = 300 * sardine.Second

// outlier counts a target's failures in a row.
type outlier struct {
	failures  int
	ejections int            // since the last success
	until     sardine.Millis // ejected before this instant
}

func (o *outlier) ejected(now sardine.Millis) bool {
	return now < o.until
}

// succeeded forgets earlier failures.
func (o *outlier) succeeded() {
	*o = outlier{}
}

// failed counts a failure and reports whether it should eject the target.
func (o *outlier) failed(now sardine.Millis, limit int) bool {
	o.failures++
	return limit > 0 && o.failures >= limit && !o.ejected(now)
}

// eject keeps the target out, twice as long each time in a row.
func (o *outlier) eject(now, first sardine.Millis) {
	span := first << min(o.ejections, 8)
	o.until = now + min(span, maxEjection)
	o.ejections++
	o.failures = 0
}

// mayEject reports whether the service keeps its floor of usable targets after
// one more ejection.
func (s *service) mayEject(now sardine.Millis, floor float64) bool {
	usable := 0
	for _, t := range s.targets {
		if !t.candidate.Leaving && !t.outlier.ejected(now) {
			usable++
		}
	}
	return float64(usable-1) >= floor*float64(len(s.targets)) && usable > 1
}
