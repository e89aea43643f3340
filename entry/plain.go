package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"goji.io/pattern"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/claim"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/guard"
	"sardineswitch.dev/sardine/proxy"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/serve"
	"sardineswitch.dev/sardine/state"
)

// maxBufferedPlainBytes bounds an answer of a plain service that is buffered
// completely, so that the request can still be retried. A longer answer is
// forwarded as it arrives.
const maxBufferedPlainBytes = 256 << 10

// maxStoredBytes bounds an answer that the control nodes store for callers that
// send the request again.
const maxStoredBytes = 16 << 10

// readPlain reads a request to a plain service.
func readPlain(callers sardine.CallerPort, r *http.Request, readBody bodyFunc) (*request, error) {
	q, err := readCommon(callers, r, readBody)
	if err != nil {
		return nil, err
	}
	q.service = sardine.ServiceName(r.Context().Value(pattern.Variable("service")).(string))
	q.path = pattern.Path(r.Context())
	if q.path == "" {
		q.path = "/"
	}
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	q.setFingerprint()
	return q, nil
}

// plainAnswer is a plain service's answer, buffered completely if it is short.
type plainAnswer struct {
	answer   *proxy.Answer
	response *http.Response
	head     []byte // bytes read so far
	whole    bool   // head is the complete body
	ended    bool   // the body was read to its end
}

// handlePlain serves requests to plain services.
func (n *Node) handlePlain(w http.ResponseWriter, r *http.Request) {
	b, admitted := n.begin(w, r, readPlain)
	if !admitted {
		return
	}
	defer b.end()
	run := &plainRun{node: n, request: b.request, service: b.service, sink: b.sink, ran: sardine.RanNo}
	run.losses = &losses{node: n, request: b.request.id, poison: guard.FingerprintOf(b.request.body, string(b.request.workspace), string(b.request.service), b.request.method, b.request.path)}
	run.repeatable = repeatable(n.view().deployments[b.service], b.request.method)
	timer := n.startDeadline(b.request, b.cancel)
	defer timer.Stop()
	outcome := admit.Abandoned
	defer func() { n.releaseTicket(b.ticket, run.took, outcome) }()
	err := run.serve(b.ctx)
	outcome = outcomeOf(b.ctx, err)
	if err != nil {
		run.fail(err)
		return
	}
	n.endTrace(b.request.trace, nil, sardine.RanYes, 0)
}

// repeatable reports whether requests with the method may run twice. Reads
// always may; other methods only if the deployment says so.
func repeatable(d sardine.Deployment, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return slices.Contains(d.Idempotent, method)
	}
}

// plainRun is one caller's request to a plain service, across all its
// dispatches.
type plainRun struct {
	node       *Node
	request    *request
	service    serviceKey
	sink       *sink
	repeatable bool
	ran        sardine.Ran // over all dispatches
	tried      []route.Ref
	attempts   int
	losses     *losses
	target     dispatched     // of the last dispatch
	took       sardine.Millis // duration of the last dispatch up to the answer
}

// serve answers the caller. Only requests that may not run twice and have an
// idempotency key are claimed.
func (p *plainRun) serve(ctx context.Context) error {
	if p.request.key != "" && !p.repeatable {
		return p.serveClaimed(ctx)
	}
	return p.serveOnce(ctx)
}

// serveOnce fetches an answer and forwards it.
func (p *plainRun) serveOnce(ctx context.Context) error {
	answer, end, err := p.fetch(ctx)
	if err != nil {
		return err
	}
	defer end()
	return p.forward(answer)
}

// serveClaimed runs the request under its idempotency key: it runs at most once
// over all entry nodes, and a caller that sends it again gets the first answer.
// The dispatch continues when its caller disconnects, so that the answer is
// there when the caller sends the request again.
func (p *plainRun) serveClaimed(ctx context.Context) error {
	detached := *p // the dispatch may outlive the caller's run
	started := p.node.clock.Now()
	v := p.node.claims.do(ctx, p.request, func() claim.Outcome {
		ctx, cancel := p.node.callerContext(p.node.baseCtx)
		defer cancel(nil)
		return detached.fetchStored(ctx)
	})
	p.took = max(p.node.clock.Now()-started, 1)
	p.ran = v.ran
	if v.code != codes.OK {
		return codes.New(v.code, "%s", v.code.Row().Meaning)
	}
	return p.forwardStored(v.answer)
}

