package gauge

import (
	"fmt"
	"math"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Delays and losses of the reports that entry nodes receive; times are in
// milliseconds.
const (
	reportInterval  = 1000.0
	minReportLag    = 300.0
	maxReportLag    = 1000.0
	minCacheLag     = 500.0
	maxCacheLag     = 2000.0
	cacheEventLoss  = 0.1    // share of cache events lost
	cacheEventNodes = 3      // entry nodes that receive an engine's cache events
	thinkTime       = 8000.0 // mean time from an answer to the next request of a conversation
)

// routingRun is one policy's run over the engine model. Arrivals, lengths and
// delays have random sources of their own, so that they are the same under all
// policies.
type routingRun struct {
	timeline
	flags         *routingFlags
	variant       variant
	arrivals      *rand.Rand
	delays        *rand.Rand
	lengths       []int     // of the shared prefixes, in blocks
	shares        []float64 // cumulative popularity of the shared prefixes
	engines       []*engine
	refs          []route.Ref
	byRef         map[route.Ref]int
	routers       []*route.Router
	homes         []*home
	homeOf        map[route.Ref]*home
	conversations int    // number of conversations so far
	firstToken    sample // milliseconds
	cachedBlocks  int    // blocks of prompts that were cached
	promptBlocks  int    // blocks of prompts
	failure       error
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

// makeFamilies draws the shared prompt prefixes, about six for each engine. Their
// popularity follows Zipf's law.
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
		r.after(r.delays.Float64()*reportInterval, func() { r.report(i) })
	}
}

// regionOf returns the region of a data centre.
func regionOf(centre int) int {
	return centre / 3
}

