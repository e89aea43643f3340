package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	connectTimeout  = time.Second
	requestDeadline = 4 * time.Second
	thinkTime       = 20 * time.Millisecond
)

// outcome is how one request has ended, as its requester has seen it.
type outcome struct {
	id     string
	entry  string // name of the entry node
	sentAt time.Time
	doneAt time.Time
	leaves string // the worker whose answer said that it leaves, empty for none
	kept   bool   // the connection had carried another request before
	closed bool   // the connection ended, in time, before any byte of an answer
	status int    // 0 without a complete answer
	wrong  string // what is wrong with the answer, empty for nothing
}

// callers is a number of requesters, each with a kept connection.
type callers struct {
	site   *site
	method string
	path   string
	pause  time.Duration // between an answer and the next request
	at     *node         // the entry node that they use, nil for each of them
	link   *link         // that their bodies pass, nil for requests without a body
	stop   atomic.Bool
	all    sync.WaitGroup

	mu   sync.Mutex
	ends []outcome
}

func startCallers(s *site, each int, method, path string) *callers {
	return startWith(&callers{site: s, method: method, path: path, pause: thinkTime}, each)
}

// startPacedCallers starts requesters that pause longer.
func startPacedCallers(s *site, each int, method, path string) *callers {
	return startWith(&callers{site: s, method: method, path: path, pause: callInterval}, each)
}

func startWith(c *callers, each int) *callers {
	for _, n := range c.site.entries() {
		if c.at != nil && c.at != n {
			continue
		}
		for range each {
			c.all.Go(func() { c.run(n) })
		}
	}
	return c
}

// end stops the requesters and returns what they have seen.
func (c *callers) end() []outcome {
	c.stop.Store(true)
	c.all.Wait()
	return c.ends
}

func (c *callers) run(n *node) {
	for !c.stop.Load() {
		conn, err := net.DialTimeout("tcp", c.site.address(n.ip, frontPort), connectTimeout)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.use(n, conn)
		_ = conn.Close()
	}
}

// use sends requests on a connection until it ends.
func (c *callers) use(n *node, conn net.Conn) {
	r := bufio.NewReader(conn)
	for kept := false; !c.stop.Load(); kept = true {
		o, open := c.send(conn, r)
		o.entry, o.kept = n.name, kept
		c.site.record.add("request %s at %s ends: status %d, closed without an answer %v %s", o.id, o.entry, o.status, o.closed, o.wrong)
		c.mu.Lock()
		c.ends = append(c.ends, o)
		c.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(c.pause)
	}
}

// send sends one request and reads its answer. open reports whether the connection can
// carry another one.
func (c *callers) send(conn net.Conn, r *bufio.Reader) (o outcome, open bool) {
	o.id, o.sentAt = fmt.Sprintf("%016x", rand.Uint64()), time.Now()
	defer func() { o.doneAt = time.Now() }()
	_ = conn.SetDeadline(time.Now().Add(requestDeadline))
	c.site.record.add("request %s is sent to %s", o.id, conn.RemoteAddr())
	_, err := fmt.Fprintf(conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: 200,80\r\n%s: aa:40,%s:160\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		c.method, c.path, o.id, host, headerRequest, o.id, headerDeadline, requestDeadline.Milliseconds(),
		headerModel, model, headerTokens, headerPrefix, o.id, key, c.link.bodyBytes())
	if err == nil {
		err = c.link.send(conn)
	}
	if err != nil {
		o.closed = !isTimeout(err)
		return o, false
	}
	if _, err := r.Peek(1); err != nil {
		o.closed = !isTimeout(err)
		return o, false
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: c.method})
	if err != nil {
		return o, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return o, false
	}
	o.status = resp.StatusCode
	if resp.Header.Get(headerLeaving) != "" {
		o.leaves = resp.Header.Get(headerInstance)
	}
	if resp.StatusCode == http.StatusOK {
		o.wrong = checkAnswer(o.id, resp, string(body))
	}
	return o, !resp.Close
}

// checkAnswer returns what is wrong with a success, empty for nothing.
func checkAnswer(id string, resp *http.Response, body string) string {
	switch {
	case !strings.HasSuffix(resp.Header.Get(headerStamp), "."+id):
		return "the stamp is not of this request"
	case resp.Header.Get("Content-Type") == "text/event-stream" && strings.Count(body, id) != streamEvents:
		return "the stream is not whole"
	case resp.Header.Get("Content-Type") != "text/event-stream" && !strings.HasPrefix(body, id):
		return "the body is not of this request"
	default:
		return ""
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
