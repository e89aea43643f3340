package balnce

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func get(t *testing.T, b *Balancer) string {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + b.Address())
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(text)
}

func TestSpreadsOverReadyBackends(t *testing.T) {
	var unready atomic.Bool
	start := func(name string, fails *atomic.Bool) Backend {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/readyz" && fails.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, name)
		}))
		t.Cleanup(s.Close)
		address := s.Listener.Addr().String()
		return NewBackend(address, address)
	}
	one, two := start("one", &atomic.Bool{}), start("two", &unready)
	b := New(WithBackends(one, two))
	require.NoError(t, b.Start())
	defer b.Stop()
	require.NotEqual(t, get(t, b), get(t, b))
	unready.Store(true)
	b.SetBackends(one, two)
	require.Len(t, b.Ready(), 1)
	require.Equal(t, []string{"one", "one"}, []string{get(t, b), get(t, b)})
}
