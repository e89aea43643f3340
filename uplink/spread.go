package uplink

import (
	sardine "sardineswitch.dev/sardine"
)

// Target is a target that may be probed.
type Target struct {
	Address    string
	Service    sardine.ServiceName
	DataCentre sardine.DataCentre
}

// Spread returns up to count random targets with different addresses, after the one at the
// given address if it is there. Among them are as many services and data centres as
// possible.
func Spread(all []Target, first string, count int, r sardine.Random) []Target {
	left := make([]Target, 0, len(all))
	seen := make(map[string]bool, len(all))
	for _, t := range all {
		if !seen[t.Address] {
			seen[t.Address] = true
			left = append(left, t)
		}
	}
	for i := len(left) - 1; i > 0; i-- {
		j := r.IntN(i + 1)
		left[i], left[j] = left[j], left[i]
	}
	var chosen []Target
	services, centres := make(map[sardine.ServiceName]int), make(map[sardine.DataCentre]int)
	for len(chosen) < count && len(left) > 0 {
		best := 0
		for i, t := range left {
			b := left[best]
			if t.Address == first {
				best = i
				break
			}
			if services[t.Service]+centres[t.DataCentre] < services[b.Service]+centres[b.DataCentre] {
				best = i
			}
		}
		t := left[best]
		services[t.Service]++
		centres[t.DataCentre]++
		chosen = append(chosen, t)
		left = append(left[:best], left[best+1:]...)
	}
	return chosen
}
