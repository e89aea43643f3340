package serve

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
)

// Guards against an engine's answer that ends with its connection and is refused, or
// taken for whole although it broke off.
func TestUndelimitedAnswerIsCheckedByItsContent(t *testing.T) {
	const whole = `{"id":"r1","choices":[{"finish_reason":"stop"}]}`
	for length := range len(whole) + 1 {
		text := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + whole[:length]
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		require.NoError(t, err)
		require.False(t, Delimited(resp))
		body, release, err := ReadWhole(resp, 1<<10, NewBudget(1<<20))
		require.NoError(t, err)
		release()
		err = CheckWhole(body, "r1")
		if length == len(whole) {
			require.NoError(t, err)
			continue
		}
		require.Equal(t, codes.AnswerInvalid, codes.Of(err), "%q", body)
	}
}

// endlessBody is a body that never ends. It counts the bytes that were read.
type endlessBody struct {
	read *atomic.Int64
}

func (e endlessBody) Read(p []byte) (int, error) {
	e.read.Add(int64(len(p)))
	return len(p), nil
}

func (endlessBody) Close() error { return nil }

// Guards against engines that send without end in answer to many requests at once:
// the node held up to the longest answer for each of them and ran out of memory.
func TestEndlessAnswersShareABudget(t *testing.T) {
	const limit, total, requests = 4 << 20, 32 << 20, 100
	budget := NewBudget(total)
	var read atomic.Int64
	var releases []func()
	for range requests {
		held, release, err := budget.read(endlessBody{&read}, limit)
		require.True(t, err == nil || errors.Is(err, errBudget))
		require.LessOrEqual(t, len(held), limit)
		releases = append(releases, release)
	}
	require.LessOrEqual(t, read.Load(), int64(total+requests*shortBytes), "bytes held by all")
	_, release, err := budget.read(strings.NewReader("short"), limit)
	require.NoError(t, err, "a short answer is still read")
	releases = append(releases, release)
	for _, release := range releases {
		release()
	}
	require.Equal(t, int64(total), budget.free)
	for range 2 * total / limit { // answers that are rejected release what they held
		_, _, err := ReadWhole(&http.Response{Body: endlessBody{&read}}, limit, budget)
		require.Equal(t, codes.AnswerInvalid, codes.Of(err))
	}
	require.Equal(t, int64(total), budget.free)
}

// Guards against a truncated answer that is taken for whole when it is read in pieces.
func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"} {
		for _, sent := range []int{0, 1, shortBytes - 1, shortBytes, shortBytes + 1, 99_999} {
			text := "HTTP/1.1 200 OK\r\n" + head + strings.Repeat("x", sent)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			require.NoError(t, err)
			_, _, err = ReadWhole(resp, 1<<20, NewBudget(1<<20))
			require.Equal(t, codes.StreamBroken, codes.Of(err), "%s%d", head, sent)
		}
	}
}
