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
	maxBody            = 4 << 20                // bytes of a completion request
	fabricPollInterval = 5 * time.Millisecond   // polling interval while group members are missing
	rateWindow         = 200 * time.Millisecond // minimum window over which the token rate is computed
)

func (e *Engine) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(order.Path), e.handleOrder)
	mux.HandleFunc(pat.Post(ChatPath), e.handleCompletion)
	mux.HandleFunc(pat.Post(CompletePath), e.handleCompletion)
	mux.HandleFunc(pat.Get("/healthz"), func(http.ResponseWriter, *http.Request) {})
	return mux
}

// job is a request that the engine runs.
type job struct {
	request Request
	id      string
	from    int // index of the first token to send
	faults  answerFaults
	model   string
	order   sardine.Order
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if e.waitRunning(r.Context()) != nil {
		return
	}
	j, err := readJob(r)
	if err != nil {
		e.reject(w, http.StatusBadRequest, err.Error())
		return
	}
	orderCtx, status, reason := e.admit(r)
	if orderCtx == nil {
		e.reject(w, status, reason)
		return
	}
	ctx, stop := context.WithCancel(orderCtx)
	defer stop()
	j.faults = e.faults.next()
	if !j.faults.ignoreCancel {
		defer context.AfterFunc(r.Context(), stop)()
	}
	batch := e.acquireSlot(ctx)
	if batch == nil {
		e.reject(w, http.StatusServiceUnavailable, "the group was dissolved before the request started")
		return
	}
	e.recordStart(&j)
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

// admit returns the context of the current order, or nil and the status and
// reason of the rejection. A rejected request has not started.
func (e *Engine) admit(r *http.Request) (orderCtx context.Context, status int, reason string) {
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
	if e.currentOrder.State != sardine.MemberReady || e.currentOrder.Rank != 0 {
		return nil, http.StatusServiceUnavailable, "the engine does not serve: " + e.currentOrder.State.String()
	}
	return e.ctx, 0, ""
}

// checkEpoch returns why the request's group or epoch is not the current one,
// or an empty string.
func (e *Engine) checkEpoch(r *http.Request) string {
	group, epoch := r.Header.Get(order.HeaderGroup), r.Header.Get(order.HeaderEpoch)
	if group != "" && group != string(e.currentOrder.Group) {
		return fmt.Sprintf("the request is for group %q, the engine is in group %q", group, e.currentOrder.Group)
	}
	if epoch != "" && epoch != strconv.FormatUint(uint64(e.currentOrder.Epoch), 10) {
		return fmt.Sprintf("the request is for epoch %s, the engine has epoch %d", epoch, e.currentOrder.Epoch)
	}
	return ""
}

// acquireSlot waits for a free slot in the batch and returns the batch, or nil
// if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context) chan struct{} {
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

func (e *Engine) recordStart(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[j.id]++
	j.order = e.order
	j.model = string(e.currentOrder.Model)
}

// run generates and sends the answer. If it can't complete the answer, it
// breaks the connection.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j job) {
	if strings.Contains(j.request.Prompt, PoisonMarker) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	a := newAnswerWriter(w, j, e.loadText())
	pause := e.settings.prefill + j.faults.delay
	for i := j.from; i < j.request.MaxTokens; i++ {
		if i-j.from == j.faults.cutAfter || !e.generate(ctx, j, pause) {
			a.sendPartial()
			e.recordEnd(false)
			panic(http.ErrAbortHandler)
		}
		a.sendToken(i)
		e.countToken()
		pause = e.settings.tokenTime
	}
	a.finish()
	e.recordEnd(true)
}

// generate waits for the time of one token and reports whether the token was
// generated. It blocks while a member of the group is missing.
func (e *Engine) generate(ctx context.Context, j job, pause sardine.Millis) bool {
	d := time.Duration(float64(pause.Duration()) * j.faults.slow)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
		}
		if e.waitRunning(ctx) != nil {
			return false
		}
		if e.settings.fabric.Complete(j.order.Group, j.order.Epoch, j.order.Size) {
			return true
		}
		d = fabricPollInterval
	}
}

func (e *Engine) reject(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(reply.HeaderRan, sardine.RanNo.String())
	w.Header().Set(annc.HeaderLoad, e.loadText())
	http.Error(w, reason, status)
}

func (e *Engine) loadText() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return annc.FormatLoad(e.load())
}

// recordEnd counts a completed or aborted request.
func (e *Engine) recordEnd(finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if finished {
		e.finished++
		return
	}
	e.aborted++
}

// countToken counts a token and updates the token rate once per rateWindow.
func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateTokens++
	if passed := time.Since(e.rateStart); passed >= rateWindow {
		e.rate = float64(e.rateTokens) / passed.Seconds()
		e.rateTokens, e.rateStart = 0, time.Now()
	}
}