// fetchStored fetches an answer and converts it to the form that is stored.
func (p *plainRun) fetchStored(ctx context.Context) claim.Outcome {
	answer, end, err := p.fetch(ctx)
	if err != nil {
		return claim.Outcome{Ran: p.ran, Code: codes.Of(err)}
	}
	defer end()
	return claim.Outcome{Ran: sardine.RanYes, Code: codes.OK, Answer: storedAnswer(answer)}
}

// storedAnswer returns what the control nodes store. An answer that is too long
// to store is replaced by a problem document that says so.
func storedAnswer(a *plainAnswer) state.Answer {
	if !a.whole || len(a.head) > maxStoredBytes {
		problem := reply.NewProblem(codes.New(codes.OutcomeUnknown, "the request ran, but its answer was too long to store"), reply.WithRan(sardine.RanYes))
		return state.Answer{Status: problem.Code().Status(), ContentType: reply.ProblemType, Body: problem.JSON()}
	}
	return state.Answer{Status: a.response.StatusCode, ContentType: a.response.Header.Get("Content-Type"), Body: a.head}
}

func (p *plainRun) forwardStored(a state.Answer) error {
	header := http.Header{"Content-Length": {strconv.Itoa(len(a.Body))}}
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	return p.sink.whole(a.Status, header, a.Body)
}

// fetch dispatches until a target has answered or no further attempt is
// allowed. The caller of fetch calls end when it has consumed the answer.
func (p *plainRun) fetch(ctx context.Context) (*plainAnswer, func(), error) {
	if err := p.losses.allow(); err != nil {
		return nil, nil, err
	}
	answer, end, err := p.tryAll(ctx)
	if err != nil {
		p.losses.failed()
	} else if answer.whole {
		p.losses.survived()
	}
	return answer, end, err
}

func (p *plainRun) tryAll(ctx context.Context) (*plainAnswer, func(), error) {
	for {
		choice, err := p.node.inTurn(ctx, p.request.turn(p.service, p.node.clock.Now(), false), p.pick)
		if err != nil {
			return nil, nil, err
		}
		answer, end, err := p.attempt(ctx, choice)
		if err == nil {
			p.node.gate.succeeded(p.request.workspace)
			return answer, end, nil
		}
		if ctx.Err() != nil {
			return nil, nil, context.Cause(ctx)
		}
		p.tried = append(p.tried, choice.Candidate.Ref)
		d := p.node.gate.mayRetry(p.request.workspace, p.ran, p.repeatable, p.attempts)
		if !d.Retry || p.losses.allow() != nil {
			return nil, nil, p.final(err)
		}
		if err := p.node.sleep(ctx, d.After); err != nil {
			return nil, nil, err
		}
	}
}

// final marks an error after which it is unknown whether the request ran.
func (p *plainRun) final(err error) error {
	if p.ran == sardine.RanUnknown && !p.repeatable {
		return codes.Wrap(codes.OutcomeUnknown, err, "the target may have run the request")
	}
	return err
}

func (p *plainRun) pick(yielded []route.Ref) (*route.Choice, error) {
	if err := p.node.mayServeUnder(p.request.cutPolicy); err != nil {
		return nil, err
	}
	q := route.Request{
		Service:   p.service.routeName(),
		Workspace: p.request.workspace,
		Priority:  p.request.priority,
		Exclude:   slices.Concat(p.tried, yielded),
	}
	if p.request.deadline > 0 {
		q.Deadline = p.request.arrived + p.request.deadline
	}
	choice, err := p.node.gate.pick(q)
	if err != nil {
		return nil, err
	}
	if err := p.node.stillCurrent(choice); err != nil {
		p.tried = append(p.tried, choice.Candidate.Ref)
		return p.pick(yielded)
	}
	p.attempts++
	p.request.trace.AddDispatch(p.node.clock.Now(), choice.Candidate.Ref)
	return choice, nil
}

