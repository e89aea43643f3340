package retry

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
)

// Second is what one second of a service held, with the window that ends with it.
type Second struct {
	service sardine.ServiceName
	firsts  int
	repeats int
	denied  int
	window  Totals
}

// Totals are first requests and repeats over the whole window.
type Totals struct {
	firsts  int
	repeats int
}

// Service returns the service.
func (s Second) Service() sardine.ServiceName { return s.service }

// Firsts returns the callers' requests of the second.
func (s Second) Firsts() int { return s.firsts }

// Repeats returns the repeats of the second.
func (s Second) Repeats() int { return s.repeats }

// Denied returns how often the bound forbade a repeat in the second.
func (s Second) Denied() int { return s.denied }

// Window returns the sums over the window.
func (s Second) Window() Totals { return s.window }

// Firsts returns the callers' requests.
func (t Totals) Firsts() int { return t.firsts }

// Repeats returns the repeats.
func (t Totals) Repeats() int { return t.repeats }

// Seconds returns the seconds that have ended since the call before, of the services
// whose window holds repeats or denials, ordered by service. Each second is returned
// once; with all, those that are under way too.
func (w *Window) Seconds(now sardine.Millis, all bool) []Second {
	var seconds []Second
	for name := range w.services {
		seconds = append(seconds, w.secondsOf(now, name, all)...)
	}
	slices.SortStableFunc(seconds, func(a, b Second) int { return cmp.Compare(a.service, b.service) })
	return seconds
}

func (w *Window) secondsOf(now sardine.Millis, name sardine.ServiceName, all bool) []Second {
	c := w.counts(now, name)
	last := len(c.firsts) - 1
	if !all {
		last--
	}
	var seconds []Second
	for i := max(int(c.told-c.at)+len(c.firsts), 0); i <= last; i++ {
		if sum(c.repeats[:i+1])+sum(c.denied[:i+1]) == 0 {
			continue
		}
		seconds = append(seconds, Second{
			service: name, firsts: c.firsts[i], repeats: c.repeats[i], denied: c.denied[i],
			window: Totals{firsts: sum(c.firsts[:i+1]), repeats: sum(c.repeats[:i+1])},
		})
	}
	c.told = max(c.told, c.at-int64(len(c.firsts)-1-last))
	return seconds
}
