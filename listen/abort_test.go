package listen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAbortedAnswersNeverLookComplete checks with HTTP/1.1 and HTTP/1.0 that reading
// an answer without a length fails if its handler aborts after the first bytes.
func TestAbortedAnswersNeverLookComplete(t *testing.T) {
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		ended <- s.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "the first half, ")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/broken" {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, "the second half")
		}))
	}()
	for _, version := range []string{"1.1", "1.0"} {
		require.Error(t, readAnswer(t, s.Address(), "/broken", version), version)
		require.NoError(t, readAnswer(t, s.Address(), "/whole", version), version)
	}
	require.NoError(t, s.Close())
	require.NoError(t, <-ended)
}

// readAnswer requests a path in a version of HTTP and reads the answer's body to its
// end.
func readAnswer(t *testing.T, address, path, version string) error {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "GET %s HTTP/%s\r\nHost: h\r\n\r\n", path, version)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // the connection has ended before the first read
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
