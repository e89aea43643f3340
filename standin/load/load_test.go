package load

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/plain"
	"sardineswitch.dev/sardine/standin/weight"
)

// readyEngine starts an engine and waits until it is ready.
func readyEngine(t *testing.T) *engine.Engine {
	e := engine.New(engine.WithLoader(weight.New(weight.WithSize(1))), engine.WithSpeed(1, 0))
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	c := order.NewClient()
	defer c.Close()
	require.NoError(t, c.Send(context.Background(), e.Address(), sardine.Order{Group: "g", Epoch: 1, Size: 1, Model: "surtitle"}))
	require.Eventually(t, func() bool { return e.CurrentOrder().State == sardine.MemberReady }, 5*time.Second, time.Millisecond)
	return e
}

// TestDetectsEachFault sends requests directly to an engine that cuts streams off
// or sends answers twice, and checks that every answer counts as incomplete or
// wrong. Without a fault every answer counts as correct.
func TestDetectsEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		set func(*engine.Faults)
		bad func(*Result) int
	}{
		"none":      {func(*engine.Faults) {}, func(r *Result) int { return r.Wrong() + r.Incomplete() + r.Refused() }},
		"cut":       {func(f *engine.Faults) { f.CutStreams(2, 1000) }, (*Result).Incomplete},
		"duplicate": {func(f *engine.Faults) { f.AnswerTwice(1000) }, (*Result).Wrong},
	} {
		e := readyEngine(t)
		c.set(e.Faults())
		l := New(WithTarget(e.Address(), "surtitle", "stage"), WithRate(200, 100), WithStreamShare(0.5), WithTokens(4))
		r := l.Run(context.Background())
		sent := r.Correct() + r.Wrong() + r.Incomplete() + r.Refused()
		require.Positive(t, sent, name)
		if name == "none" {
			require.Equal(t, sent, r.Correct(), name)
			continue
		}
		require.Zero(t, r.Correct(), name)
		require.Equal(t, sent, c.bad(r), name)
	}
}

// TestRefusalsAndTables checks that the error answers of an engine that is not
// ready count as refused, with a known outcome, and that they are printed.
func TestRefusalsAndTables(t *testing.T) {
	e := engine.New()
	require.NoError(t, e.Start())
	defer e.Stop()
	r := New(WithTarget(e.Address(), "surtitle", "stage"), WithRate(200, 50)).Run(context.Background())
	require.Positive(t, r.Refused())
	require.Zero(t, r.Summary().Unknown, "an engine that is not ready reports that it did not run the request")
	var b bytes.Buffer
	r.Print(&b)
	require.Contains(t, b.String(), "status 503")
}

// TestNeverSentIsKnownNotToHaveRun checks that requests to an address without a
// listener count as incomplete, but not as of unknown outcome.
func TestNeverSentIsKnownNotToHaveRun(t *testing.T) {
	r := New(WithTarget("127.0.0.1:1", "surtitle", "stage"), WithRate(100, 50)).Run(context.Background())
	require.Positive(t, r.Incomplete())
	require.Zero(t, r.Summary().Unknown)
}

// TestPlainService checks that plain services get POST requests, each with a text
// of its own.
func TestPlainService(t *testing.T) {
	p := plain.New()
	require.NoError(t, p.Start())
	defer p.Stop()
	r := New(WithTarget(p.Address(), "box_office", "stage"), WithPlainService("/book"), WithRate(200, 50)).Run(context.Background())
	require.Positive(t, r.Wrong(), "without an entry node the stand-in receives the whole path, so its answer is not the expected one")
	require.Positive(t, p.Runs("cue 0 of run 1"))
}
