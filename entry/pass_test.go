package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/conf"
	"sardineswitch.dev/sardine/detour"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/keys"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/uplink"
)

// plainCaller is a caller port whose requests carry their id and key in headers.
type plainCaller struct {
	sardine.CallerPort
}

func (plainCaller) Call(r *http.Request) (sardine.Call, error) {
	return sardine.Call{ID: sardine.RequestID(r.Header.Get("Id")), Host: r.Host, Path: r.URL.Path, Key: r.Header.Get("Key")}, nil
}

// plainTarget is a target port that removes the key and names requests.
type plainTarget struct {
	sardine.TargetPort
}

func (plainTarget) Prepare(h http.Header, _ sardine.Dispatch) {
	h.Del("Key")
}

func (plainTarget) Reply(_ int, h http.Header) sardine.Reply {
	return sardine.Reply{Request: sardine.RequestID(h.Get("Id"))}
}

// testKeys returns the keys of a node of the authority's site.
func testKeys(t *testing.T, a *keys.Authority) *keys.Set {
	dir := t.TempDir()
	pair, err := a.Issue("node", []net.IP{net.ParseIP("127.0.0.1")}, time.Now())
	require.NoError(t, err)
	path := func(name string) string { return filepath.Join(dir, name) }
	require.NoError(t, os.WriteFile(path("crt"), pair.Certificate(), 0o600))
	require.NoError(t, os.WriteFile(path("key"), pair.Key(), 0o600))
	require.NoError(t, os.WriteFile(path("ca"), a.Pair().Certificate(), 0o600))
	e, err := conf.ParseEntry("e", []byte(fmt.Sprintf(`node = "n"
site = "s"
data_centre = "d"
listen = "127.0.0.1:0"
listen_targets = "127.0.0.1:0"
listen_internal = "127.0.0.1:0"
operator_hash = "%s"
controls = [{ node = "c", address = "127.0.0.1:1" }]
[tls]
certificate = %q
key = %q
authority = %q
`, strings.Repeat("0a", 32), path("crt"), path("key"), path("ca"))))
	require.NoError(t, err)
	s, err := keys.Open(e.TLS())
	require.NoError(t, err)
	return s
}

// startServing returns a node whose servers run and that serves one route by the given
// target. It follows no control node.
func startServing(t *testing.T, id sardine.NodeID, k *keys.Set, target string, peers ...detour.Peer) *Node {
	n, err := New(
		WithID(id, 1, "d"), WithListen("127.0.0.1:0", "127.0.0.1:0"), WithControls("127.0.0.1:1"), WithKeys(k),
		WithRandom(rand.New(rand.NewPCG(1, 2))), WithPorts(plainCaller{reply.NewCallerPort()}, plainTarget{serve.NewTargetPort()}, nil), WithRetryLimit(1, 10, 10*sardine.Second),
	)
	require.NoError(t, err)
	t.Cleanup(func() {
		n.tomb.Kill(nil)
		n.release()
	})
	v := emptyView()
	v.table = paths.New(sardine.Layout{
		Number: 1, Tenants: []sardine.KeyTenant{{Name: "w", Keys: []string{"key"}}},
		Services: []sardine.Service{{Name: "app"}}, Limits: sardine.CallerLimits{BodyBytes: 1 << 20},
		Routes: []sardine.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: sardine.RouteUnsafe, Timeout: 5000, Objective: 500, MaxAttempts: 2,
			Split: []sardine.WeightedService{{Service: "app", Weight: 1}},
		}},
	})
	key := serviceKey{plan.LayoutTeam, "app"}
	c := route.Candidate{Ref: route.Ref{VM: "vm", Incarnation: 1}, Service: key.routeName(), Kind: sardine.KindPlain, Address: target, Head: "vm", HeadIncarnation: 1}
	v.candidates[key] = []route.Candidate{c}
	v.deployments[key] = sardine.Deployment{Name: "app", Kind: sardine.KindPlain}
	v.routeNames = []sardine.ServiceName{key.routeName()}
	v.plain["vm"] = 1
	v.targetStates["vm"] = targetState{incarnation: 1}
	v.trafficOpen, v.budgetSlots, v.budgetSlot = true, 1, state.BudgetSlot{Incarnation: 1, Origin: state.SlotInitial}
	v.peers = peers
	n.published.Store(&published{view: v, freshAt: n.clock.Now(), lease: follow.Lease{}})
	n.gate.update(v)
	for _, serve := range []func() error{
		func() error { return n.public.Serve(n.callersMux()) }, func() error { return n.internal.Serve(n.internalMux()) }, n.peers.run,
	} {
		n.tomb.Go(serve)
	}
	return n
}

