package route

import (
	"cmp"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// service groups the targets of one service with what was learned about them.
type service struct {
	targets     []*target // sorted by hash
	costs       Costs
	scale       float64   // observed time over assumed time
	meanPrefill float64   // uncached tokens of a request
	firstShares []float64 // cached share of a prefix by rank, last that of other targets
	laterShares []float64 // the same of conversations' later requests
	hintShare   float64   // share of hinted blocks found cached
	tokenRate   float64   // usual reported tokens per second of one running request
	popular     *popular
	roomAt      sardine.Millis // when the targets were last seen with room, 0 for never
}

// Router picks targets for one entry node. It is not safe for concurrent use.
type Router struct {
	options  options
	random   sardine.Random
	targets  map[Ref]*target
	services map[sardine.ServiceName]*service
	engines  map[sardine.ServiceName]Engine
	hints    *hintTable
	usable   []*target // scratch of Pick
	position int       // of this node among the entry nodes
	nodes    int       // entry nodes, 0 if not known
	near     []*target // scratch of Pick: the usable ones in reach
	scratch  []place   // scratch of Pick
	chances  []float64 // scratch of Pick: of the usable ones
	counts   Counts
}

// Counts tells what the router has done, for dumps and measurements.
type Counts struct {
	Picks       int
	HintBlocks  int // blocks hinted at the picked target
	HintCorrect int // of those found in the cache
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

// Update replaces the candidates. Those already known keep what was learned;
// those missing get no more requests.
func (r *Router) Update(now sardine.Millis, candidates []Candidate) {
	kept := make(map[Ref]*target, len(candidates))
	for _, s := range r.services {
		s.targets = s.targets[:0]
	}
	var fresh []*target
	for _, c := range candidates {
		if kept[c.Ref] != nil {
			continue
		}
		t := r.targets[c.Ref]
		if t == nil {
			t = newTarget(c, &r.options)
			fresh = append(fresh, t)
		}
		t.candidate = c
		t.gone = false
		kept[c.Ref] = t
		s := r.service(c.Service)
		s.targets = append(s.targets, t)
	}
	for ref, t := range r.targets {
		t.gone = kept[ref] == nil
	}
	r.targets = kept
	r.sortTargets()
	for _, t := range fresh {
		r.startReading(now, r.services[t.candidate.Service], t)
	}
}

// SetPosition tells the node's position among the entry nodes, from 0, and their
// number. Requests that no cache speaks for then go to targets of the node's
// own, where the requests in flight are its own and known exactly.
func (r *Router) SetPosition(position, nodes int) {
	r.position = position
	r.nodes = nodes
}

// owns reports whether the target is one of the node's own.
func (r *Router) owns(t *target) bool {
	return r.nodes > 0 && t.slot%r.nodes == r.position%min(r.nodes, r.targetsOf(t))
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
			t.slot = i
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
			firstShares: startShares(r.options.places),
			laterShares: startShares(r.options.places),
			hintShare:   0.9,
			popular:     newPopular(),
		}
		r.services[name] = s
	}
	return s
}

// startShares returns the shares assumed before any were seen.
func startShares(places int) []float64 {
	shares := make([]float64, places+1)
	for rank := range places {
		shares[rank] = 0.5 / float64(rank+1)
	}
	return shares
}

// Pick chooses the target of a request. The error carries codes.NoTarget if no
// candidate may take it, and codes.DeadlineTight if none can answer in time; in
// both cases nothing was started.
func (r *Router) Pick(now sardine.Millis, q Request) (Choice, error) {
	s := r.services[q.Service]
	if s == nil {
		return Choice{}, codes.New(codes.NoTarget, "no target serves %s", q.Service)
	}
	r.gather(now, s, q)
	if len(r.usable) == 0 {
		return Choice{}, codes.New(codes.NoTarget, "none of the %d targets of %s takes the request", len(s.targets), q.Service)
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

// preferred returns a choice of the group that the request prefers, if usable.
func (r *Router) preferred(now sardine.Millis, s *service, q Request) Choice {
	if q.Prefer == "" {
		return Choice{}
	}
	for _, t := range r.usable {
		if t.candidate.Group == q.Prefer {
			return r.choice(now, s, q, t, noRank)
		}
	}
	return Choice{}
}

// gather collects the targets that may take the request. Ejected ones are used
// only when no other is left.
func (r *Router) gather(now sardine.Millis, s *service, q Request) {
	r.usable = r.usable[:0]
	for _, t := range s.targets {
		if t.takes(now, q) && !t.outlier.ejected(now) && r.hasRoom(t) {
			r.usable = append(r.usable, t)
		}
	}
	if len(r.usable) > 0 {
		return
	}
	for _, t := range s.targets {
		if t.takes(now, q) && r.hasRoom(t) {
			r.usable = append(r.usable, t)
		}
	}
}

func (r *Router) hasRoom(t *target) bool {
	bound := r.options.concurrency
	return t.candidate.Kind != sardine.KindPlain || bound == 0 || t.inFlight < bound
}

// check asserts that a picked target may take new work.
func (r *Router) check(now sardine.Millis, t *target, q Request) error {
	current := r.targets[t.candidate.Ref] == t
	if !current || t.candidate.Service != q.Service || !t.takes(now, q) {
		return codes.New(codes.InvariantBroken, "picked target %s may not take the request", t.candidate.Ref)
	}
	return nil
}

// Counts returns what the router has done so far.
func (r *Router) Counts() Counts {
	return r.counts
}
