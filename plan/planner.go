package plan

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// proposalTimeout is how long a proposal may stay unanswered before the planner
// discards it. Proposing a command again is safe, as the state machine checks
// every command.
const proposalTimeout = 5 * sardine.Second

// Planner decides on groups while its node leads. It is not safe for concurrent
// use.
type Planner struct {
	policy             Policy
	limits             Limits
	defect             Defect
	term               uint64
	leadAt             sardine.Millis
	formed             int // group IDs issued in this term
	vms                map[sardine.VMID]*vmRecord
	groups             map[sardine.GroupID]*groupRecord
	pending            map[sardine.GroupID]*pendingCommands
	waitingGroups      map[sardine.GroupID]sardine.GroupID // from a victim to the group that waits for its members
	waitingDeployments map[sardine.GroupID]DeploymentKey   // from a victim to the deployment that waits for its members
	returnHistory      returnHistory
	last               *round // the latest round, for Explain
	loadStarts         loadStarts
	unavailability     unavailabilityEstimator
	loads              int // started, over all terms
	// lastArrivalAt is when the latest new VM first announced itself.
	lastArrivalAt sardine.Millis
	// reshapedAt is when groups last began to make room for another deployment,
	// 0 if none has in this term.
	reshapedAt sardine.Millis
	logView    logView
}

// New returns a planner that does not lead.
func New(options ...Option) *Planner {
	p := &Planner{policy: NewCheapest(), limits: DefaultLimits()}
	for _, option := range options {
		option(p)
	}
	p.clear()
	return p
}

func (p *Planner) clear() {
	p.formed = 0
	p.vms = make(map[sardine.VMID]*vmRecord)
	p.groups = make(map[sardine.GroupID]*groupRecord)
	p.pending = make(map[sardine.GroupID]*pendingCommands)
	p.waitingGroups = make(map[sardine.GroupID]sardine.GroupID)
	p.waitingDeployments = make(map[sardine.GroupID]DeploymentKey)
	p.returnHistory = returnHistory{}
	p.unavailability = newUnavailabilityEstimator()
	p.last = nil
	p.reshapedAt = 0
	p.logView = logView{}
}

// Lead starts a term. It discards all soft state and continues from the state
// machine, which must have applied all entries of earlier terms. Orders that an
// earlier leader sent to VMs with an owner may still arrive. Groups out of service may
// have been drained by an earlier leader, so they are drained until they are known to
// have no requests.
func (p *Planner) Lead(now sardine.Millis, term uint64, m *state.Machine) {
	p.clear()
	p.term = term
	p.leadAt = now
	for _, o := range m.Owners() {
		p.vm(o.VM).staleOrderUntil = now + p.limits.orderLifetime()
	}
	for _, g := range m.Groups() {
		if g.State == sardine.GroupDegraded && g.Service != "" {
			p.groups[g.ID] = &groupRecord{epoch: g.Epoch, state: g.State, since: now, downSince: now, drain: drainInherited, drainAt: now}
		}
	}
}

// Policy returns the repair policy.
func (p *Planner) Policy() Policy {
	return p.policy
}

// Round decides what to do now. An error means that an invariant is violated;
// the caller must stop planning.
func (p *Planner) Round(now sardine.Millis, m *state.Machine, live Fleet, teams []sardine.TeamSettings) (Output, error) {
	p.expirePending(now)
	p.logView.refresh(now, m, p)
	r := newRound(p, now, live, teams)
	r.updateUnavailability()
	if err := r.check(); err != nil {
		return Output{}, err
	}
	r.recordVMs()
	r.advanceGroups()
	r.freeMembers()
	r.dissolveSurplus()
	r.repairGroups()
	r.replaceStragglers()
	r.rollGroups()
	r.formGroups()
	r.planStaging()
	r.sendOrders()
	p.last = r
	if err := r.verify(); err != nil {
		return Output{}, err
	}
	return r.out, nil
}

func (p *Planner) expirePending(now sardine.Millis) {
	for id, w := range p.pending {
		if w.at+proposalTimeout <= now {
			delete(p.pending, id)
		}
	}
}

// Proposed records the result of a command that Round returned, or in
// Result.Err the error that kept it from being proposed.
func (p *Planner) Proposed(_ sardine.Millis, c state.Command, _ state.Result) {
	id := groupOf(c)
	w := p.pending[id]
	if w == nil {
		return
	}
	w.commands--
	if w.commands <= 0 {
		delete(p.pending, id)
	}
}

func groupOf(c state.Command) sardine.GroupID {
	switch c := c.(type) {
	case state.AssignGroup:
		return c.Group.ID
	case state.MoveGroup:
		return c.Group
	case state.FreeMember:
		return c.Group
	default:
		return ""
	}
}

// Reason returns the reason for the last decision on a group, empty if there is
// none.
func (p *Planner) Reason(id sardine.GroupID) string {
	n := p.groups[id]
	switch {
	case n == nil:
		return ""
	case n.reason == "":
		return n.placement
	default:
		return n.reason
	}
}

// OrderDone records the result of an order that Round returned.
// codes.EpochRefused means that the engine rejected the order; after any other
// error the engine may or may not have executed it.
func (p *Planner) OrderDone(now sardine.Millis, s SendOrder, err error) {
	n := p.vms[s.VM]
	if n != nil && s.Order.Stage {
		if err != nil && n.incarnation == s.Incarnation {
			n.staging = "" // so that the next rounds plan it again
			n.retryLater(now)
		}
		return
	}
	if n == nil || !n.outstanding || !n.order.Same(s.Order) || n.incarnation != s.Incarnation {
		return
	}
	n.outstanding = false
	refused := codes.Is(err, codes.EpochRefused)
	switch {
	case err == nil, refused && s.Order.Release:
		n.confirmed = true
		n.confirmedAt = now
		n.attempts = 0
		n.retryAt = 0
	case refused:
		n.retryLater(now)
		if g := p.groups[s.Order.Group]; g != nil && g.epoch == s.Order.Epoch {
			g.epochBehind = true
		}
	default:
		n.retryLater(now)
		n.staleOrderUntil = max(n.staleOrderUntil, now+p.limits.orderLifetime())
	}
}

func (p *Planner) vm(id sardine.VMID) *vmRecord {
	n := p.vms[id]
	if n == nil {
		n = &vmRecord{}
		p.vms[id] = n
	}
	return n
}

// newID returns a new group ID. It is unique because a term has one leader.
func (p *Planner) newID(prefix string, k DeploymentKey) sardine.GroupID {
	p.formed++
	return sardine.GroupID(fmt.Sprintf("%s%s.%s.%d.%d", prefix, k.Team, k.Service, p.term, p.formed))
}

// returnHistory records how long VMs that returned were absent.
type returnHistory struct {
	absences []absence
}

type absence struct {
	length sardine.Millis
	warm   bool // returned with its weights loaded
}

const maxAbsences = 64

func (h *returnHistory) add(a absence) {
	h.absences = append(h.absences, a)
	if len(h.absences) > maxAbsences {
		h.absences = slices.Delete(h.absences, 0, 1)
	}
}

// remaining returns the expected time until a VM that has been absent for a
// while is ready again. The prior counts as one observation, so that a VM that
// is absent for longer than all VMs before it is still expected to need that
// time.
func (h *returnHistory) remaining(absent, prior, load sardine.Millis) sardine.Millis {
	sum := prior + load
	count := sardine.Millis(1)
	for _, a := range h.absences {
		if a.length <= absent {
			continue
		}
		sum += a.length - absent
		if !a.warm {
			sum += load
		}
		count++
	}
	return sum / count
}
