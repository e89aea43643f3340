package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestResumedStreamsHoldOnlyTheirOwnEvents guards against an error's text, or an end,
// of a second target in a caller's stream. Each line is an answer; the output is what
// the caller gets of it and how it ends.
func TestResumedStreamsHoldOnlyTheirOwnEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams/resumed", func(t *testing.T, d *datadriven.TestData) string {
		var s Sequence
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			s.Begin()
			events := NewEvents(strings.NewReader(unescape(strings.TrimSuffix(line, "\n"))))
			fmt.Fprintf(&out, "%s\n", strings.TrimSpace(passed(t, &s, events)))
		}
		fmt.Fprintf(&out, "may resume: %t\n", s.MayResume())
		return out.String()
	})
}

func passed(t *testing.T, s *Sequence, events *Events) string {
	var out strings.Builder
	for {
		e, err := events.Next()
		if err == io.EOF {
			if err = s.End(); err == nil {
				return out.String() + "ended"
			}
		}
		if err != nil {
			return out.String() + err.Error()
		}
		passes, err := s.Take(e)
		if err != nil {
			return out.String() + err.Error()
		}
		if passes {
			_, err = fmt.Fprintf(&out, "%q ", e.Raw)
			require.NoError(t, err)
		}
	}
}
