package ctrl

import (
	"context"
	"log/slog"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// cutPolicy reads the cut policy from a revision's document.
type cutPolicy func(sardine.Team, state.Revision) sardine.CutPolicy

// leadership holds the soft state of the node while it leads. Follow requests
// and the leader duty take turns at it.
type leadership struct {
	self    sardine.NodeID
	mu      sync.Mutex
	term    uint64 // 0 while the node does not lead
	seen    uint64 // index up to which the ledger knows the log
	ledger  *lease.Ledger
	fleet   *fleet.Leader
	planner *plan.Planner
	polls   *polls
	lender  *limit.Lender // of this term
	waits   []plan.Wait
	breach  error
}

func newLeadership(self sardine.NodeID, t Timing, planner *plan.Planner, snapshot func() ([]byte, uint64, error)) *leadership {
	ledger := lease.New(lease.WithServing(t.Lease), lease.WithHolding(t.Holding))
	return &leadership{
		self:    self,
		ledger:  ledger,
		polls:   newPolls(follow.NewServer(ledger, follow.WithSnapshot(snapshot))),
		fleet:   fleet.NewLeader(fleet.WithGrace(t.Grace), fleet.WithOverdue(t.Overdue)),
		planner: planner,
	}
}

// freshGrace stands for the grace of a site that knows no target yet: there is
// nothing that an earlier leader did, so that forming groups need not wait.
const freshGrace = 100 * sardine.Millis(1)

// begin starts a term from the state, which holds all entries of earlier terms.
func (l *leadership) begin(now sardine.Millis, term uint64, m *state.Machine, cut cutPolicy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.seen = m.Index()
	l.ledger.Lead(now, term, m.Index(), m.Entries())
	for _, name := range m.Teams() {
		for _, r := range m.History(name) {
			l.ledger.Changed(name, r.Index, cut(name, r))
		}
	}
	l.fleet.Lead(now, term)
	if len(m.Targets()) == 0 {
		l.fleet.Settle(now + freshGrace)
	}
	l.planner.Lead(now, term, m)
	l.polls.server.Lead(term)
	l.lender = limit.NewLender(now, term)
}

// end gives the term up. Polls learn the address of the leader that is known.
func (l *leadership) end(leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != 0 {
		l.ledger.Resign()
	}
	l.term = 0
	l.polls.server.Resign(leader)
}

// leads reports whether the term is under way.
func (l *leadership) leads(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term == term && term != 0
}

// catchUp brings the ledger to the state's index. The lock is held.
//
// The ledger learns joined and left nodes from the state itself instead of from
// each entry: a refused JoinEntry changes nothing there, and a run of entries
// costs one comparison.
func (l *leadership) catchUp(m *state.Machine, cut cutPolicy) {
	if m.Index() <= l.seen {
		return
	}
	joined := make(map[sardine.NodeID]sardine.Incarnation)
	for _, h := range l.ledger.Holders() {
		joined[h.Entry.Node] = h.Entry.Incarnation
		if _, known := m.Entry(h.Entry.Node); !known {
			l.ledger.Left(h.Entry.Node, h.Entry.Incarnation)
		}
	}
	for _, e := range m.Entries() {
		if i, known := joined[e.Node]; !known || i != e.Incarnation {
			l.ledger.Joined(e)
		}
	}
	for _, name := range m.Teams() {
		for _, r := range m.History(name) {
			if r.Index > l.seen {
				l.ledger.Changed(name, r.Index, cut(name, r))
			}
		}
	}
	l.seen = m.Index()
}

// work is what a round of the leader wants done.
type work struct {
	targets []state.Command // in any order
	groups  []state.Command // one after the other
	orders  []plan.SendOrder
}

// round looks at the fleet and plans groups.
func (l *leadership) round(now sardine.Millis, m *state.Machine, settings []sardine.TeamSettings) (work, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.breach != nil {
		return work{}, nil
	}
	l.configureLimits(settings)
	targets := append(l.fleet.Tick(now, m), l.forget(now)...)
	out, err := l.planner.Round(now, m, l.fleet.At(now), settings)
	if err != nil {
		l.breach = err
		return work{}, err
	}
	l.waits = out.Waits
	return work{targets: targets, groups: out.Commands, orders: out.Orders}, nil
}

// forgetAfter is how long after its lease a silent entry node stays a member. The
// claims that it left running are of unknown outcome from then on; a node that
// comes back joins again.
const forgetAfter = 60 * sardine.Second

// forget returns the commands that remove entry nodes that have been silent for
// long. The lock is held.
func (l *leadership) forget(now sardine.Millis) []state.Command {
	var commands []state.Command
	for _, h := range l.ledger.Holders() {
		if now < h.Serves+forgetAfter {
			continue
		}
		if may, _ := l.ledger.MayRemove(now, h.Entry.Node); may {
			commands = append(commands, state.LeaveEntry{Node: h.Entry.Node, Incarnation: h.Entry.Incarnation})
		}
	}
	return commands
}

func (l *leadership) why(id sardine.GroupID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.Why(id)
}

func (l *leadership) proposed(now sardine.Millis, c state.Command, r state.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.Proposed(now, c, r)
}

func (l *leadership) orderDone(now sardine.Millis, s plan.SendOrder, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.OrderDone(now, s, err)
}

// lead is the leader duty: it takes up leadership, plans, proposes and sends
// orders until the node stops.
func (n *Node) lead() error {
	for {
		changed := n.log.Changed()
		n.leadOnce()
		select {
		case <-n.tomb.Dying():
			return nil
		case <-changed:
		case <-n.wake:
		case <-n.clock.After(n.timing.Round):
		}
	}
}

func (n *Node) leadOnce() {
	info := n.log.Leader()
	if !info.Leading {
		n.leadership.end(info.Address)
		return
	}
	if !n.leadership.leads(info.Term) && !n.takeUp(info.Term) {
		return
	}
	var todo work
	var err error
	settings := append(n.allSettings(), n.layoutSettings()...)
	n.log.View(func(m *state.Machine) {
		todo, err = n.leadership.round(n.clock.Now(), m, settings)
	})
	if err != nil {
		// Planning stops here; leases, settings and the log go on, because all
		// control nodes may meet the same breach.
		event.Log(n.logger, event.InvariantBroken, errorAttr(err))
		return
	}
	n.carryOut(todo)
}

// takeUp begins a term once a quorum has confirmed it, at which time all
// entries of earlier terms are applied here.
func (n *Node) takeUp(term uint64) bool {
	ctx, cancel := context.WithTimeout(n.life, n.timing.Propose.Duration())
	defer cancel()
	_, confirmed, err := n.log.Confirm(ctx)
	if err != nil || confirmed != term {
		return false
	}
	n.meter.leaders.Add(1)
	n.log.View(func(m *state.Machine) {
		n.leadership.begin(n.clock.Now(), term, m, cutOf)
	})
	return true
}

// carryOut proposes and sends what a round decided. Orders go out only after
// the commands of their round are committed: they carry the epochs drawn there.
func (n *Node) carryOut(w work) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxProposals)
	for _, c := range w.targets {
		slots <- struct{}{}
		group.Go(func() {
			n.proposeOwn(c)
			<-slots
		})
	}
	group.Wait()
	for _, c := range w.groups {
		n.leadership.proposed(n.clock.Now(), c, n.proposeOwn(c))
	}
	for _, o := range w.orders {
		n.orders.Push(n.life, o)
	}
	if len(w.targets)+len(w.groups) > 0 {
		n.wakeLeader()
	}
}

