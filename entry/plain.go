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

// maxHeldBytes bounds an answer of a plain service that is held whole, so that
// its request can still be repeated. A longer one is passed on as it comes.
const maxHeldBytes = 256 << 10

// maxKeptBytes bounds an answer that the control nodes keep for a resend.
const maxKeptBytes = 16 << 10

// readPlain reads a request to a plain service.
func readPlain(callers sardine.CallerPort, r *http.Request, limit int64) (*request, error) {
	q, err := readCommon(callers, r, limit)
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

// plainAnswer is a plain service's answer, held whole when it is short.
type plainAnswer struct {
	answer   *proxy.Answer
	response *http.Response
	head     []byte // the bytes read so far
	whole    bool   // head is the whole body
	ended    bool   // the body was read to its end
}

// handlePlain answers requests to plain services.
func (n *Node) handlePlain(w http.ResponseWriter, r *http.Request) {
	b, admitted := n.begin(w, r, readPlain)
	if !admitted {
		return
	}
	defer b.cancel(nil)
	run := &plainRun{node: n, request: b.request, service: b.service, sink: b.sink, ran: sardine.RanNo}
	run.losses = losses{node: n, poison: guard.Of(b.request.body, string(b.request.workspace), string(b.request.service), b.request.method, b.request.path)}
	run.repeatable = repeatable(n.view().deployments[b.service], b.request.method)
	timer := n.startDeadline(b.request, b.cancel)
	defer timer.Stop()
	outcome := admit.Abandoned
	defer func() { n.leave(b.ticket, run.took, outcome) }()
	err := run.serve(b.ctx)
	outcome = outcomeOf(b.ctx, err)
	if err != nil {
		run.fail(err)
		return
	}
	n.endTrace(b.request.trace, nil, sardine.RanYes, 0)
}

// repeatable reports whether the method's calls may be sent twice. Reads always
// may; others only if the deployment says so.
func repeatable(d sardine.Deployment, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return slices.Contains(d.Idempotent, method)
	}
}

// plainRun is one caller's request to a plain service, over all its dispatches.
type plainRun struct {
	node       *Node
	request    *request
	service    serviceKey
	sink       *sink
	repeatable bool
	ran        sardine.Ran // over all dispatches
	tried      []route.Ref
	attempts   int
	losses     losses
	target     dispatched     // of the last dispatch
	took       sardine.Millis // of the last dispatch
}

// serve answers the caller. Only what may not run twice and has a key is claimed.
func (p *plainRun) serve(ctx context.Context) error {
	if p.request.key != "" && !p.repeatable {
		return p.serveClaimed(ctx)
	}
	return p.serveOnce(ctx)
}

// serveOnce gets an answer and passes it on.
func (p *plainRun) serveOnce(ctx context.Context) error {
	answer, end, err := p.fetch(ctx)
	if err != nil {
		return err
	}
	defer end()
	return p.pass(answer)
}

// serveClaimed runs the request under its idempotency key: it runs at most once
// over all entry nodes, and a resend gets the first answer. The dispatch goes on
// when its caller leaves, so that the resend finds the answer.
func (p *plainRun) serveClaimed(ctx context.Context) error {
	detached := *p // the caller's run and the dispatch may go on apart
	started := p.node.clock.Now()
	v := p.node.claims.do(ctx, p.request, func() claim.Outcome {
		ctx, cancel := p.node.callerContext(p.node.life)
		defer cancel(nil)
		return detached.fetchKept(ctx)
	})
	p.took = max(p.node.clock.Now()-started, 1)
	p.ran = v.ran
	if v.code != codes.OK {
		return codes.New(v.code, "%s", v.code.Row().Meaning)
	}
	return p.passKept(v.answer)
}

// fetchKept gets an answer and brings it into the form that is kept.
func (p *plainRun) fetchKept(ctx context.Context) claim.Outcome {
	answer, end, err := p.fetch(ctx)
	if err != nil {
		return claim.Outcome{Ran: p.ran, Code: codes.Of(err)}
	}
	defer end()
	return claim.Outcome{Ran: sardine.RanYes, Code: codes.OK, Answer: keptAnswer(answer)}
}

// keptAnswer is what the control nodes keep. An answer too long to keep is
// replaced by a problem that says so.
func keptAnswer(a *plainAnswer) state.Answer {
	if !a.whole || len(a.head) > maxKeptBytes {
		gone := reply.NewProblem(codes.New(codes.OutcomeUnknown, "the request ran, its answer was too long to be kept"), reply.WithRan(sardine.RanYes))
		return state.Answer{Status: gone.Code().Status(), ContentType: reply.ProblemType, Body: gone.JSON()}
	}
	return state.Answer{Status: a.response.StatusCode, ContentType: a.response.Header.Get("Content-Type"), Body: a.head}
}

