package site

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/entry"
)

// startWithoutEngines starts a site without engines and with one plain service
// VM, and waits until every entry node routes to it.
func startWithoutEngines(t *testing.T, options ...Option) *Site {
	t.Helper()
	s, err := Start(append(options, WithEngines(0, 0), WithPlainServices(1))...)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	_, err = s.Set(ctx, 0, "first", "/teams/"+string(Team), Document(1, 2))
	require.NoError(t, err)
	_, err = s.AwaitServing(testLimit, 0, 1)
	require.NoError(t, err)
	return s
}

// TestRawRequests sends the requests of testdata/raw unchanged over TCP and
// compares the status, code, outcome and detail of the answers.
func TestRawRequests(t *testing.T) {
	s := startWithoutEngines(t, WithEntryTiming(func(e *entry.Timing) { e.Read = 300 }))
	address := s.Entries()[0].Node().PublicAddress()
	datadriven.RunTest(t, "testdata/raw", func(t *testing.T, d *datadriven.TestData) string {
		return sendRaw(t, address, d)
	})
}

// sendRaw sends the input of a case and returns a description of the answer.
// The case's arguments: size=N adds a body of N bytes and its Content-Length;
// half closes the sending side of the connection; stall sends nothing more and
// waits.
func sendRaw(t *testing.T, address string, d *datadriven.TestData) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testLimit)))
	head, body, _ := strings.Cut(d.Input, "\n\n")
	if d.HasArg("size") {
		var size int
		d.ScanArgs(t, "size", &size)
		head += fmt.Sprintf("\nContent-Length: %d", size)
		body = strings.Repeat("x", size)
	} else if body != "" && !strings.Contains(head, "Content-Length") {
		head += fmt.Sprintf("\nContent-Length: %d", len(body))
	}
	// The node may answer and close the connection before all is sent.
	_, _ = io.WriteString(conn, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body)
	if d.HasArg("half") {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	return describe(conn)
}

// describe returns the status of an answer and the parts of it that the cases
// compare.
func describe(conn net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer\n"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken answer\n"
	}
	var p struct {
		Name   string `json:"name"`
		Ran    string `json:"ran"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &p) != nil || p.Name == "" {
		return fmt.Sprintf("%d %s\n", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return fmt.Sprintf("%d %s, ran %s: %s\n", resp.StatusCode, p.Name, p.Ran, p.Detail)
}

// TestBadCallersLeakNoGoroutines opens many connections that send nothing, an
// incomplete request or no HTTP, and checks that their goroutines end.
func TestBadCallersLeakNoGoroutines(t *testing.T) {
	s := startWithoutEngines(t, WithEntryTiming(func(e *entry.Timing) { e.Read = 300 }))
	address := s.Entries()[0].Node().PublicAddress()
	const each = 50
	starts := map[string]string{
		"silent":      "",
		"half a line": "POST /v1/chat/comp",
		"slow header": "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-A: 1",
		"slow body": "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
			"X-Sardine-Workspace: stage-left\r\nContent-Length: 100\r\n\r\n{\"model\"",
		"not HTTP": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	}
	before := runtime.NumGoroutine()
	var conns []net.Conn
	for _, start := range starts {
		for range each {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			_, err = io.WriteString(conn, start)
			require.NoError(t, err)
			conns = append(conns, conn)
		}
	}
	slack := len(starts) * each / 10 // the number of the site's own goroutines varies
	_, err := Await(testLimit, "goroutines of bad callers end", func() bool {
		return runtime.NumGoroutine() < before+slack
	})
	require.NoError(t, err)
	for _, conn := range conns {
		require.NoError(t, conn.Close())
	}
	good := sendChat(t, address, chatBody("still here", 1, false))
	require.Equal(t, "no_target", good.problem.Name)
}
