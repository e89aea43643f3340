package gauge

import (
	"fmt"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
)

// Parameters of the admission measurement; times are in milliseconds.
const (
	silenceTimeout  = 1000.0 // after which a dispatch without an answer counts as failed
	leaseExpiry     = 3000.0 // until targets that are down are not picked any more
	rejoinDelay     = 1000.0 // until targets are picked again after the outage
	tickInterval    = 100.0
	equalWorkspaces = 7 // of ten; the other three have three times their weight
)

// deadlines are the times within which the first token must come, by priority
// class, lowest first.
var deadlines = [3]float64{20000, 5000, 1000}

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// drawPrefill draws a request's prefill in milliseconds, for 200 to 1,000 tokens.
func drawPrefill(r *rand.Rand) float64 {
	return priorityBase + priorityPerToken*(200+r.Float64()*800)
}

// drawTokens draws the number of tokens that a request generates.
func drawTokens(r *rand.Rand) float64 {
	return min(r.ExpFloat64()*generatedTokens, 1000) + 1
}

// admitRequest is one caller's request.
type admitRequest struct {
	class      int // priority class, lowest first
	workspace  int
	start      float64 // time of the last submission
	work       float64 // milliseconds of prefill
	tokens     float64 // to generate
	resends    int     // retries that are left to the caller after a refusal
	attempts   int     // number of dispatches
	idempotent bool
	answered   bool
}

// admitNode is one entry node.
type admitNode struct {
	centre     int
	down       bool
	controller *admit.Controller
	router     *route.Router
	budget     *retry.Budget
	queued     map[admit.Ticket]*admitRequest
}

// admitRun is one run at one rate of arrivals.
type admitRun struct {
	timeline
	flags       *admissionFlags
	rate        float64
	unmanaged   bool // without admission control, for comparison
	random      *rand.Rand
	engines     []*priorityEngine
	nodes       []*admitNode
	refs        []route.Ref
	byRef       map[route.Ref]int
	outageFrom  float64
	outageTo    float64
	live        sample      // times to first token of live requests
	inTime      map[int]int // answers in time, by second
	byClass     [3]int      // answers in time, by priority class
	byWorkspace [10]float64 // answers in time
	dispatches  int         // during the outage and for leaseExpiry after it
	dispatched  int         // requests whose first dispatch is among these
	failure     error
}

func newAdmitRun(f *admissionFlags, rate float64) *admitRun {
	r := &admitRun{flags: f, rate: rate, random: newRandom(f.seed, 3), inTime: make(map[int]int), byRef: make(map[route.Ref]int)}
	for i := range f.engines {
		r.engines = append(r.engines, &priorityEngine{clock: &r.timeline})
		ref := route.Ref{Group: sardine.GroupID(fmt.Sprint("g", i)), Epoch: 1}
		r.refs = append(r.refs, ref)
		r.byRef[ref] = i
	}
	weights := make(map[sardine.Workspace]float64)
	for i := equalWorkspaces; i < 10; i++ {
		weights[workspaceName(i)] = 3
	}
	for i := range f.nodes {
		n := &admitNode{
			centre:     i % 3,
			controller: admit.New(newRandom(f.seed, uint64(10+i))),
			router:     route.New(newRandom(f.seed, uint64(1000+i)), route.WithSamples(2, 2)),
			budget:     retry.New(newRandom(f.seed, uint64(2000+i))),
			queued:     make(map[admit.Ticket]*admitRequest),
		}
		n.controller.SetWeights(weights)
		r.nodes = append(r.nodes, n)
	}
	r.updateCandidates(false)
	return r
}

func workspaceName(i int) sardine.Workspace {
	return sardine.Workspace(fmt.Sprint("w", i))
}

// updateCandidates gives the routers the targets of the data centres that are
// up.
func (r *admitRun) updateCandidates(outage bool) {
	var candidates []route.Candidate
	for i, ref := range r.refs {
		if !outage || i%3 != 0 {
			candidates = append(candidates, route.Candidate{Ref: ref, Service: "model", Kind: sardine.KindEngine})
		}
	}
	for _, n := range r.nodes {
		n.router.Update(sardine.Millis(r.now), candidates)
		n.router.SetPosition(r.position(n, outage))
	}
}

// position returns a node's index among the nodes that are up, and their number.
func (r *admitRun) position(n *admitNode, outage bool) (position, nodes int) {
	for _, o := range r.nodes {
		if outage && o.centre == 0 {
			continue
		}
		if o == n {
			position = nodes
		}
		nodes++
	}
	return position, nodes
}

func (r *admitRun) run(span float64) {
	r.after(0, r.arrive)
	r.after(0, r.tick)
	for i := range r.engines {
		r.after(r.random.Float64()*reportInterval, func() { r.report(i) })
	}
	if r.outageFrom > 0 {
		r.after(r.outageFrom, func() { r.setOutage(true) })
		r.after(r.outageFrom+leaseExpiry, func() { r.updateCandidates(true) })
		r.after(r.outageTo, func() { r.setOutage(false) })
		r.after(r.outageTo+rejoinDelay, func() { r.updateCandidates(false) })
	}
	r.runUntil(span)
}

// setOutage starts or ends an outage of the first data centre with its entry
// nodes and engines.
func (r *admitRun) setOutage(outage bool) {
	for i, e := range r.engines {
		if i%3 == 0 {
			if outage {
				e.fail()
			}
			e.down = outage
		}
	}
	for _, n := range r.nodes {
		if n.centre == 0 {
			n.down = outage
		}
	}
}

// report reports an engine's load to all routers at intervals.
func (r *admitRun) report(i int) {
	e := r.engines[i]
	l := sardine.Load{Running: e.running, Queued: e.queued()}
	at := sardine.Millis(r.now)
	r.after(minReportLag, func() {
		for _, n := range r.nodes {
			n.router.ReportLoad(at, r.refs[i], l)
		}
	})
	r.after(reportInterval, func() { r.report(i) })
}

func (r *admitRun) tick() {
	for _, n := range r.nodes {
		queued, ok := n.router.Pressure(sardine.Millis(r.now), "model", 3000)
		n.controller.SetPressure("model", queued, ok)
		r.applyDecisions(n, n.controller.Tick(sardine.Millis(r.now)))
		r.applyDecisions(n, n.controller.Next(sardine.Millis(r.now)))
	}
	r.after(tickInterval, r.tick)
}

// arrive draws a request and schedules the next one. A tenth of the requests are
// live and three tenths are batch; the workspaces of equal weight offer between
// 0.6 and 1.4 times their mean.
func (r *admitRun) arrive() {
	r.after(r.random.ExpFloat64()/r.rate*1000, r.arrive)
	q := &admitRequest{
		class: 1, start: r.now, work: drawPrefill(r.random), tokens: drawTokens(r.random),
		resends: 2, idempotent: r.random.Float64() < 0.8, workspace: r.drawWorkspace(),
	}
	switch x := r.random.Float64(); {
	case x < 0.1:
		q.class = 2
	case x < 0.4:
		q.class = 0
	}
	r.offer(q)
}

func (r *admitRun) drawWorkspace() int {
	if r.random.Float64() < 0.6 {
		return equalWorkspaces + r.random.IntN(3)
	}
	for {
		i := r.random.IntN(equalWorkspaces)
		if r.random.Float64()*1.4 < 0.6+0.8*float64(i)/(equalWorkspaces-1) {
			return i
		}
	}
}
