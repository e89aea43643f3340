package listen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReads is a listener whose connections return what they have read late, as they do
// on a busy processor.
type slowReads struct {
	net.Listener
	delay *atomic.Int64
}

func (l slowReads) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.delay}, err
}

type slowConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// client is a connection that carries requests one after the other.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{c, bufio.NewReader(c)}
}

// ask sends a request and reads its answer, which names it.
func (c *client) ask(id string) (whole, last bool) {
	if _, err := fmt.Fprintf(c.conn, "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", id); err != nil {
		return false, true
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && string(text) == "/"+id, resp.Close
}

// serve starts a server that answers with the request's path and reports its end.
func serve(t *testing.T, s *Server, ran *sync.Map) {
	ended := make(chan error, 1)
	go func() {
		ended <- s.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.URL.Path, true)
			time.Sleep(time.Millisecond)
			fmt.Fprint(w, r.URL.Path)
		}))
	}()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.NoError(t, <-ended)
	})
}

// countAnswered checks that each request that ran was answered, and returns their number.
func countAnswered(t *testing.T, ran, whole *sync.Map) int {
	count := 0
	ran.Range(func(id, _ any) bool {
		count++
		_, answered := whole.Load(id)
		require.True(t, answered, "%s ran and was not answered", id)
		return true
	})
	return count
}

// TestShutdownAnswersRequestsThatWereRead guards against a connection that is closed
// without an answer though its request had been read, because the goroutine that
// read it ran only after the shutdown had begun.
func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	delay := new(atomic.Int64)
	s.listener = slowReads{s.listener, delay}
	var ran sync.Map
	serve(t, s, &ran)
	c, idle := dial(t, s.Address()), dial(t, s.Address())
	for _, x := range []*client{c, idle} {
		whole, last := x.ask("first")
		require.True(t, whole)
		require.False(t, last)
	}
	delay.Store(int64(300 * time.Millisecond))
	time.AfterFunc(50*time.Millisecond, func() { _ = s.Shutdown(t.Context()) })
	whole, last := c.ask("second")
	require.True(t, whole, "the request had been read")
	require.True(t, last)
	_, err = idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "a connection without a request is closed")
}

// TestShutdownUnderLoadAnswersWhatRan checks with many connections and a busy processor
// that no request runs whose connection is closed without an answer.
func TestShutdownUnderLoadAnswersWhatRan(t *testing.T) {
	const connections, busy = 200, 4
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	var ran, whole sync.Map
	serve(t, s, &ran)
	var stop atomic.Bool
	var group sync.WaitGroup
	for range busy {
		group.Go(func() {
			for !stop.Load() {
			}
		})
	}
	for i := range connections {
		c := dial(t, s.Address())
		group.Go(func() {
			defer c.conn.Close()
			for n := 0; ; n++ {
				id := fmt.Sprint(i, "-", n)
				answered, last := c.ask(id)
				if answered {
					whole.Store("/"+id, true)
				}
				if last {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
	stop.Store(true)
	group.Wait()
	require.Greater(t, countAnswered(t, &ran, &whole), connections)
}

// TestShutdownWaitsForHTTP2 checks that a request over HTTP/2 is answered and that its
// connection does not outlive the shutdown.
func TestShutdownWaitsForHTTP2(t *testing.T) {
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	began := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		ended <- s.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(began)
			time.Sleep(2 * firstRequestTime)
			fmt.Fprint(w, r.Proto)
		}))
	}()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	answer := make(chan string, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{Protocols: protocols}}).Get("http://" + s.Address())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // the test notices a part
		answer <- string(text)
	}()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
	require.Equal(t, "HTTP/2.0", <-answer)
	require.NoError(t, <-ended)
}
