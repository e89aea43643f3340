package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
)

// routedNode returns a node that can only decide on retries and ranks, and a
// layout with one engine service of 20 slots.
func routedNode() *Node {
	layout := sardine.Layout{Number: 1, Services: []sardine.Service{{Name: "s", Engine: &sardine.EngineSpec{Slots: 20}}, {Name: "app"}}}
	n := &Node{clock: clock.NewVirtual(1000), batchBounds: place.NewBatchLimiter(), retries: newRetryLimit(1, 0, retry.NewWindow(0.5, 10, 10*sardine.Second))}
	v := emptyView()
	v.table = paths.New(layout)
	for _, vm := range []sardine.VMID{"vm1", "vm2"} {
		v.candidates[routedService] = append(v.candidates[routedService], route.Candidate{Ref: route.Ref{VM: vm, Incarnation: 1}})
	}
	v.trafficOpen, v.budgetSlots, v.budgetSlot = true, 1, state.BudgetSlot{Incarnation: 1, Origin: state.SlotInitial}
	n.retries.applyView(1000, v)
	n.retries.confirmed(1000)
	n.published.Store(&published{view: v})
	return n
}

var routedService = serviceKey{plan.LayoutTeam, "s"}

func newRoutedRun(n *Node, kind sardine.RouteKind) *routedRun {
	r := &sardine.Route{Kind: kind, Resumable: true, MaxAttempts: 2, Objective: 200, Timeout: 5000}
	return &routedRun{node: n, route: r, name: "s", service: routedService, arrived: 1000, deadline: 6000, ran: sardine.RanNo}
}

func TestMayRetry(t *testing.T) {
	broken := codes.New(codes.TargetFailed, "x")
	for name, c := range map[string]struct {
		kind     sardine.RouteKind
		ran      sardine.Ran
		attempts int
		unsent   int
		err      error
		want     bool
	}{
		"refused, unsafe":            {sardine.RouteUnsafe, sardine.RanNo, 1, 0, codes.New(codes.TargetFull, "x"), true},
		"may have run, unsafe":       {sardine.RouteUnsafe, sardine.RanUnknown, 1, 0, broken, false},
		"may have run, safe":         {sardine.RouteSafe, sardine.RanUnknown, 1, 0, broken, true},
		"may have run, stream":       {sardine.RouteStream, sardine.RanYes, 1, 0, broken, true},
		"attempts used up":           {sardine.RouteSafe, sardine.RanUnknown, 2, 0, broken, false},
		"nobody there":               {sardine.RouteSafe, sardine.RanNo, 0, maxUnsent, codes.New(codes.NoTarget, "x"), false},
		"one took no connection":     {sardine.RouteUnsafe, sardine.RanNo, 0, 1, codes.New(codes.NoTarget, "x"), true},
		"every engine is full":       {sardine.RouteSafe, sardine.RanNo, 0, 0, codes.New(codes.QueueFull, "x"), false},
		"the deadline cut it off":    {sardine.RouteSafe, sardine.RanUnknown, 1, 0, errDeadline, false},
		"a second engine is full":    {sardine.RouteStream, sardine.RanUnknown, 1, 0, codes.New(codes.QueueFull, "x"), false},
		"stands still, may move on":  {sardine.RouteStream, sardine.RanUnknown, 1, 0, errStalled, true},
		"stands still, attempts out": {sardine.RouteStream, sardine.RanUnknown, 2, 0, errStalled, false},
	} {
		q := newRoutedRun(routedNode(), c.kind)
		q.ran, q.attempts, q.unsent = c.ran, c.attempts, c.unsent
		require.Equal(t, c.want, q.mayRetry(c.err), name)
	}
}

// A refusal by the node itself sends nothing, so it must not use the retry
// limit, which is for requests that were sent.
func TestFullEnginesUseNoRetries(t *testing.T) {
	n := routedNode()
	for range 100 {
		require.False(t, newRoutedRun(n, sardine.RouteStream).mayRetry(codes.New(codes.QueueFull, "x")))
	}
	require.True(t, n.retries.available(n.clock.Now(), "s"))
}

