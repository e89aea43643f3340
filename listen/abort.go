package listen

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetAborted resets the connection of an HTTP/1.0 request whose handler panics. In
// HTTP/1.0 an answer without a length ends where its connection is closed, so an
// ordinary close would make a truncated answer look complete to the client.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		aborted := true
		defer func() {
			if aborted && !r.ProtoAtLeast(1, 1) {
				resetOnClose(r.Context())
			}
		}()
		next.ServeHTTP(w, r)
		aborted = false
	})
}

// resetOnClose causes the connection of a request to be reset when it is closed. It
// does nothing with TLS, which distinguishes truncation from a regular end itself.
func resetOnClose(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if limited, isLimited := c.(*limitedConn); isLimited {
		c = limited.Conn
	}
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
