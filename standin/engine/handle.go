package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	goji "goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/reply"
)

const (
	maxBody    = 4 << 20                // bytes of a completion request
	wholePause = 5 * time.Millisecond   // between looks at an incomplete group
	rateWindow = 200 * time.Millisecond // over which the token rate is taken
)

func (e *Engine) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(order.Path), e.takeOrder)
	mux.HandleFunc(pat.Post(ChatPath), e.complete)
	mux.HandleFunc(pat.Post(CompletePath), e.complete)
	mux.HandleFunc(pat.Get("/healthz"), func(http.ResponseWriter, *http.Request) {})
	return mux
}

// job is one request that the engine runs.
type job struct {
	request Request
	id      string
	from    int // first token to send
	plan    plan
	model   string
	order   sardine.Order
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if e.waitRunning(r.Context()) != nil {
		return
	}
	j, err := readJob(r)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	work, status, reason := e.admit(r)
	if work == nil {
		e.refuse(w, status, reason)
		return
	}
	ctx, stop := context.WithCancel(work)
	defer stop()
	j.plan = e.faults.next()
	if !j.plan.ignoreCancel {
		defer context.AfterFunc(r.Context(), stop)()
	}
	batch := e.enter(ctx)
	if batch == nil {
		e.refuse(w, http.StatusServiceUnavailable, "the group was dissolved before the request started")
		return
	}
	e.start(&j)
	defer func() { <-batch }()
	e.run(ctx, w, j)
}

func readJob(r *http.Request) (job, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return job{}, err
	}
	request, err := ParseRequest(r.URL.Path, body)
	if err != nil {
		return job{}, err
	}
	j := job{request: request, id: r.Header.Get(reply.HeaderRequest)}
	if text := r.Header.Get(order.HeaderResume); text != "" {
		j.from, err = strconv.Atoi(text)
		if err != nil || j.from < 0 || j.from > request.MaxTokens {
			return job{}, fmt.Errorf("%s: found %q, expected 0 to %d", order.HeaderResume, text, request.MaxTokens)
		}
	}
	return j, nil
}

// admit returns the context of the held order, or nil and why the request is
// refused. Nothing has started when it refuses.
func (e *Engine) admit(r *http.Request) (work context.Context, status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running || e.leaving {
		return nil, http.StatusServiceUnavailable, "the engine is leaving"
	}
	if e.settings.checksEpoch {
		if reason := e.checkEpoch(r); reason != "" {
			return nil, http.StatusConflict, "not started: " + reason
		}
	}
	if e.holding.State != sardine.MemberReady || e.holding.Rank != 0 {
		return nil, http.StatusServiceUnavailable, "the engine does not serve: " + e.holding.State.String()
	}
	return e.ctx, 0, ""
}

func (e *Engine) checkEpoch(r *http.Request) string {
	group, epoch := r.Header.Get(order.HeaderGroup), r.Header.Get(order.HeaderEpoch)
	if group != "" && group != string(e.holding.Group) {
		return fmt.Sprintf("the request is for group %q, the engine holds %q", group, e.holding.Group)
	}
	if epoch != "" && epoch != strconv.FormatUint(uint64(e.holding.Epoch), 10) {
		return fmt.Sprintf("the request is for epoch %s, the engine holds %d", epoch, e.holding.Epoch)
	}
	return ""
}

// enter waits for a place in the batch and returns the batch, nil without one.
func (e *Engine) enter(ctx context.Context) chan struct{} {
	e.mu.Lock()
	e.queued++
	batch := e.batch
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		return nil
	case batch <- struct{}{}:
		return batch
	}
}

func (e *Engine) start(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[j.id]++
	j.order = e.order
	j.model = string(e.holding.Model)
}

// run generates and sends the answer. A broken answer ends by breaking the
// connection.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j job) {
	if strings.Contains(j.request.Prompt, PoisonMarker) {
		e.Die()
		panic(http.ErrAbortHandler)
	}
	a := newAnswerer(w, j, e.loadText())
	pause := e.settings.prefill + j.plan.late
	for i := j.from; i < j.request.MaxTokens; i++ {
		if i-j.from == j.plan.cutAfter || !e.generate(ctx, j, pause) {
			a.breakOff()
			e.count(false)
			panic(http.ErrAbortHandler)
		}
		a.token(i)
		e.countToken()
		pause = e.settings.tokenTime
	}
	a.finish()
	e.count(true)
}

// generate takes the time of one token and reports whether it was generated. It
// hangs while a member of the group is missing.
func (e *Engine) generate(ctx context.Context, j job, pause sardine.Millis) bool {
	d := time.Duration(float64(pause.Duration()) * j.plan.slow)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
		}
		if e.waitRunning(ctx) != nil {
			return false
		}
		if e.settings.fabric.Whole(j.order.Group, j.order.Epoch, j.order.Size) {
			return true
		}
		d = wholePause
	}
}

func (e *Engine) refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(reply.HeaderRan, sardine.RanNo.String())
	w.Header().Set(annc.HeaderLoad, e.loadText())
	http.Error(w, reason, status)
}

func (e *Engine) loadText() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return annc.FormatLoad(e.load())
}

func (e *Engine) count(finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if finished {
		e.finished++
		return
	}
	e.aborted++
}

// countToken updates the rate over windows of rateWindow.
func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
	if passed := time.Since(e.rated); passed >= rateWindow {
		e.rate = float64(e.tokens) / passed.Seconds()
		e.tokens, e.rated = 0, time.Now()
	}
}
