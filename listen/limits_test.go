package listen

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/upload"
)

// TestNewLimitsLoseNoRequest guards against requests that run and are not answered because
// the limits change, on many connections that are reused and replaced.
func TestNewLimitsLoseNoRequest(t *testing.T) {
	const clients, changes = 50, 40
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	var ran, whole sync.Map
	serve(t, s, &ran)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			c := dial(t, s.Address())
			for n := 0; ; n++ {
				select {
				case <-done:
					_ = c.conn.Close()
					return
				default:
				}
				id := fmt.Sprint(i, "-", n)
				answered, last := c.ask(id)
				if answered {
					whole.Store("/"+id, true)
				}
				if last {
					_ = c.conn.Close()
					c = dial(t, s.Address())
				}
			}
		})
	}
	for i := range changes {
		time.Sleep(30 * time.Millisecond)
		s.SetLimits(Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5000, IdleTimeout: 6000})
		s.SetLimits(Limits{HeaderBytes: 1024 * (i + 1), HeaderTimeout: 5000, IdleTimeout: 5000})
	}
	close(done)
	group.Wait()
	require.Greater(t, countAnswered(t, &ran, &whole), clients*changes)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.generations) == 1
	}, 3*(retireTime+retirePoll), 10*time.Millisecond, "generations without connections are dropped")
}

// TestConnectionsEndByTheirNextAnswer guards against requests that are not read, since limits
// that refuse none of them close idle connections.
func TestConnectionsEndByTheirNextAnswer(t *testing.T) {
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	var ran sync.Map
	serve(t, s, &ran)
	c := dial(t, s.Address())
	whole, last := c.ask("first")
	require.True(t, whole)
	require.False(t, last)
	s.SetLimits(Limits{HeaderBytes: 1 << 10, HeaderTimeout: 1000, IdleTimeout: 90_000})
	time.Sleep(2 * retireTime)
	whole, last = c.ask("second")
	require.True(t, whole)
	require.True(t, last)
}

// TestConnectionsOfAllEarlierLimitsClose guards against connections that keep limits from
// before the last change, and refuse what is allowed now.
func TestConnectionsOfAllEarlierLimitsClose(t *testing.T) {
	s, err := New("127.0.0.1:0")
	require.NoError(t, err)
	var ran sync.Map
	serve(t, s, &ran)
	c := dial(t, s.Address())
	whole, _ := c.ask("first")
	require.True(t, whole)
	s.SetLimits(Limits{HeaderBytes: 1 << 10, HeaderTimeout: 1000, IdleTimeout: 90_000})
	s.SetLimits(Limits{HeaderBytes: 64 << 10, HeaderTimeout: 1000, IdleTimeout: 90_000})
	_, err = c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestHeaderUnderWayKeepsItsLimits guards against a request that is cut off because the
// limits change while its header comes.
func TestHeaderUnderWayKeepsItsLimits(t *testing.T) {
	s, err := New("127.0.0.1:0", WithHeadBudget(upload.NewBudget(clock.NewReal(), 4<<20)))
	require.NoError(t, err)
	var ran sync.Map
	serve(t, s, &ran)
	c := dial(t, s.Address())
	whole, _ := c.ask("first")
	require.True(t, whole)
	_, err = io.WriteString(c.conn, "GET /second HTTP/1.1\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	s.SetLimits(Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100, IdleTimeout: 100})
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(c.conn, "Host: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "/second", string(text))
	require.True(t, resp.Close, "the connection ends with its answer")
}
