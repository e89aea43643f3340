package site

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/plain"
)

// Guards against requests without a body that are cut off, while a target is at work on
// them, by the time limit for reading bodies.
func TestRequestsMayTakeLongerThanTheirReading(t *testing.T) {
	s := startWithoutEngines(t, WithEntryTiming(func(e *entry.Timing) { e.Read = 300 }))
	s.PlainServices()[0].SetRunTime(900 * sardine.Millis(1))
	for range 2 { // on one connection
		r, err := http.NewRequest(http.MethodGet, "http://"+s.Entries()[0].Node().PublicAddress()+"/services/"+string(Service)+"/seats", nil)
		require.NoError(t, err)
		r.Header.Set(reply.HeaderWorkspace, string(Workspace))
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
		require.Equal(t, plain.Expect(http.MethodGet, "/seats", ""), string(body))
	}
}
