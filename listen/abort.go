package listen

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetAborted resets the connection of an HTTP/1.0 request whose handler aborts.
// There an answer without a length ends with its connection, so that one which is
// closed in the ordinary way looks complete to its caller.
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

// resetOnClose makes the end of a request's connection a reset. TLS tells a cut from
// an end by itself.
func resetOnClose(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if limited, held := c.(*limitedConn); held {
		c = limited.Conn
	}
	if tcp, plain := c.(*net.TCPConn); plain {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}
