package conf

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/tomlr"
)

// Limits are the bounds on callers' requests at one entry node.
type Limits struct {
	bodyBytes     int64
	headerBytes   int
	headerTimeout sardine.Millis
	bodyTimeout   sardine.Millis
	idleTimeout   sardine.Millis
	requests      int
}

func readLimits(t *tomlr.Table) Limits {
	const kilobyte, megabyte = 1 << 10, 1 << 20
	return Limits{
		bodyBytes:     t.Int("body_bytes", 4*megabyte, kilobyte, 256*megabyte),
		headerBytes:   int(t.Int("header_bytes", 16*kilobyte, kilobyte, megabyte)),
		headerTimeout: millis(t, "header_timeout_ms", 5*sardine.Second, 100, 60*sardine.Second),
		bodyTimeout:   millis(t, "body_timeout_ms", 10*sardine.Second, 100, 600*sardine.Second),
		idleTimeout:   millis(t, "idle_timeout_ms", 60*sardine.Second, sardine.Second, 3600*sardine.Second),
		requests:      int(t.Int("requests", 2000, 1, 100_000)),
	}
}

// BodyBytes returns the largest request body.
func (l Limits) BodyBytes() int64 {
	return l.bodyBytes
}

// HeaderBytes returns the largest request header.
func (l Limits) HeaderBytes() int {
	return l.headerBytes
}

// HeaderTimeout returns how long a header may take to arrive.
func (l Limits) HeaderTimeout() sardine.Millis {
	return l.headerTimeout
}

// BodyTimeout returns how long a body may take to arrive.
func (l Limits) BodyTimeout() sardine.Millis {
	return l.bodyTimeout
}

// IdleTimeout returns how long a connection without a request stays open.
func (l Limits) IdleTimeout() sardine.Millis {
	return l.idleTimeout
}

// Requests returns how many requests the node holds at once.
func (l Limits) Requests() int {
	return l.requests
}

func span(low, high int) string {
	return fmt.Sprintf("%d to %d", low, high)
}
