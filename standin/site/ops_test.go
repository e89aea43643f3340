package site

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperatorPathsOfEveryNode requests the paths that every node serves to
// operators and the platform: health, readiness, dump, status and metrics.
func TestOperatorPathsOfEveryNode(t *testing.T) {
	s := startWithoutEngines(t)
	addresses := []string{s.Entries()[0].Node().InternalAddress(), s.Controls()[0].Node().OperatorAddress()}
	wanted := map[string]string{
		"/healthz":           `"alive": true`,
		"/readyz":            `"ready": true`,
		"/sardine/v1/dump":   `"node"`,
		"/sardine/v1/status": `"checks"`,
		"/metrics":           "sardine_",
	}
	for _, address := range addresses {
		for path, part := range wanted {
			resp, err := http.Get("http://" + address + path)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusOK, resp.StatusCode, path)
			require.Contains(t, string(body), part, path)
		}
	}
}
