package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
)

// Guards against a whole answer that is written into a stream which another engine
// began, and ends it as if it were complete.
func TestWholeAnswerNeverContinuesStream(t *testing.T) {
	w := httptest.NewRecorder()
	m := &modelRun{sink: newSink(nil, w, "q", 0)}
	require.NoError(t, m.sink.event([]byte("id: 0\ndata: a\n\n"), true))
	err := m.forwardWhole(&http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil, 0)
	require.True(t, codes.Is(err, codes.StreamBroken), "%v", err)
	require.Equal(t, "id: 0\ndata: a\n\n", w.Body.String())
}
