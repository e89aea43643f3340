package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	sardine "sardineswitch.dev/sardine"
)

const (
	simStep   = 10 * sardine.Millis(1)
	simWindow = 4 * sardine.Second
	simGrace  = 3 * sardine.Second // after the first answer with a limit
	simHeard  = 500 * sardine.Millis(1)
)

// simPhase is a worker's limit from a time on, in requests per second.
type simPhase struct {
	from    sardine.Millis
	limits  []float64 // stated in turn, one an answer; Unlimited for an answer without one
	restart bool      // a new life begins
	named   bool      // the lowest limit has arrived in an answer, at the time from
}

func (p simPhase) allowed() float64 {
	lowest := Unlimited
	for _, l := range p.limits {
		if l != Unlimited && (lowest == Unlimited || l < lowest) {
			lowest = l
		}
	}
	return lowest
}

// simFaults are the chances of faults per second.
type simFaults struct {
	lostReport   float64 // of each report
	nodeRestart  float64
	leaderChange float64
}

type simNode struct {
	id        sardine.NodeID
	table     *Table
	rate      float64 // arriving requests per second
	waiting   []sardine.Millis
	excused   sardine.Millis // until this time
	heard     sardine.Millis // first answer with a limit, negative before
	reportsAt sardine.Millis
}

// simEvent is an answer or a message that arrives later.
type simEvent struct {
	at sardine.Millis
	do func(now sardine.Millis)
}

// simArrival is a request that reached the worker.
type simArrival struct {
	at      sardine.Millis
	counted bool
}

// sim plays one worker, its entry nodes and a control leader in virtual time.
type sim struct {
	now         sardine.Millis
	random      *rand.Rand
	nodes       []*simNode
	ids         []sardine.NodeID
	allocator   *Allocator
	allocations []Allocation
	allocatedAt sardine.Millis
	leaderFrom  sardine.Millis
	events      []simEvent
	phases      []simPhase
	phase       int
	target      Target
	answers     int
	firstNamed  sardine.Millis // of this life, negative before
	arrivals    []simArrival
	faults      simFaults
	delay       sardine.Millis
}

func newSim(seed uint64, nodes int, phases []simPhase, f simFaults) *sim {
	n := &sim{
		random: rand.New(rand.NewPCG(seed, 7)), allocator: NewAllocator(0), phases: phases, faults: f,
		target: Target{VM: "worker", Incarnation: 1}, firstNamed: -1,
	}
	n.delay = sardine.Millis(20 + n.random.IntN(200))
	for i := range nodes {
		n.ids = append(n.ids, sardine.NodeID(fmt.Sprint("node-", i)))
	}
	for _, id := range n.ids {
		node := &simNode{id: id, heard: -1, reportsAt: sardine.Millis(n.random.IntN(500))}
		n.nodes = append(n.nodes, node)
		n.start(0, node)
	}
	return n
}

// setDemand divides a demand among the nodes. With skew 0 they get the same.
func (n *sim) setDemand(total, skew float64) {
	sum := 0.0
	for _, node := range n.nodes {
		node.rate = 1
		if skew > 0 {
			node.rate = max(n.random.ExpFloat64()*n.random.ExpFloat64()*skew-0.05, 0)
		}
		sum += node.rate
	}
	for _, node := range n.nodes {
		node.rate *= total / max(sum, 1e-9)
	}
}

func (n *sim) start(now sardine.Millis, node *simNode) {
	node.table = NewTable(node.id)
	node.table.SetNodes(now, n.ids)
	n.retain(node)
	node.waiting = nil
}

func (n *sim) retain(node *simNode) {
	node.table.Retain(map[Target]sardine.ServiceName{n.target: "service"})
}

func (n *sim) later(at sardine.Millis, do func(now sardine.Millis)) {
	n.events = append(n.events, simEvent{at: at, do: do})
}

func (n *sim) deliver(now sardine.Millis) {
	due := n.events
	n.events = nil
	for _, e := range due {
		if e.at <= now {
			e.do(now)
		} else {
			n.events = append(n.events, e)
		}
	}
}

