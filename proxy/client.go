// Package proxy passes callers' requests on to targets along a layout's routes:
// one exchange at a time, with what is known of its run after a failure.
package proxy

import (
	"context"
	"io"
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/serve"
)

const (
	// strays bounds the answers to other requests that are skipped on one
	// connection before it is given up.
	strays = 3
	// strayBytes bounds the body of a skipped or refusing answer.
	strayBytes = 64 << 10
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
	ID       sardine.RequestID
	Address  string // host:port of the target
	Request  pool.Request
	Dispatch sardine.Dispatch
	Until    sardine.Millis // when the answer's head must be there
}

// Answer is a target's answer whose body is not read yet. The caller ends it by
// Close.
type Answer struct {
	Response *http.Response
	Reply    sardine.Reply
	conn     *pool.Conn
	stop     func() bool
}

// Open sends the request and returns the answer's head. Without an answer the
// Failure tells whether the target may have run the request.
func (c *Client) Open(ctx context.Context, x Exchange) (*Answer, *serve.Failure) {
	conn, err := c.pool.Get(ctx, x.Address)
	if err != nil {
		return nil, serve.NewFailure(sardine.RanNo, err)
	}
	conn.Expire(x.Until)
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
func (c *Client) exchange(conn *pool.Conn, x Exchange) (*Answer, *serve.Failure) {
	q := x.Request
	q.Header = forwarded(q.Header)
	c.port.Prepare(q.Header, x.Dispatch)
	if sent, err := conn.Send(q); err != nil {
		ran := sardine.RanUnknown
		if !sent {
			ran = sardine.RanNo
		}
		return nil, serve.NewFailure(ran, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" took no request"))
	}
	for range strays {
		resp, err := conn.Receive(q.Method)
		if err != nil {
			return nil, serve.NewFailure(sardine.RanUnknown, codes.Wrap(codes.TargetFailed, err, "target "+x.Address+" did not answer"))
		}
		reply := c.port.Reply(resp.StatusCode, resp.Header)
		switch {
		case reply.Ran == sardine.RanNo && (reply.Request == x.ID || reply.Request == ""):
			return &Answer{Response: resp, Reply: reply, conn: conn}, refusedBy(x, resp)
		case reply.Request == x.ID:
			return &Answer{Response: resp, Reply: reply, conn: conn}, encoded(x, resp)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes)); err != nil {
			break
		}
	}
	return nil, serve.NewFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent answers to other requests", x.Address))
}

func refusedBy(x Exchange, resp *http.Response) *serve.Failure {
	code := codes.TargetFull
	if resp.StatusCode == http.StatusMisdirectedRequest {
		code = codes.EpochRefused
	}
	return serve.NewFailure(sardine.RanNo, codes.New(code, "target %s did not run the request: %s", x.Address, resp.Status))
}

// encoded refuses an answer whose bytes were changed on the way: no caller asks
// for an encoding, so none is sent by the target itself.
func encoded(x Exchange, resp *http.Response) *serve.Failure {
	if coding := resp.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
		return serve.NewFailure(sardine.RanUnknown, codes.New(codes.AnswerInvalid, "target %s sent the answer encoded as %s", x.Address, coding))
	}
	return nil
}

// Expire bounds the reads of the answer's body by an instant.
func (a *Answer) Expire(at sardine.Millis) {
	a.conn.Expire(at)
}

// Close gives the connection back if the body was read to its end, and closes it
// otherwise, which makes the target drop the request.
func (a *Answer) Close(whole bool) {
	intime := a.stop()
	if !whole || !intime {
		a.conn.Close()
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(a.Response.Body, strayBytes)); err != nil || n == strayBytes {
		a.conn.Close()
		return
	}
	a.conn.Done(a.Response)
}

// forwarded copies a header without what concerns one connection.
func forwarded(from http.Header) http.Header {
	return serve.EndToEnd(from)
}
