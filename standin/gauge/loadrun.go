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

// Times of the load's callers and nodes, in milliseconds.
const (
	callerGap    = 2400.0 // between events, after which a caller leaves
	returnLeast  = 500.0  // until a refused caller comes back
	returnSpread = 1000.0
	crowdEvery   = 500.0 // between two words on what all nodes have in flight
	crowdLag     = 400.0
	standstill   = 700.0 // until what waits for a lost group goes on elsewhere
	lossKnown    = 1500.0
	loadAttempts = 2
	loadReturns  = 1 // times that a refused caller comes back
)

// loadRun is one run of a load over model engines.
type loadRun struct {
	timeline
	pattern loadPattern
	random  *rand.Rand
	nodes   []*loadNode
	groups  map[route.Ref]*passEngine
	formed  int
	asks    [][]*loadAsk // by kind
	until   float64
}

// loadNode is one entry node.
type loadNode struct {
	router    *route.Router
	patiences *place.WaitEstimator
	pace      *place.BatchLimiter
	flying    map[route.Ref]int
}

// loadAsk is one caller's request over all its attempts.
type loadAsk struct {
	kind     *loadKind
	prompt   int
	events   int
	at       float64 // when it was asked first
	patience float64 // after which it leaves, from then
	came     float64 // at the node that has it
	tries    int     // of the caller
	sent     int     // to targets, in this try
	wrote    int
	eventAt  float64
	late     bool
	ended    bool
	served   bool
	refused  bool
	tried    []route.Ref
}

// size returns the size of a request each of whose events has so many tokens.
func (a *loadAsk) size(tokens int) int {
	return sardine.SizeOf(a.prompt, tokens*a.events)
}

func newLoadRun(p loadPattern, seed uint64) *loadRun {
	r := &loadRun{pattern: p, random: rand.New(rand.NewPCG(seed, 7)), groups: make(map[route.Ref]*passEngine), asks: make([][]*loadAsk, len(p.kinds))}
	for range p.groups {
		r.form()
	}
	for i := range p.nodes {
		router := route.New(rand.New(rand.NewPCG(seed, uint64(100+i))), route.WithPolicy(route.Batch), route.WithHints(0))
		router.SetPosition(i, p.nodes)
		router.SetEngine("model", route.Engine{Slots: p.slots, PrefillPer1K: 1000 / p.times.PrefillPerMilli * p.pace})
		r.nodes = append(r.nodes, &loadNode{router: router, patiences: place.NewWaitEstimator(), pace: place.NewBatchLimiter(), flying: make(map[route.Ref]int)})
	}
	r.tellGroups()
	return r
}

func (r *loadRun) form() {
	r.formed++
	ref := route.Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", r.formed)), Epoch: 1}
	r.groups[ref] = &passEngine{line: &r.timeline, times: r.pattern.times, pace: r.pattern.pace, slots: r.pattern.slots, queue: r.pattern.queue}
}

// tellGroups tells all nodes which groups serve.
func (r *loadRun) tellGroups() {
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
	if each := r.pattern.lossEach; each > 0 {
		for at := r.pattern.lossFrom; at < r.pattern.lossUntil; at += each {
			r.after(float64(at), r.lose)
		}
	}
	r.tellCrowds()
	r.runUntil(r.until + 10_000) // what is under way ends
}

// lose stops the group that was formed first, and forms another one later.
func (r *loadRun) lose() {
	e := r.oldest()
	if e == nil {
		return
	}
	e.stop()
	jobs := append(slices.Clone(e.waiting), e.running...)
	r.after(standstill, func() {
		for _, j := range jobs {
			j.lost()
		}
	})
	r.after(lossKnown, r.tellGroups)
	r.after(float64(r.pattern.lossFor), func() {
		r.form()
		r.tellGroups()
	})
}

