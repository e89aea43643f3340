package gauge

import (
	"fmt"
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/retry"
	"sardineswitch.dev/sardine/route"
)

// Times of the admission measurement, in milliseconds.
const (
	silentAfter  = 1000.0 // an unanswered dispatch counts as failed
	leaseLapse   = 3000.0 // dark targets are picked no more
	leaseReturn  = 1000.0
	tickEvery    = 100.0
	equalTenants = 7 // of ten workspaces; the other three have three times their weight
)

// deadlines of the classes' first tokens, lowest class first.
var deadlines = [3]float64{20000, 5000, 1000}

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

func slotWork(r *rand.Rand) float64 {
	return slotBase + slotPerToken*(200+r.Float64()*800)
}

func slotTokens(r *rand.Rand) float64 {
	return min(r.ExpFloat64()*generatedTokens, 1000) + 1
}

// ask is one caller's request.
type ask struct {
	class      int
	tenant     int
	start      float64
	work       float64
	tokens     float64
	resends    int // left to its caller after a refusal
	attempts   int // dispatches
	idempotent bool
	answered   bool
}

// admitNode is one entry node.
type admitNode struct {
	centre  int
	dark    bool
	control *admit.Controller
	router  *route.Router
	budget  *retry.Budget
	queued  map[admit.Ticket]*ask
}

// admitRun is one run at one rate of arrivals.
type admitRun struct {
	timeline
	flags      *admissionFlags
	rate       float64
	open       bool // no admission, to compare
	random     *rand.Rand
	engines    []*slotEngine
	nodes      []*admitNode
	refs       []route.Ref
	byRef      map[route.Ref]int
	darkFrom   float64
	darkTo     float64
	live       sample
	good       map[int]int // answers in time by second
	byClass    [3]int
	byTenant   [10]float64
	dispatches int // while a data centre is dark
	dispatched int // requests dispatched at least once
	failure    error
}

func newAdmitRun(f *admissionFlags, rate float64) *admitRun {
	r := &admitRun{flags: f, rate: rate, random: newRandom(f.seed, 3), good: make(map[int]int), byRef: make(map[route.Ref]int)}
	for i := range f.engines {
		r.engines = append(r.engines, &slotEngine{line: &r.timeline})
		ref := route.Ref{Group: sardine.GroupID(fmt.Sprint("g", i)), Epoch: 1}
		r.refs = append(r.refs, ref)
		r.byRef[ref] = i
	}
	weights := make(map[sardine.Workspace]float64)
	for i := equalTenants; i < 10; i++ {
		weights[tenantName(i)] = 3
	}
	for i := range f.nodes {
		n := &admitNode{
			centre:  i % 3,
			control: admit.New(newRandom(f.seed, uint64(10+i))),
			router:  route.New(newRandom(f.seed, uint64(1000+i)), route.WithSamples(2, 2)),
			budget:  retry.New(newRandom(f.seed, uint64(2000+i))),
			queued:  make(map[admit.Ticket]*ask),
		}
		n.control.SetWeights(weights)
		r.nodes = append(r.nodes, n)
	}
	r.follow(false)
	return r
}

func tenantName(i int) sardine.Workspace {
	return sardine.Workspace(fmt.Sprint("w", i))
}

// follow gives the routers the targets of the data centres that are up.
func (r *admitRun) follow(dark bool) {
	var candidates []route.Candidate
	for i, ref := range r.refs {
		if !dark || i%3 != 0 {
			candidates = append(candidates, route.Candidate{Ref: ref, Service: "model", Kind: sardine.KindEngine})
		}
	}
	for _, n := range r.nodes {
		n.router.Update(sardine.Millis(r.now), candidates)
		n.router.SetPosition(r.position(n, dark))
	}
}

// position returns a node's place among those that are up.
func (r *admitRun) position(n *admitNode, dark bool) (position, nodes int) {
	for _, o := range r.nodes {
		if dark && o.centre == 0 {
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
		r.after(r.random.Float64()*reportEvery, func() { r.report(i) })
	}
	if r.darkFrom > 0 {
		r.after(r.darkFrom, func() { r.switchDark(true) })
		r.after(r.darkFrom+leaseLapse, func() { r.follow(true) })
		r.after(r.darkTo, func() { r.switchDark(false) })
		r.after(r.darkTo+leaseReturn, func() { r.follow(false) })
	}
	r.runUntil(span)
}

// switchDark cuts off the first data centre with its entry nodes and engines.
func (r *admitRun) switchDark(dark bool) {
	for i, e := range r.engines {
		if i%3 == 0 {
			if dark {
				e.goDark()
			}
			e.dark = dark
		}
	}
	for _, n := range r.nodes {
		if n.centre == 0 {
			n.dark = dark
		}
	}
}

func (r *admitRun) report(i int) {
	e := r.engines[i]
	l := sardine.Load{Running: e.running, Queued: e.queued()}
	at := sardine.Millis(r.now)
	r.after(reportLagLow, func() {
		for _, n := range r.nodes {
			n.router.ReportLoad(at, r.refs[i], l)
		}
	})
	r.after(reportEvery, func() { r.report(i) })
}

func (r *admitRun) tick() {
	for _, n := range r.nodes {
		queued, ok := n.router.Pressure(sardine.Millis(r.now), "model", 3000)
		n.control.SetPressure("model", queued, ok)
		r.decide(n, n.control.Tick(sardine.Millis(r.now)))
		r.decide(n, n.control.Next(sardine.Millis(r.now)))
	}
	r.after(tickEvery, r.tick)
}

// arrive draws a request: a tenth live, three tenths batch; the equal
// workspaces offer between 0.6 and 1.4 times their mean.
func (r *admitRun) arrive() {
	r.after(r.random.ExpFloat64()/r.rate*1000, r.arrive)
	q := &ask{
		class: 1, start: r.now, work: slotWork(r.random), tokens: slotTokens(r.random),
		resends: 2, idempotent: r.random.Float64() < 0.8, tenant: r.drawTenant(),
	}
	switch x := r.random.Float64(); {
	case x < 0.1:
		q.class = 2
	case x < 0.4:
		q.class = 0
	}
	r.offer(q)
}

func (r *admitRun) drawTenant() int {
	if r.random.Float64() < 0.6 {
		return equalTenants + r.random.IntN(3)
	}
	for {
		i := r.random.IntN(equalTenants)
		if r.random.Float64()*1.4 < 0.6+0.8*float64(i)/(equalTenants-1) {
			return i
		}
	}
}