// TestRequestsPassOverTLSToNodesOfTheSiteOnly guards against nodes with certificates that
// can't pass requests, and against outsiders that use the endpoints for it.
func TestRequestsPassOverTLSToNodesOfTheSiteOnly(t *testing.T) {
	a, err := keys.NewAuthority("test", time.Now())
	require.NoError(t, err)
	foreign, err := keys.NewAuthority("elsewhere", time.Now())
	require.NoError(t, err)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		fmt.Fprintf(w, "%s %s %d bytes, key %q", r.Method, r.RequestURI, len(body), r.Header.Get("Key"))
	}))
	defer target.Close()
	address := strings.TrimPrefix(target.URL, "http://")
	taker := startServing(t, "e2", testKeys(t, a), address)
	passer := startServing(t, "e1", testKeys(t, a), "127.0.0.1:1", detour.Peer{Node: "e2", Incarnation: 1, Address: taker.InternalAddress(), DataCentre: "d"})
	passer.links.state.Store(int32(uplink.Isolated))
	for i := range 20 {
		r, err := http.NewRequest(http.MethodPost, "http://"+passer.PublicAddress()+"/r/x?y=1", strings.NewReader(strings.Repeat("b", 10_000*i)))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Id", fmt.Sprint("q", i))
		r.Header.Set("Key", "key")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, fmt.Sprintf("POST /r/x?y=1 %d bytes, key %q", 10_000*i, ""), string(text))
		require.Equal(t, fmt.Sprint("q", i), resp.Header.Get("Id"))
	}
	for _, path := range []string{passPath, linksPath} {
		for name, k := range map[string]*keys.Set{"of another site": testKeys(t, foreign), "without certificates": keys.Plain()} {
			client, scheme := k.Client(1)
			resp, err := client.Get(scheme + "://" + taker.InternalAddress() + path)
			if err == nil {
				_ = resp.Body.Close()
				require.NotEqual(t, http.StatusOK, resp.StatusCode, "%s %s", path, name)
			}
		}
		bare := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		resp, err := bare.Get("https://" + taker.InternalAddress() + path)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, codes.KeyRefused.Status(), resp.StatusCode, path)
	}
}

