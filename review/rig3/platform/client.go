package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// connectTime is how long a requester waits for a connection.
const connectTime = time.Second

// Reply is what became of a request.
type Reply struct {
	Status int    // 0 without a complete answer
	Begun  int    // status of the answer's head, 0 without one
	Body   string // of a complete answer
	Header http.Header
	Fault  string // why there is no complete answer
}

// String returns the status or the fault.
func (r Reply) String() string {
	if r.Status == 0 {
		return r.Fault
	}
	return strconv.Itoa(r.Status)
}

// Head returns the head of a POST request with further header lines.
func Head(path, id, key string, limit time.Duration, length int, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		path, Host, HeaderRequest, id, HeaderDeadline, limit.Milliseconds(), key, more, length)
}

// Conn is a requester's connection to a front node.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	Used   bool // it has carried a request with an answer
}

// Dial connects to a front node.
func Dial(n *Node) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", n.IP+":"+PortFront, connectTime)
	if err != nil {
		return nil, err
	}
	return &Conn{raw: raw, reader: bufio.NewReader(raw)}, nil
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.raw.Close() // nothing is read any more
}

// Send sends a request and waits for its answer, half a second longer than its time limit.
func (c *Conn) Send(head, body string, limit time.Duration) Reply {
	_ = c.raw.SetDeadline(time.Now().Add(limit + 500*time.Millisecond)) // a closed connection fails the write
	if _, err := io.WriteString(c.raw, head+body); err != nil {
		return Reply{Fault: "not sent: " + err.Error()}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Reply{Fault: "no answer: " + err.Error()}
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{Begun: resp.StatusCode, Header: resp.Header, Fault: fmt.Sprintf("%d, broken off: %v", resp.StatusCode, err)}
	}
	c.Used = true
	return Reply{Status: resp.StatusCode, Begun: resp.StatusCode, Body: string(text), Header: resp.Header}
}

// Ask sends a small request on a new connection.
func Ask(n *Node, path, id string, limit time.Duration) Reply {
	c, err := Dial(n)
	if err != nil {
		return Reply{Fault: "no connection: " + err.Error()}
	}
	defer c.Close()
	return c.Send(Head(path, id, Key, limit, 2, ""), "ok", limit)
}

// Crowd is many clients that each send all but the last byte of a body and stay.
type Crowd struct {
	Clients int
	Key     string
	Path    string
	Body    int    // bytes
	More    string // further header lines
}

// crowdArrival is the time in which the clients of a crowd come.
const crowdArrival = 500 * time.Millisecond

// Play lets the crowd come, and come back when it is refused, until the given time. It
// returns what became of the requests.
func (c Crowd) Play(n *Node, until time.Time) map[string]int {
	body := strings.Repeat("y", c.Body-1)
	replies := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range c.Clients {
		clients.Go(func() {
			time.Sleep(crowdArrival * time.Duration(i) / time.Duration(c.Clients))
			for k := 0; time.Now().Before(until); k++ {
				what := c.hold(n, fmt.Sprintf("crowd-%d-%d", i, k), body, until)
				mu.Lock()
				replies[what]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return replies
}

// hold sends a request without its last byte and stays until the node ends the connection.
func (c Crowd) hold(n *Node, id, body string, until time.Time) string {
	conn, err := Dial(n)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.raw.SetDeadline(until) // a closed connection fails the write
	if _, err := io.WriteString(conn.raw, Head(c.Path, id, c.Key, time.Minute, len(body)+1, c.More)+body); err != nil {
		return "closed while it sent"
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return "closed"
	}
	_, _ = io.Copy(io.Discard, conn.reader) // the node ends the connection
	return strconv.Itoa(resp.StatusCode)
}
