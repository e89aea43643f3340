package fake

import (
	sardine "sardineswitch.dev/sardine"
)

// store is the weight store. It serves atOnce loads at the full rate; more
// loads than that share its capacity.
type store struct {
	atOnce   int
	loadTime sardine.Millis // of one load at the full rate
	active   []*Engine
}

// loadRate returns the rate of each load as a share of the full rate.
func (s *store) loadRate() float64 {
	if len(s.active) <= s.atOnce {
		return 1
	}
	return float64(s.atOnce) / float64(len(s.active))
}

// advance continues all loads for a time and returns the engines whose loads
// ended.
func (s *store) advance(now, d sardine.Millis) []*Engine {
	if len(s.active) == 0 {
		return nil
	}
	progress := sardine.Millis(float64(d)*s.loadRate() + 0.5)
	var ended []*Engine
	kept := s.active[:0]
	for _, e := range s.active {
		switch {
		case !e.alive || !e.loadsFromStore() && e.staging == "":
			continue
		case !e.running(now):
		case e.loadsFromStore():
			e.loadProgress += progress
		default:
			e.stagingProgress += progress
		}
		if s.finishIfComplete(e) {
			ended = append(ended, e)
			continue
		}
		kept = append(kept, e)
	}
	s.active = kept
	return ended
}

// finishIfComplete ends an engine's load if it is complete, and reports whether
// it was.
func (s *store) finishIfComplete(e *Engine) bool {
	switch {
	case e.loadsFromStore() && e.loadProgress >= s.loadTime:
		e.finishLoad()
	case e.staging != "" && e.stagingProgress >= s.loadTime:
		e.finishStaging()
	default:
		return false
	}
	return true
}

// untilLoadEnds returns the time until the next load ends, 0 if there is none.
func (s *store) untilLoadEnds() sardine.Millis {
	if len(s.active) == 0 {
		return 0
	}
	left := s.loadTime
	for _, e := range s.active {
		if e.staging != "" && !e.loadsFromStore() {
			left = min(left, s.loadTime-e.stagingProgress)
			continue
		}
		left = min(left, s.loadTime-e.loadProgress)
	}
	return max(sardine.Millis(float64(left)/s.loadRate()+0.999), 1)
}

// add adds an engine that has begun a load.
func (s *store) add(e *Engine) {
	for _, other := range s.active {
		if other == e {
			return
		}
	}
	s.active = append(s.active, e)
}
