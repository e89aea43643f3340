package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/pool"
)

// scriptPort is a target port with short header names.
type scriptPort struct{}

func (scriptPort) Prepare(h http.Header, d sardine.Dispatch) {
	h.Set("Target", string(d.Target))
}

func (scriptPort) Reply(_ int, h http.Header) sardine.Reply {
	r := sardine.Reply{Request: sardine.RequestID(h.Get("Id")), InvalidReason: h.Get("Content-Encoding")}
	if h.Get("Not-Run") != "" {
		r.Ran = sardine.RanNo
	}
	return r
}

// scriptTarget answers each request on a connection with the next text. The text
// RESET resets the connection, and CLOSE at the end of a text closes it after the
// text. FILL=n stands for n bytes, and the part after ENDLESS is sent repeatedly
// until the other side closes. In a text with FRESH, the part after it is sent on a
// connection without an earlier request, and the part before it on any other.
type scriptTarget struct {
	listener net.Listener
	mu       sync.Mutex
	texts    []string
	accepted int
	heads    []string
}

func newScriptTarget(t *testing.T, texts []string) *scriptTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptTarget{listener: l, texts: texts}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptTarget) next() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.texts) == 0 {
		return "", false
	}
	text := s.texts[0]
	s.texts = s.texts[1:]
	return text, true
}

func (s *scriptTarget) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for used := false; ; used = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.heads = append(s.heads, r.Method+" "+r.RequestURI+" target="+r.Header.Get("Target"))
		s.mu.Unlock()
		text, more := s.next()
		if !more {
			return
		}
		if old, fresh, both := strings.Cut(text, "FRESH"); both && used {
			text = old
		} else if both {
			text = fresh
		}
		if text == "RESET" {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		text, last := strings.CutSuffix(text, "CLOSE")
		text, endless, _ := strings.Cut(text, "ENDLESS")
		_, err = io.WriteString(c, text)
		for endless != "" && err == nil {
			_, err = io.WriteString(c, strings.Repeat(endless, 1+1024/len(endless)))
		}
		if last || endless != "" {
			return
		}
	}
}

var fill = regexp.MustCompile(`FILL=\d+`)

// unescape replaces the escapes \r, \n and FILL=n in a script.
func unescape(line string) string {
	line = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(line)
	return fill.ReplaceAllStringFunc(line, func(found string) string {
		count, err := strconv.Atoi(strings.TrimPrefix(found, "FILL="))
		if err != nil {
			panic(err)
		}
		return strings.Repeat("x", count)
	})
}

// Runs the scripts of targets with valid, missing, invalid and endless answers. Each
// line of a script is the target's text for one request.
func TestExchanges(t *testing.T) {
	datadriven.Walk(t, "testdata/exchanges", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var texts []string
			for _, line := range strings.Split(d.Input, "\n") {
				texts = append(texts, unescape(line))
			}
			target := newScriptTarget(t, texts)
			calls := 1
			if d.HasArg("calls") {
				d.ScanArgs(t, "calls", &calls)
			}
			method := http.MethodPost
			if d.HasArg("method") {
				d.ScanArgs(t, "method", &method)
			}
			return exchange(target, method, calls, !d.HasArg("unnamed"), d.HasArg("again"))
		})
	})
}

// exchange sends requests one after the other and returns their results. With
// again, every other request repeats the first one.
func exchange(target *scriptTarget, method string, calls int, named, again bool) string {
	k := clock.NewReal()
	p := pool.New(k)
	defer p.Close()
	client := NewClient(p, scriptPort{})
	var out strings.Builder
	for i := range calls {
		if i > 0 {
			time.Sleep(50 * time.Millisecond) // data after an answer arrives
		}
		id := fmt.Sprintf("r%d", i+1)
		if again && i%2 == 0 {
			id = "r1"
		}
		x := Exchange{
			MustName: named,
			Address:  target.listener.Addr().String(),
			Request:  pool.Request{Method: method, Path: "/p", Host: "h", Header: http.Header{}, Body: []byte("body")},
			Dispatch: sardine.Dispatch{Request: sardine.RequestID(id), Target: "vm-1"},
			Deadline: k.Now() + 2*sardine.Second,
		}
		answer, failed := client.Open(context.Background(), x)
		if failed != nil {
			fmt.Fprintf(&out, "%s: ran %s, %s\n", x.Dispatch.Request, failed.Ran(), codes.Of(failed).Name())
			continue
		}
		body, err := io.ReadAll(answer.Response.Body)
		answer.Close(err == nil)
		whole := "whole"
		if err != nil {
			whole = "broken"
		}
		fmt.Fprintf(&out, "%s: %d %q %s\n", x.Dispatch.Request, answer.Response.StatusCode, body, whole)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	fmt.Fprintf(&out, "%d requests on %d connections\n", len(target.heads), target.accepted)
	return out.String()
}

func TestUnreachableTargetDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	k := clock.NewReal()
	_, failed := NewClient(pool.New(k), scriptPort{}).Open(context.Background(), Exchange{MustName: true, Address: address, Deadline: k.Now() + sardine.Second})
	require.Equal(t, sardine.RanNo, failed.Ran())
	require.Equal(t, codes.NoTarget, codes.Of(failed))
}

func TestCancelledCallerClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, c) // until the other side closes
		closed <- err
	}()
	k := clock.NewReal()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, failed := NewClient(pool.New(k), scriptPort{}).Open(ctx, Exchange{
		MustName: true, Address: l.Addr().String(), Deadline: k.Now() + 20*sardine.Second,
		Request: pool.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}},
	})
	require.Equal(t, sardine.RanUnknown, failed.Ran())
	require.NoError(t, <-closed)
}

func TestConnectionsToOneTargetAreBounded(t *testing.T) {
	target := newScriptTarget(t, nil)
	address := target.listener.Addr().String()
	p := pool.New(clock.NewReal())
	defer p.Close()
	p.SetLimit(address, 2)
	for range 2 {
		_, err := p.Get(context.Background(), address, "r")
		require.NoError(t, err)
	}
	_, err := p.Get(context.Background(), address, "r")
	require.Equal(t, codes.NoTarget, codes.Of(err))
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\r\n")
	f.Add("id:7\r\ndata\r\n\r\nid")
	f.Fuzz(func(t *testing.T, text string) {
		events := NewEvents(strings.NewReader(text))
		read := 0
		for {
			e, err := events.Next()
			if err != nil {
				break
			}
			require.True(t, strings.HasSuffix(string(e.Raw), "\n"))
			read += len(e.Raw)
		}
		require.LessOrEqual(t, read, len(text))
	})
}

func TestEventsAreNeverCut(t *testing.T) {
	for text, want := range map[string]string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n": "1 2 EOF",
		"id: 1\ndata: a\n\nid: 2\nda":          "1 unexpected EOF",
		"":                                     "EOF",
		"data: a\n\n":                          " EOF",
		"id: 1\r\ndata: a\r\n\r\n":             "1 EOF",
	} {
		events := NewEvents(strings.NewReader(text))
		var got []string
		for {
			e, err := events.Next()
			if err != nil {
				got = append(got, err.Error())
				break
			}
			got = append(got, e.ID)
		}
		require.Equal(t, want, strings.Join(got, " "), "%q", text)
	}
}
