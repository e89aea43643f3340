package sardine

import "time"

// Millis is an instant or a duration in milliseconds. Instants count from an
// arbitrary start and never decrease within one process.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf converts d to Millis, rounding toward zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a monotonic clock. Implementations: clock.Real, clock.Virtual.
type Clock interface {
	// Now returns the current instant.
	Now() Millis
	// After returns a channel that receives the instant once d has passed.
	After(d Millis) <-chan Millis
}
