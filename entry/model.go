package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
)

// maxAnswerBytes bounds an answer that is buffered completely before it is
// forwarded.
const maxAnswerBytes = 4 << 20

// heldAnswerBytes bounds all such answers of a node together, as far as they are long.
const heldAnswerBytes = 32 << 20

const (
	// maxResumes bounds how often one stream is resumed at the group that runs
	// it.
	maxResumes = 16
	// resumeDelay is the wait before a stream is resumed.
	resumeDelay = 10 * sardine.Millis(1)
)

// modelRun is one request to a model, across all its dispatches.
type modelRun struct {
	node            *Node
	request         *request
	losses          losses
	service         serviceKey
	ticket          admit.Ticket
	sink            *sink
	ran             sardine.Ran // over all dispatches
	tokens          int         // forwarded to the caller
	last            route.Candidate
	excluded        []route.Ref // excluded for the rest of the request
	tried           []route.Ref // excluded unless no other candidate is left
	attempts        int
	resumes         int
	tokensAtResume  int            // value of tokens at the last resume
	lastErr         error          // error of the last dispatch
	firstTokenAfter sardine.Millis // time from the last dispatch to its first token, 0 before it
	deadline        *time.Timer    // cancels the request unless the first token arrives in time
}

// handleModel serves chat and completion requests.
func (n *Node) handleModel(w http.ResponseWriter, r *http.Request) {
	b, admitted := n.begin(w, r, readModel)
	if !admitted {
		return
	}
	defer b.end()
	run := &modelRun{node: n, request: b.request, service: b.service, ticket: b.ticket, sink: b.sink, ran: sardine.RanNo}
	segments := prefixSegments(b.service.routeName(), b.request.prefixes)
	run.losses = losses{node: n, request: b.request.id, service: b.service.routeName(), segments: segments, poison: b.request.poison}
	n.strikes.arrived(b.service, segments)
	run.deadline = n.startDeadline(b.request, b.cancel)
	defer run.deadline.Stop()
	outcome := admit.Abandoned
	defer func() { n.releaseTicket(b.ticket, run.firstTokenAfter, outcome) }()
	err := run.serve(b.ctx)
	outcome = outcomeOf(b.ctx, err)
	if err != nil {
		run.fail(err)
		return
	}
	n.endTrace(b.request.trace, nil, sardine.RanYes, run.tokens)
}

func outcomeOf(ctx context.Context, err error) admit.Outcome {
	switch {
	case err == nil:
		return admit.Answered
	case ctx.Err() != nil:
		return admit.Abandoned
	case codes.Is(err, codes.NoTarget), codes.Is(err, codes.TargetFull), codes.Is(err, codes.TargetLimited):
		return admit.Overloaded
	default:
		return admit.Failed
	}
}

