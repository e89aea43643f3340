package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that exits closes its listening socket some milliseconds after the
// connection that broke. A process with too many connections closes new ones
// but still listens.
func TestExitingProcessDoesNotListen(t *testing.T) {
	for name, listens := range map[string]bool{"well": true, "full": true, "ends": false, "ended": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			address := l.Addr().String()
			switch name {
			case "ended":
				require.NoError(t, l.Close())
			case "full":
				go closeAll(l)
			case "ends": // the connection is in the accept queue of a socket that closes
				time.AfterFunc(20*time.Millisecond, func() { _ = l.Close() })
			}
			require.Equal(t, listens, (&Node{}).listens(context.Background(), address))
		})
	}
}

// closeAll accepts and closes connections until the listener is closed.
func closeAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}
