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
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/state"
)

// cutPolicy returns the cut policy of a revision's document.
type cutPolicy func(sardine.Team, state.Revision) sardine.CutPolicy

// leadership is the node's unreplicated state as the leader. Follow requests and the
// leader loop share it under mu.
//
// Order of locks: that of the replicated state (repl.Node.View) before mu. Nothing that
// takes the former may be called while mu is held: a reader waits for a writer that waits
// for a reader that waits for mu.
type leadership struct {
	self        sardine.NodeID
	mu          sync.Mutex
	viewed      *state.Machine // within pump, the replicated state
	term        uint64         // 0 while the node does not lead
	ledgerIndex uint64         // log index up to which the ledger is up to date
	ledger      *lease.Ledger
	fleet       *fleet.Leader
	planner     *plan.Planner
	polls       *polls
	allocator   *limit.Allocator // of this term
	quotas      *quota.Allocator // of this term
	homes       *homes
	waits       []plan.Wait
	planError   error
}

func newLeadership(self sardine.NodeID, t Timing, planner *plan.Planner) *leadership {
	ledger := lease.New(lease.WithServing(t.ServingLease), lease.WithHolding(t.HoldingLease))
	l := &leadership{
		self:    self,
		ledger:  ledger,
		fleet:   fleet.NewLeader(fleet.WithGrace(t.TargetGrace), fleet.WithOverdue(t.AnnouncementOverdue)),
		planner: planner,
		homes:   newHomes(self),
	}
	l.polls = newPolls(follow.NewServer(ledger, follow.WithSnapshot(l.entrySnapshot)))
	return l
}

// emptySiteGrace replaces the grace time in a site without targets: no earlier leader
// has formed groups there, so forming them need not wait.
const emptySiteGrace = 100 * sardine.Millis(1)

// begin starts a term. The state has applied all entries of earlier terms.
func (l *leadership) begin(now sardine.Millis, term uint64, m *state.Machine, policyOf cutPolicy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.ledgerIndex = m.Index()
	l.ledger.Lead(now, term, m.Index(), m.Entries())
	for _, name := range m.Teams() {
		for _, r := range m.History(name) {
			l.ledger.RecordRevision(name, r.Index, policyOf(name, r))
		}
	}
	l.fleet.Lead(now, term)
	if len(m.Targets()) == 0 {
		l.fleet.SetSettleTime(now + emptySiteGrace)
	}
	l.planner.Lead(now, term, m)
	l.homes.lead(now)
	l.polls.server.Lead(term)
	l.allocator = limit.NewAllocator(now, term)
	l.quotas = quota.NewAllocator(now)
}

// resign ends the term. Polls are answered with the address of the known leader.
func (l *leadership) resign(leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != 0 {
		l.ledger.Resign()
	}
	l.term = 0
	l.polls.server.Resign(leader)
}

// leads reports whether the node leads in the term.
func (l *leadership) leads(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term == term && term != 0
}

// catchUp updates the ledger to the state's index. The caller holds mu.
//
// Nodes that have joined or left are derived from the state instead of from each
// entry: a rejected JoinEntry does not change the state, and many entries cost one
// comparison.
func (l *leadership) catchUp(m *state.Machine, policyOf cutPolicy) {
	if m.Index() <= l.ledgerIndex {
		return
	}
	joined := make(map[sardine.NodeID]sardine.Incarnation)
	for _, h := range l.ledger.Holders() {
		joined[h.Entry.Node] = h.Entry.Incarnation
		if _, known := m.Entry(h.Entry.Node); !known {
			l.ledger.RecordLeave(h.Entry.Node, h.Entry.Incarnation)
		}
	}
	for _, e := range m.Entries() {
		if i, known := joined[e.Node]; !known || i != e.Incarnation {
			l.ledger.RecordJoin(e)
		}
	}
	for _, name := range m.Teams() {
		for _, r := range m.History(name) {
			if r.Index > l.ledgerIndex {
				l.ledger.RecordRevision(name, r.Index, policyOf(name, r))
			}
		}
	}
	l.ledgerIndex = m.Index()
}

// work is what a round of the leader decided to do.
type work struct {
	targets []state.Command // in any order
	groups  []state.Command // in this order
	orders  []plan.SendOrder
}

// round evaluates the fleet and plans groups.
func (l *leadership) round(now sardine.Millis, m *state.Machine, settings []sardine.TeamSettings) (work, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planError != nil {
		return work{}, nil
	}
	l.configureLimits(settings)
	targets := append(l.fleet.Commands(now, m), l.removeSilentEntries(now)...)
	view := l.fleet.At(now).WithEntriesMissing(len(l.ledger.Missing(now)) > 0)
	out, err := l.planner.Round(now, m, view, settings)
	if err != nil {
		l.planError = err
		return work{}, err
	}
	l.waits = out.Waits
	return work{targets: targets, groups: out.Commands, orders: out.Orders}, nil
}

// silentEntryRetention is how long after the end of its lease a silent entry node
// stays a member. When it is removed, the outcome of its running claims becomes
// unknown. A node that comes back joins again.
const silentEntryRetention = 60 * sardine.Second

