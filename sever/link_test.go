package sever

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout is the timeout of every wait in these tests.
const waitTimeout = 10 * time.Second

// shortTimeout is long enough for what arrives at once.
const shortTimeout = 100 * time.Millisecond

// connect returns both ends of a connection through a link.
func connect(t *testing.T, l *Link) (node, target net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	node, err = l.Dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	target, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	return node, target
}

// arrived returns what arrives at an end within a time.
func arrived(t *testing.T, c net.Conn, within time.Duration) (string, error) {
	require.NoError(t, c.SetDeadline(time.Now().Add(within)))
	text := make([]byte, 16)
	n, err := c.Read(text)
	return string(text[:n]), err
}

func TestSilentLinkDeliversLater(t *testing.T) {
	l := NewLink()
	node, target := connect(t, l)
	l.Set(Silent)
	_, err := node.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = target.Write([]byte("pong"))
	require.NoError(t, err)
	for _, c := range []net.Conn{node, target} {
		_, err := arrived(t, c, shortTimeout)
		require.True(t, os.IsTimeout(err), "%v", err)
	}
	l.Set(Up)
	for c, want := range map[net.Conn]string{node: "pong", target: "ping"} {
		text, err := arrived(t, c, waitTimeout)
		require.NoError(t, err)
		require.Equal(t, want, text)
	}
}

func TestSilentLinkDeliversAfterClose(t *testing.T) {
	l := NewLink()
	node, target := connect(t, l)
	l.Set(Silent)
	_, err := node.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, node.Close())
	_, err = arrived(t, target, shortTimeout)
	require.True(t, os.IsTimeout(err), "%v", err)
	l.Set(Up)
	require.NoError(t, target.SetDeadline(time.Now().Add(waitTimeout)))
	text, err := io.ReadAll(target)
	require.NoError(t, err)
	require.Equal(t, "ping", string(text))
}

func TestCloseEndsAReadOnASilentLink(t *testing.T) {
	l := NewLink()
	node, target := connect(t, l)
	l.Set(Silent)
	_, err := target.Write([]byte("pong"))
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := node.Read(make([]byte, 16))
		ended <- err
	}()
	time.Sleep(shortTimeout)
	require.NoError(t, node.Close())
	select {
	case err := <-ended:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(waitTimeout):
		t.Fatal("the read goes on")
	}
}

func TestResetEndsConnectionsAndHoldsNewOnes(t *testing.T) {
	l := NewLink()
	node, target := connect(t, l)
	l.Set(Reset)
	_, err := node.Read(make([]byte, 16))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = arrived(t, target, waitTimeout)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	_, err = l.Dial(ctx, "tcp", target.LocalAddr().String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestRefuseKeepsOpenConnections(t *testing.T) {
	l := NewLink()
	node, target := connect(t, l)
	l.Set(Refuse, target.LocalAddr().String())
	_, err := node.Write([]byte("ping"))
	require.NoError(t, err)
	text, err := arrived(t, target, waitTimeout)
	require.NoError(t, err)
	require.Equal(t, "ping", text)
	_, err = l.Dial(t.Context(), "tcp", target.LocalAddr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	connect(t, l) // other addresses are not refused
}

func TestFollowReadsTheMode(t *testing.T) {
	l := NewLink()
	path := filepath.Join(t.TempDir(), "mode")
	go l.Follow(t.Context(), path)
	for _, m := range []Mode{Silent, Refuse, Reset, Up} {
		require.NoError(t, Store(path, m))
		require.Eventually(t, func() bool { return l.mode("") == m }, waitTimeout, time.Millisecond)
	}
}
