package retry

import (
	sardine "sardineswitch.dev/sardine"
)

// Second holds a service's counts of about one second, and those of the
// window that ends with it.
type Second struct {
	service  sardine.ServiceName
	requests int
	retries  int
	denied   int
	window   Totals
}

// Totals are sums over the whole window.
type Totals struct {
	requests  int
	retries   int
	allowance float64
}

// Service returns the service.
func (s Second) Service() sardine.ServiceName { return s.service }

// Requests returns the number of callers' requests in the second.
func (s Second) Requests() int { return s.requests }

// Retries returns the number of retries in the second.
func (s Second) Retries() int { return s.retries }

// Denied returns how often the bound denied a retry in the second.
func (s Second) Denied() int { return s.denied }

// Window returns the sums over the window.
func (s Second) Window() Totals { return s.window }

// Requests returns the number of callers' requests.
func (t Totals) Requests() int { return t.requests }

// Retries returns the number of retries.
func (t Totals) Retries() int { return t.retries }

// Allowance returns the part of the allowance used, in retries: those that the
// ratio of the requests did not cover.
func (t Totals) Allowance() float64 { return t.allowance }

// Seconds returns each service's counts since the previous call, once a
// second has passed, or at once if the node stops. Services without retries
// and denials in the window are left out.
func (w *Window) Seconds(now sardine.Millis, stops bool) []Second {
	var seconds []Second
	for _, name := range w.names() {
		c := w.counts(now, name)
		ended := c.newest - 1
		if stops {
			ended = c.newest
		}
		if ended-c.reportedUntil < bucketsPerSecond && !stops {
			continue
		}
		since := int(min(c.newest-c.reportedUntil, int64(len(c.retries))))
		until := int(c.newest - ended)
		c.reportedUntil = ended
		if sum(c.retries)+sum(c.denied) == 0 || since <= until {
			continue
		}
		seconds = append(seconds, Second{
			service:  name,
			requests: span(c.requests, since, until),
			retries:  span(c.retries, since, until),
			denied:   span(c.denied, since, until),
			window:   Totals{requests: span(c.requests, w.length, until), retries: sum(c.retries), allowance: sum(c.usedAllowance) + sum(c.inherited)},
		})
	}
	return seconds
}

// span sums the items from the since-th newest on, without the until newest
// ones.
func span(items []int, since, until int) int {
	return sum(items[len(items)-since : len(items)-until])
}
