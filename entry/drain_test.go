package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/paths"
)

// Guards against requests that a stopping node accepts and cuts off, and against
// short streams that it turns away because their time limit is long. The streams
// have an event each 50 ms with 5 tokens; the listener closes 2000 ms before the end.
func TestStoppingNodeAcceptsWhatItCanFinish(t *testing.T) {
	const gap, drain = 50, 2000
	for _, c := range []struct {
		name      string
		kind      sardine.RouteKind
		resumable bool
		tokens    int // that the caller expects
		left      sardine.Millis
		want      codes.Code
	}{
		{"the time limit ends before", sardine.RouteUnsafe, false, 0, 5000, codes.OK},
		{"the time limit ends later", sardine.RouteUnsafe, false, 0, 4999, codes.Draining},
		{"safe, of unknown length", sardine.RouteSafe, false, 0, 4999, codes.Draining},
		{"a stream ends before by estimate", sardine.RouteStream, true, 100, 2200, codes.OK},
		{"a stream ends later by estimate", sardine.RouteStream, true, 100, 2199, codes.Draining},
		{"a stream after the listener has closed, by estimate", sardine.RouteStream, true, 50, 2000, codes.Draining},
		{"a stream before the listener has closed, by estimate", sardine.RouteStream, true, 50, 2001, codes.OK},
		{"a stream that can't be resumed", sardine.RouteStream, false, 100, 4999, codes.Draining},
		{"a stream of unknown length", sardine.RouteStream, true, 0, 4999, codes.Draining},
	} {
		n := routedNode()
		n.timing.Drain = drain
		v := emptyView()
		v.table = paths.New(sardine.Layout{Number: 1, Services: []sardine.Service{{
			Name: "s", Engine: &sardine.EngineSpec{Slots: 20, Iteration: sardine.IterationTimes{Steps: 5}},
		}}})
		n.published.Store(&published{view: v})
		q := newRoutedRun(n, c.kind)
		q.route.Resumable = c.resumable
		q.call.AnswerTokens = c.tokens
		n.batchBounds.ObserveGap(q.arrived, q.service.routeName(), gap)
		require.NoError(t, q.outlastsDrain(), "%s: the node is not stopping", c.name)
		n.drainEnd.Store(int64(q.arrived + c.left))
		n.draining.Store(true)
		require.Equal(t, c.want, codes.Of(q.outlastsDrain()), c.name)
	}
}
