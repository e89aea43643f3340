package ctrl

import (
	"context"
	"sync"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/wire"
)

const (
	// hearEvery is the time between two reports to the leader without news. Half of
	// what entry nodes take between theirs, so that it adds little to their age.
	hearEvery = 250 * sardine.Millis(1)
	// hearPause lets news that come together go out together.
	hearPause = 20 * sardine.Millis(1)
	// hearCall bounds one report, so that the next one finds a new leader.
	hearCall = 500 * sardine.Millis(1)
	// outOfTouch is how long the leader may not have taken a report until targets
	// and entry nodes are sent to other control nodes: less than the second that
	// they give one of them, more than a report that is lost.
	outOfTouch = 900 * sardine.Millis(1)
)

// hearing is what a control node hears of targets: their announcements, and what
// entry nodes see of them. The leader is told in one report of each control node,
// so that its work does not grow with their callers.
type hearing struct {
	overdue sardine.Millis // age of an announcement that is late, 0 for never

	mu        sync.Mutex
	home      *fleet.Home
	witnesses *fleet.Witnesses
	crowds    []fleet.Crowd  // as the leader told last
	touched   sardine.Millis // when the leader took a report last, 0 for never
	lost      bool           // the loss of the leader was logged
	news      chan struct{}
}

func newHearing(self sardine.NodeID, started sardine.Incarnation, t Timing) *hearing {
	return &hearing{
		overdue:   t.Overdue,
		home:      fleet.NewHome(self, started, fleet.WithLease(t.Target)),
		witnesses: fleet.NewWitnesses(),
		news:      make(chan struct{}, 1),
	}
}

// inTouch refuses if the leader does not take reports. The lock is held.
func (h *hearing) inTouch(now sardine.Millis) error {
	if h.touched == 0 || now-h.touched > outOfTouch {
		return codes.New(codes.NoQuorum, "this control node is out of touch with the leader")
	}
	return nil
}

// announce takes a target's announcement. One that a newer one has overtaken
// changes nothing.
func (h *hearing) announce(now sardine.Millis, a sardine.Announcement) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.inTouch(now); err != nil {
		return err
	}
	err := h.home.Announce(now, a)
	if codes.Is(err, codes.Superseded) {
		return nil
	}
	if err != nil {
		return err
	}
	if h.home.HasNews(now) {
		h.wake()
	}
	return nil
}

// witness takes an entry node's signs and returns what all have in flight.
func (h *hearing) witness(now sardine.Millis, node sardine.NodeID, signs []fleet.Sign) ([]fleet.Crowd, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.inTouch(now); err != nil {
		return nil, err
	}
	h.witnesses.Take(now, node, signs)
	for _, s := range signs {
		if s.Stalled {
			h.wake()
		}
	}
	return h.crowds, nil
}

func (h *hearing) wake() {
	select {
	case h.news <- struct{}{}:
	default: // a report is due already
	}
}

// heard is one report to the leader.
type heard struct {
	home        sardine.NodeID
	incarnation sardine.Incarnation
	report      *fleet.Report // nil without news
	overdue     []fleet.Ref
	signs       []fleet.Sign
}

// answered is the leader's answer.
type answered struct {
	ack    fleet.Ack
	known  sardine.Incarnation // of the home, higher than its own if that is outdated
	crowds []fleet.Crowd
}

// next returns the next report.
func (h *hearing) next(now sardine.Millis) heard {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Tick(now)
	out := heard{signs: h.witnesses.Signs(now)}
	out.home, out.incarnation = h.home.Name()
	if r, news := h.home.Report(now); news {
		out.report = &r
	}
	if h.overdue > 0 {
		out.overdue = h.home.Overdue(now, h.overdue)
	}
	return out
}

// told takes the leader's answer.
func (h *hearing) told(now sardine.Millis, a answered) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touched = now
	h.crowds = a.crowds
	if _, own := h.home.Name(); a.known > own {
		h.home.Renew(a.known + 1) // the clock that gave the incarnation was set back
	} else {
		h.home.Acked(a.ack)
	}
	if h.home.HasNews(now) {
		h.wake()
	}
}

// noteTouch reports whether the leader was just lost or found again.
func (h *hearing) noteTouch(now sardine.Millis) (lost, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost = h.touched != 0 && h.inTouch(now) != nil
	changed = lost != h.lost
	h.lost = lost
	return lost, changed
}

