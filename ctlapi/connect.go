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

// WatchSent returns a context for one HTTP call. mark makes NeverSent true for the error
// of the call if it ended without a connection.
func WatchSent(ctx context.Context) (watched context.Context, mark func(error) error) {
	w := &sentWatch{}
	return w.trace(ctx), w.mark
}

// sentWatch observes whether a call got a connection. Nothing is sent before.
type sentWatch struct {
	connected atomic.Bool
}

func (w *sentWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.connected.Store(true) },
		WroteHeaders: func() { w.connected.Store(true) },
	})
}

// mark marks the error of a call that was never sent.
func (w *sentWatch) mark(err error) error {
	if err == nil || w.connected.Load() {
		return err
	}
	return &unsentError{cause: err}
}

// limitConnect returns a context that ends unless the watched call gets a connection
// within the timeout.
func (w *sentWatch) limitConnect(ctx context.Context, timeout time.Duration) (limited context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, func() {
		if !w.connected.Load() {
			cancel()
		}
	})
	return ctx, func() {
		timer.Stop()
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