// In a burst that fills the engines, requests that can still start in time go
// first, the rest is queued, and requests that would wait too long are refused.
// Once requests have been queued for long, those that can't start in time are
// refused at once.
func TestLateRequestsGetLowerRank(t *testing.T) {
	for _, c := range []struct {
		requests float64
		standing bool
		last     string
		now      sardine.Millis
		rank     int
		placed   bool
	}{
		{0, false, "", 1000, place.RankOnTime, true},
		{23, false, "", 1000, place.RankOnTime, true},
		{24, false, "", 1000, place.RankLate, true},
		{10, false, "", 1300, place.RankLate, true},
		{10, false, "7", 1300, place.RankResumed, true},
		{49, false, "", 1000, place.RankLate, true},
		{50, false, "", 1000, place.RankLate, false},
		{23, true, "", 1000, place.RankOnTime, true},
		{24, true, "", 1000, place.RankLate, false},
		{19, true, "", 1300, place.RankLate, true},
		{20, true, "", 1300, place.RankLate, false},
		{29, true, "7", 1300, place.RankResumed, true},
		{30, true, "7", 1300, place.RankResumed, false},
	} {
		n := routedNode()
		n.clock = clock.NewVirtual(c.now)
		q := newRoutedRun(n, sardine.RouteStream)
		if c.last != "" {
			_, err := q.events.ShouldForward(proxy.Event{ID: c.last, HasData: true})
			require.NoError(t, err)
		}
		rank, placed := q.rankAt(&route.Choice{TargetRequests: c.requests, Saturated: c.standing}, q.events.Last() != "", false)
		require.Equal(t, c.placed, placed, "%+v", c)
		require.Equal(t, c.rank, rank, "%+v", c)
	}
	q := newRoutedRun(routedNode(), sardine.RouteSafe)
	q.name = "app"
	rank, placed := q.rankAt(&route.Choice{TargetRequests: 1000}, false, false)
	require.True(t, placed, "plain services have no batches")
	require.Negative(t, rank)
}

func TestMayMove(t *testing.T) {
	n := routedNode()
	q := newRoutedRun(n, sardine.RouteStream)
	require.True(t, q.mayMove(), "a second attempt is left")
	q.attempts = 1
	require.False(t, q.mayMove(), "the attempt in flight is the last")
	q.counted = true
	require.True(t, q.mayMove())
	q.attempts = 2
	require.False(t, q.mayMove())
	require.False(t, newRoutedRun(n, sardine.RouteUnsafe).mayMove())
	for n.retries.take(n.clock.Now(), "s") {
		continue
	}
	require.False(t, newRoutedRun(n, sardine.RouteStream).mayMove(), "the retry limit is used up")
}

// Guards against requests that are sent to another target because theirs is silent, though
// that one is suspected, too, or no attempt is left.
func TestRequestsLeaveStalledTargetOnlyForAnother(t *testing.T) {
	n := routedNode()
	first, second := route.Ref{VM: "vm1", Incarnation: 1}, route.Ref{VM: "vm2", Incarnation: 1}
	q := newRoutedRun(n, sardine.RouteSafe)
	h := &handover{run: q, attempts: 1, tried: []route.Ref{first}}
	require.False(t, h.mayMove([]route.Ref{first, second}), "both are silent")
	require.True(t, h.mayMove([]route.Ref{first}))
	h.refused = make([]route.Ref, maxHandoverRefusals)
	require.False(t, h.mayMove([]route.Ref{first}), "it was refused too often")
	h.refused, h.ran = nil, 1
	require.False(t, h.mayMove([]route.Ref{first}), "another target may have run it")
	h.ran, h.tried = 0, []route.Ref{first, second}
	require.False(t, h.mayMove([]route.Ref{first}), "no target is left")
	q.tried = []route.Ref{first, second}
	require.False(t, q.mayMove(), "no target is left")
}

// The attempts that may not leave their target have no handover.
func TestOnlyRequestsThatMayMoveHaveAHandover(t *testing.T) {
	n := routedNode()
	n.inFlight = newInFlight()
	for name, c := range map[string]struct {
		kind     sardine.RouteKind
		attempts int
		headSent bool
		want     bool
	}{
		"safe":                       {sardine.RouteSafe, 0, false, true},
		"stream":                     {sardine.RouteStream, 0, false, true},
		"unsafe":                     {sardine.RouteUnsafe, 0, false, false},
		"last attempt":               {sardine.RouteSafe, 1, false, false},
		"began, can't be resumed":    {sardine.RouteStream, 0, true, false},
		"began as the last attempt":  {sardine.RouteStream, 1, true, false},
		"a second attempt, too late": {sardine.RouteStream, 2, false, false},
	} {
		q := newRoutedRun(n, c.kind)
		q.attempts, q.headSent = c.attempts, c.headSent
		end := q.startHandover(context.Background(), func(error) {}, dispatched{})
		require.Equal(t, c.want, q.handover != nil, name)
		require.Equal(t, c.want, n.inFlight.count() == 1, name)
		end()
		require.Zero(t, n.inFlight.count(), name)
	}
}