// attempt runs one dispatch up to the answer's head, or to its end if it is
// short.
func (p *plainRun) attempt(ctx context.Context, choice *route.Choice) (*plainAnswer, func(), error) {
	ctx, cancel, endFlight := p.node.inFlight.begin(ctx, choice.Candidate)
	p.target = dispatched{candidate: choice.Candidate, processes: p.node.view().processes(choice.Candidate)}
	watch := newWatchdog(cancel, p.node.timing.PlainAnswer, p.node.timing.PlainAnswer)
	started := p.node.clock.Now()
	end := func(ok bool) {
		watch.stop()
		p.node.gate.finish(choice, route.DispatchResult{OK: ok, Canceled: !ok && ctx.Err() != nil && context.Cause(ctx) != errStalled})
		endFlight()
	}
	answer, err := p.open(ctx, choice)
	if err != nil {
		err = causeOr(ctx, err)
		end(false)
		return nil, nil, err
	}
	p.took = max(p.node.clock.Now()-started, 1)
	p.node.gate.firstToken(choice, route.CachedUnknown)
	p.request.trace.SetFirstToken(p.node.clock.Now())
	return answer, func() {
		answer.answer.Close(answer.ended)
		end(true)
	}, nil
}

func (p *plainRun) open(ctx context.Context, choice *route.Choice) (*plainAnswer, error) {
	x := p.request.exchange(choice.Candidate)
	x.Observer = p.node.observer(choice)
	answer, failed := p.node.proxy.Open(ctx, x)
	p.node.links.opened(ctx, choice.Candidate, failed)
	if failed != nil {
		p.ran = combine(p.ran, failed.Ran())
		if failed.Ran() != sardine.RanNo {
			p.losses.recordLoss(ctx, p.target, 0, failed)
		}
		return nil, failed
	}
	p.ran = sardine.RanYes
	p.node.recordLoad(choice.Candidate.Ref, answer.Reply)
	buffered, err := buffer(answer)
	if err == nil && buffered.whole {
		err = p.node.checkEnd(serve.Delimited(answer.Response), choice.Candidate)
	}
	if err != nil {
		p.losses.recordLoss(ctx, p.target, 0, err)
		answer.Close(false)
		return nil, err
	}
	return buffered, nil
}

// buffer reads an answer to its end if it is short enough.
func buffer(answer *proxy.Answer) (*plainAnswer, error) {
	resp := answer.Response
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedPlainBytes+1))
	if err != nil {
		return nil, codes.New(codes.StreamBroken, "answer broke off after %d bytes: %v", len(head), err)
	}
	whole := len(head) <= maxBufferedPlainBytes
	return &plainAnswer{answer: answer, response: resp, head: head, whole: whole, ended: whole}, nil
}

// forward writes the answer to the caller. If a long answer breaks off, it
// aborts the caller's connection so that the caller can't take it for a
// complete one.
func (p *plainRun) forward(a *plainAnswer) error {
	header := serve.ForwardedHeader(a.response.Header)
	if a.whole && p.request.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	if err := p.sink.whole(a.response.StatusCode, header, a.head); err != nil || a.whole {
		return err
	}
	_, err := io.Copy(deadlineWriter{p.sink}, a.response.Body)
	if err == nil {
		err = p.node.checkEnd(serve.Delimited(a.response), p.target.candidate)
	}
	a.ended = err == nil
	if err == nil {
		p.sink.extend() // the last bytes may still be in the writer's buffer
		p.losses.survived()
	} else {
		err = codes.Wrap(codes.StreamBroken, err, "answer broke off")
		p.losses.recordLoss(context.Background(), p.target, 0, err)
		p.losses.failed()
		event.Log(p.node.log, event.RequestFailed, requestAttr(p.request.id), codeAttr(err), ranAttr(sardine.RanYes))
		p.node.endTrace(p.request.trace, err, sardine.RanYes, 0)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// deadlineWriter renews the write timeout before each write.
type deadlineWriter struct {
	sink *sink
}

func (e deadlineWriter) Write(b []byte) (int, error) {
	e.sink.extend()
	return e.sink.writer.Write(b)
}

// fail sends the final error to the caller.
func (p *plainRun) fail(err error) {
	p.node.endTrace(p.request.trace, err, p.ran, 0)
	if p.sink.started { // the caller has disconnected
		return
	}
	id := event.RequestFailed
	if codes.Is(err, codes.PoisonRequest) {
		id = event.RequestPoison
	}
	event.Log(p.node.log, id, requestAttr(p.request.id), codeAttr(err), ranAttr(p.ran), poisonAttr(p.losses.poison))
	p.node.meter.failed(err)
	p.sink.fail(refusalTo(err, p.request.id, p.ran))
}
