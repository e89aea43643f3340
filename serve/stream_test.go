package serve

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const streamID = sardine.RequestID("r-1")

// streamText returns an answer of n tokens that begins at the token first.
func streamText(first, n int) string {
	var text strings.Builder
	for i := first; i < n; i++ {
		reason := "null"
		if i == n-1 {
			reason = `"stop"`
		}
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", i, streamID, i, reason)
	}
	text.WriteString("data: [DONE]\n\n")
	return text.String()
}

// readAll returns the events that a caller would receive and the error that ended
// the stream, nil for a whole answer.
func readAll(s *Stream) (string, error) {
	var got strings.Builder
	for {
		e, err := s.Next()
		if err != nil {
			return got.String(), err
		}
		got.Write(e.Raw())
		if e.Done() {
			return got.String(), nil
		}
	}
}

func TestTruncatedStreamIsNeverWhole(t *testing.T) {
	text := streamText(0, 4)
	for cut := range len(text) {
		got, err := readAll(NewStream(strings.NewReader(text[:cut]), streamID, 0))
		require.Error(t, err, "cut after %d bytes", cut)
		require.True(t, codes.Is(err, codes.StreamBroken), "cut after %d bytes: %v", cut, err)
		require.True(t, strings.HasPrefix(text, got))
	}
	got, err := readAll(NewStream(strings.NewReader(text), streamID, 0))
	require.NoError(t, err)
	require.Equal(t, text, got)
}

func TestResumedStreamIsWhole(t *testing.T) {
	whole := streamText(0, 6)
	for cut := range 6 {
		first := NewStream(strings.NewReader(whole), streamID, 0)
		var got strings.Builder
		for range cut {
			e, err := first.Next()
			require.NoError(t, err)
			got.Write(e.Raw())
		}
		rest, err := readAll(NewStream(strings.NewReader(streamText(cut, 6)), streamID, first.NextToken()))
		require.NoError(t, err)
		require.Equal(t, whole, got.String()+rest)
	}
}

func TestStreamRejectsInvalidEvents(t *testing.T) {
	cases := map[string]struct {
		text string
		code codes.Code
	}{
		"another's id": {strings.ReplaceAll(streamText(0, 2), "r-1", "r-2"), codes.AnswerInvalid},
		"a gap":        {streamText(1, 3), codes.AnswerInvalid},
		"no finish":    {"data: [DONE]\n\n", codes.AnswerInvalid},
		"not JSON":     {"data: {\n\n", codes.AnswerInvalid},
		"an error":     {"data: {\"error\":{\"message\":\"x\"}}\n\n", codes.StreamBroken},
		"too long":     {"data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", codes.AnswerInvalid},
	}
	for name, c := range cases {
		_, err := readAll(NewStream(strings.NewReader(c.text), streamID, 0))
		require.Equal(t, c.code, codes.Of(err), "%s: %v", name, err)
	}
}

func TestStreamDropsRepeatedTokens(t *testing.T) {
	whole := streamText(0, 3)
	first, _, _ := strings.Cut(whole, "\n\n")
	got, err := readAll(NewStream(strings.NewReader(first+"\n\n"+whole), streamID, 0))
	require.NoError(t, err)
	require.Equal(t, whole, got)
}

func FuzzStream(f *testing.F) {
	f.Add(streamText(0, 3))
	f.Add("id: 9\ndata: [DONE]\n\n")
	f.Add(": comment\n\ndata:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := readAll(NewStream(strings.NewReader(text), streamID, 0))
		if err == nil && !strings.HasSuffix(strings.TrimRight(got, "\r\n"), "[DONE]") {
			t.Fatalf("a whole answer without its end mark: %q", got)
		}
	})
}
