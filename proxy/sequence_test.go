package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// The text of a second target's error, or its early end, must not become part of a
// caller's stream, and no second answer may follow bytes that are no numbered events.
// Each input line is one answer; the output is the part of it that is forwarded to the
// caller, how it ends, and whether the next one may follow.
func TestResumedStreamsContainOnlyTheirEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams/resumed", func(t *testing.T, d *datadriven.TestData) string {
		var s Sequence
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			s.Begin()
			events := NewEvents(strings.NewReader(unescape(strings.TrimSuffix(line, "\n"))))
			fmt.Fprintf(&out, "%s\nmay resume: %t\n", strings.TrimSpace(forwarded(t, &s, events)), s.MayResume())
			if !s.MayResume() {
				break
			}
		}
		return out.String()
	})
}

func forwarded(t *testing.T, s *Sequence, events *Events) string {
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
		forward, err := s.ShouldForward(e)
		if err != nil {
			return out.String() + err.Error()
		}
		if forward {
			_, err = fmt.Fprintf(&out, "%q ", e.Raw)
			require.NoError(t, err)
		}
	}
}
