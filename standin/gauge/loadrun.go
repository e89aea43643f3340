package gauge

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/place"
	"sardineswitch.dev/sardine/route"
)

// Properties of the callers and entry nodes of a load; times are in
// milliseconds.
const (
	maxEventGap      = 2400.0 // without an event, after which a caller disconnects
	minRetryDelay    = 500.0  // until a refused caller retries
	retryJitter      = 1000.0 // maximum that is added to the delay at random
	inFlightInterval = 500.0  // between two reports of the requests that all nodes have in flight
	inFlightLag      = 400.0  // of such a report
	stallTimeout     = 700.0  // until requests at a lost group are sent to another one
	lossDetection    = 1500.0 // until the nodes remove a lost group from their candidates
	maxDispatches    = 2      // of one submission
	maxCallerRetries = 1      // of a refused caller
)

// loadRun is one run of a load over model engines.
type loadRun struct {
	timeline
	pattern  loadPattern
	random   *rand.Rand
	nodes    []*loadNode
	groups   map[route.Ref]*batchEngine
	formed   int
	requests [][]*loadRequest // by kind of request
	until    float64
}

// loadNode is one entry node.
type loadNode struct {
	router        *route.Router
	waitEstimator *place.WaitEstimator
	batchLimiter  *place.BatchLimiter
	inFlight      map[route.Ref]int
}

// loadRequest is one caller's request over all its submissions and dispatches.
type loadRequest struct {
	kind        *loadKind
	prompt      int
	events      int
	submittedAt float64 // time of the first submission
	timeout     float64 // time after submittedAt when the caller disconnects
	arrivedAt   float64 // time of the last submission
	submissions int     // number of submissions by the caller
	dispatches  int     // number of dispatches to targets since the last submission
	received    int     // number of events received
	lastEventAt float64
	late        bool
	ended       bool
	served      bool
	refused     bool
	tried       []route.Ref // targets since the last submission
}

// size returns the size of the request if each event has the given number of
// tokens.
func (q *loadRequest) size(tokens int) int {
	return sardine.SizeOf(q.prompt, tokens*q.events)
}

func newLoadRun(p loadPattern, seed uint64) *loadRun {
	r := &loadRun{pattern: p, random: rand.New(rand.NewPCG(seed, 7)), groups: make(map[route.Ref]*batchEngine), requests: make([][]*loadRequest, len(p.kinds))}
	for range p.groups {
		r.formGroup()
	}
	for i := range p.nodes {
		router := route.New(rand.New(rand.NewPCG(seed, uint64(100+i))), route.WithPolicy(route.Batch), route.WithHints(0))
		router.SetPosition(i, p.nodes)
		router.SetEngine("model", route.Engine{Slots: p.slots, PrefillPer1K: 1000 / p.times.PrefillPerMilli * p.timeFactor})
		r.nodes = append(r.nodes, &loadNode{router: router, waitEstimator: place.NewWaitEstimator(), batchLimiter: place.NewBatchLimiter(), inFlight: make(map[route.Ref]int)})
	}
	r.updateCandidates()
	return r
}

func (r *loadRun) formGroup() {
	r.formed++
	ref := route.Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", r.formed)), Epoch: 1}
	r.groups[ref] = &batchEngine{clock: &r.timeline, times: r.pattern.times, timeFactor: r.pattern.timeFactor, slots: r.pattern.slots, queue: r.pattern.queue}
}

// updateCandidates gives all nodes the groups that serve.
func (r *loadRun) updateCandidates() {
	var all []route.Candidate
	for ref, e := range r.groups {
		if !e.down {
			all = append(all, route.Candidate{Ref: ref, Service: "model", Kind: sardine.KindEngine})
		}
	}
	slices.SortFunc(all, func(a, b route.Candidate) int { return cmp.Compare(a.Group, b.Group) })
	for _, n := range r.nodes {
		n.router.Update(sardine.Millis(r.now), all)
	}
}

func (r *loadRun) run(length sardine.Millis) {
	r.until = float64(length)
	for i := range r.pattern.kinds {
		r.arrive(i)
	}
	if each := r.pattern.lossInterval; each > 0 {
		for at := r.pattern.lossFrom; at < r.pattern.lossUntil; at += each {
			r.after(float64(at), r.loseGroup)
		}
	}
	r.reportInFlight()
	r.runUntil(r.until + 10_000) // requests in flight end
}