// TestOnlyRequestsWithoutProgressLeaveTheirTargets guards against requests that leave a
// target whose connection lives on, and those that only their target can complete.
func TestOnlyRequestsWithoutProgressLeaveTheirTargets(t *testing.T) {
	n := routedNode()
	const began = 1000
	for name, c := range map[string]struct {
		change func(h *handover)
		now    sardine.Millis
		want   bool
	}{
		"no progress":              {func(*handover) {}, began + evacuationPause, true},
		"it has just begun":        {func(*handover) {}, began + evacuationPause - 1, false},
		"an event has just come":   {func(h *handover) { h.lastAt = began + 100 }, began + evacuationPause, false},
		"the last event is old":    {func(h *handover) { h.lastAt = began + 100 }, began + evacuationPause + 100, true},
		"it has ended":             {func(h *handover) { h.ended = true }, began + evacuationPause, false},
		"part of an answer":        {func(h *handover) { h.settled = true }, began + evacuationPause, false},
		"another target took over": {func(h *handover) { h.next = &successor{} }, began + evacuationPause, false},
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		h := &handover{run: newRoutedRun(n, sardine.RouteSafe), cancel: cancel, beganAt: began}
		c.change(h)
		h.evacuate(c.now)
		require.Equal(t, c.want, errors.Is(context.Cause(ctx), errLinksLost), name)
		cancel(nil)
	}
	for n.retries.take(n.clock.Now(), "s") {
		continue
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	(&handover{run: newRoutedRun(n, sardine.RouteSafe), cancel: cancel, beganAt: began}).evacuate(began + evacuationPause)
	require.NoError(t, ctx.Err(), "the retry limit is used up")
}

// TestPassedAttemptsAreThoseLeft guards against a node that makes more attempts than the
// one that passes the request has left, or has more time.
func TestPassedAttemptsAreThoseLeft(t *testing.T) {
	for _, c := range []struct{ most, granted, left int }{{2, 2, 2}, {2, 1, 1}, {3, 2, 2}, {2, 9, 2}, {0, 1, 1}} {
		q := newRoutedRun(routedNode(), sardine.RouteSafe)
		q.route.MaxAttempts = c.most
		q.passed = &passedRequest{left: 700, granted: c.granted, lastEvent: "4"}
		q.applyPass()
		require.Equal(t, c.left, max(q.route.MaxAttempts, 1)-q.attempts, "%+v", c)
		require.Equal(t, q.node.clock.Now()+700, q.deadline)
		require.True(t, q.isResumed())
		require.Equal(t, "4", q.call.LastEvent)
	}
}

// TestOnlyUnsentPassedRequestsGoElsewhere guards against requests that run at a third
// node although the second one may have run them.
func TestOnlyUnsentPassedRequestsGoElsewhere(t *testing.T) {
	for _, c := range []struct {
		code     codes.Code
		links    uplink.State
		ran      sardine.Ran
		attempts int
		want     bool
	}{
		{codes.Draining, uplink.Connected, sardine.RanNo, 0, true},
		{codes.Isolated, uplink.Isolated, sardine.RanNo, 0, true},
		{codes.NoLease, uplink.Connected, sardine.RanNo, 0, true},
		{codes.NoTarget, uplink.Connected, sardine.RanNo, 0, false},
		{codes.NoTarget, uplink.Suspected, sardine.RanNo, 0, true},
		{codes.NoTarget, uplink.Suspected, sardine.RanNo, 1, false},
		{codes.Isolated, uplink.Isolated, sardine.RanUnknown, 1, false},
		{codes.KeyRefused, uplink.Connected, sardine.RanNo, 0, false},
		{codes.QueueFull, uplink.Connected, sardine.RanNo, 0, false},
		{codes.TargetFailed, uplink.Suspected, sardine.RanUnknown, 1, false},
	} {
		n := routedNode()
		n.links = newIsolation(n)
		n.links.state.Store(int32(c.links))
		q := newRoutedRun(n, sardine.RouteSafe)
		q.passed, q.ran, q.attempts = &passedRequest{}, c.ran, c.attempts
		h := http.Header{}
		q.markRefusal(h, codes.New(c.code, "x"), 0)
		require.Equal(t, c.want, passPort{}.Reply(0, h).Ran == sardine.RanNo, "%+v", c)
		stated := takePassedAnswer(h)
		require.Equal(t, passedAnswer{used: c.attempts, ran: c.ran, code: c.code, elsewhere: c.want}, stated)
		require.Empty(t, h)
	}
}

// Guards against codes that a passing node of an earlier release takes for an internal
// error, which it would answer with 500.
func TestRefusalsOfPassedRequestsHaveCodesOfAllReleases(t *testing.T) {
	const newestKnown = codes.Isolated // of the capacity codes, in the first release that passes requests
	for _, row := range codes.Table() {
		if row.Status != http.StatusServiceUnavailable || row.Code < codes.LimitReached || row.Code >= codes.NoTarget {
			continue
		}
		h := http.Header{}
		passedAnswer{code: row.Code}.write(h)
		stated := takePassedAnswer(h).code
		require.LessOrEqual(t, stated, newestKnown, row.Name)
		require.Equal(t, http.StatusServiceUnavailable, stated.Status(), row.Name)
	}
}

// TestPassedAnswerWithoutAnEndIsCut guards against a part of an answer that another entry
// node passes on and whose end can't be recognized.
func TestPassedAnswerWithoutAnEndIsCut(t *testing.T) {
	q := &routedRun{}
	require.NoError(t, q.checkEnd(true))
	require.Equal(t, codes.StreamBroken, codes.Of(q.checkEnd(false)))
}