// removeSilentEntries returns the commands that remove entry nodes that have been
// silent for silentEntryRetention after their lease. The caller holds mu.
func (l *leadership) removeSilentEntries(now sardine.Millis) []state.Command {
	var commands []state.Command
	for _, h := range l.ledger.Holders() {
		if now < h.ServingEnd+silentEntryRetention {
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
	return l.planner.Reason(id)
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

// leaderLoop begins terms, plans, proposes commands and queues orders until the node
// stops.
func (n *Node) leaderLoop() error {
	for {
		changed := n.log.Changed()
		if n.sleep(planningPause(n.leadOnce())) != nil {
			return nil
		}
		select {
		case <-n.tomb.Dying():
			return nil
		case <-changed:
		case <-n.wake:
		case <-n.clock.After(n.timing.RoundInterval):
		}
	}
}

// planningPause returns the least time between the end of a round that took the time d
// and the next one, so that planning leaves most of the time to what others wait for,
// however often it is woken.
func planningPause(d sardine.Millis) sardine.Millis {
	return min(max(planningPauseFactor*d, minPlanningPause), maxPlanningPause)
}

// leadOnce performs a round if the node leads, and returns how long it planned.
func (n *Node) leadOnce() (planned sardine.Millis) {
	info := n.log.Leader()
	if !info.IsLeader {
		n.leadership.resign(info.Address)
		return 0
	}
	if !n.leadership.leads(info.Term) && !n.beginTerm(info.Term) {
		return 0
	}
	began := n.clock.Now()
	todo, err := n.plan()
	planned = n.clock.Now() - began
	n.instruments.load.count(taskPlanningRound, err)
	if err != nil {
		// Planning stops; leases, settings and the log go on. Stopping the node
		// would not help, because the next leader may find the same violation.
		event.Log(n.logger, event.InvariantBroken, errorAttr(err))
		return planned
	}
	n.execute(todo)
	return planned
}

// plan evaluates the fleet and plans groups.
func (n *Node) plan() (todo work, err error) {
	settings := append(n.allSettings(), n.layoutSettings()...)
	n.log.View(func(m *state.Machine) {
		todo, err = n.leadership.round(n.clock.Now(), m, settings)
	})
	return todo, err
}

// beginTerm begins a term once a quorum has confirmed it. All entries of earlier
// terms are applied on this node by then.
func (n *Node) beginTerm(term uint64) bool {
	ctx, cancel := context.WithTimeout(n.runCtx, n.timing.ProposeTimeout.Duration())
	defer cancel()
	_, confirmed, err := n.log.ConfirmLeadership(ctx)
	if err != nil || confirmed != term {
		return false
	}
	n.instruments.leaders.Add(1)
	n.log.View(func(m *state.Machine) {
		n.leadership.begin(n.clock.Now(), term, m, cutPolicyOf)
	})
	return true
}

// execute proposes the commands of a round and queues its orders. Orders are queued
// only after the commands are committed, because they carry the epochs that those
// commands assign.
func (n *Node) execute(w work) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxProposals)
	for _, c := range w.targets {
		slots <- struct{}{}
		group.Go(func() {
			n.proposeAndLog(c)
			<-slots
		})
	}
	group.Wait()
	for _, c := range w.groups {
		n.leadership.proposed(n.clock.Now(), c, n.proposeAndLog(c))
	}
	for _, o := range w.orders {
		n.orders.Push(n.runCtx, o)
	}
	if len(w.targets)+len(w.groups) > 0 {
		n.wakeLeader()
	}
}

// proposeAndLog proposes one of the leader's own commands and logs its event. The
// next round reads from the state whether it took effect.
func (n *Node) proposeAndLog(c state.Command) state.Result {
	ctx, cancel := context.WithTimeout(n.runCtx, n.timing.ProposeTimeout.Duration())
	defer cancel()
	r, err := n.propose(ctx, c)
	if err != nil {
		r.Err = err
		return r
	}
	n.logCommand(c, r)
	return r
}

// propose proposes a command and records the time until it is applied.
func (n *Node) propose(ctx context.Context, c state.Command) (state.Result, error) {
	started := n.clock.Now()
	r, err := n.log.Propose(ctx, c)
	if err == nil {
		n.instruments.commits.Record(n.clock.Now() - started)
	}
	return r, err
}

// wakeLeader triggers a round of the leader loop.
func (n *Node) wakeLeader() {
	select {
	case n.wake <- struct{}{}:
	default: // a round is already pending
	}
}

// orderLoop sends queued orders to engines until the node stops. Several run
// concurrently.
func (n *Node) orderLoop() error {
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
	ctx, cancel := context.WithTimeout(n.runCtx, n.timing.OrderTimeout.Duration())
	defer cancel()
	err := n.engines.Send(ctx, o.Address, o.Order)
	if err != nil {
		event.Log(n.logger, event.OrderFailed, vmAttr(o.VM), errorAttr(err))
	}
	if o.Order.Stage && err == nil {
		event.Log(n.logger, event.ModelStaged, vmAttr(o.VM), slog.String("model", string(o.Order.Model)))
	}
	n.instruments.countOrder(o.Order, err)
	n.leadership.orderDone(n.clock.Now(), o, err)
	n.wakeLeader()
}
