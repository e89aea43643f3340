package gauge

import (
	"fmt"
	"math"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Delays and gaps of what entry nodes hear, in milliseconds.
const (
	reportEvery   = 1000.0
	reportLagLow  = 300.0
	reportLagHigh = 1000.0
	cacheLagLow   = 500.0
	cacheLagHigh  = 2000.0
	cacheGaps     = 0.1 // share of cache events lost
	homeNodes     = 3   // entry nodes that hear an engine's cache events
	thinkTime     = 8000.0
)

// routingRun is one policy's run over the engine model. Arrivals, lengths and
// delays come from sources of their own, so that all policies see the same.
type routingRun struct {
	timeline
	flags    *routingFlags
	variant  variant
	arrivals *rand.Rand
	delays   *rand.Rand
	lengths  []int // family prefixes, in blocks
	shares   []float64
	engines  []*engine
	refs     []route.Ref
	byRef    map[route.Ref]int
	routers  []*route.Router
	homes    []*home
	homeOf   map[route.Ref]*home
	talks    int
	first    sample
	cached   int
	prompts  int
	failure  error
}

func newRoutingRun(f *routingFlags, v variant) *routingRun {
	r := &routingRun{
		flags: f, variant: v,
		arrivals: rand.New(rand.NewPCG(f.seed, 1)),
		delays:   rand.New(rand.NewPCG(f.seed, 2)),
		byRef:    make(map[route.Ref]int),
		homeOf:   make(map[route.Ref]*home),
	}
	r.makeFamilies()
	r.makeEngines()
	r.makeRouters()
	return r
}

// makeFamilies draws the shared prompt prefixes: about six an engine, of Zipf
// popularity.
func (r *routingRun) makeFamilies() {
	n := 6*r.flags.workers + 1
	total := 0.0
	for i := range n {
		r.lengths = append(r.lengths, 8+r.arrivals.IntN(25))
		total += 1 / float64(i+1)
		r.shares = append(r.shares, total)
	}
}

func (r *routingRun) centres() int {
	if r.flags.nodes > 9 {
		return 5
	}
	return 3
}

func (r *routingRun) makeEngines() {
	stragglers := max(int(stragglerShare*float64(r.flags.workers)), 1)
	for i := range r.flags.workers {
		e := newEngine(i % r.centres())
		if i%(r.flags.workers/stragglers) == 7 {
			e.slow = stragglerFactor
		}
		r.engines = append(r.engines, e)
		ref := route.Ref{Group: sardine.GroupID(fmt.Sprintf("g%d", i)), Epoch: 1}
		r.refs = append(r.refs, ref)
		r.byRef[ref] = i
		r.after(r.delays.Float64()*reportEvery, func() { r.report(i) })
	}
}

// regionOf returns the region of a data centre.
func regionOf(centre int) int {
	return centre / 3
}

// roundTrip returns the milliseconds between two data centres and back: 1
// within one, 2 within a region, 40 between the regions (3 and 2 data centres).
func roundTrip(a, b int) float64 {
	switch {
	case a == b:
		return 1
	case regionOf(a) == regionOf(b):
		return 2
	default:
		return 40
	}
}

func (r *routingRun) makeRouters() {
	candidates := make([]route.Candidate, len(r.engines))
	for i, e := range r.engines {
		candidates[i] = route.Candidate{
			Ref: r.refs[i], Service: "model", Kind: sardine.KindEngine,
			DataCentre: sardine.DataCentre(fmt.Sprint(e.centre)),
		}
	}
	if r.variant.homes {
		r.makeHomes()
		candidates = r.homeCandidates()
	}
	count := r.flags.nodes
	if r.variant.oneView {
		count = 1
	}
	for i := range count {
		own := i % r.centres()
		distance := func(_, to sardine.DataCentre) sardine.Millis {
			return sardine.Millis(roundTrip(own, int(to[0]-'0')))
		}
		options := []route.Option{
			route.WithDistance("", distance), route.WithHints(8192),
			route.WithSamples(r.flags.samples, r.flags.places), route.WithSpread(r.flags.spread, r.flags.least),
			route.WithPrefillPenalty(r.flags.regard),
		}
		options = append(options, r.variant.options...)
		router := route.New(rand.New(rand.NewPCG(r.flags.seed, uint64(100+i))), options...)
		router.Update(0, candidates)
		router.SetPosition(i, count)
		r.routers = append(r.routers, router)
	}
}

func (r *routingRun) router(node int) *route.Router {
	return r.routers[min(node, len(r.routers)-1)]
}

func (r *routingRun) run() error {
	r.after(0, r.arrive)
	r.runUntil(float64(r.flags.seconds) * 1000)
	return r.failure
}

// turnsMean is the mean number of requests of a conversation.
const turnsMean = 0.4 + 0.6*4

// arrive starts a conversation and schedules the next one.
func (r *routingRun) arrive() {
	rate := r.flags.rate * float64(r.flags.workers) / turnsMean
	r.after(r.arrivals.ExpFloat64()/rate*1000, r.arrive)
	r.talks++
	family := r.family()
	turns := 1
	if r.arrivals.Float64() > 0.4 {
		turns = 2 + r.arrivals.IntN(5)
	}
	p := prompt{family: family + 1, familyBlocks: r.lengths[family], talk: r.talks}
	p.region = regionOf(r.arrivals.IntN(r.centres()))
	p.blocks = p.familyBlocks + 1 + r.arrivals.IntN(8)
	r.ask(p, turns, rand.New(rand.NewPCG(r.flags.seed, uint64(1e6+r.talks))))
}

// ask sends one request of a conversation through a random entry node.
func (r *routingRun) ask(p prompt, turns int, own *rand.Rand) {
	node := r.node(p.region, own)
	tokens := min(own.ExpFloat64()*generatedTokens, 2000) + 1
	q := route.Request{Service: "model", PrefixHashes: hashes(p, p.blocks), PromptTokens: p.tokens(), Conversation: uint64(p.talk), FollowUp: p.later}
	next := func() { r.continueTalk(p, turns, tokens, own) }
	if r.variant.homes {
		r.askHome(node, p, q, tokens, next)
		return
	}
	target, choice, err := r.pick(node, p, q)
	if err != nil {
		r.failure = err
		return
	}
	trip := roundTrip(node%r.centres(), r.engines[target].centre)
	start := r.now
	told := r.tellRouter(node, &choice)
	r.after(trip/2, func() { r.serve(target, p, told, start, trip, tokens, next) })
}

// feedback is what an entry node does with an engine's words on a request.
type feedback struct {
	first func(cachedTokens int, l sardine.Load)
	ended func()
}

func (r *routingRun) tellRouter(node int, c *route.Choice) feedback {
	if r.variant.oracle {
		return feedback{first: func(int, sardine.Load) {}, ended: func() {}}
	}
	router := r.router(node)
	router.Started(c, sardine.Millis(r.now))
	return feedback{
		first: func(cached int, l sardine.Load) {
			router.FirstToken(c, sardine.Millis(r.now), cached)
			router.ReportLoad(sardine.Millis(r.now), c.Candidate.Ref, l)
		},
		ended: func() { router.Ended(c, sardine.Millis(r.now), route.DispatchResult{OK: true}) },
	}
}

// node draws an entry node of the caller's region.
func (r *routingRun) node(region int, own *rand.Rand) int {
	for {
		n := own.IntN(r.flags.nodes)
		if regionOf(n%r.centres()) == region {
			return n
		}
	}
}

func (r *routingRun) pick(node int, p prompt, q route.Request) (int, route.Choice, error) {
	if r.variant.oracle {
		return r.omniscient(node, p), route.Choice{}, nil
	}
	c, err := r.router(node).Pick(sardine.Millis(r.now), q)
	return r.byRef[c.Candidate.Ref], c, err
}

// omniscient returns the engine with the earliest first token, by the true
// caches and queues.
func (r *routingRun) omniscient(node int, p prompt) int {
	best, bestTime := 0, math.Inf(1)
	for i, e := range r.engines {
		trip := roundTrip(node%r.centres(), e.centre)
		time := trip + max(e.freeAt-r.now, 0) + e.work(p)
		if time < bestTime {
			best, bestTime = i, time
		}
	}
	return best
}

// serve runs a request on an engine.
func (r *routingRun) serve(target int, p prompt, told feedback, start, trip, tokens float64, next func()) {
	e := r.engines[target]
	at, cached, evicted := e.accept(r.now, p)
	r.publish(target, p, evicted)
	r.after(at-r.now, func() {
		e.queued--
		e.running++
		l := e.load()
		r.after(trip/2, func() {
			told.first(cached*modelBlock, l)
			r.count(start, p, cached)
		})
		r.after(e.decode(tokens), func() {
			e.running--
			told.ended()
			next()
		})
	})
}

func (r *routingRun) count(start float64, p prompt, cached int) {
	if start < float64(r.flags.seconds)*1000/3 {
		return
	}
	r.first.add(r.now - start)
	r.cached += cached
	r.prompts += p.blocks
}

// continueTalk asks again after some thought; the prompt then holds the answer.
func (r *routingRun) continueTalk(p prompt, turns int, tokens float64, own *rand.Rand) {
	if turns <= 1 {
		return
	}
	p.later = true
	p.blocks += int(tokens)/modelBlock + 1 + own.IntN(3)
	r.after(own.ExpFloat64()*thinkTime, func() { r.ask(p, turns-1, own) })
}

func (r *routingRun) report(i int) {
	l := r.engines[i].load()
	at := sardine.Millis(r.now)
	lag := reportLagLow + r.delays.Float64()*(reportLagHigh-reportLagLow)
	r.after(lag, func() {
		for _, router := range r.routers {
			router.ReportLoad(at, r.refs[i], l)
		}
		for _, h := range r.homes {
			h.router.ReportLoad(at, r.refs[i], l)
		}
	})
	r.after(reportEvery, func() { r.report(i) })
}

// publish tells the engine's home nodes what its cache stored and evicted.
func (r *routingRun) publish(i int, p prompt, evicted []int) {
	if r.delays.Float64() < cacheGaps || r.variant.oracle {
		return
	}
	event := route.CacheEvent{Target: r.refs[i], Stored: hashes(p, p.blocks)}
	for _, key := range evicted {
		event.Evicted = append(event.Evicted, r.evictedHashes(key)...)
	}
	lag := cacheLagLow + r.delays.Float64()*(cacheLagHigh-cacheLagLow)
	r.after(lag, func() {
		if r.variant.homes {
			r.tellHome(i, event)
			return
		}
		for k := range min(homeNodes, len(r.routers)) {
			r.routers[(i*homeNodes+k)%len(r.routers)].ReportCacheEvents([]route.CacheEvent{event})
		}
	})
}

func (r *routingRun) result() PolicyResult {
	total, busiest := 0.0, 0.0
	for _, e := range r.engines {
		total += e.busy / e.slow
		busiest = max(busiest, e.busy/e.slow)
	}
	blocks, correct := 0, 0
	for _, router := range r.routers {
		blocks += router.Counts().HintBlocks
		correct += router.Counts().HintCorrect
	}
	return PolicyResult{
		Policy: r.variant.name,
		Mean:   r.first.mean(), P50: r.first.at(0.5), P95: r.first.at(0.95), P99: r.first.at(0.99),
		HitShare:     round(float64(r.cached) / float64(max(r.prompts, 1))),
		LoadSkew:     round(busiest / (total / float64(len(r.engines)))),
		CopiesOver2:  r.copiesOver2(),
		HintAccuracy: round(float64(correct) / float64(max(blocks, 1))),
	}
}