// proposeOwn proposes a command of the leader itself. The next round sees by the
// state whether it took effect.
func (n *Node) proposeOwn(c state.Command) state.Result {
	ctx, cancel := context.WithTimeout(n.life, n.timing.Propose.Duration())
	defer cancel()
	r, err := n.propose(ctx, c)
	if err != nil {
		r.Err = err
		return r
	}
	n.logCommand(c, r)
	return r
}

// propose measures how long a command takes to be applied.
func (n *Node) propose(ctx context.Context, c state.Command) (state.Result, error) {
	started := n.clock.Now()
	r, err := n.log.Propose(ctx, c)
	if err == nil {
		n.meter.commits.Record(n.clock.Now() - started)
	}
	return r, err
}

// wakeLeader asks for a round soon.
func (n *Node) wakeLeader() {
	select {
	case n.wake <- struct{}{}:
	default: // one is due already
	}
}

// sendOrders is a duty that sends orders to engines; several run beside each
// other.
func (n *Node) sendOrders() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case o := <-n.orders.Items():
			n.sendOrder(o)
		}
	}
}

func (n *Node) sendOrder(o plan.SendOrder) {
	ctx, cancel := context.WithTimeout(n.life, n.timing.Order.Duration())
	defer cancel()
	err := n.engines.Send(ctx, o.Address, o.Order)
	if err != nil {
		event.Log(n.logger, event.OrderFailed, vmAttr(o.VM), errorAttr(err))
	}
	if o.Order.Stage && err == nil {
		event.Log(n.logger, event.ModelStaged, vmAttr(o.VM), slog.String("model", string(o.Order.Model)))
	}
	n.meter.ordered(o.Order, err)
	n.leadership.orderDone(n.clock.Now(), o, err)
	n.wakeLeader()
}
