package plan

import (
	"fmt"
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// proposalLife is after which time an unanswered proposal is given up. All
// commands are checked by the state machine, so a second one does no harm.
const proposalLife = 5 * sardine.Second

// Planner decides on groups while its node leads. It is not safe for concurrent
// use.
type Planner struct {
	policy  Policy
	limits  Limits
	defect  Defect
	term    uint64
	leadAt  sardine.Millis
	formed  int // groups named in this term
	vms     map[sardine.VMID]*vmNote
	groups  map[sardine.GroupID]*groupNote
	pending map[sardine.GroupID]*pending
	awaits  map[sardine.GroupID]sardine.GroupID // victim to the group that waits for it
	claims  map[sardine.GroupID]Kind            // victim to the deployment that waits for it
	history history
	last    *round // the newest round, for Explain
	starts  starts
	absent  absences
	loads   int // begun, over all terms
	// newestAt is when a VM was last heard of for the first time.
	newestAt sardine.Millis
	logged   logged
}

// New returns a planner that does not lead yet.
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
	p.vms = make(map[sardine.VMID]*vmNote)
	p.groups = make(map[sardine.GroupID]*groupNote)
	p.pending = make(map[sardine.GroupID]*pending)
	p.awaits = make(map[sardine.GroupID]sardine.GroupID)
	p.claims = make(map[sardine.GroupID]Kind)
	p.history = history{}
	p.absent = newAbsences()
	p.last = nil
	p.logged = logged{}
}

// Lead starts a term: the planner forgets what it knew and goes on from the
// machine, which must have applied all entries of earlier terms. The earlier
// leader's orders may still be on their way to the VMs that have an owner.
func (p *Planner) Lead(now sardine.Millis, term uint64, m *state.Machine) {
	p.clear()
	p.term = term
	p.leadAt = now
	for _, o := range m.Owners() {
		p.vm(o.VM).unsureUntil = now + p.limits.orderLife()
	}
}

// Policy returns the repair policy.
func (p *Planner) Policy() Policy {
	return p.policy
}

// Round decides what to do now. An error is a broken invariant; the duty must
// stop.
func (p *Planner) Round(now sardine.Millis, m *state.Machine, live Fleet, teams []sardine.TeamSettings) (Output, error) {
	p.expirePending(now)
	p.logged.renew(now, m, p)
	r := newRound(p, now, live, teams)
	r.learnAbsence()
	if err := r.check(); err != nil {
		return Output{}, err
	}
	r.noteVMs()
	r.settleGroups()
	r.freeMembers()
	r.dissolveSurplus()
	r.repairGroups()
	r.swapMembers()
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
		if w.at+proposalLife <= now {
			delete(p.pending, id)
		}
	}
}

// Proposed takes the result of a command that Round returned, or the error that
// kept it from being proposed in Result.Err.
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

// Why returns the reason of the last decision on a group, empty if there is none.
func (p *Planner) Why(id sardine.GroupID) string {
	n := p.groups[id]
	switch {
	case n == nil:
		return ""
	case n.why == "":
		return n.placed
	default:
		return n.why
	}
}

// OrderDone takes the end of an order that Round returned. codes.EpochRefused
// is the engine's own refusal; any other error leaves open whether the engine
// took the order.
func (p *Planner) OrderDone(now sardine.Millis, s SendOrder, err error) {
	n := p.vms[s.VM]
	if n != nil && s.Order.Stage {
		if err != nil && n.incarnation == s.Incarnation {
			n.staging = "" // planned anew
			n.retryLater(now)
		}
		return
	}
	if n == nil || !n.underWay || !n.order.Same(s.Order) || n.incarnation != s.Incarnation {
		return
	}
	n.underWay = false
	refused := codes.Is(err, codes.EpochRefused)
	switch {
	case err == nil, refused && s.Order.Release:
		n.confirmed = true
		n.confirmedAt = now
		n.tries = 0
		n.retryAt = 0
	case refused:
		n.retryLater(now)
		if g := p.groups[s.Order.Group]; g != nil && g.epoch == s.Order.Epoch {
			g.newEpoch = true
		}
	default:
		n.retryLater(now)
		n.unsureUntil = max(n.unsureUntil, now+p.limits.orderLife())
	}
}

func (p *Planner) vm(id sardine.VMID) *vmNote {
	n := p.vms[id]
	if n == nil {
		n = &vmNote{}
		p.vms[id] = n
	}
	return n
}

// newID names a group. A term has one leader, so the name is never reused.
func (p *Planner) newID(prefix string, k Kind) sardine.GroupID {
	p.formed++
	return sardine.GroupID(fmt.Sprintf("%s%s.%s.%d.%d", prefix, k.Team, k.Service, p.term, p.formed))
}

// history holds how long VMs were absent that came back.
type history struct {
	absences []absence
}

type absence struct {
	length sardine.Millis
	warm   bool // came back with its weights
}

const keptAbsences = 64

func (h *history) add(a absence) {
	h.absences = append(h.absences, a)
	if len(h.absences) > keptAbsences {
		h.absences = slices.Delete(h.absences, 0, 1)
	}
}

// remaining returns the expected time until a VM that has been absent for a
// while is ready again. The default counts as one observation, so that a VM
// that outlasts all earlier absences is expected late.
func (h *history) remaining(gone, usual, load sardine.Millis) sardine.Millis {
	sum := usual + load
	count := sardine.Millis(1)
	for _, a := range h.absences {
		if a.length <= gone {
			continue
		}
		sum += a.length - gone
		if !a.warm {
			sum += load
		}
		count++
	}
	return sum / count
}
