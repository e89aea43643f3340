package pool

import (
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
	"sardineswitch.dev/sardine/answer"
)

// maxInlineBody is the largest body that is written together with its head, before
// the answer is read. It fits into the socket's buffer, so the write does not block
// even if the target answers early without reading the body.
const maxInlineBody = 16 << 10

// Conn is a connection to a target. It carries one exchange at a time.
type Conn struct {
	pool       *Pool
	address    string
	raw        net.Conn
	answers    *answer.Reader // reads from raw
	current    string         // name of the current exchange
	previous   string         // name of the exchange before it, empty for none
	refused    []string       // names of the exchanges that the target refused
	idleSince  sardine.Millis // when the connection was put into the pool
	targetIdle sardine.Millis // the target's idle timeout, 0 if not known
	sending    chan error     // result of writing a long body in the background, nil for none
}

// Request is a request as it is written to the connection.
type Request struct {
	Method string
	Path   string // including the query
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes the request. A long body is written in the background. sent reports
// whether any byte may have been sent.
func (c *Conn) Send(q Request) (sent bool, err error) {
	head := q.head()
	if len(q.Body) <= maxInlineBody {
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

// head returns the request line and the header, with capacity for the body.
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

// Receive reads the head of an answer, after any interim ones. The caller must read
// its body to the end before the next call.
func (c *Conn) Receive(method string) (*http.Response, error) {
	resp, err := c.answers.Next(method)
	if err == nil && isCloseDelimited(resp) && resp.Body != http.NoBody {
		resp.Body = &closeDelimited{ReadCloser: resp.Body, conn: c}
	}
	return resp, err
}

// Begin starts a new exchange with a name.
func (c *Conn) Begin(name string) {
	c.previous, c.current = c.current, name
}

// MarkRefused records that the target refused the current exchange.
func (c *Conn) MarkRefused() {
	c.refused = append(c.refused, c.current)
}

// PreviousName returns the name of the exchange before the current one, empty for none.
func (c *Conn) PreviousName() string {
	return c.previous
}

// Used reports whether the connection has carried an exchange before the current
// one. A second answer to that one may still arrive.
func (c *Conn) Used() bool {
	return c.previous != ""
}

// SetDeadline sets the deadline of all reads and writes. The zero time removes it.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.raw.SetDeadline(t) // fails only on a closed connection, whose reads fail too
}

// Watch makes the connection's reads and writes fail once ctx is done. The returned
// function stops that and reports whether it was called before ctx was done.
func (c *Conn) Watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// Release returns the connection to the pool after an answer whose body was read to its
// end, or closes it if it can't carry another exchange.
func (c *Conn) Release(resp *http.Response) {
	if !c.reusable(resp) {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.targetIdle = keepAlive(resp.Header)
	c.pool.put(c)
}

// reusable reports whether the next answer on the connection is certain to belong to
// the next request: both sides have ended this exchange and no bytes follow it.
func (c *Conn) reusable(resp *http.Response) bool {
	if resp.Close || isCloseDelimited(resp) {
		return false
	}
	if len(c.refused) >= maxRefused || c.answers.Ambiguous() || c.answers.Buffered() {
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
	c.pool.untrack(c)
	_ = c.raw.Close() // an error has no effect: the connection is not used any more
}

// keepAlive returns the target's idle timeout from its Keep-Alive header, 0 if the
// header does not give one.
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

// errNoData means that a connection is open and nothing can be read from it.
var errNoData = errors.New("the connection has nothing to read")

// usable reports whether an idle connection is still open and nothing can be read
// from it. Bytes received while it was idle belong to no request.
func (c *Conn) usable() bool {
	raw, ok := socket(c.raw).(syscall.Conn)
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
			state = errNoData
		}
		return true
	})
	return err == nil && errors.Is(state, errNoData)
}