func (n *sim) step(now sardine.Millis) {
	for n.phase+1 < len(n.phases) && n.phases[n.phase+1].from <= now {
		n.phase++
		if n.phases[n.phase].restart {
			n.restartTarget()
		}
	}
	n.deliver(now)
	seconds := float64(simStep) / 1000
	if n.random.Float64() < n.faults.leaderChange*seconds {
		n.excuse(now, now+1500)
		n.allocator, n.allocations, n.leaderFrom = NewAllocator(now+1500), nil, now+1500
	}
	if now >= n.allocatedAt+250 && now >= n.leaderFrom {
		n.allocations, n.allocatedAt = n.allocator.Allocations(now, n.ids), now
	}
	for _, node := range n.nodes {
		if n.random.Float64() < n.faults.nodeRestart*seconds/float64(len(n.nodes)) {
			n.start(now, node)
			node.excused = max(now, n.leaderFrom) + simGrace
		}
		n.request(now, node)
		if now >= node.reportsAt {
			node.reportsAt = now + 500
			n.report(now, node)
		}
	}
}

// run steps up to an instant.
func (n *sim) run(until sardine.Millis) {
	for ; n.now < until; n.now += simStep {
		n.step(n.now)
	}
}

// excuse extends the time for what has just changed to the end of an outage of the
// leader, as bounds in time hold once the leader is stable.
func (n *sim) excuse(now, until sardine.Millis) {
	if p := &n.phases[n.phase]; now < p.from+simGrace {
		p.from = until
	}
	for _, node := range n.nodes {
		if now < node.excused {
			node.excused = until + simGrace
		}
	}
}

func (n *sim) restartTarget() {
	n.target.Incarnation++
	n.firstNamed, n.answers, n.arrivals = -1, 0, nil
	for _, node := range n.nodes {
		node.heard = -1
		n.retain(node)
	}
}

// report sends a node's report, which reaches the leader with the next round of
// the control node that it is sent to.
func (n *sim) report(now sardine.Millis, node *simNode) {
	r := node.table.Report(now)
	lost := n.random.Float64() < n.faults.lostReport
	if r.Empty() || lost || now < n.leaderFrom {
		return
	}
	table, held := node.table, sardine.Millis(n.random.IntN(250))
	n.later(now+15+held, func(at sardine.Millis) {
		r.Age = held
		n.allocator.Report(at, node.id, r)
	})
	if n.random.Float64() < n.faults.lostReport {
		return
	}
	n.later(now+15, func(at sardine.Millis) {
		shares := make([]Share, 0, len(n.allocations))
		for _, a := range n.allocations {
			shares = append(shares, a.ShareOf(node.id, at-n.allocatedAt))
		}
		n.later(at+15, func(at sardine.Millis) { table.Apply(at, now, shares) })
	})
}

// request lets requests arrive at a node and sends those that may be sent.
func (n *sim) request(now sardine.Millis, node *simNode) {
	for range poisson(n.random, node.rate*float64(simStep)/1000) {
		node.table.CountDemand(now, "service")
		node.waiting = append(node.waiting, now)
	}
	for len(node.waiting) > 0 && (len(node.waiting) > 20 || node.waiting[0] < now-2*sardine.Second) {
		node.waiting = node.waiting[1:]
	}
	for len(node.waiting) > 0 && node.table.Wait(now, n.target) == 0 {
		node.waiting = node.waiting[1:]
		node.table.Take(now, n.target)
		n.send(now, node)
	}
}

func (n *sim) send(now sardine.Millis, node *simNode) {
	table, target, phase := node.table, n.target, &n.phases[n.phase]
	n.arrivals = append(n.arrivals, simArrival{at: now, counted: node.heard >= 0 && node.heard+simHeard <= now && now >= node.excused})
	limits := n.phases[n.phase].limits
	limit := limits[n.answers%len(limits)]
	n.answers++
	ran := n.random.IntN(10) > 0
	n.later(now+n.delay+sardine.Millis(n.random.IntN(100)), func(at sardine.Millis) {
		table.Observe(at, now, target, max(limit, 0), limit != Unlimited, ran)
		if !phase.named && limit == phase.allowed() {
			phase.named, phase.from = true, max(at, n.leaderFrom)
		}
		if target != n.target || limit == Unlimited {
			return
		}
		if node.heard < 0 {
			node.heard = at
		}
		if n.firstNamed < 0 {
			n.firstNamed = at
		}
	})
}

