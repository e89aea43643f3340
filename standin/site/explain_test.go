package site

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/trace"
)

// TestExplainRequest requests the account of a completed request, of a rejected
// one, and of one from another incarnation of the node, which is unknown.
func TestExplainRequest(t *testing.T) {
	s := startWithoutEngines(t, WithNodes(1, 1))
	node := s.Entries()[0].Node()
	call := func(service, workspace string) sardine.RequestID {
		r, err := http.NewRequest(http.MethodPost, "http://"+node.PublicAddress()+"/services/"+service+"/bookings", strings.NewReader("seat 1"))
		require.NoError(t, err)
		r.Header.Set(reply.HeaderWorkspace, workspace)
		answer, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		_, _ = io.Copy(io.Discard, answer.Body)
		return sardine.RequestID(answer.Header.Get(reply.HeaderRequest))
	}
	explain := func(id sardine.RequestID) (int, trace.Account) {
		answer, err := http.Get("http://" + node.InternalAddress() + trace.Path + string(id))
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		a, err := trace.Decode(text)
		require.NoError(t, err)
		return answer.StatusCode, a
	}
	id := call(string(Service), string(Workspace))
	var a trace.Account
	_, err := Await(testLimit, "the end is recorded, shortly after the caller has the answer", func() bool {
		_, a = explain(id)
		return a.Ended
	})
	require.NoError(t, err)
	require.Equal(t, []string{string(id), "entry-1", string(Workspace), string(Service), "ok", "yes"},
		[]string{a.Request, a.Node, a.Workspace, a.Service, a.CodeName, a.Ran})
	require.Len(t, a.Dispatches, 1)
	require.True(t, strings.HasPrefix(a.Dispatches[0].Target, "app-1@"))
	require.Positive(t, a.First)

	refused := call(string(Service), strings.Repeat("x", 1000))
	_, a = explain(refused)
	require.Equal(t, codes.UnknownWorkspace.Name(), a.CodeName)
	require.Equal(t, "no", a.Ran)
	require.Empty(t, a.Workspace, "the caller's text is not recorded")
	status, _ := explain(trace.ID("entry-1", 99, 1))
	require.Equal(t, codes.UnknownMember.Status(), status)
}