func (r *loadRun) oldest() *passEngine {
	for i := range r.formed {
		e := r.groups[route.Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", i+1)), Epoch: 1}]
		if !e.down {
			return e
		}
	}
	return nil
}

// tellCrowds tells all nodes now and then what they have in flight together.
func (r *loadRun) tellCrowds() {
	sums := make(map[route.Ref]int)
	for _, n := range r.nodes {
		for ref, count := range n.flying {
			sums[ref] += count
		}
	}
	at := sardine.Millis(r.now)
	r.after(crowdLag, func() {
		for _, n := range r.nodes {
			for ref, count := range sums {
				n.router.ReportLoad(at, ref, sardine.Load{Running: count})
			}
		}
	})
	r.after(crowdEvery, r.tellCrowds)
}

// arrive asks one request of a kind and schedules the next one.
func (r *loadRun) arrive(kind int) {
	k := &r.pattern.kinds[kind]
	r.after(r.random.ExpFloat64()/k.rate*1000, func() {
		if r.now < r.until {
			r.arrive(kind)
		}
	})
	a := &loadAsk{kind: k, at: r.now, prompt: int(k.prompt.at(r.random.NormFloat64())), events: max(int(k.events.at(r.random.NormFloat64())), 1)}
	a.patience = float64(k.timeout) * (1 - r.pattern.hurry*r.random.Float64())
	r.asks[kind] = append(r.asks[kind], a)
	r.ask(a)
}

// ask sends a caller's request to a random node.
func (r *loadRun) ask(a *loadAsk) {
	a.tries++
	a.sent = 0
	a.tried = nil
	a.came = r.now
	r.send(a, r.nodes[r.random.IntN(len(r.nodes))])
}

// send places the request at a target as an entry node does.
func (r *loadRun) send(a *loadAsk, n *loadNode) {
	c, rank, ok := r.place(a, n)
	if !ok {
		r.refuse(a)
		return
	}
	n.router.Started(&c, sardine.Millis(r.now))
	n.flying[c.Candidate.Ref]++
	a.sent++
	a.tried = append(a.tried, c.Candidate.Ref)
	written := a.wrote * r.pattern.times.Steps
	r.start(&loadTry{ask: a, node: n, choice: &c, job: &passJob{
		rank: rank, unread: float64(a.prompt + written), context: float64(a.prompt) / 1000, events: a.events - a.wrote,
	}})
}

// place chooses a target and ranks the request there.
func (r *loadRun) place(a *loadAsk, n *loadNode) (c route.Choice, rank int, ok bool) {
	c, err := n.router.Pick(sardine.Millis(r.now), route.Request{Service: "model", PromptTokens: a.prompt, Exclude: a.tried})
	if err != nil {
		return c, 0, false
	}
	waited := n.patiences.Waited(a.kind.name, sardine.Millis(a.patience-(a.came-a.at)))
	if a.sent == 0 {
		n.pace.ObserveRequest(sardine.Millis(r.now), "model", float64(a.events), a.kind.timeout)
	}
	rank, ok = place.Rank(place.Request{
		TargetRequests: c.TargetRequests,
		Slots:          r.pattern.slots,
		Late:           waited+sardine.Millis(r.now-a.came) > a.kind.objective,
		Saturated:      c.Saturated,
		Resumed:        a.wrote > 0,
		Bound:          n.pace.Bound(sardine.Millis(r.now), "model"),
	})
	return c, rank, ok
}

// loadTry is one attempt of a request at a target.
type loadTry struct {
	ask    *loadAsk
	node   *loadNode
	choice *route.Choice
	job    *passJob
	began  bool
}

// start hands the job to its group and lets the caller wait for it.
func (r *loadRun) start(y *loadTry) {
	e := r.groups[y.choice.Candidate.Ref]
	y.job.event = func(last bool) { r.answer(y, last) }
	y.job.moved = func() { r.move(y) }
	if !e.add(y.job) {
		y.job.gone = true
		r.move(y)
		return
	}
	if e.down {
		r.after(standstill, y.job.lost)
	}
	r.watch(y)
	r.after(y.ask.at+y.ask.patience-r.now, func() { r.leave(y) })
}

// finish tells the router that the attempt is over.
func (r *loadRun) finish(y *loadTry, ok bool) {
	y.node.flying[y.choice.Candidate.Ref]--
	y.node.router.Ended(y.choice, sardine.Millis(r.now), route.DispatchResult{OK: ok, Canceled: !ok})
}

// answer notes an event that reaches the caller. The first one of an attempt comes
// with the target's word on its load.
func (r *loadRun) answer(y *loadTry, last bool) {
	now, ref := sardine.Millis(r.now), y.choice.Candidate.Ref
	if !y.began {
		y.began = true
		y.node.router.FirstToken(y.choice, now, route.CachedUnknown)
		y.node.router.ReportLoad(now, ref, r.groups[ref].load())
	}
	if y.ask.wrote > 0 {
		y.node.pace.ObserveGap(now, "model", sardine.Millis(r.now-y.ask.eventAt))
	}
	y.ask.heard(r.now)
	if last {
		y.ask.ended, y.ask.served = true, true
		r.finish(y, true)
		return
	}
	r.watch(y)
}

// heard takes an event, which may be late.
func (a *loadAsk) heard(now float64) {
	limit, since := float64(a.kind.gap), a.eventAt
	if a.wrote == 0 {
		limit, since = float64(a.kind.objective), a.at
	}
	a.late = a.late || now-since > limit
	a.wrote++
	a.eventAt = now
}

// move goes on elsewhere after an attempt whose group is lost or took no more.
func (r *loadRun) move(y *loadTry) {
	r.finish(y, false)
	switch {
	case y.ask.sent < loadAttempts:
		r.send(y.ask, y.node)
	case y.began:
		y.ask.ended = true
	default:
		r.refuse(y.ask)
	}
}

// watch lets the caller leave after a gap without an event, which begins now.
func (r *loadRun) watch(y *loadTry) {
	y.job.quiet++
	quiet := y.job.quiet
	r.after(callerGap, func() {
		if quiet == y.job.quiet {
			r.leave(y)
		}
	})
}

// leave ends an attempt that is under way, since its caller is gone.
func (r *loadRun) leave(y *loadTry) {
	if y.job.gone {
		return
	}
	y.job.gone = true
	y.ask.ended = true
	r.finish(y, false)
}

// refuse sends the caller away, who comes back once.
func (r *loadRun) refuse(a *loadAsk) {
	wait := returnLeast + r.random.Float64()*returnSpread
	if a.tries > loadReturns || a.wrote > 0 || r.now+wait-a.at > a.patience {
		a.ended, a.refused = true, true
		return
	}
	r.after(wait, func() { r.ask(a) })
}

func (r *loadRun) result() LoadResult {
	var result LoadResult
	steps := r.pattern.times.Steps
	for i, all := range r.asks {
		slices.SortStableFunc(all, func(a, b *loadAsk) int { return cmp.Compare(b.size(steps), a.size(steps)) })
		tenth, fifth := len(all)/10, len(all)*3/10
		k := KindResult{Kind: r.pattern.kinds[i].name, Requests: len(all), Served: servedShare(all), LargestTenth: servedShare(all[:tenth]), FifthBelow: servedShare(all[tenth:fifth])}
		for _, a := range all {
			if a.served && !a.late {
				k.InTime++
			}
			if a.refused {
				k.Refused++
			}
		}
		k.InTime = round(k.InTime / float64(max(len(all), 1)))
		k.Refused = round(k.Refused / float64(max(len(all), 1)))
		result.Kinds = append(result.Kinds, k)
	}
	return result
}

func servedShare(all []*loadAsk) float64 {
	served := 0
	for _, a := range all {
		if a.served {
			served++
		}
	}
	return round(float64(served) / float64(max(len(all), 1)))
}
