package route

import (
	sardine "sardineswitch.dev/sardine"
)

// maxEjection limits the duration of one ejection.
const maxEjection = 300 * sardine.Second

// outlier tracks a target's consecutive failures and its ejection.
type outlier struct {
	failures  int
	ejections int            // since the last success
	until     sardine.Millis // ejected before this instant
}

func (o *outlier) ejected(now sardine.Millis) bool {
	return now < o.until
}

// succeeded resets the failures and ends an ejection.
func (o *outlier) succeeded() {
	*o = outlier{}
}

// failed counts a failure and reports whether it should eject the target.
func (o *outlier) failed(now sardine.Millis, limit int) bool {
	o.failures++
	return limit > 0 && o.failures >= limit && !o.ejected(now)
}

// eject excludes the target; each consecutive ejection lasts twice as long as
// the one before.
func (o *outlier) eject(now, first sardine.Millis) {
	span := first << min(o.ejections, 8)
	o.until = now + min(span, maxEjection)
	o.ejections++
	o.failures = 0
}

// mayEject reports whether the share floor of the service's targets stays
// usable after one more ejection.
func (s *service) mayEject(now sardine.Millis, floor float64) bool {
	usable := 0
	for _, t := range s.targets {
		if !t.candidate.Leaving && !t.outlier.ejected(now) {
			usable++
		}
	}
	return float64(usable-1) >= floor*float64(len(s.targets)) && usable > 1
}
