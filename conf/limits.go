package conf

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/tomlr"
)

// Limits holds the limits on callers' requests at one entry node.
type Limits struct {
	bodyBytes     int64
	uploadBytes   int64 // 0: by the machine's memory
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
		uploadBytes:   t.Int("uploads_mb", 0, 0, 1<<20) * megabyte,
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

const (
	// The part of the machine's memory, as a divisor, for request bodies. Layouts take a
	// multiple of their size while they are decoded.
	entryUploadShare   = 4
	controlUploadShare = 8

	// Bytes for request bodies if the machine's memory is not given.
	entryUploadDefault   = 256 << 20
	controlUploadDefault = 64 << 20
)

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

// Requests returns the maximum number of concurrent requests.
func (l Limits) Requests() int {
	return l.requests
}

// maxRetryWindow bounds the window in which retries are counted, in seconds. An
// entry node's budget slot must be retained for longer, see state.BudgetSlotRetention.
const maxRetryWindow = 60

// RetryLimit limits the retries of requests over all entry nodes.
type RetryLimit struct {
	ratio     float64
	allowance float64
	window    sardine.Millis
}

func readRetries(t *tomlr.Table) RetryLimit {
	return RetryLimit{
		ratio:     t.Float("ratio", 0.1, 0, 10),
		allowance: t.Float("slack", 10, 0, 1e6),
		window:    sardine.Millis(t.Int("window_s", 10, 1, maxRetryWindow)) * sardine.Second,
	}
}

// Ratio returns the number of retries allowed for each request.
func (r RetryLimit) Ratio() float64 {
	return r.ratio
}

// Allowance returns the number of retries that all nodes together may make in a
// window in addition to the ratio.
func (r RetryLimit) Allowance() float64 {
	return r.allowance
}

// Window returns the window in which retries are counted.
func (r RetryLimit) Window() sardine.Millis {
	return r.window
}

// readMemory reads the memory that the machine has for the process, in bytes.
func readMemory(t *tomlr.Table) int64 {
	return t.Int("memory_mb", 0, 0, 1<<20) << 20
}

func rangeText(low, high int) string {
	return fmt.Sprintf("%d to %d", low, high)
}