func (p *plainRun) passKept(a state.Answer) error {
	header := http.Header{"Content-Length": {strconv.Itoa(len(a.Body))}}
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	return p.sink.whole(a.Status, header, a.Body)
}

// fetch dispatches until a target has answered or nothing more may be tried. The
// caller calls end once it is done with the answer.
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
		choice, err := p.pick()
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

// final names a failure after which the outcome is not known.
func (p *plainRun) final(err error) error {
	if p.ran == sardine.RanUnknown && !p.repeatable {
		return codes.Wrap(codes.OutcomeUnknown, err, "the target may have run the request")
	}
	return err
}

func (p *plainRun) pick() (*route.Choice, error) {
	if err := p.node.mayServeUnder(p.request.cut); err != nil {
		return nil, err
	}
	q := route.Request{
		Service:   p.service.routed(),
		Workspace: p.request.workspace,
		Priority:  p.request.priority,
		Exclude:   p.tried,
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
		return p.pick()
	}
	p.attempts++
	p.request.trace.Dispatched(p.node.clock.Now(), choice.Candidate.Ref)
	return choice, nil
}

// attempt runs one dispatch up to the answer's head, or to its end when it is
// short.
func (p *plainRun) attempt(ctx context.Context, choice *route.Choice) (*plainAnswer, func(), error) {
	ctx, cancel, endFlight := p.node.flights.begin(ctx, choice.Candidate)
	p.target = dispatched{candidate: choice.Candidate, crew: p.node.view().crew(choice.Candidate)}
	watch := newWatchdog(cancel, p.node.timing.PlainAnswer, p.node.timing.PlainAnswer)
	started := p.node.clock.Now()
	end := func(ok bool) {
		watch.stop()
		p.node.gate.finish(choice, route.End{OK: ok, Abort: !ok && ctx.Err() != nil && context.Cause(ctx) != errStalled})
		endFlight()
	}
	answer, err := p.open(ctx, choice)
	if err != nil {
		err = causeOr(ctx, err)
		end(false)
		return nil, nil, err
	}
	p.took = max(p.node.clock.Now()-started, 1)
	p.node.gate.firstToken(choice, route.UnknownCached)
	p.request.trace.First(p.node.clock.Now())
	return answer, func() {
		answer.answer.Close(answer.ended)
		end(true)
	}, nil
}

func (p *plainRun) open(ctx context.Context, choice *route.Choice) (*plainAnswer, error) {
	answer, failed := p.node.proxy.Open(ctx, p.request.exchange(choice.Candidate))
	if failed != nil {
		p.ran = combine(p.ran, failed.Ran())
		if failed.Ran() != sardine.RanNo {
			p.losses.lose(ctx, p.target, failed)
		}
		return nil, failed
	}
	p.ran = sardine.RanYes
	p.node.noteLoad(choice.Candidate.Ref, answer.Reply)
	held, err := hold(answer)
	if err != nil {
		p.losses.lose(ctx, p.target, err)
		answer.Close(false)
		return nil, err
	}
	return held, nil
}

// hold reads an answer to its end if it is short enough.
func hold(answer *proxy.Answer) (*plainAnswer, error) {
	resp := answer.Response
	if !serve.Delimited(resp) {
		return nil, codes.New(codes.AnswerInvalid, "answer has no length")
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	if err != nil {
		return nil, codes.New(codes.StreamBroken, "answer broke off after %d bytes: %v", len(head), err)
	}
	whole := len(head) <= maxHeldBytes
	return &plainAnswer{answer: answer, response: resp, head: head, whole: whole, ended: whole}, nil
}

// pass writes the answer to the caller. A long answer that breaks off cuts the
// caller's connection, so that it can't be taken for a whole one.
func (p *plainRun) pass(a *plainAnswer) error {
	header := serve.PassedHeader(a.response.Header)
	if a.whole && p.request.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	if err := p.sink.whole(a.response.StatusCode, header, a.head); err != nil || a.whole {
		return err
	}
	_, err := io.Copy(extending{p.sink}, a.response.Body)
	a.ended = err == nil
	if err == nil {
		p.losses.survived()
	} else {
		err = codes.Wrap(codes.StreamBroken, err, "answer broke off")
		p.losses.lose(context.Background(), p.target, err)
		p.losses.failed()
		event.Log(p.node.log, event.RequestFailed, requestAttr(p.request.id), codeAttr(err), ranAttr(sardine.RanYes))
		p.node.endTrace(p.request.trace, err, sardine.RanYes, 0)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// extending gives the caller the write timeout anew at each write.
type extending struct {
	sink *sink
}

func (e extending) Write(b []byte) (int, error) {
	e.sink.extend()
	return e.sink.writer.Write(b)
}

// fail gives the caller its final answer.
func (p *plainRun) fail(err error) {
	p.node.endTrace(p.request.trace, err, p.ran, 0)
	if p.sink.started { // the caller is gone
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
