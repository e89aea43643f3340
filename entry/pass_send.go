package entry

import (
	"context"
	"log/slog"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/detour"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/pool"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/uplink"
)

// passSlack is how much longer than the deadline the answer of another entry node is
// awaited: that node states at the deadline whether the request has run.
const passSlack = 100 * sardine.Millis(1)

// errNoLinks refuses a request that can't be sent to any target.
var errNoLinks = codes.New(codes.Isolated, "this entry node has lost its links to the targets, and no other one takes the request over")

// errNoPeer means that the requests in flight at other entry nodes are too many.
var errNoPeer = codes.New(codes.NoTarget, "no other entry node takes the request over")

// errLinksLost makes a request leave its target, because the node has lost its links to
// all targets.
var errLinksLost = codes.New(codes.TargetFailed, "this entry node has lost its links to the targets")

// nextRoute decides where the request is sent next. err is the error of its last attempt,
// nil before the first.
func (q *routedRun) nextRoute(ctx context.Context, err error) detour.Route {
	n := q.node
	if n.peers == nil {
		return detour.Serve
	}
	d := detour.Request{
		Links: n.links.current(), Passed: q.passed != nil, Unsent: codes.Is(err, codes.NoTarget), Passes: len(q.peersTried), Peer: true,
	}
	if detour.Decide(d) == detour.Pass {
		d.Peer = n.peers.await(ctx, q.peersTried)
		d.Links = n.links.current() // it may have changed meanwhile
	}
	return detour.Decide(d)
}

// mayPass reports whether an isolated node with a sound peer would pass the request.
func (q *routedRun) mayPass() bool {
	return detour.Decide(detour.Request{Links: uplink.Isolated, Passed: q.passed != nil, Passes: len(q.peersTried), Peer: true}) == detour.Pass
}

// pass passes the request to another entry node and forwards its answer. All attempts
// that are left are granted to that node. If its answer breaks off they count as used,
// because it can't be known how many were.
func (q *routedRun) pass(ctx context.Context) error {
	n := q.node
	peer, found := n.peers.begin(q.peersTried)
	if !found {
		q.peersTried = append(q.peersTried, "")
		return errNoPeer
	}
	defer n.peers.end(peer)
	q.peersTried = append(q.peersTried, peer.Node)
	q.handover, q.healthRecord, q.attemptEvents, q.counted = nil, nil, 0, true
	q.times.pickedAt, q.times.choice, q.rank = n.clock.Now(), nil, noRank
	granted := max(q.route.MaxAttempts, 1) - q.attempts
	answer, failed := n.passes.Open(ctx, q.passExchange(peer, granted))
	if failed != nil {
		q.passFailed(peer, failed)
		q.isCounted = true // the other node may have done so
		if failed.Ran() == sardine.RanNo {
			n.peers.record(peer, false)
			return codes.Wrap(codes.NoTarget, failed, "entry node "+string(peer.Node)+" did not take the request over")
		}
		q.attempts += granted
		q.ran = combine(q.ran, failed.Ran())
		return q.causeOf(ctx, failed)
	}
	stated := takePassedAnswer(answer.Response.Header)
	if stated.code != codes.OK {
		answer.Close(true)
		return q.refusedBy(peer, stated)
	}
	q.attempts += granted
	q.ran = sardine.RanYes
	q.times.sentAt, q.times.headAt = answer.SentAt, n.clock.Now()
	whole, err := q.forward(&openAnswer{Answer: answer})
	answer.Close(whole)
	if err == nil {
		q.attempts += stated.used - granted
		n.meter.passed(nil)
		return nil
	}
	err = q.causeOf(ctx, err)
	q.passFailed(peer, err)
	return err
}

// refusedBy records the refusal of a node that had taken the request over, and returns
// it as the error for the caller.
func (q *routedRun) refusedBy(peer detour.Peer, stated passedAnswer) error {
	q.attempts += stated.used
	q.ran = combine(q.ran, stated.ran)
	q.refusedByPeer = true
	err := codes.New(stated.code, "entry node %s, to which the request was passed, refused it", peer.Node)
	q.passFailed(peer, err)
	return &refusal{cause: err, retryAfter: stated.retry}
}

func (q *routedRun) passFailed(peer detour.Peer, err error) {
	q.node.meter.passed(err)
	event.Log(q.node.log, event.PassFailed, requestAttr(q.call.ID), slog.String("peer", string(peer.Node)), slog.String("route", q.route.Name),
		codeAttr(err), ranAttr(q.ran), slog.String("waited_ms", strconv.Itoa(int(q.node.clock.Now()-q.arrived))))
}

// passExchange returns the request as it is passed to another node.
func (q *routedRun) passExchange(peer detour.Peer, granted int) proxy.Exchange {
	now := q.node.clock.Now()
	h := proxy.EndToEndHeader(q.request.Header) // its Connection may name the headers of a pass
	removePassHeaders(h)
	h.Set(headerPassTarget, q.request.Path)
	h.Set(headerPassHost, q.request.Host)
	passedRequest{
		left: q.deadline - now, age: now - q.arrived, granted: granted, counted: q.isCounted,
		layout: q.node.view().layoutNumber(), lastEvent: q.events.Last(),
	}.write(h)
	return proxy.Exchange{
		Address:  peer.Address,
		Request:  pool.Request{Method: q.request.Method, Path: passPath, Host: peer.Address, Header: h, Body: q.request.Body},
		Dispatch: sardine.Dispatch{Request: q.call.ID},
		Deadline: q.deadline + passSlack,
	}
}

// passOptions returns the options of the pool of connections to other entry nodes.
func (n *Node) passOptions() []pool.Option {
	dial := n.keys.Dial()
	if n.dial != nil && !n.keys.Enabled() {
		dial = n.dial
	}
	return []pool.Option{pool.WithDial(dial)}
}