// serve dispatches until the caller has the complete answer or no further
// dispatch is allowed.
func (m *modelRun) serve(ctx context.Context) error {
	for {
		if _, err := m.losses.awaitSegments(ctx, m.node.clock.Now()+modelSegmentHold); err != nil {
			return m.preferEarlier(err)
		}
		id, allowed, err := m.node.guards.offer(ctx, m.request)
		if err != nil {
			return m.preferEarlier(err)
		}
		choice, err := m.pickInTurn(ctx, allowed)
		if err != nil {
			m.node.guards.ended(id, route.Candidate{}, guard.OutcomeUnknown)
			return m.preferEarlier(err)
		}
		m.node.guards.placed(id, choice.Candidate.Group)
		before := m.tokens
		err = m.attempt(ctx, choice)
		outcome := m.node.groupOutcome(ctx, choice.Candidate, err)
		if outcome == guard.OutcomeCrashed {
			m.node.strikes.recordSuspects(m.losses.lossOf(choice.Candidate, m.tokens-before))
		}
		known := m.node.guards.ended(id, choice.Candidate, outcome)
		if err == nil {
			m.losses.began()
			m.node.gate.succeeded(m.request.workspace)
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		m.lastErr = err
		if !known {
			return err
		}
		if err := m.mayContinue(ctx, choice, outcome, err); err != nil {
			return err
		}
	}
}

// preferEarlier returns the error of an earlier dispatch if there was one,
// because it says more to the caller than that no other target is left.
func (m *modelRun) preferEarlier(err error) error {
	if m.lastErr != nil && !codes.Is(err, codes.PoisonRequest) {
		return m.lastErr
	}
	return err
}

// pickInTurn is pick for a request that may wait for its turn.
func (m *modelRun) pickInTurn(ctx context.Context, p permit) (*route.Choice, error) {
	return m.node.inTurn(ctx, m.request.turn(m.service, m.node.clock.Now(), m.tokens > 0), func(yielded []route.Ref) (*route.Choice, error) { return m.pick(p, yielded) })
}

// pick chooses the next target. A stream that was partly forwarded can continue
// only where the output is the same: at the same epoch of its group or, if the
// request is deterministic, at any group with the same model version.
func (m *modelRun) pick(p permit, yielded []route.Ref) (*route.Choice, error) {
	if err := m.node.mayServeUnder(m.request.cutPolicy); err != nil {
		return nil, err
	}
	q := route.Request{
		Service:      m.service.routeName(),
		Workspace:    m.request.workspace,
		Priority:     m.request.priority,
		PrefixHashes: m.request.prefixes,
		Conversation: m.request.conversation,
		FollowUp:     m.request.continued,
		PromptTokens: m.request.tokens,
		Exclude:      slices.Concat(m.excluded, m.tried, yielded),
		Avoid:        p.avoid,
		Prefer:       p.prefer,
	}
	if m.request.deadline > 0 && m.tokens == 0 {
		q.Deadline = m.request.arrived + m.request.deadline
	}
	if m.tokens > 0 {
		q.Model = m.last.Model
		q.Version = m.last.Version
		q.Prefer = m.last.Group
	}
	choice, err := m.node.gate.pick(q)
	if codes.Is(err, codes.NoTarget) && len(m.tried) > 0 {
		m.tried = nil
		return m.pick(p, yielded)
	}
	if err != nil {
		return nil, err
	}
	if m.tokens > 0 && !m.request.deterministic && choice.Candidate.Ref != m.last.Ref {
		m.node.gate.finish(choice, route.DispatchResult{Canceled: true})
		if wait := m.node.gate.turnAt(m.last); wait > 0 || slices.Contains(yielded, m.last.Ref) {
			return nil, errLimited(wait)
		}
		return nil, codes.New(codes.StreamBroken, "the answer broke off and its group can't resume it")
	}
	if err := m.node.stillCurrent(choice); err != nil {
		m.excluded = append(m.excluded, choice.Candidate.Ref)
		return m.pick(p, yielded)
	}
	m.last = choice.Candidate
	m.attempts++
	m.request.trace.AddDispatch(m.node.clock.Now(), choice.Candidate.Ref)
	return choice, nil
}

// mayContinue decides whether another dispatch may follow the failed one, and
// waits until it may. If not, it returns the final error. After part of the
// answer was forwarded, a group that is still listening is not excluded,
// because any other group would have to run the request from the start.
func (m *modelRun) mayContinue(ctx context.Context, c *route.Choice, outcome guard.Outcome, err error) error {
	resumable := m.tokens > 0 && outcome != guard.OutcomeCrashed && !m.node.view().lost(c.Candidate)
	if m.tokens > 0 && !m.request.deterministic && !resumable {
		return err
	}
	switch {
	case outcome == guard.OutcomeCrashed:
		m.excluded = append(m.excluded, c.Candidate.Ref)
	case !resumable:
		m.tried = append(m.tried, c.Candidate.Ref)
	}
	if resumable && m.tokens > m.tokensAtResume && m.resumes < maxResumes {
		return m.resume(ctx)
	}
	d := m.node.gate.mayRetry(m.request.workspace, m.ran, true, m.attempts)
	if !d.Retry {
		return err
	}
	if m.tokens > 0 {
		event.Log(m.node.log, event.StreamResumed, requestAttr(m.request.id), tokensAttr(m.tokens))
	}
	return m.node.sleep(ctx, d.After)
}

// resume lets the group that runs the request continue where its stream broke.
// This repeats no work, so it does not use the retry budget as long as each
// resume yields new tokens. If it did, six broken connections in a row would
// fail all streams of the workspace although its group is healthy.
func (m *modelRun) resume(ctx context.Context) error {
	m.tokensAtResume = m.tokens
	m.resumes++
	event.Log(m.node.log, event.StreamResumed, requestAttr(m.request.id), tokensAttr(m.tokens))
	return m.node.sleep(ctx, resumeDelay)
}

// attempt runs one dispatch. A nil error means that the caller has the complete
// answer.
func (m *modelRun) attempt(ctx context.Context, choice *route.Choice) (err error) {
	ctx, cancel, end := m.node.inFlight.begin(ctx, choice.Candidate)
	defer end()
	watch := newWatchdog(cancel, m.node.timing.FirstToken, m.node.timing.BetweenTokens)
	defer watch.stop()
	before := m.tokens
	defer func() {
		m.node.gate.finish(choice, route.DispatchResult{Tokens: m.tokens - before, OK: err == nil, Canceled: m.callerGone(ctx, err)})
	}()
	started := m.node.clock.Now()
	answer, failed := m.node.proxy.Open(ctx, m.exchange(choice))
	m.node.links.opened(ctx, choice.Candidate, failed)
	if failed != nil {
		m.ran = combine(m.ran, failed.Ran())
		return causeOr(ctx, failed)
	}
	defer func() { answer.Close(err == nil) }()
	m.ran = sardine.RanYes
	m.node.recordLoad(choice.Candidate.Ref, answer.Reply)
	resp := answer.Response
	if resp.StatusCode != http.StatusOK {
		return m.forwardStatus(resp)
	}
	if isEventStream(resp) {
		return causeOr(ctx, m.forwardStream(resp, choice, watch, started))
	}
	return causeOr(ctx, m.forwardWhole(resp, choice, started))
}

// callerGone reports whether an attempt ended because its caller disconnected,
// which says nothing about the target.
func (m *modelRun) callerGone(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)
	return err != nil && cause != nil && !errors.Is(cause, errGroupLost) && !errors.Is(cause, errStalled)
}

