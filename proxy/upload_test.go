package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/pool"
)

const (
	uploadBytes = 4 << 20
	// unlimited is the head of an answer that ends with its connection.
	unlimited = "HTTP/1.1 200 OK\r\nId: r\r\n\r\n"
)

// uploadTargets end an answer without a length while an upload is under way, or after it.
// The answer is complete if whole is true.
var uploadTargets = map[string]struct {
	body  int
	whole bool
	serve func(c *net.TCPConn, head int)
}{
	"reset, upload unread": {uploadBytes, false, func(c *net.TCPConn, _ int) {
		reply(c)
		_ = c.SetLinger(0)
	}},
	"reset, upload partly read": {uploadBytes, false, func(c *net.TCPConn, _ int) {
		reply(c)
		_, _ = io.CopyN(io.Discard, c, uploadBytes/2)
		_ = c.SetLinger(0)
	}},
	"closed, upload unread": {uploadBytes, false, func(c *net.TCPConn, _ int) { reply(c) }},
	"closed, upload partly read": {uploadBytes, false, func(c *net.TCPConn, _ int) {
		reply(c)
		_, _ = io.CopyN(io.Discard, c, uploadBytes/2)
	}},
	"write side closed, upload unread": {uploadBytes, false, func(c *net.TCPConn, _ int) {
		reply(c)
		_ = c.CloseWrite()
		time.Sleep(2 * time.Second)
	}},
	"write side closed, upload read then": {uploadBytes, true, func(c *net.TCPConn, head int) {
		reply(c)
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c, int64(head+uploadBytes))
	}},
	"closed, upload read": {uploadBytes, true, func(c *net.TCPConn, head int) {
		_, _ = io.CopyN(io.Discard, c, int64(head+uploadBytes))
		reply(c)
	}},
	"closed, upload read after the answer": {uploadBytes, true, func(c *net.TCPConn, head int) {
		reply(c)
		_, _ = io.CopyN(io.Discard, c, int64(head+uploadBytes))
	}},
	"reset, upload in the sockets' buffers": {100 << 10, false, func(c *net.TCPConn, _ int) {
		reply(c)
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	}},
	"closed, no body": {0, true, func(c *net.TCPConn, head int) {
		_, _ = io.CopyN(io.Discard, c, int64(head))
		reply(c)
	}},
}

func reply(c net.Conn) { _, _ = io.WriteString(c, unlimited+"part") }

// TestAnswerIsNotWholeUnlessItsRequestWasSent guards against a part of an answer that is
// forwarded as a whole one: the write of an upload takes the error of a reset, and the read
// gets the end of the connection instead.
func TestAnswerIsNotWholeUnlessItsRequestWasSent(t *testing.T) {
	const plays = 20
	for name, target := range uploadTargets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			q := pool.Request{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, target.body)}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						target.serve(c.(*net.TCPConn), headLength(target.body))
					}()
				}
			}()
			for range plays {
				body, err := upload(l.Addr().String(), q)
				if target.whole {
					require.NoError(t, err)
					require.Equal(t, "part", body)
					continue
				}
				require.Error(t, err, "a complete answer: %q", body)
			}
		})
	}
}

// headLength returns the length of a request's head.
func headLength(body int) int {
	conn := &recorder{}
	p := pool.New(clock.NewReal(), pool.WithDial(func(context.Context, string, string) (net.Conn, error) { return conn, nil }))
	c, _ := p.Get(context.Background(), "h", "r")
	h := http.Header{}
	scriptPort{}.Prepare(h, sardine.Dispatch{Request: "r", Target: "vm-1"})
	_, _ = c.Send(pool.Request{Method: http.MethodPost, Path: "/", Host: "h", Header: h, Body: make([]byte, body)})
	return conn.first
}

// recorder is a connection that records the length of the first write.
type recorder struct {
	net.Conn
	first int
}

func (c *recorder) Write(p []byte) (int, error) {
	if c.first == 0 {
		c.first = len(p)
	}
	return len(p), nil
}

// upload sends a request and returns its answer's body.
func upload(address string, q pool.Request) (string, error) {
	k := clock.NewReal()
	p := pool.New(k)
	defer p.Close()
	answer, failed := NewClient(p, scriptPort{}).Open(context.Background(), Exchange{
		Address: address, Request: q, Deadline: k.Now() + 5*sardine.Second, Dispatch: sardine.Dispatch{Request: "r", Target: "vm-1"},
	})
	if failed != nil {
		return "", failed
	}
	body, err := io.ReadAll(answer.Response.Body)
	answer.Close(err == nil)
	return string(body), err
}

// failingUpload is a connection whose write takes the error of a reset before the read
// gets the end of the connection.
type failingUpload struct {
	net.Conn
	text   string
	writes int
	failed chan struct{}
}

func (c *failingUpload) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 { // the head
		return len(p), nil
	}
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *failingUpload) Read(p []byte) (int, error) {
	if c.text == "" {
		<-c.failed
		return 0, io.EOF
	}
	n := copy(p, c.text)
	c.text = c.text[n:]
	return n, nil
}

func (c *failingUpload) SetDeadline(time.Time) error { return nil }

func (c *failingUpload) SetWriteDeadline(time.Time) error { return nil }

func (c *failingUpload) Close() error { return nil }

// TestEndAfterAFailedUploadIsAReset is the order of errors that the test above meets by
// chance.
func TestEndAfterAFailedUploadIsAReset(t *testing.T) {
	k := clock.NewReal()
	p := pool.New(k, pool.WithDial(func(context.Context, string, string) (net.Conn, error) {
		return &failingUpload{text: unlimited + "part", failed: make(chan struct{})}, nil
	}))
	answer, failed := NewClient(p, scriptPort{}).Open(context.Background(), Exchange{
		Address:  "target",
		Request:  pool.Request{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes)},
		Deadline: k.Now() + sardine.Second, Dispatch: sardine.Dispatch{Request: "r"},
	})
	require.Nil(t, failed)
	_, err := io.ReadAll(answer.Response.Body)
	require.Error(t, err)
	answer.Close(false)
}
