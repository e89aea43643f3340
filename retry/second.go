package retry

import (
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

// Totals are sums over the whole window.
type Totals struct {
	firsts  int
	repeats int
	slack   float64
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

// Slack returns the part of the repeats that the requests did not allow.
func (t Totals) Slack() float64 { return t.slack }

// Seconds returns what the account holds of each service since the call before, once a
// second has passed, or at once if the node stops. Services whose window holds neither
// repeats nor denials are left out.
func (w *Window) Seconds(now sardine.Millis, stops bool) []Second {
	var seconds []Second
	for _, name := range w.names() {
		c := w.counts(now, name)
		ended := c.at - 1
		if stops {
			ended = c.at
		}
		if ended-c.told < perSecond && !stops {
			continue
		}
		since := int(min(c.at-c.told, int64(len(c.repeats))))
		until := int(c.at - ended)
		c.told = ended
		if sum(c.repeats)+sum(c.denied) == 0 || since <= until {
			continue
		}
		seconds = append(seconds, Second{
			service: name,
			firsts:  span(c.firsts, since, until),
			repeats: span(c.repeats, since, until),
			denied:  span(c.denied, since, until),
			window:  Totals{firsts: span(c.firsts, w.length, until), repeats: sum(c.repeats), slack: sum(c.slack) + sum(c.before)},
		})
	}
	return seconds
}

// span sums the items up from the since newest on, without the until newest.
func span(items []int, since, until int) int {
	return sum(items[len(items)-since : len(items)-until])
}
