// Package proxy passes requests on to targets: one exchange at a time, with what
// is known of its run after a failure.
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
	// strays bounds the answers to other requests that are skipped on one
	// connection before it is given up.
	strays = 3
	// strayBytes bounds the body of a skipped or refusing answer. A longer one
	// ends its connection.
	strayBytes = 64 << 10
	// lingerMost is how long the end of a body may take that follows the last
	// byte of its content, such as the last chunk: it is on its way by then.
	lingerMost = 50 * sardine.Millis(1)
)

// Client passes requests on over a pool's connections.
type Client struct {
	pool *pool.Pool
	port sardine.TargetPort
}

// NewClient returns a client that speaks to targets through the port.
func NewClient(p *pool.Pool, port sardine.TargetPort) *Client {
	return &Client{pool: p, port: port}
}

// Exchange is one request to one target.
type Exchange struct {
	Named    bool   // the target's answers say which request they are for
	Address  string // host:port of the target
	Request  pool.Request
	Dispatch sardine.Dispatch
	Until    sardine.Millis // when the answer's head must be there, 0 if only the context bounds it
}

// answeredBy reports whether an answer is the exchange's own. An answer that names
// no request is taken on a connection that has carried nothing before: on any other
// it may be a second one to an earlier request.
func (x Exchange) answeredBy(r sardine.Reply, used bool) bool {
	return r.Request == x.Dispatch.Request || r.Request == "" && !x.Named && !used
}

// Answer is a target's answer whose body is not read yet. The caller ends it by
// Close.
type Answer struct {
	Response *http.Response
	Reply    sardine.Reply
	SentAt   sardine.Millis // when the request had been written
	named    bool           // it says which request it is for
	conn     *pool.Conn
	stop     func() bool
}

// Open sends the request and returns the answer's head. Without an answer the
// Failure tells whether the target may have run the request.
func (c *Client) Open(ctx context.Context, x Exchange) (*Answer, *Failure) {
	conn, err := c.pool.Get(ctx, x.Address, string(x.Dispatch.Request))
	if err != nil {
		return nil, newFailure(sardine.RanNo, err)
	}
	if x.Until > 0 {
		conn.Expire(x.Until)
	}
	stop := conn.Watch(ctx)
	answer, failed := c.exchange(conn, x)
	if failed != nil {
		stop()
		if answer == nil {
			conn.Close()
		} else {
			answer.stop = func() bool { return true }
			answer.Close(true)
		}
		return nil, failed
	}
	answer.stop = stop
	return answer, nil
}

// exchange returns both an answer and a failure if the target said that it did
// not run the request: its connection can be used again.
func (c *Client) exchange(conn *pool.Conn, x Exchange) (*Answer, *Failure) {
	q := x.Request
	q.Header = EndToEnd(q.Header)
	c.port.Prepare(q.Header, x.Dispatch)
	conn.Begin(string(x.Dispatch.Request))
	if sent, err := conn.Send(q); err != nil {
		ran := sardine.RanUnknown
		if !sent {
			ran = sardine.RanNo
		}
		return nil, newFailure(ran, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" took no request"))
	}
	sent := c.pool.Now()
	for range strays {
		resp, err := conn.Receive(q.Method)
		if err != nil {
			return nil, newFailure(sardine.RanUnknown, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" did not answer"))
		}
		reply := c.port.Reply(resp.StatusCode, resp.Header)
		answer := &Answer{Response: resp, Reply: reply, SentAt: sent, named: reply.Request != "", conn: conn}
		switch {
		case reply.Ran == sardine.RanNo && reply.Request == "" && conn.Used():
			return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s refused without saying which request", x.Address))
		case reply.Ran == sardine.RanNo && (x.answeredBy(reply, conn.Used()) || reply.Request == ""):
			conn.Refused()
			return answer, refused(x, resp, reply)
		case x.answeredBy(reply, conn.Used()):
			return answer, invalid(x, reply)
		case !x.Named && string(reply.Request) != conn.Before(): // a wrong answer, not a late one
			return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s answered request %q", x.Address, reply.Request))
		}
		if q.Method == http.MethodHead || !readToEnd(resp) {
			break // where the next answer begins is not known
		}
	}
	return nil, newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent answers to other requests", x.Address))
}

func refused(x Exchange, resp *http.Response, r sardine.Reply) *Failure {
	code := codes.TargetFull
	if r.Moved {
		code = codes.EpochRefused
	}
	return newFailure(sardine.RanNo, codes.New(code, "target %s did not run the request: %s", x.Address, resp.Status))
}

func invalid(x Exchange, r sardine.Reply) *Failure {
	if r.Invalid == "" {
		return nil
	}
	return newFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "the answer of target %s is not its own: %s", x.Address, r.Invalid))
}

// Expire bounds the reads of the answer's body by an instant.
func (a *Answer) Expire(at sardine.Millis) {
	a.conn.Expire(at)
}

// Close gives the connection back if the answer is whole and names its request, and
// closes it otherwise, which makes the target drop the request.
func (a *Answer) Close(whole bool) {
	intime := a.stop()
	a.conn.Linger(lingerMost)
	if !whole || !intime || !a.named {
		a.conn.Close()
		return
	}
	if !readToEnd(a.Response) {
		a.conn.Close()
		return
	}
	a.conn.Done(a.Response)
}

// readToEnd reads the rest of a body that nobody needs. It reports whether the
// body has ended there, which is where the next answer begins.
func readToEnd(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes+1))
	return err == nil && n <= strayBytes
}