// A request that could not leave a stalled target does so once another target responds.
func TestStalledDispatchesLeaveOnceAnotherTargetResponds(t *testing.T) {
	first, second := route.Ref{VM: "vm1", Incarnation: 1}, route.Ref{VM: "vm2", Incarnation: 1}
	f := newInFlight()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer f.add(route.Candidate{Ref: first}, cancel, leavesWith{suspects: 1, cancel: cancel})()
	f.leaveSilent(0, []route.Ref{first, second}, []route.Ref{first, second})
	require.NoError(t, ctx.Err())
	f.leaveSilent(0, nil, []route.Ref{first})
	require.ErrorIs(t, context.Cause(ctx), errStalled)
}

// leavesWith is a request that leaves its target while this many targets are suspected.
type leavesWith struct {
	suspects int
	cancel   context.CancelCauseFunc
}

func (leavesWith) isSilent(sardine.Millis) bool { return false }

func (leavesWith) evacuate(sardine.Millis) {}

func (l leavesWith) leave(_ sardine.Millis, cause error, suspects []route.Ref) {
	if len(suspects) == l.suspects {
		l.cancel(cause)
	}
}

// Callers take 429 and 503 as a promise that the request did not run, and any
// other 4xx as their own error. This checks the status of all codes.
func TestFinalErrorPromisesNotRunOnlyIfCertain(t *testing.T) {
	for _, row := range codes.Table() {
		err := codes.New(row.Code, "x")
		q := newRoutedRun(routedNode(), sardine.RouteStream)
		q.ran = sardine.RanNo
		status := codes.Of(q.final(err)).Status()
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, status, "not run: %s", row.Name)
		q.ran = sardine.RanUnknown
		status = codes.Of(q.final(err)).Status()
		require.GreaterOrEqual(t, status, http.StatusInternalServerError, "may have run: %s", row.Name)
		require.NotEqual(t, http.StatusServiceUnavailable, status, "may have run: %s", row.Name)
	}
}

// Guards against 404 for a route that a node does not know yet because its
// settings are outdated. Callers take that for their own error and do not
// retry.
func TestOutdatedSettingsDenyNoRequest(t *testing.T) {
	layout := sardine.Layout{
		Number: 1, Tenants: []sardine.KeyTenant{{Name: "w", Keys: []string{"key"}}}, Limits: sardine.CallerLimits{HeaderBytes: 1000, BodyBytes: 10},
		Routes: []sardine.Route{{Name: "r", Host: "h", Prefix: "/r/", Split: []sardine.WeightedService{{Service: "app", Weight: 1}}}},
	}
	const freshAt = 1000
	for _, c := range []struct {
		path, key string
		age       sardine.Millis
		note      int // bytes
		code      codes.Code
	}{
		{"/other/", "key", 0, 0, codes.UnknownService},
		{"/other/", "key", follow.MaxStaleness, 0, codes.UnknownService},
		{"/other/", "key", follow.MaxStaleness + 1, 0, codes.NoLease},
		{"/r/", "other", follow.MaxStaleness, 0, codes.KeyRefused},
		{"/r/", "other", follow.MaxStaleness + 1, 0, codes.NoLease},
		{"/other/", "key", 60 * sardine.Second, 0, codes.NoLease},
		{"/r/", "key", follow.MaxStaleness, 1000, codes.HeaderTooLarge},
		{"/r/", "key", follow.MaxStaleness + 1, 1000, codes.NoLease},
	} {
		n := &Node{limits: DefaultLimits(), clock: clock.NewVirtual(freshAt + c.age), callers: namedCall{path: c.path, key: c.key}}
		v := emptyView()
		v.table = paths.New(layout)
		n.published.Store(&published{view: v, freshAt: freshAt})
		q := &routedRun{node: n, arrived: n.clock.Now(), losses: losses{node: n}}
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("X-Note", strings.Repeat("n", c.note))
		err := q.read(r)
		require.Equal(t, c.code, codes.Of(err), "%+v", c)
	}
}

// namedCall is a caller port all of whose calls have the same host, path and
// key.
type namedCall struct {
	sardine.CallerPort
	path, key string
}

func (c namedCall) Call(*http.Request) (sardine.Call, error) {
	return sardine.Call{ID: "q", Host: "h", Path: c.path, Key: c.key}, nil
}
