package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"sardineswitch.dev/sardine/clock"
)

// waitTimeout is the timeout of every wait in these tests.
const waitTimeout = 10 * time.Second

// wrapper hides the type of the connection that it wraps.
type wrapper struct{ net.Conn }

// NetConn returns the wrapped connection.
func (w wrapper) NetConn() net.Conn { return w.Conn }

// TestWrappedConnections guards against a connection of another dial function that has no
// ack timeout, or that is used after its target has closed it or sent unexpected bytes.
func TestWrappedConnections(t *testing.T) {
	for name, idle := range map[string]func(target net.Conn) error{
		"unexpected bytes": func(target net.Conn) error { _, err := target.Write([]byte("x")); return err },
		"closed":           net.Conn.Close,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			p := New(clock.NewReal(), WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return wrapper{c}, err
			}))
			c, err := p.Get(t.Context(), l.Addr().String(), "a")
			require.NoError(t, err)
			defer c.Close()
			require.Equal(t, int(ackTimeout), userTimeout(t, socket(c.raw)))
			target, err := l.Accept()
			require.NoError(t, err)
			defer target.Close()
			require.True(t, c.usable())
			require.NoError(t, idle(target))
			require.Eventually(t, func() bool { return !c.usable() }, waitTimeout, waitTimeout/1000)
		})
	}
}

// userTimeout returns a socket's TCP_USER_TIMEOUT.
func userTimeout(t *testing.T, c net.Conn) (timeout int) {
	control, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, control.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	return timeout
}
