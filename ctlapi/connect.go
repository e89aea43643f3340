package ctlapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// firstConnectTimeout is how long the first connection attempt of a call to a node may
// take. Each further round over the nodes doubles it: a machine that has failed must not
// use up the time of the others, and a slow one must be reached at last.
const firstConnectTimeout = 200 * time.Millisecond

// connectWatch observes whether a call got a connection. Without one it ends after a
// timeout, and nothing was sent.
type connectWatch struct {
	connected atomic.Bool
	timer     *time.Timer
}

// watchConnect returns a context for one call. stop ends the watch.
func watchConnect(ctx context.Context, timeout time.Duration) (watched context.Context, w *connectWatch, stop func()) {
	w = &connectWatch{}
	ctx, cancel := context.WithCancel(ctx)
	w.timer = time.AfterFunc(timeout, func() {
		if !w.connected.Load() {
			cancel()
		}
	})
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.connected.Store(true) },
		WroteHeaders: func() { w.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), w, func() {
		w.timer.Stop()
		cancel()
	}
}

// unsentError is the error of a call that ended before it got a connection.
type unsentError struct {
	cause error
}

// Error returns the cause's message.
func (e *unsentError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error {
	return e.cause
}

// errorOf marks the error of a call that was never sent.
func (w *connectWatch) errorOf(err error) error {
	if err == nil || w.connected.Load() {
		return err
	}
	return &unsentError{cause: err}
}
