package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/answer"
	"sardineswitch.dev/sardine/clock"
)

// endlessConn is a connection on which a target sends a text and then a line again and
// again.
type endlessConn struct {
	net.Conn
	text string
	line string
	sent int // bytes that were read from the connection
}

func (c *endlessConn) Read(p []byte) (int, error) {
	for len(c.text) < len(p) {
		c.text += c.line
	}
	n := copy(p, c.text)
	c.text = c.text[n:]
	c.sent += n
	if c.sent > 32*answer.MaxHeadBytes {
		return n, io.ErrShortBuffer
	}
	return n, nil
}

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

func (c *endlessConn) Close() error { return nil }

// TestHeadWithoutEndIsBoundedAfterAnotherAnswer guards against an entry node that runs out
// of memory since the limits of a head are off when its beginning was read together with
// the body before it. The body's length moves the place at which that read ends.
func TestHeadWithoutEndIsBoundedAfterAnotherAnswer(t *testing.T) {
	for _, line := range []string{"a: b\r\n", "a:\r\n", "a: b\n", "x"} {
		for length := range 2 * len(line) {
			for _, read := range []int{1, 64, 64 << 10} {
				body := strings.Repeat("y", length+read)
				conn := &endlessConn{
					text: "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body + "HTTP/1.1 200 OK\r\n",
					line: line,
				}
				p := New(clock.NewReal(), WithDial(func(context.Context, string, string) (net.Conn, error) { return conn, nil }))
				c, err := p.Get(t.Context(), "target", "a")
				require.NoError(t, err)
				first, err := c.Receive(http.MethodGet)
				require.NoError(t, err)
				_, err = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{first.Body}, make([]byte, read))
				require.NoError(t, err)
				before := conn.sent
				_, err = c.Receive(http.MethodGet)
				require.ErrorIs(t, err, answer.ErrHeadTooLong, "line %q after a body of %d bytes", line, len(body))
				require.Less(t, conn.sent-before, 2*answer.MaxHeadBytes, "bytes of a head")
				c.Close()
			}
		}
	}
}