// loseGroup stops the oldest group that still runs and forms another one later.
func (r *loadRun) loseGroup() {
	e := r.oldest()
	if e == nil {
		return
	}
	e.stop()
	jobs := append(slices.Clone(e.waiting), e.running...)
	r.after(stallTimeout, func() {
		for _, j := range jobs {
			j.lost()
		}
	})
	r.after(lossDetection, r.updateCandidates)
	r.after(float64(r.pattern.replaceTime), func() {
		r.formGroup()
		r.updateCandidates()
	})
}

// oldest returns the engine of the oldest group that still runs.
func (r *loadRun) oldest() *batchEngine {
	for i := range r.formed {
		e := r.groups[route.Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", i+1)), Epoch: 1}]
		if !e.down {
			return e
		}
	}
	return nil
}

// reportInFlight reports to all nodes, at intervals, how many requests they
// have in flight together at each group.
func (r *loadRun) reportInFlight() {
	sums := make(map[route.Ref]int)
	for _, n := range r.nodes {
		for ref, count := range n.inFlight {
			sums[ref] += count
		}
	}
	at := sardine.Millis(r.now)
	r.after(inFlightLag, func() {
		for _, n := range r.nodes {
			for ref, count := range sums {
				n.router.ReportLoad(at, ref, sardine.Load{Running: count})
			}
		}
	})
	r.after(inFlightInterval, r.reportInFlight)
}

// arrive submits one request of a kind and schedules the next one.
func (r *loadRun) arrive(kind int) {
	k := &r.pattern.kinds[kind]
	r.after(r.random.ExpFloat64()/k.rate*1000, func() {
		if r.now < r.until {
			r.arrive(kind)
		}
	})
	q := &loadRequest{kind: k, submittedAt: r.now, prompt: int(k.prompt.at(r.random.NormFloat64())), events: max(int(k.events.at(r.random.NormFloat64())), 1)}
	q.timeout = float64(k.timeout) * (1 - r.pattern.timeoutJitter*r.random.Float64())
	r.requests[kind] = append(r.requests[kind], q)
	r.submit(q)
}

// submit sends a caller's request to a random node.
func (r *loadRun) submit(q *loadRequest) {
	q.submissions++
	q.dispatches = 0
	q.tried = nil
	q.arrivedAt = r.now
	r.dispatch(q, r.nodes[r.random.IntN(len(r.nodes))])
}

// dispatch sends the request to a target as an entry node does.
func (r *loadRun) dispatch(q *loadRequest, n *loadNode) {
	c, rank, ok := r.chooseTarget(q, n)
	if !ok {
		r.refuse(q)
		return
	}
	n.router.Started(&c, sardine.Millis(r.now))
	n.inFlight[c.Candidate.Ref]++
	q.dispatches++
	q.tried = append(q.tried, c.Candidate.Ref)
	written := q.received * r.pattern.times.Steps
	r.startAttempt(&loadAttempt{request: q, node: n, choice: &c, job: &batchJob{
		rank: rank, prefillLeft: float64(q.prompt + written), context: float64(q.prompt) / 1000, events: q.events - q.received,
	}})
}

// chooseTarget picks a target and returns the request's rank there. It reports
// false if the request is refused.
func (r *loadRun) chooseTarget(q *loadRequest, n *loadNode) (c route.Choice, rank int, ok bool) {
	c, err := n.router.Pick(sardine.Millis(r.now), route.Request{Service: "model", PromptTokens: q.prompt, Exclude: q.tried})
	if err != nil {
		return c, 0, false
	}
	waited := n.waitEstimator.Waited(q.kind.name, sardine.Millis(q.timeout-(q.arrivedAt-q.submittedAt)))
	if q.dispatches == 0 {
		n.batchLimiter.ObserveRequest(sardine.Millis(r.now), "model", float64(q.events), q.kind.timeout)
	}
	rank, ok = place.Rank(place.Request{
		TargetRequests: c.TargetRequests,
		Slots:          r.pattern.slots,
		Late:           waited+sardine.Millis(r.now-q.arrivedAt) > q.kind.objective,
		Saturated:      c.Saturated,
		Resumed:        q.received > 0,
		Bound:          n.batchLimiter.Bound(sardine.Millis(r.now), "model"),
	})
	return c, rank, ok
}

// loadAttempt is one dispatch of a request to a target.
type loadAttempt struct {
	request *loadRequest
	node    *loadNode
	choice  *route.Choice
	job     *batchJob
	started bool // an event was received
}

// startAttempt adds the job to its group's engine and starts the caller's
// timers.
func (r *loadRun) startAttempt(t *loadAttempt) {
	e := r.groups[t.choice.Candidate.Ref]
	t.job.onEvent = func(last bool) { r.receiveEvent(t, last) }
	t.job.onLost = func() { r.redispatch(t) }
	if !e.add(t.job) {
		t.job.ended = true
		r.redispatch(t)
		return
	}
	if e.down {
		r.after(stallTimeout, t.job.lost)
	}
	r.startGapTimer(t)
	r.after(t.request.submittedAt+t.request.timeout-r.now, func() { r.disconnect(t) })
}

// endAttempt reports to the router that the attempt has ended.
func (r *loadRun) endAttempt(t *loadAttempt, ok bool) {
	t.node.inFlight[t.choice.Candidate.Ref]--
	t.node.router.Ended(t.choice, sardine.Millis(r.now), route.DispatchResult{OK: ok, Canceled: !ok})
}

// receiveEvent handles an event of the answer. With the first one of an attempt
// the target reports its load.
func (r *loadRun) receiveEvent(t *loadAttempt, last bool) {
	now, ref := sardine.Millis(r.now), t.choice.Candidate.Ref
	if !t.started {
		t.started = true
		t.node.router.FirstToken(t.choice, now, route.CachedUnknown)
		t.node.router.ReportLoad(now, ref, r.groups[ref].load())
	}
	if t.request.received > 0 {
		t.node.batchLimiter.ObserveGap(now, "model", sardine.Millis(r.now-t.request.lastEventAt))
	}
	t.request.recordEvent(r.now)
	if last {
		t.request.ended, t.request.served = true, true
		r.endAttempt(t, true)
		return
	}
	r.startGapTimer(t)
}

// recordEvent counts an event and records whether it was late.
func (q *loadRequest) recordEvent(now float64) {
	limit, since := float64(q.kind.gap), q.lastEventAt
	if q.received == 0 {
		limit, since = float64(q.kind.objective), q.submittedAt
	}
	q.late = q.late || now-since > limit
	q.received++
	q.lastEventAt = now
}

// redispatch sends the request to another group after an attempt whose group is
// lost or accepts no more requests.
func (r *loadRun) redispatch(t *loadAttempt) {
	r.endAttempt(t, false)
	switch {
	case t.request.dispatches < maxDispatches:
		r.dispatch(t.request, t.node)
	case t.started:
		t.request.ended = true
	default:
		r.refuse(t.request)
	}
}

// startGapTimer makes the caller disconnect if no event follows for the maximum
// gap from now.
func (r *loadRun) startGapTimer(t *loadAttempt) {
	t.job.gapTimer++
	gapTimer := t.job.gapTimer
	r.after(maxEventGap, func() {
		if gapTimer == t.job.gapTimer {
			r.disconnect(t)
		}
	})
}

// disconnect ends a running attempt because its caller has disconnected.
func (r *loadRun) disconnect(t *loadAttempt) {
	if t.job.ended {
		return
	}
	t.job.ended = true
	t.request.ended = true
	r.endAttempt(t, false)
}

// refuse rejects the request. Its caller submits it once more after a delay if
// its timeout allows it and no event was received.
func (r *loadRun) refuse(q *loadRequest) {
	wait := minRetryDelay + r.random.Float64()*retryJitter
	if q.submissions > maxCallerRetries || q.received > 0 || r.now+wait-q.submittedAt > q.timeout {
		q.ended, q.refused = true, true
		return
	}
	r.after(wait, func() { r.submit(q) })
}

func (r *loadRun) result() LoadResult {
	var result LoadResult
	steps := r.pattern.times.Steps
	for i, all := range r.requests {
		slices.SortStableFunc(all, func(a, b *loadRequest) int { return cmp.Compare(b.size(steps), a.size(steps)) })
		tenth, fifth := len(all)/10, len(all)*3/10
		k := KindResult{Kind: r.pattern.kinds[i].name, Requests: len(all), Served: servedShare(all), LargestTenth: servedShare(all[:tenth]), FifthBelow: servedShare(all[tenth:fifth])}
		for _, q := range all {
			if q.served && !q.late {
				k.InTime++
			}
			if q.refused {
				k.Refused++
			}
		}
		k.InTime = round(k.InTime / float64(max(len(all), 1)))
		k.Refused = round(k.Refused / float64(max(len(all), 1)))
		result.Kinds = append(result.Kinds, k)
	}
	return result
}

// servedShare returns the share of the requests that were answered in full.
func servedShare(all []*loadRequest) float64 {
	served := 0
	for _, q := range all {
		if q.served {
			served++
		}
	}
	return round(float64(served) / float64(max(len(all), 1)))
}
