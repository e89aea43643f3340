package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer starts a server that answers the first bytes of each connection
// with a text, and returns its address.
func startServer(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 16)); err == nil {
					_, _ = c.Write([]byte(text)) // the test notices a missing answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a request and returns the answer, empty if none arrives within 1 s.
func ask(t *testing.T, address string) string {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	text := make([]byte, 16)
	n, _ := c.Read(text) // a timeout means no answer
	return string(text[:n])
}
