package serve

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/reply"
)

func newClient(t *testing.T) *proxy.Client {
	p := pool.New(clock.NewReal())
	t.Cleanup(p.Close)
	return proxy.NewClient(p, NewTargetPort())
}

func exchangeWith(address string, header http.Header) proxy.Exchange {
	return proxy.Exchange{
		Address:  address,
		Request:  pool.Request{Method: http.MethodPost, Path: "/x", Host: address, Header: header, Body: []byte("b")},
		Dispatch: sardine.Dispatch{Request: streamID},
	}
}

func TestPrepareReplacesOwnHeaders(t *testing.T) {
	h := http.Header{}
	for _, name := range append(ownHeaders, reply.HeaderIdempotencyKey) {
		h.Set(name, "the caller's")
	}
	h.Set("Accept", "text/plain")
	NewTargetPort().Prepare(h, sardine.Dispatch{Request: "r", Rank: sardine.PriorityLive.Rank(), Group: "g", Epoch: 7, LastEvent: LastEvent(3)})
	require.Equal(t, http.Header{
		"Accept":             {"text/plain"},
		reply.HeaderRequest:  {"r"},
		reply.HeaderPriority: {"live"},
		order.HeaderGroup:    {"g"},
		order.HeaderEpoch:    {"7"},
		order.HeaderResume:   {"3"},
	}, h)
	plain := http.Header{}
	NewTargetPort().Prepare(plain, sardine.Dispatch{Request: "r"})
	require.Equal(t, http.Header{reply.HeaderRequest: {"r"}}, plain)
}

// A request counts as not run only if an error status comes with a header that
// states so.
func TestOnlyExplicitRefusalDidNotRun(t *testing.T) {
	said := http.Header{}
	said.Set(reply.HeaderRan, "no")
	for status, want := range map[int]sardine.Reply{
		http.StatusOK:                 {},
		http.StatusConflict:           {Ran: sardine.RanNo, Misdirected: true},
		http.StatusServiceUnavailable: {Ran: sardine.RanNo},
	} {
		require.Equal(t, want, NewTargetPort().Reply(status, said), status)
		require.Equal(t, sardine.Reply{}, NewTargetPort().Reply(status, http.Header{}), status)
	}
}

// A dispatch that fails before it reaches the target, or with a refusal, did not
// run; one whose connection breaks afterwards may have run.
func TestOpenReportsWhetherRequestMayHaveRun(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Sardine-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	breaking := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer breaking.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	cases := map[string]sardine.Ran{
		refusing.Listener.Addr().String(): sardine.RanNo,
		breaking.Listener.Addr().String(): sardine.RanUnknown,
		gone.Listener.Addr().String():     sardine.RanNo,
	}
	client := newClient(t)
	for address, ran := range cases {
		_, failed := client.Open(t.Context(), exchangeWith(address, http.Header{}))
		require.NotNil(t, failed)
		require.Equal(t, ran, failed.Ran(), failed.Error())
	}
}

// A redirect must not make the client send a request twice, and the caller's
// idempotency key and credentials must not reach the target.
func TestRedirectIsNotFollowedAndSecretsAreRemoved(t *testing.T) {
	calls := 0
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		require.Empty(t, r.Header.Get("Idempotency-Key"))
		require.Empty(t, r.Header.Get("Authorization"))
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	defer target.Close()
	header := http.Header{"Idempotency-Key": {"k"}, "Authorization": {"Bearer secret"}}
	answer, failed := newClient(t).Open(t.Context(), exchangeWith(target.Listener.Addr().String(), header))
	require.Nil(t, failed)
	_, err := io.Copy(io.Discard, answer.Response.Body)
	require.NoError(t, err)
	answer.Close(true)
	require.Equal(t, http.StatusTemporaryRedirect, answer.Response.StatusCode)
	require.Equal(t, 1, calls)
}

// An answer may state a limit, which is not forwarded.
func TestReplyStatesALimit(t *testing.T) {
	h := http.Header{}
	h.Set(annc.HeaderLimit, "6.5")
	r := NewTargetPort().Reply(http.StatusOK, h)
	require.Equal(t, sardine.Reply{Limit: 6.5, HasLimit: true}, r)
	require.Empty(t, ForwardedHeader(h))
	h.Set(annc.HeaderLimit, "fast")
	r = NewTargetPort().Reply(http.StatusOK, h)
	require.False(t, r.HasLimit)
	require.NotEmpty(t, r.InvalidLimit)
}
