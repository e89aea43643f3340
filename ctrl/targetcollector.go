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
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/wire"
)

const (
	// reportInterval is the time between two reports to the leader if nothing new
	// triggers one. It is half the interval of the entry nodes' reports, so that it
	// adds little to their age.
	reportInterval = 250 * sardine.Millis(1)
	// reportDelay batches changes that arrive together into one report.
	reportDelay = 20 * sardine.Millis(1)
	// reportTimeout bounds the call of one report, so that the next one can go to a
	// new leader.
	reportTimeout = 500 * sardine.Millis(1)
	// maxAckAge is the age of the leader's last acknowledgement beyond which this
	// node rejects targets and entry nodes, so that they turn to other control
	// nodes. It is below the second after which their calls time out, and long
	// enough to tolerate one lost report.
	maxAckAge = 900 * sardine.Millis(1)
	// firstAckTimeout is the time from the start after which a node that has never had
	// an acknowledgement logs that it has no contact with the leader. It exceeds the
	// time in which the nodes of a new site find each other and elect a leader.
	firstAckTimeout = 5 * sardine.Second
)

// targetCollector collects what a control node receives about targets: their own
// announcements and the observations of entry nodes. Each control node sends the
// leader one combined report, so that the leader's load does not grow with the number
// of senders.
type targetCollector struct {
	overdue sardine.Millis // age from which an announcement is overdue, 0 for never

	mu          sync.Mutex
	home        *fleet.Home
	observers   *fleet.Observations
	arrivals    *arrivals
	quota       *quotaRelay
	inFlight    []fleet.InFlightCount // as of the leader's last reply
	lastAck     sardine.Millis        // time of the leader's last acknowledgement, 0 for none
	started     sardine.Millis
	contactLost bool // the loss of contact with the leader was logged
	wakeup      chan struct{}
}

// newTargetCollector returns the collector of a node to which targets announce
// themselves at address.
func newTargetCollector(now sardine.Millis, self sardine.NodeID, address string, i sardine.Incarnation, t Timing) *targetCollector {
	return &targetCollector{
		overdue:   t.AnnouncementOverdue,
		started:   now,
		home:      fleet.NewHome(self, i, fleet.WithLease(t.TargetLease)),
		observers: fleet.NewObservations(),
		arrivals:  newArrivals(address, t.TargetLease),
		quota:     newQuotaRelay(),
		wakeup:    make(chan struct{}, 1),
	}
}

// checkLeaderContact returns an error if the leader has not acknowledged a report for
// maxAckAge. The caller holds mu.
func (c *targetCollector) checkLeaderContact(now sardine.Millis) error {
	if c.lastAck == 0 || now-c.lastAck > maxAckAge {
		return codes.New(codes.NoQuorum, "this control node has no contact with the leader")
	}
	return nil
}

// announce records a target's announcement and returns the address for the next one.
// An announcement that arrives after a newer one is ignored. moved is true for a target
// that has announced itself to another control node before.
func (c *targetCollector) announce(now sardine.Millis, a sardine.Announcement, moved bool) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkLeaderContact(now); err != nil {
		return "", err
	}
	err := c.home.Announce(now, a)
	if codes.Is(err, codes.Superseded) {
		return c.arrivals.own, nil
	}
	if err != nil {
		return "", err
	}
	if c.home.HasChanges(now) {
		c.wake()
	}
	return c.arrivals.next(now, a.VM, moved), nil
}

// observe records the observations of an entry node and returns the in-flight counts
// over all entry nodes.
func (c *targetCollector) observe(now sardine.Millis, node sardine.NodeID, signs []fleet.Observation) ([]fleet.InFlightCount, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkLeaderContact(now); err != nil {
		return nil, err
	}
	if c.observers.Merge(now, node, signs) {
		c.wake()
	}
	return c.inFlight, nil
}

func (c *targetCollector) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default: // a report is already pending
	}
}

// leaderReport is one report of a control node to the leader.
type leaderReport struct {
	home         sardine.NodeID
	incarnation  sardine.Incarnation
	address      string        // where targets announce themselves to the node
	report       *fleet.Report // nil if nothing has changed
	overdue      []fleet.Ref
	observations []fleet.Observation
	quotas       map[sardine.NodeID]quota.Report
}

// leaderReply is the leader's reply to a report.
type leaderReply struct {
	ack         fleet.Ack
	incarnation sardine.Incarnation // of the reporting node as the leader knows it, higher if the node's own is outdated
	inFlight    []fleet.InFlightCount
	homes       []string // addresses that share the targets, empty if the leader does not know them yet
	allocations []quota.Allocation
}

// nextReport returns the next report to the leader.
func (c *targetCollector) nextReport(now sardine.Millis) leaderReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.Expire(now)
	c.arrivals.expire(now)
	out := leaderReport{address: c.arrivals.own, observations: c.observers.Merged(now), quotas: c.quota.next(now)}
	out.home, out.incarnation = c.home.ID()
	if r, pending := c.home.Report(now); pending {
		out.report = &r
	}
	if c.overdue > 0 {
		out.overdue = c.home.Overdue(now, c.overdue)
	}
	return out
}

// handleReply processes the leader's reply.
func (c *targetCollector) handleReply(now sardine.Millis, a leaderReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAck = now
	c.inFlight = a.inFlight
	c.quota.acknowledge(a.allocations)
	if len(a.homes) > 0 {
		c.arrivals.nodes = a.homes
	}
	if _, own := c.home.ID(); a.incarnation > own {
		c.home.SetIncarnation(a.incarnation + 1) // the clock from which the incarnation came was set back
	} else {
		c.home.Acknowledge(a.ack)
	}
	if c.home.HasChanges(now) {
		c.wake()
	}
}

