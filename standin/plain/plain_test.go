package plain

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCountsRunsThroughFaults(t *testing.T) {
	p := New()
	require.NoError(t, p.Start())
	defer p.Stop()
	call := func(body string) (string, error) {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := c.Post("http://"+p.Address()+"/book", "text/plain", strings.NewReader(body))
		if err != nil {
			return "", err
		}
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		return string(text), err
	}
	got, err := call("seat 4")
	require.NoError(t, err)
	require.Equal(t, Expect("POST", "/book", "seat 4"), got)
	for fault, runs := range map[Fault]int{FaultBeforeRun: 0, FaultAfterRun: 1, FaultHalfAnswer: 1} {
		body := "seat " + string(rune('a'+fault))
		p.InjectFault(fault, 1)
		_, err = call(body)
		require.Error(t, err)
		require.Equal(t, runs, p.Runs(body), "fault %d", fault)
	}
	p.Leave()
	_, err = call("late")
	require.NoError(t, err)
	require.Zero(t, p.Runs("late"))
}
