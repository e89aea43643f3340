package gauge

import (
	"fmt"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// homeEngines is the number of engines that one home node picks among.
const homeEngines = 8

// home is an entry node that alone picks among a few engines of its data centre
// for all entry nodes, so that it knows their requests in flight exactly.
type home struct {
	ref     route.Ref
	centre  int
	engines []int
	router  *route.Router
}

// makeHomes parts the engines of each data centre among home nodes.
func (r *routingRun) makeHomes() {
	byCentre := make([][]int, r.centres())
	for i, e := range r.engines {
		byCentre[e.centre] = append(byCentre[e.centre], i)
	}
	for centre, engines := range byCentre {
		for len(engines) > 0 {
			n := min(homeEngines, len(engines))
			if len(engines) < homeEngines+homeEngines/2 {
				n = len(engines)
			}
			r.makeHome(centre, engines[:n])
			engines = engines[n:]
		}
	}
	for i, h := range r.homes {
		r.after(r.delays.Float64()*reportEvery, func() { r.reportHome(i, h) })
	}
}

func (r *routingRun) makeHome(centre int, engines []int) {
	h := &home{ref: route.Ref{Group: sardine.GroupID(fmt.Sprint("h", len(r.homes)))}, centre: centre, engines: engines}
	r.homeOf[h.ref] = h
	random := rand.New(rand.NewPCG(r.flags.seed, uint64(5000+len(r.homes))))
	h.router = route.New(random, route.WithSamples(2*len(engines), 2))
	candidates := make([]route.Candidate, 0, len(engines))
	for _, i := range engines {
		candidates = append(candidates, route.Candidate{Ref: r.refs[i], Service: "model", Kind: sardine.KindEngine})
	}
	h.router.Update(0, candidates)
	r.homes = append(r.homes, h)
}

// candidates returns the homes as the entry nodes' candidates.
func (r *routingRun) homeCandidates() []route.Candidate {
	all := make([]route.Candidate, 0, len(r.homes))
	for _, h := range r.homes {
		all = append(all, route.Candidate{Ref: h.ref, Service: "model", Kind: sardine.KindEngine, DataCentre: sardine.DataCentre(fmt.Sprint(h.centre))})
	}
	return all
}

// reportHome gossips the mean load of a home's engines, as late as an engine's.
func (r *routingRun) reportHome(i int, h *home) {
	var total sardine.Load
	for _, e := range h.engines {
		total.Running += r.engines[e].running
		total.Queued += r.engines[e].queued
	}
	at := sardine.Millis(r.now)
	mean := sardine.Load{Running: total.Running / len(h.engines), Queued: total.Queued / len(h.engines)}
	r.after(reportLagLow+r.delays.Float64()*(reportLagHigh-reportLagLow), func() {
		for _, router := range r.routers {
			router.ReportLoad(at, h.ref, mean)
		}
	})
	r.after(reportEvery, func() { r.reportHome(i, h) })
}

// askHome asks a home for an engine and then dispatches to it.
func (r *routingRun) askHome(node int, p prompt, q route.Request, tokens float64, next func()) {
	outer, err := r.routers[node].Pick(sardine.Millis(r.now), q)
	if err != nil {
		r.failure = err
		return
	}
	r.routers[node].Started(&outer, sardine.Millis(r.now))
	h, start := r.homeOf[outer.Candidate.Ref], r.now
	trip := roundTrip(node%r.centres(), h.centre)
	r.after(trip/2, func() {
		inner, err := h.router.Pick(sardine.Millis(r.now), q)
		if err != nil {
			r.failure = err
			return
		}
		h.router.Started(&inner, sardine.Millis(r.now))
		target := r.byRef[inner.Candidate.Ref]
		told := feedback{
			first: func(cached int, _ sardine.Load) {
				r.routers[node].FirstToken(&outer, sardine.Millis(r.now), cached)
				r.after(trip/2, func() { h.router.FirstToken(&inner, sardine.Millis(r.now), cached) })
			},
			ended: func() {
				r.routers[node].Ended(&outer, sardine.Millis(r.now), route.DispatchResult{OK: true})
				r.after(trip/2, func() { h.router.Ended(&inner, sardine.Millis(r.now), route.DispatchResult{OK: true}) })
			},
		}
		r.after(trip/2+trip/2, func() { r.serve(target, p, told, start, trip, tokens, next) })
	})
}

// tellHome passes an engine's cache event to its home.
func (r *routingRun) tellHome(_ int, event route.CacheEvent) {
	for _, h := range r.homes {
		h.router.ReportCacheEvents([]route.CacheEvent{event})
	}
}
