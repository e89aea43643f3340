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
	// collectEvery is the time between two reports to the leader without news. Half of
	// what entry nodes take between theirs, so that it adds little to their age.
	collectEvery = 250 * sardine.Millis(1)
	// collectPause lets news that come together go out together.
	collectPause = 20 * sardine.Millis(1)
	// collectCall bounds one report, so that the next one finds a new leader.
	collectCall = 500 * sardine.Millis(1)
	// outOfTouch is how long the leader may not have taken a report until targets
	// and entry nodes are sent to other control nodes: less than the second that
	// they give one of them, more than a report that is lost.
	outOfTouch = 900 * sardine.Millis(1)
)

// collector is what a control node hears of targets: their announcements, and what
// entry nodes see of them. The leader is told in one report of each control node,
// so that its work does not grow with their callers.
type collector struct {
	overdue sardine.Millis // age of an announcement that is late, 0 for never

	mu        sync.Mutex
	home      *fleet.Home
	witnesses *fleet.Witnesses
	crowds    []fleet.Crowd  // as the leader told last
	touched   sardine.Millis // when the leader took a report last, 0 for never
	lost      bool           // the loss of the leader was logged
	news      chan struct{}
}

func newCollector(self sardine.NodeID, started sardine.Incarnation, t Timing) *collector {
	return &collector{
		overdue:   t.Overdue,
		home:      fleet.NewHome(self, started, fleet.WithLease(t.Target)),
		witnesses: fleet.NewWitnesses(),
		news:      make(chan struct{}, 1),
	}
}

// inTouch refuses if the leader does not take reports. The lock is held.
func (c *collector) inTouch(now sardine.Millis) error {
	if c.touched == 0 || now-c.touched > outOfTouch {
		return codes.New(codes.NoQuorum, "this control node is out of touch with the leader")
	}
	return nil
}

// announce takes a target's announcement. One that a newer one has overtaken
// changes nothing.
func (c *collector) announce(now sardine.Millis, a sardine.Announcement) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.inTouch(now); err != nil {
		return err
	}
	err := c.home.Announce(now, a)
	if codes.Is(err, codes.Superseded) {
		return nil
	}
	if err != nil {
		return err
	}
	if c.home.HasNews(now) {
		c.wake()
	}
	return nil
}

// witness takes an entry node's signs and returns what all have in flight.
func (c *collector) witness(now sardine.Millis, node sardine.NodeID, signs []fleet.Sign) ([]fleet.Crowd, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.inTouch(now); err != nil {
		return nil, err
	}
	c.witnesses.Take(now, node, signs)
	for _, s := range signs {
		if s.Stalled {
			c.wake()
		}
	}
	return c.crowds, nil
}

func (c *collector) wake() {
	select {
	case c.news <- struct{}{}:
	default: // a report is due already
	}
}

// collected is one report to the leader.
type collected struct {
	home        sardine.NodeID
	incarnation sardine.Incarnation
	report      *fleet.Report // nil without news
	overdue     []fleet.Ref
	signs       []fleet.Sign
}

// collectAnswer is the leader's answer.
type collectAnswer struct {
	ack    fleet.Ack
	known  sardine.Incarnation // of the home, higher than its own if that is outdated
	crowds []fleet.Crowd
}

// next returns the next report.
func (c *collector) next(now sardine.Millis) collected {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.Tick(now)
	out := collected{signs: c.witnesses.Signs(now)}
	out.home, out.incarnation = c.home.Name()
	if r, news := c.home.Report(now); news {
		out.report = &r
	}
	if c.overdue > 0 {
		out.overdue = c.home.Overdue(now, c.overdue)
	}
	return out
}

// told takes the leader's answer.
func (c *collector) told(now sardine.Millis, a collectAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touched = now
	c.crowds = a.crowds
	if _, own := c.home.Name(); a.known > own {
		c.home.Renew(a.known + 1) // the clock that gave the incarnation was set back
	} else {
		c.home.Acked(a.ack)
	}
	if c.home.HasNews(now) {
		c.wake()
	}
}

// noteTouch reports whether the leader was just lost or found again.
func (c *collector) noteTouch(now sardine.Millis) (lost, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = c.touched != 0 && c.inTouch(now) != nil
	changed = lost != c.lost
	c.lost = lost
	return lost, changed
}

// collect is a duty: it tells the leader what this node hears of targets.
func (n *Node) collect() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.collector.news:
			if n.sleep(collectPause) != nil {
				return nil
			}
		case <-n.clock.After(collectEvery):
		}
		n.reportOnce()
	}
}

func (n *Node) reportOnce() {
	a, err := n.tell(n.collector.next(n.clock.Now()))
	now := n.clock.Now()
	if err == nil {
		n.collector.told(now, a)
	}
	switch lost, changed := n.collector.noteTouch(now); {
	case changed && lost:
		event.Log(n.logger, event.HearingLost, errorAttr(err))
	case changed:
		event.Log(n.logger, event.HearingRegained)
	}
}

// tell hands a report to the leader, which may be this node.
func (n *Node) tell(x collected) (collectAnswer, error) {
	info := n.log.Leader()
	if info.Leading {
		return n.takeCollected(x)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return collectAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(n.life, collectCall.Duration())
	defer cancel()
	answer, err := stub.Collected(ctx, collectedToWire(x))
	if err != nil {
		return collectAnswer{}, codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return collectAnswerFromWire(answer), ctlapi.ErrorOf(answer.GetFault())
}

// Collected takes another control node's report.
func (n *Node) Collected(_ context.Context, r *wire.CollectedRequest) (*wire.CollectedReply, error) {
	a, err := n.takeCollected(collectedFromWire(r))
	return collectAnswerToWire(a, ctlapi.FaultOf(err)), nil
}

func (n *Node) takeCollected(x collected) (collectAnswer, error) {
	a, news, err := n.leadership.takeCollected(n.clock.Now(), x)
	if err != nil {
		return collectAnswer{}, n.redirect(err)
	}
	if news {
		n.wakeLeader()
	}
	return a, nil
}

// takeCollected merges a control node's report into the fleet; news tells that a
// round may find work in it.
func (l *leadership) takeCollected(now sardine.Millis, x collected) (a collectAnswer, news bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return collectAnswer{}, false, codes.New(codes.NotLeader, "this control node does not lead")
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

func collectedToWire(x collected) *wire.CollectedRequest {
	r := &wire.CollectedRequest{Node: string(x.home), Incarnation: uint64(x.incarnation)}
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

func collectedFromWire(r *wire.CollectedRequest) collected {
	x := collected{
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

func collectAnswerToWire(a collectAnswer, fault *wire.Fault) *wire.CollectedReply {
	return &wire.CollectedReply{
		Fault:       fault,
		Sequence:    a.ack.Sequence,
		WantFull:    a.ack.WantFull,
		Incarnation: uint64(a.known),
		Crowds:      crowdsToWire(a.crowds),
	}
}

func collectAnswerFromWire(r *wire.CollectedReply) collectAnswer {
	return collectAnswer{
		ack:    fleet.Ack{Sequence: r.GetSequence(), WantFull: r.GetWantFull()},
		known:  sardine.Incarnation(r.GetIncarnation()),
		crowds: crowdsFromWire(r.GetCrowds()),
	}
}
