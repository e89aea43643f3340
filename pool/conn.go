package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	sardine "sardineswitch.dev/sardine"
)

// inlineBody is the largest body that is written together with its head, before
// the answer is read. It fits the socket's buffer, so that a target which answers
// early can't block the write.
const inlineBody = 16 << 10

// Conn is one connection to a target. It carries one exchange at a time.
type Conn struct {
	pool       *Pool
	address    string
	raw        net.Conn
	source     *bufio.Reader  // of the connection's bytes
	frames     *framer        // between source and reader
	reader     *bufio.Reader  // of answers
	current    string         // name of the exchange under way
	before     string         // name of the one before it
	refused    []string       // requests that the target refused on it
	idleFrom   sardine.Millis // of a connection in the pool
	targetIdle sardine.Millis // the target's own limit, 0 if it did not say
	sending    chan error     // the end of a long body's write, nil without one
}

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	Path   string // with the query
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes the request. sent tells whether any byte may have left.
func (c *Conn) Send(q Request) (sent bool, err error) {
	head := q.head()
	if len(q.Body) <= inlineBody {
		n, err := c.raw.Write(append(head, q.Body...))
		return n > 0, err
	}
	n, err := c.raw.Write(head)
	if err != nil {
		return n > 0, err
	}
	c.sending = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.raw.Write(q.Body)
		done <- err
	}(c.sending)
	return true, nil
}

func (q Request) head() []byte {
	var b strings.Builder
	b.WriteString(q.Method + " " + q.Path + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for name, values := range q.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	head := make([]byte, 0, b.Len()+len(q.Body))
	return append(head, b.String()...)
}

// Receive reads the head of an answer. The caller reads its body to the end
// before the next call.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.frames.begin()
	for range interimMost + 1 {
		c.frames.inHead = true
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.frames.inHead = false // also if it was in the reader's buffer already
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInterimAnswers
}

// Begin names the exchange that the connection carries from now on.
func (c *Conn) Begin(name string) {
	c.before, c.current = c.current, name
}

// MarkRefused notes that the target refused the exchange under way.
func (c *Conn) MarkRefused() {
	c.refused = append(c.refused, c.current)
}

// PreviousName returns the name of the exchange before the one under way.
func (c *Conn) PreviousName() string {
	return c.before
}

// Used reports whether the connection has carried an exchange before the one under
// way, of which a second answer may still come.
func (c *Conn) Used() bool {
	return c.before != ""
}

// SetDeadline bounds all reads and writes. The zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.raw.SetDeadline(t) // fails on a closed connection only, whose reads fail too
}

// Watch breaks the connection's reads and writes off when ctx ends. The returned
// function ends the watch and reports whether it came in time.
func (c *Conn) Watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// Release gives the connection back after an answer whose body was read to its end,
// or closes it if it can't carry another exchange.
func (c *Conn) Release(resp *http.Response) {
	if !c.reusable(resp) {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.targetIdle = keepAlive(resp.Header)
	c.pool.put(c)
}

// reusable reports whether the next answer on the connection is sure to be the
// next request's: both sides have ended this exchange and nothing follows it.
func (c *Conn) reusable(resp *http.Response) bool {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	if len(c.refused) >= refusedMost || c.frames.ambiguous() || c.reader.Buffered() > 0 || c.source.Buffered() > 0 {
		return false
	}
	if c.sending == nil {
		return true
	}
	select {
	case err := <-c.sending:
		c.sending = nil
		return err == nil
	default:
		return false
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	c.pool.dropped(c)
	_ = c.raw.Close() // nothing is read from it any more
}

// keepAlive returns how long the target keeps an idle connection, 0 if it does
// not say.
func keepAlive(h http.Header) sardine.Millis {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return sardine.Millis(seconds) * sardine.Second
		}
	}
	return 0
}

var errSilent = errors.New("the connection has nothing to read")

// quiet reports whether an idle connection is open and has nothing to read. Bytes
// that wait there belong to no request.
func (c *Conn) quiet() bool {
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	state := error(io.EOF)
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)) {
			state = errSilent
		}
		return true
	})
	return err == nil && errors.Is(state, errSilent)
}