// excess returns by how many requests the rule is exceeded in the window that
// ends now. The limit in force is the highest of the window and of the time in
// which a change reaches all nodes.
func (n *sim) excess(now sardine.Millis) float64 {
	if n.firstNamed < 0 || now < n.firstNamed+simGrace+simWindow {
		return 0
	}
	allowed := n.phases[n.phase].allowed()
	for i := n.phase; i >= 0; i-- {
		p := n.phases[i]
		if p.allowed() == Unlimited {
			return 0
		}
		allowed = max(allowed, p.allowed())
		if p.restart || p.named && p.from < now-simWindow-simGrace {
			break
		}
	}
	count := 0
	for i := len(n.arrivals) - 1; i >= 0 && n.arrivals[i].at > now-simWindow; i-- {
		if n.arrivals[i].counted {
			count++
		}
	}
	return float64(count) - (1.5*simWindow.Duration().Seconds()*allowed + 5)
}

// received returns the requests that the worker got in a span.
func (n *sim) received(from, to sardine.Millis) int {
	count := 0
	for _, a := range n.arrivals {
		if a.at >= from && a.at < to {
			count++
		}
	}
	return count
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := mean - random.ExpFloat64(); left > 0; left -= random.ExpFloat64() {
		count++
	}
	return count
}

func randomPhases(random *rand.Rand, length sardine.Millis) []simPhase {
	phases := []simPhase{{limits: []float64{Unlimited}}}
	for at := sardine.Millis(2000); at < length; at += sardine.Millis(4000 + random.IntN(15000)) {
		low := []float64{0, 0.3, 1, 2.4, 6.8, 20, 60}[random.IntN(7)]
		p := simPhase{from: at, limits: []float64{low}}
		switch random.IntN(7) {
		case 0:
			p.limits = []float64{low, Unlimited}
		case 1:
			p.limits = []float64{low * 4, low}
		case 2:
			p.limits = []float64{Unlimited}
		case 3:
			p.restart = true
		}
		phases = append(phases, p)
	}
	return phases
}

// TestLimitHoldsOverAllNodes checks the rule for callers of a target with a
// limit under random faults: in any 4 s at most one and a half times the limit
// and 5 requests.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	const length = 90 * sardine.Second
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		count := []int{2, 6, 9, 69}[seed%4]
		f := simFaults{lostReport: 0.1 * random.Float64(), nodeRestart: 0.2 * random.Float64(), leaderChange: 0.05 * random.Float64()}
		n := newSim(seed, count, randomPhases(random, length), f)
		worst := 0.0
		for n.now < length {
			if n.now%(15*sardine.Second) == 0 {
				n.setDemand(5+random.Float64()*200, float64(random.IntN(2)))
			}
			n.run(n.now + simStep)
			if e := n.excess(n.now); e > worst {
				worst = e
				t.Logf("seed %d: %d nodes, at %d: %.1f requests too many, limits %v", seed, count, n.now, e, n.phases[n.phase].limits)
			}
		}
		assert.LessOrEqual(t, worst, 0.0, "seed %d", seed)
	}
}

// TestLimitIsUsed checks that most of a limit is used where the nodes that may use
// the target have three times the demand, evenly distributed or not.
func TestLimitIsUsed(t *testing.T) {
	for i, limit := range []float64{0.3, 1, 2.4, 6.8, 20, 60} {
		for j, count := range []int{2, 6, 9, 69} {
			for skew := range 2 {
				n := newSim(uint64(8*i+2*j+skew), count, []simPhase{{limits: []float64{limit}}}, simFaults{lostReport: 0.03})
				n.setDemand(3*max(limit, 1)*float64(count)/float64(eligible(limit, count)), float64(skew))
				n.run(80 * sardine.Second)
				assert.GreaterOrEqual(t, float64(n.received(10*sardine.Second, n.now)), 0.7*limit*70, "limit %v, %d nodes, skew %d", limit, count, skew)
			}
		}
	}
}

// TestNodesLearnOfRemovedLimit checks that a target gets all requests again some time
// after its last answer with a limit, also from nodes that had no share of it.
func TestNodesLearnOfRemovedLimit(t *testing.T) {
	for i, limit := range []float64{0, 0.3, 6.8} {
		for j, count := range []int{2, 9, 69} {
			n := newSim(uint64(i+3*j), count, []simPhase{{limits: []float64{limit}}, {from: 20 * sardine.Second, limits: []float64{Unlimited}}}, simFaults{lostReport: 0.1, nodeRestart: 0.1})
			n.setDemand(50, 1)
			n.run(90 * sardine.Second)
			assert.Greater(t, n.received(80*sardine.Second, n.now), 450, "limit %v, %d nodes", limit, count)
		}
	}
}
