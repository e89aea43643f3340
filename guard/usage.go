package guard

import (
	sardine "sardineswitch.dev/sardine"
)

const (
	// usageSample is the number of requests of a deployment per generation of usage,
	// which keeps two generations.
	usageSample = 512
	// minUsage is the number of requests below which no segment counts as common.
	minUsage = 20
	// maxUsageSegments bounds the segments that are counted per generation.
	maxUsageSegments = 4096
)

// usage counts how many of the recent requests of each deployment had each segment.
type usage struct {
	services map[sardine.ServiceName]*serviceUsage
}

// serviceUsage is the usage of one deployment.
type serviceUsage struct {
	current, previous usageSpan
	worked            map[Fingerprint]bool // of those that most requests have
}

// usageSpan counts the requests of one generation.
type usageSpan struct {
	requests int
	segments map[Fingerprint]int
}

func newUsage() *usage {
	return &usage{services: make(map[sardine.ServiceName]*serviceUsage)}
}

func newUsageSpan() usageSpan {
	return usageSpan{segments: make(map[Fingerprint]int)}
}

// add counts a request.
func (u *usage) add(service sardine.ServiceName, segments []Segment) {
	s := u.services[service]
	if s == nil {
		s = &serviceUsage{current: newUsageSpan(), previous: newUsageSpan(), worked: make(map[Fingerprint]bool)}
		u.services[service] = s
	}
	if s.current.requests >= usageSample {
		s.rotate()
	}
	s.current.requests++
	for _, one := range segments {
		if _, known := s.current.segments[one.Fingerprint]; known || len(s.current.segments) < maxUsageSegments {
			s.current.segments[one.Fingerprint]++
		}
	}
}

// proven records that the segments worked.
func (u *usage) proven(service sardine.ServiceName, segments []Segment) {
	s := u.services[service]
	if s == nil {
		return
	}
	for _, one := range segments {
		if s.inMost(one.Fingerprint) {
			s.worked[one.Fingerprint] = true
		}
	}
}

// common reports whether more than half of the recent requests had the segment, and it
// has worked since that is so.
func (u *usage) common(service sardine.ServiceName, f Fingerprint) bool {
	s := u.services[service]
	return s != nil && s.worked[f] && s.inMost(f)
}

// rotate begins a new generation.
func (s *serviceUsage) rotate() {
	s.previous, s.current = s.current, newUsageSpan()
	for f := range s.worked {
		if !s.inMost(f) {
			delete(s.worked, f)
		}
	}
}

// inMost reports whether more than half of the recent requests had the segment.
func (s *serviceUsage) inMost(f Fingerprint) bool {
	requests := s.current.requests + s.previous.requests
	return requests >= minUsage && 2*(s.current.segments[f]+s.previous.segments[f]) > requests
}
