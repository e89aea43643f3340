package gauge

import (
	"math"
	"slices"
)

// sample collects values for percentiles.
type sample struct {
	values []float64
	sorted bool
}

func (s *sample) add(v float64) {
	s.values = append(s.values, v)
	s.sorted = false
}

// at returns the value below which the share p of all values lies.
func (s *sample) at(p float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.values)
		s.sorted = true
	}
	return round(s.values[min(int(p*float64(len(s.values))), len(s.values)-1)])
}

func (s *sample) mean() float64 {
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return round(sum / max(float64(len(s.values)), 1))
}

// round keeps three decimals, so that results are readable.
func round(v float64) float64 {
	return math.Round(v*1000) / 1000
}
