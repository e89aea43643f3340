package route

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// service holds the targets of one service and what the router learned about
// them.
type service struct {
	targets       []*target // sorted by hash
	costs         Costs
	scale         float64   // observed time over modelled time
	meanPrefill   float64   // mean uncached tokens of a request
	firstShares   []float64 // cached share of a prefix by rank, the last for other targets
	laterShares   []float64 // the same for follow-up requests of conversations
	hintShare     float64   // share of hinted blocks found cached
	tokenRate     float64   // typical reported tokens per second of one running request
	popularity    *popularity
	unsaturatedAt sardine.Millis // when the targets last had fewer requests than slots, 0 is never
}

// Router picks targets for one entry node. It is not safe for concurrent use.
type Router struct {
	options  options
	random   sardine.Random
	targets  map[Ref]*target
	services map[sardine.ServiceName]*service
	engines  map[sardine.ServiceName]Engine
	hints    *hintTable
	usable   []*target      // buffer of Pick
	position int            // index of this node among the entry nodes
	nodes    int            // number of entry nodes, 0 if not known
	near     []*target      // buffer of Pick: the usable targets near this node
	scratch  []scoredTarget // buffer of Pick
	weights  []float64      // buffer of Pick: weights of the usable targets
	counts   Counts
}

// Counts holds the router's counters, for debug output and measurements.
type Counts struct {
	Picks       int
	HintBlocks  int // blocks hinted at the picked target
	HintCorrect int // hinted blocks that were in the cache
	Ejections   int
}

// New returns a router without candidates.
func New(random sardine.Random, opts ...Option) *Router {
	o := defaults()
	for _, option := range opts {
		option(&o)
	}
	return &Router{
		options:  o,
		random:   random,
		targets:  make(map[Ref]*target),
		services: make(map[sardine.ServiceName]*service),
		engines:  make(map[sardine.ServiceName]Engine),
		hints:    newHintTable(o.hintLimit),
	}
}

// Update replaces the candidates. Known candidates keep what was learned
// about them; missing ones get no more requests.
func (r *Router) Update(now sardine.Millis, candidates []Candidate) {
	kept := make(map[Ref]*target, len(candidates))
	for _, s := range r.services {
		s.targets = s.targets[:0]
	}
	var added []*target
	for _, c := range candidates {
		if kept[c.Ref] != nil {
			continue
		}
		t := r.targets[c.Ref]
		if t == nil {
			t = newTarget(c, &r.options)
			added = append(added, t)
		}
		t.candidate = c
		t.removed = false
		kept[c.Ref] = t
		s := r.service(c.Service)
		s.targets = append(s.targets, t)
	}
	for ref, t := range r.targets {
		t.removed = kept[ref] == nil
	}
	r.targets = kept
	r.sortTargets()
	for _, t := range added {
		r.initPrefillLoad(now, r.services[t.candidate.Service], t)
	}
}

// SetPosition sets the node's index among the entry nodes, from 0, and their
// number. Each node owns a part of the targets and always considers those, so
// that requests without a cached prefix tend to go there: the requests in
// flight at these targets are mostly its own and known exactly.
func (r *Router) SetPosition(position, nodes int) {
	r.position = position
	r.nodes = nodes
}

// owns reports whether the target is in this node's own part of the targets.
func (r *Router) owns(t *target) bool {
	return r.nodes > 0 && t.index%r.nodes == r.position%min(r.nodes, r.targetsOf(t))
}

// targetsOf returns the number of targets of t's service, at least 1.
func (r *Router) targetsOf(t *target) int {
	s := r.services[t.candidate.Service]
	if s == nil {
		return 1
	}
	return max(len(s.targets), 1)
}

func (r *Router) sortTargets() {
	for name, s := range r.services {
		if len(s.targets) == 0 {
			delete(r.services, name)
			continue
		}
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
		for i, t := range s.targets {
			t.index = i
		}
	}
}

func (r *Router) service(name sardine.ServiceName) *service {
	s := r.services[name]
	if s == nil {
		s = &service{
			costs:       r.options.costs,
			scale:       1,
			meanPrefill: 500,
			firstShares: initialShares(r.options.rendezvous),
			laterShares: initialShares(r.options.rendezvous),
			hintShare:   0.9,
			popularity:  newPopularity(),
		}
		r.services[name] = s
	}
	return s
}

// initialShares returns the cached shares assumed before any observation.
func initialShares(rendezvous int) []float64 {
	shares := make([]float64, rendezvous+1)
	for rank := range rendezvous {
		shares[rank] = 0.5 / float64(rank+1)
	}
	return shares
}

// Pick chooses the target of a request. The error carries codes.NoTarget if
// no candidate is eligible, and codes.DeadlineTight if the chosen one is not
// expected to answer in time; in both cases nothing was started.
func (r *Router) Pick(now sardine.Millis, q Request) (Choice, error) {
	s := r.services[q.Service]
	if s == nil {
		return Choice{}, codes.New(codes.NoTarget, "no target serves %s", q.Service)
	}
	r.gather(now, s, q)
	if len(r.usable) == 0 {
		return Choice{}, codes.New(codes.NoTarget, "none of the %d targets of %s can accept the request", len(s.targets), q.Service)
	}
	c := r.preferred(now, s, q)
	if c.target == nil {
		c = r.choose(now, s, q)
	}
	if err := r.check(now, c.target, q); err != nil {
		return Choice{}, err
	}
	if q.Deadline != 0 && now+c.Expected > q.Deadline {
		return Choice{}, codes.New(codes.DeadlineTight, "the first token is expected in %d ms, the deadline is in %d ms", c.Expected, q.Deadline-now)
	}
	r.counts.Picks++
	return c, nil
}

// HasUsable reports whether some candidate may take the request.
func (r *Router) HasUsable(now sardine.Millis, q Request) bool {
	s := r.services[q.Service]
	if s == nil {
		return false
	}
	r.gather(now, s, q)
	return len(r.usable) > 0
}

// preferred returns a choice of the request's preferred group if it is
// usable.
func (r *Router) preferred(now sardine.Millis, s *service, q Request) Choice {
	if q.Prefer == "" {
		return Choice{}
	}
	for _, t := range r.usable {
		if t.candidate.Group == q.Prefer {
			return r.newChoice(now, s, q, t, noRank)
		}
	}
	return Choice{}
}

// gather collects the usable targets for the request. Ejected targets are
// included only when there are no others.
func (r *Router) gather(now sardine.Millis, s *service, q Request) {
	r.usable = r.usable[:0]
	for _, t := range s.targets {
		if t.accepts(now, q) && !t.outlier.ejected(now) && r.hasCapacity(t) {
			r.usable = append(r.usable, t)
		}
	}
	if len(r.usable) > 0 {
		return
	}
	for _, t := range s.targets {
		if t.accepts(now, q) && r.hasCapacity(t) {
			r.usable = append(r.usable, t)
		}
	}
}

func (r *Router) hasCapacity(t *target) bool {
	bound := r.options.concurrency
	return t.candidate.Kind != sardine.KindPlain || bound == 0 || t.inFlight < bound
}

// check asserts that a picked target is eligible for the request.
func (r *Router) check(now sardine.Millis, t *target, q Request) error {
	current := r.targets[t.candidate.Ref] == t
	if !current || t.candidate.Service != q.Service || !t.accepts(now, q) {
		return codes.New(codes.InvariantBroken, "picked target %s is not eligible for the request", t.candidate.Ref)
	}
	return nil
}

// Counts returns the router's counters.
func (r *Router) Counts() Counts {
	return r.counts
}
