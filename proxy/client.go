// Package proxy forwards requests to targets, one attempt per exchange. After a
// failure it reports whether the target may have run the request.
package proxy

import (
	"context"
	"io"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/pool"
)

const (
	// maxReceived is the number of answers received for one request: after this many
	// answers to other requests the connection is closed.
	maxReceived = 3
	// maxDiscarded bounds the rest of a body that is read and discarded, such as that
	// of an answer to another request or of a refusal. A longer one makes the client
	// close the connection.
	maxDiscarded = 64 << 10
	// maxLinger is how long the client waits for the end of a body after the last
	// byte of its content, such as the last chunk, which the target sends right after
	// it.
	maxLinger = 50 * sardine.Millis(1)
)

// Client forwards requests over a pool's connections.
type Client struct {
	pool *pool.Pool
	port sardine.TargetPort
}

// NewClient returns a client that sets and reads the targets' headers with port.
func NewClient(p *pool.Pool, port sardine.TargetPort) *Client {
	return &Client{pool: p, port: port}
}

// Exchange is one request to one target.
type Exchange struct {
	MustName bool   // the target's answers must name their request
	Address  string // host:port of the target
	Request  pool.Request
	Dispatch sardine.Dispatch
	Deadline sardine.Millis // deadline of the answer's head, 0 if only the context bounds it
	Observer Observer       // nil for none
}

// Observer is notified of the progress of an exchange. Its methods must not block.
type Observer interface {
	// Sent is called once the target may have received the request.
	Sent()
	// Replied is called with the head of an answer to the request, a refusal too.
	Replied(sentAt sardine.Millis, status int, r sardine.Reply)
}

// answeredBy reports whether an answer belongs to the exchange. An answer that names
// no request is accepted only from targets that need not name it and on a connection
// without an earlier exchange: on any other it may be a second answer to an earlier
// request.
func (x Exchange) answeredBy(r sardine.Reply, used bool) bool {
	return r.Request == x.Dispatch.Request || r.Request == "" && !x.MustName && !used
}

func (x Exchange) notifySent() {
	if x.Observer != nil {
		x.Observer.Sent()
	}
}

func (x Exchange) notifyReplied(sentAt sardine.Millis, status int, r sardine.Reply) {
	if x.Observer != nil {
		x.Observer.Replied(sentAt, status, r)
	}
}

// Answer is a target's answer whose body is not read yet. The caller must call
// Close.
type Answer struct {
	Response  *http.Response
	Reply     sardine.Reply
	SentAt    sardine.Millis // when the request was written
	named     bool           // it names its request
	conn      *pool.Conn
	stopWatch func() bool
}

// Open sends the request and returns the answer after reading its head. Without an
// answer the Failure reports whether the target may have run the request.
func (c *Client) Open(ctx context.Context, x Exchange) (*Answer, *Failure) {
	conn, err := c.pool.Get(ctx, x.Address, string(x.Dispatch.Request))
	if err != nil {
		return nil, newFailure(sardine.RanNo, err)
	}
	if x.Deadline > 0 {
		conn.SetExpiry(x.Deadline)
	}
	stop := conn.Watch(ctx)
	answer, failed := c.exchange(conn, x)
	if failed != nil {
		stop()
		if answer == nil {
			conn.Close()
		} else {
			answer.stopWatch = func() bool { return true }
			answer.Close(true)
		}
		return nil, failed
	}
	answer.stopWatch = stop
	return answer, nil
}

// exchange sends the request and receives answers until one belongs to it. It
// returns both an answer and a failure if the target refused the request without
// running it, since the connection can then be used again.
func (c *Client) exchange(conn *pool.Conn, x Exchange) (*Answer, *Failure) {
	q := x.Request
	q.Header = EndToEndHeader(q.Header)
	c.port.Prepare(q.Header, x.Dispatch)
	conn.Begin(string(x.Dispatch.Request))
	began := c.pool.Now()
	sent, err := conn.Send(q)
	if sent {
		x.notifySent()
	}
	if err != nil {
		ran := sardine.RanUnknown
		if !sent {
			ran = sardine.RanNo
		}
		return nil, newFailure(ran, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" did not accept the request"))
	}
	written := c.pool.Now()
	for range maxReceived {
		resp, err := conn.Receive(q.Method)
		if err != nil {
			return nil, newFailure(sardine.RanUnknown, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" did not answer"))
		}
		reply := c.port.Reply(resp.StatusCode, resp.Header)
		answer := &Answer{Response: resp, Reply: reply, SentAt: written, named: reply.Request != "", conn: conn}
		switch {
		case reply.Ran == sardine.RanNo && reply.Request == "" && conn.Used():
			return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent a refusal that names no request", x.Address))
		case reply.Ran == sardine.RanNo && (x.answeredBy(reply, conn.Used()) || reply.Request == ""):
			x.notifyReplied(began, resp.StatusCode, reply)
			conn.MarkRefused()
			return answer, refusalFailure(x, resp, reply)
		case x.answeredBy(reply, conn.Used()):
			x.notifyReplied(began, resp.StatusCode, reply)
			return answer, invalidFailure(x, reply)
		case !x.MustName && string(reply.Request) != conn.PreviousName(): // a wrong answer, not a late one to the previous request
			return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent an answer to another request", x.Address))
		}
		if q.Method == http.MethodHead || !readToEnd(resp) {
			break // the start of the next answer is unknown
		}
	}
	return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent answers to other requests", x.Address))
}

func refusalFailure(x Exchange, resp *http.Response, r sardine.Reply) *Failure {
	code := codes.TargetFull
	if r.Misdirected {
		code = codes.EpochRefused
	}
	return newFailure(sardine.RanNo, codes.New(code, "target %s did not run the request: status %d", x.Address, resp.StatusCode))
}

func invalidFailure(x Exchange, r sardine.Reply) *Failure {
	if r.InvalidReason == "" {
		return nil
	}
	return newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "the answer of target %s is invalid: %s", x.Address, r.InvalidReason))
}

// SetExpiry sets the deadline of reads of the answer's body.
func (a *Answer) SetExpiry(at sardine.Millis) {
	a.conn.SetExpiry(at)
}

// Close returns the connection to the pool if whole is true, the answer names its
// request and the rest of its body is short. Otherwise it closes the connection,
// which makes the target cancel the request.
func (a *Answer) Close(whole bool) {
	inTime := a.stopWatch()
	a.conn.SetTimeout(maxLinger)
	if !whole || !inTime || !a.named {
		a.conn.Close()
		return
	}
	if !readToEnd(a.Response) {
		a.conn.Close()
		return
	}
	a.conn.Release(a.Response)
}

// readToEnd reads and discards the rest of a body. It reports whether it reached the
// end of the body, where the next answer begins.
func readToEnd(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded+1))
	return err == nil && n <= maxDiscarded
}