// updateContact reports whether contact with the leader is lost, and whether that has
// changed since the last call.
func (c *targetCollector) updateContact(now sardine.Millis) (lost, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = c.checkLeaderContact(now) != nil && (c.lastAck != 0 || now-c.started > firstAckTimeout)
	changed = lost != c.contactLost
	c.contactLost = lost
	return lost, changed
}

// ackAge returns the time since the leader's last acknowledgement, since the start if
// there was none.
func (c *targetCollector) ackAge(now sardine.Millis) sardine.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - max(c.lastAck, c.started)
}

// reportLoop sends the leader what this node receives about targets, until the node
// stops.
func (n *Node) reportLoop() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.collector.wakeup:
			if n.sleep(reportDelay) != nil {
				return nil
			}
		case <-n.clock.After(reportInterval):
		}
		n.reportOnce()
	}
}

func (n *Node) reportOnce() {
	a, err := n.sendReport(n.collector.nextReport(n.clock.Now()))
	now := n.clock.Now()
	if err == nil {
		n.collector.handleReply(now, a)
	}
	switch lost, changed := n.collector.updateContact(now); {
	case changed && lost:
		event.Log(n.logger, event.HearingLost, errorAttr(err))
	case changed:
		event.Log(n.logger, event.HearingRegained)
	}
}

// sendReport sends a report to the leader, which may be this node.
func (n *Node) sendReport(x leaderReport) (leaderReply, error) {
	info := n.log.Leader()
	if info.IsLeader {
		return n.handleReport(x)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return leaderReply{}, err
	}
	ctx, cancel := context.WithTimeout(n.runCtx, reportTimeout.Duration())
	defer cancel()
	answer, err := stub.Collected(ctx, leaderReportToWire(x))
	if err != nil {
		return leaderReply{}, codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return leaderReplyFromWire(answer), ctlapi.ErrorOf(answer.GetFault())
}

// Collected handles the report of another control node.
func (n *Node) Collected(_ context.Context, r *wire.CollectedRequest) (*wire.CollectedReply, error) {
	a, err := n.handleReport(leaderReportFromWire(r))
	n.instruments.load.count(taskReport, err)
	return leaderReplyToWire(a, ctlapi.FaultOf(err)), nil
}

func (n *Node) handleReport(x leaderReport) (leaderReply, error) {
	a, needsRound, err := n.leadership.handleReport(n.clock.Now(), x)
	if err != nil {
		return leaderReply{}, n.redirect(err)
	}
	if needsRound {
		n.wakeLeader()
	}
	return a, nil
}

// handleReport merges a control node's report into the fleet. needsRound is
// true if a planning round may find work in the report.
func (l *leadership) handleReport(now sardine.Millis, x leaderReport) (a leaderReply, needsRound bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return leaderReply{}, false, codes.New(codes.NotLeader, "this control node does not lead")
	}
	if x.report != nil {
		a.ack = l.fleet.Merge(now, *x.report)
	} else {
		a.ack = l.fleet.RecordContact(now, x.home, x.incarnation)
	}
	l.homes.record(now, x.home, x.address)
	a.homes = l.homes.addresses(now)
	a.incarnation = l.fleet.Incarnation(x.home)
	if a.incarnation == x.incarnation {
		l.fleet.Overdue(x.home, x.overdue)
	}
	newStall := l.fleet.Observe(now, x.home, x.observations)
	a.inFlight = l.fleet.InFlightCounts()
	a.allocations = l.allocateQuotas(now, x.quotas)
	return a, newStall || x.report != nil, nil
}

func leaderReportToWire(x leaderReport) *wire.CollectedRequest {
	r := &wire.CollectedRequest{Node: string(x.home), Incarnation: uint64(x.incarnation), AnnounceAddress: x.address}
	if x.report != nil {
		r.Report = follow.ReportToWire(follow.ReportOf(*x.report, true))
	}
	for _, ref := range x.overdue {
		r.Overdue = append(r.Overdue, &wire.TargetRef{Vm: string(ref.VM), Incarnation: uint64(ref.Incarnation)})
	}
	for _, s := range x.observations {
		r.Signs = append(r.Signs, observationToWire(s))
	}
	r.QuotaReports = nodeQuotasToWire(x.quotas)
	return r
}

func leaderReportFromWire(r *wire.CollectedRequest) leaderReport {
	x := leaderReport{
		home:         sardine.NodeID(r.GetNode()),
		incarnation:  sardine.Incarnation(r.GetIncarnation()),
		address:      r.GetAnnounceAddress(),
		observations: observationsFromWire(r.GetSigns()),
		quotas:       nodeQuotasFromWire(r.GetQuotaReports()),
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

func leaderReplyToWire(a leaderReply, fault *wire.Fault) *wire.CollectedReply {
	return &wire.CollectedReply{
		Fault:             fault,
		Sequence:          a.ack.Sequence,
		WantFull:          a.ack.WantFull,
		Incarnation:       uint64(a.incarnation),
		Crowds:            inFlightToWire(a.inFlight),
		AnnounceAddresses: a.homes,
		Allocations:       allocationsToWire(a.allocations),
	}
}

func leaderReplyFromWire(r *wire.CollectedReply) leaderReply {
	return leaderReply{
		ack:         fleet.Ack{Sequence: r.GetSequence(), WantFull: r.GetWantFull()},
		incarnation: sardine.Incarnation(r.GetIncarnation()),
		inFlight:    inFlightFromWire(r.GetCrowds()),
		homes:       r.GetAnnounceAddresses(),
		allocations: allocationsFromWire(r.GetAllocations()),
	}
}