func (m *modelRun) exchange(c *route.Choice) proxy.Exchange {
	x := m.request.exchange(c.Candidate)
	x.Dispatch.Rank = m.request.priority.Rank()
	x.Dispatch.LastEvent = serve.LastEvent(m.tokens)
	x.Observer = m.node.observer(c)
	return x
}

// fail sends the final error to the caller.
func (m *modelRun) fail(err error) {
	ran := m.ran
	if m.tokens > 0 {
		ran = sardine.RanYes
	}
	id := event.RequestFailed
	if codes.Is(err, codes.PoisonRequest) {
		id = event.RequestPoison
	}
	event.Log(m.node.log, id, requestAttr(m.request.id), codeAttr(err), ranAttr(ran), poisonAttr(m.request.poison))
	m.node.meter.failed(err)
	m.node.endTrace(m.request.trace, err, ran, m.tokens)
	m.sink.fail(refusalTo(err, m.request.id, ran))
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// combine returns the worst case of two dispatches: RanYes before RanUnknown
// before RanNo.
func combine(a, b sardine.Ran) sardine.Ran {
	if a == sardine.RanYes || b == sardine.RanYes {
		return sardine.RanYes
	}
	if a == sardine.RanUnknown || b == sardine.RanUnknown {
		return sardine.RanUnknown
	}
	return sardine.RanNo
}

// causeOr returns the cause of ctx's cancellation, or err if ctx was not
// canceled.
func causeOr(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, io.EOF) {
		return cause
	}
	return err
}
