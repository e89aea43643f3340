package verbs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/reply"
)

// deafAddress returns the address of a listener whose queue of connections is full:
// connecting to it takes until a timeout, as with a machine that has failed.
func deafAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue does not fill")
	return ""
}

// Guards against operators who are told that the outcome of a change is unknown, and look
// for it, although no node got the request.
func TestUnreachableNodeLeavesNoUnknownOutcome(t *testing.T) {
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply.NewProblem(codes.New(codes.NoQuorum, "no leader is known")).Write(w)
	}))
	t.Cleanup(follower.Close)
	session := &Session{timeout: 2 * time.Second, controls: []string{deafAddress(t), strings.TrimPrefix(follower.URL, "http://")}, getenv: func(string) string { return "" }}
	c := &Call{session: session, ctx: context.Background()}
	_, err := c.sendToLeader(http.MethodPost, oper.LeavePath, nil)
	require.True(t, codes.Is(err, codes.NoQuorum), "%v", err)
}

// Guards against a draining node that is said to have ended because it can't be reached.
func TestUnreachableNodeHasNotEnded(t *testing.T) {
	var out strings.Builder
	session := NewSession(nil, &out, &out, func(string) string { return "" })
	session.timeout = 2 * time.Second
	c := &Call{session: session, ctx: context.Background(), args: []string{"e1"}}
	require.Error(t, c.awaitExit(deafAddress(t), time.Second))
	require.NotContains(t, out.String(), "ended")
}
