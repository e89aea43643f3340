package gauge

import (
	"math"
	"slices"
)

// sample collects values and returns their quantiles.
type sample struct {
	values []float64
	sorted bool
}

func (s *sample) add(v float64) {
	s.values = append(s.values, v)
	s.sorted = false
}

// quantile returns the value below which the share p of all values lies, or 0
// without values.
func (s *sample) quantile(p float64) float64 {
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

// round rounds to three decimals, so that results are readable.
func round(v float64) float64 {
	return math.Round(v*1000) / 1000
}
