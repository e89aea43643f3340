package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBlockedWriterDoesNotBlockCallers writes to a pipe that is never read.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	a := NewAsync(writer)
	for range 10 * asyncQueueLines {
		n, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, a.unreported)
	require.LessOrEqual(t, len(a.lines), asyncQueueLines)
}

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	now := time.Unix(100, 0)
	a := newAsync(func() time.Time { return now })
	for range asyncLinesPerSecond + 7 {
		_, _ = a.Write([]byte("line\n"))
	}
	now = now.Add(time.Second)
	_, _ = a.Write([]byte("last\n"))
	var out bytes.Buffer
	go a.run(&out)
	require.NoError(t, a.Close())
	<-a.done
	require.Equal(t, asyncLinesPerSecond, strings.Count(out.String(), "line\n"))
	require.Contains(t, out.String(), `"msg":"log_lines_dropped","lines":7`)
	require.True(t, strings.HasSuffix(out.String(), "last\n"))
}

func TestClosedWriterDropsLines(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	_, _ = a.Write([]byte("first\n"))
	require.NoError(t, a.Close())
	_, err := a.Write([]byte("late\n"))
	require.NoError(t, err)
	<-a.done
	require.Equal(t, "first\n", out.String())
}
