package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a requester with one kept connection to an entry node.
type caller struct {
	rig     *rig
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // the connection has carried a request
}

// request is what a caller sends.
type request struct {
	method string
	path   string
	body   string
	wait   time.Duration // its time limit
}

// answer is what a caller got.
type answer struct {
	id       string
	what     string // method and path
	kept     bool   // sent on a connection that had carried a request before
	status   int    // 0 without the head of an answer
	stamp    string
	body     string
	complete bool // the answer has ended as HTTP says
	err      error
	took     time.Duration
}

func newCaller(r *rig, address string) *caller {
	return &caller{rig: r, address: address}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// call sends a request and reads its answer until its end, at most half a second longer
// than its time limit.
func (c *caller) call(q request) (a answer) {
	a.id = fmt.Sprintf("%016x", rand.Uint64())
	began := time.Now()
	defer func() {
		a.took = time.Since(began)
		if a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp", c.address, time.Second); a.err != nil {
			return a
		}
		c.reader, c.used = bufio.NewReader(c.conn), false
	}
	a.kept, c.used = c.used, true
	_ = c.conn.SetDeadline(began.Add(q.wait + 500*time.Millisecond)) // a closed connection fails the write
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Sardineswitch-Request-Id: %s\r\nX-Sardineswitch-Request-Deadline: %d\r\n",
		q.method, q.path, callerHost, callerKey, a.id, q.wait.Milliseconds())
	if q.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	text += "\r\n" + q.body
	if _, a.err = io.WriteString(c.conn, text); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Sardineswitch-Response-Stamp")
	var body strings.Builder
	_, a.err = io.Copy(&body, resp.Body)
	a.body, a.complete = body.String(), a.err == nil
	if resp.Close {
		c.close()
	}
	return a
}