// hear is a duty: it tells the leader what this node hears of targets.
func (n *Node) hear() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.hearing.news:
			if n.sleep(hearPause) != nil {
				return nil
			}
		case <-n.clock.After(hearEvery):
		}
		n.hearOnce()
	}
}

func (n *Node) hearOnce() {
	a, err := n.tell(n.hearing.next(n.clock.Now()))
	now := n.clock.Now()
	if err == nil {
		n.hearing.told(now, a)
	}
	switch lost, changed := n.hearing.noteTouch(now); {
	case changed && lost:
		event.Log(n.logger, event.HearingLost, errorAttr(err))
	case changed:
		event.Log(n.logger, event.HearingRegained)
	}
}

// tell hands a report to the leader, which may be this node.
func (n *Node) tell(x heard) (answered, error) {
	info := n.log.Leader()
	if info.Leading {
		return n.takeHeard(x)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return answered{}, err
	}
	ctx, cancel := context.WithTimeout(n.life, hearCall.Duration())
	defer cancel()
	answer, err := stub.Hear(ctx, heardToWire(x))
	if err != nil {
		return answered{}, codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return answeredFromWire(answer), ctlapi.ErrorOf(answer.GetFault())
}

// Hear takes another control node's report.
func (n *Node) Hear(_ context.Context, r *wire.HearRequest) (*wire.HearReply, error) {
	a, err := n.takeHeard(heardFromWire(r))
	return answeredToWire(a, ctlapi.FaultOf(err)), nil
}

func (n *Node) takeHeard(x heard) (answered, error) {
	a, news, err := n.leadership.takeHeard(n.clock.Now(), x)
	if err != nil {
		return answered{}, n.redirect(err)
	}
	if news {
		n.wakeLeader()
	}
	return a, nil
}

// takeHeard merges a control node's report into the fleet; news tells that a
// round may find work in it.
func (l *leadership) takeHeard(now sardine.Millis, x heard) (a answered, news bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return answered{}, false, codes.New(codes.NotLeader, "this control node does not lead")
	}
	if x.report != nil {
		a.ack = l.fleet.Take(now, *x.report)
	} else {
		a.ack = l.fleet.Heard(now, x.home, x.incarnation)
	}
	a.known = l.fleet.Incarnation(x.home)
	if a.known == x.incarnation {
		l.fleet.Overdue(x.home, x.overdue)
	}
	l.fleet.Witness(now, x.home, x.signs)
	a.crowds = l.fleet.Crowds()
	news = x.report != nil
	for _, s := range x.signs {
		news = news || s.Stalled
	}
	return a, news, nil
}

func heardToWire(x heard) *wire.HearRequest {
	r := &wire.HearRequest{Node: string(x.home), Incarnation: uint64(x.incarnation)}
	if x.report != nil {
		r.Report = follow.ReportToWire(follow.ReportOf(*x.report, true))
	}
	for _, ref := range x.overdue {
		r.Overdue = append(r.Overdue, &wire.TargetRef{Vm: string(ref.VM), Incarnation: uint64(ref.Incarnation)})
	}
	for _, s := range x.signs {
		r.Signs = append(r.Signs, signToWire(s))
	}
	return r
}

func heardFromWire(r *wire.HearRequest) heard {
	x := heard{
		home:        sardine.NodeID(r.GetNode()),
		incarnation: sardine.Incarnation(r.GetIncarnation()),
		signs:       signsOf(r.GetSigns()),
	}
	if r.GetReport() != nil {
		report := reportOf(follow.ReportFromWire(r.GetReport()))
		x.report = &report
	}
	for _, ref := range r.GetOverdue() {
		x.overdue = append(x.overdue, fleet.Ref{VM: sardine.VMID(ref.GetVm()), Incarnation: sardine.Incarnation(ref.GetIncarnation())})
	}
	return x
}

func answeredToWire(a answered, fault *wire.Fault) *wire.HearReply {
	return &wire.HearReply{
		Fault:       fault,
		Sequence:    a.ack.Sequence,
		WantFull:    a.ack.WantFull,
		Incarnation: uint64(a.known),
		Crowds:      crowdsToWire(a.crowds),
	}
}

func answeredFromWire(r *wire.HearReply) answered {
	return answered{
		ack:    fleet.Ack{Sequence: r.GetSequence(), WantFull: r.GetWantFull()},
		known:  sardine.Incarnation(r.GetIncarnation()),
		crowds: crowdsFromWire(r.GetCrowds()),
	}
}