// roundTrip returns the round-trip time between two data centres in
// milliseconds: 1 within one, 2 within a region, and 40 between the two regions,
// which have 3 and 2 data centres.
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
	if r.variant.sharedRouter {
		count = 1
	}
	for i := range count {
		ownCentre := i % r.centres()
		distance := func(_, to sardine.DataCentre) sardine.Millis {
			return sardine.Millis(roundTrip(ownCentre, int(to[0]-'0')))
		}
		options := []route.Option{
			route.WithDistance("", distance), route.WithHints(8192),
			route.WithSamples(r.flags.samples, r.flags.rendezvous), route.WithSpread(r.flags.spread, r.flags.minTargets),
			route.WithPrefillPenalty(r.flags.prefillPenalty),
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
	r.conversations++
	family := r.family()
	turns := 1
	if r.arrivals.Float64() > 0.4 {
		turns = 2 + r.arrivals.IntN(5)
	}
	p := prompt{family: family + 1, familyBlocks: r.lengths[family], conversation: r.conversations}
	p.region = regionOf(r.arrivals.IntN(r.centres()))
	p.blocks = p.familyBlocks + 1 + r.arrivals.IntN(8)
	r.sendRequest(p, turns, rand.New(rand.NewPCG(r.flags.seed, uint64(1e6+r.conversations))))
}

// sendRequest sends one request of a conversation through a random entry node of
// the caller's region.
func (r *routingRun) sendRequest(p prompt, turns int, random *rand.Rand) {
	node := r.drawNode(p.region, random)
	tokens := min(random.ExpFloat64()*generatedTokens, 2000) + 1
	q := route.Request{Service: "model", PrefixHashes: hashes(p, p.blocks), PromptTokens: p.tokens(), Conversation: uint64(p.conversation), FollowUp: p.later}
	next := func() { r.continueConversation(p, turns, tokens, random) }
	if r.variant.homes {
		r.sendViaHome(node, p, q, tokens, next)
		return
	}
	target, choice, err := r.pick(node, p, q)
	if err != nil {
		r.failure = err
		return
	}
	trip := roundTrip(node%r.centres(), r.engines[target].centre)
	start := r.now
	callbacks := r.startRequest(node, &choice)
	r.after(trip/2, func() { r.serve(target, p, callbacks, start, trip, tokens, next) })
}

// routerCallbacks report the progress of a request to the routers of the entry
// nodes that are involved.
type routerCallbacks struct {
	first func(cachedTokens int, l sardine.Load)
	ended func()
}

// startRequest records the start of a request at the node's router and returns
// the callbacks that report its progress.
func (r *routingRun) startRequest(node int, c *route.Choice) routerCallbacks {
	if r.variant.oracle {
		return routerCallbacks{first: func(int, sardine.Load) {}, ended: func() {}}
	}
	router := r.router(node)
	router.Started(c, sardine.Millis(r.now))
	return routerCallbacks{
		first: func(cached int, l sardine.Load) {
			router.FirstToken(c, sardine.Millis(r.now), cached)
			router.ReportLoad(sardine.Millis(r.now), c.Candidate.Ref, l)
		},
		ended: func() { router.Ended(c, sardine.Millis(r.now), route.DispatchResult{OK: true}) },
	}
}

// drawNode draws an entry node of the caller's region.
func (r *routingRun) drawNode(region int, random *rand.Rand) int {
	for {
		n := random.IntN(r.flags.nodes)
		if regionOf(n%r.centres()) == region {
			return n
		}
	}
}

func (r *routingRun) pick(node int, p prompt, q route.Request) (int, route.Choice, error) {
	if r.variant.oracle {
		return r.oracleTarget(node, p), route.Choice{}, nil
	}
	c, err := r.router(node).Pick(sardine.Millis(r.now), q)
	return r.byRef[c.Candidate.Ref], c, err
}

// oracleTarget returns the engine with the earliest first token according to the
// actual caches and queues.
func (r *routingRun) oracleTarget(node int, p prompt) int {
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
func (r *routingRun) serve(target int, p prompt, callbacks routerCallbacks, start, trip, tokens float64, next func()) {
	e := r.engines[target]
	at, cached, evicted := e.accept(r.now, p)
	r.publish(target, p, evicted)
	r.after(at-r.now, func() {
		e.queued--
		e.running++
		l := e.load()
		r.after(trip/2, func() {
			callbacks.first(cached*modelBlock, l)
			r.count(start, p, cached)
		})
		r.after(e.decode(tokens), func() {
			e.running--
			callbacks.ended()
			next()
		})
	})
}

// count records a first token unless the request was sent in the first third of
// the run.
func (r *routingRun) count(start float64, p prompt, cached int) {
	if start < float64(r.flags.seconds)*1000/3 {
		return
	}
	r.firstToken.add(r.now - start)
	r.cachedBlocks += cached
	r.promptBlocks += p.blocks
}

// continueConversation sends the next request of a conversation after a think
// time. Its prompt includes the last answer.
func (r *routingRun) continueConversation(p prompt, turns int, tokens float64, random *rand.Rand) {
	if turns <= 1 {
		return
	}
	p.later = true
	p.blocks += int(tokens)/modelBlock + 1 + random.IntN(3)
	r.after(random.ExpFloat64()*thinkTime, func() { r.sendRequest(p, turns-1, random) })
}

// report reports an engine's load to all routers at intervals.
func (r *routingRun) report(i int) {
	l := r.engines[i].load()
	at := sardine.Millis(r.now)
	lag := minReportLag + r.delays.Float64()*(maxReportLag-minReportLag)
	r.after(lag, func() {
		for _, router := range r.routers {
			router.ReportLoad(at, r.refs[i], l)
		}
		for _, h := range r.homes {
			h.router.ReportLoad(at, r.refs[i], l)
		}
	})
	r.after(reportInterval, func() { r.report(i) })
}

// publish sends the changes of an engine's cache to the entry nodes that receive
// its cache events.
func (r *routingRun) publish(i int, p prompt, evicted []int) {
	if r.delays.Float64() < cacheEventLoss || r.variant.oracle {
		return
	}
	event := route.CacheEvent{Target: r.refs[i], Stored: hashes(p, p.blocks)}
	for _, key := range evicted {
		event.Evicted = append(event.Evicted, r.evictedHashes(key)...)
	}
	lag := minCacheLag + r.delays.Float64()*(maxCacheLag-minCacheLag)
	r.after(lag, func() {
		if r.variant.homes {
			r.publishToHomes(i, event)
			return
		}
		for k := range min(cacheEventNodes, len(r.routers)) {
			r.routers[(i*cacheEventNodes+k)%len(r.routers)].ReportCacheEvents([]route.CacheEvent{event})
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
		Mean:   r.firstToken.mean(), P50: r.firstToken.quantile(0.5), P95: r.firstToken.quantile(0.95), P99: r.firstToken.quantile(0.99),
		HitShare:     round(float64(r.cachedBlocks) / float64(max(r.promptBlocks, 1))),
		LoadSkew:     round(busiest / (total / float64(len(r.engines)))),
		CopiesOver2:  r.copiesOver2(),
		HintAccuracy: round(float64(correct) / float64(max(blocks, 1))),
	}
}
