package ctrl

import (
	"context"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/wire"
)

// deskCall bounds one call that a desk passes on to the leader. Targets and
// operators give a control node one second to answer.
const deskCall = 900 * sardine.Millis(1)

// desk does what operators and targets ask of any control node: the leader by
// itself, the others by asking the leader. It implements sardine.ControlDesk.
type desk struct {
	node *Node
}

// PutLayout returns once the document, or one with a higher number, is durable.
func (d desk) PutLayout(ctx context.Context, document []byte) error {
	n := d.node
	if _, err := n.port.ParseLayout(document); err != nil {
		event.Log(n.logger, event.ChangeRefused, errorAttr(err))
		return err
	}
	_, err := n.layout(ctx, document)
	return err
}

// Layout returns the newest document, proved by a quorum.
func (d desk) Layout(ctx context.Context) ([]byte, error) {
	return d.node.layout(ctx, nil)
}

// layout replaces the layout, or reads it without a document, here or at the
// leader.
func (n *Node) layout(ctx context.Context, document []byte) ([]byte, error) {
	info := n.log.Leader()
	if info.Leading {
		return n.ownLayout(ctx, document)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, deskCall.Duration())
	defer cancel()
	answer, err := stub.Layout(ctx, &wire.LayoutRequest{Document: document})
	if err != nil {
		return nil, codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return answer.GetDocument(), ctlapi.ErrorOf(answer.GetFault())
}

// leaderStub returns the leader's service.
func (n *Node) leaderStub(address string) (wire.Control, error) {
	if address == "" {
		return nil, codes.New(codes.NoQuorum, "no control node leads")
	}
	return n.others.Stub(address), nil
}

// Layout reads or replaces the site's layout for another control node.
func (n *Node) Layout(ctx context.Context, r *wire.LayoutRequest) (*wire.LayoutReply, error) {
	document, err := n.ownLayout(ctx, r.GetDocument())
	return &wire.LayoutReply{Document: document, Fault: ctlapi.FaultOf(err)}, nil
}

func (n *Node) ownLayout(ctx context.Context, document []byte) ([]byte, error) {
	if len(document) > 0 {
		return nil, n.proposeLayout(ctx, document)
	}
	if _, _, err := n.confirm(ctx); err != nil {
		return nil, err
	}
	var current state.PutLayout
	n.log.View(func(m *state.Machine) { current = m.Layout() })
	return current.Document, nil
}

// proposeLayout answers an overtaken or repeated document only after a quorum
// has proved that this node still leads: what it compares with may be outdated.
func (n *Node) proposeLayout(ctx context.Context, document []byte) error {
	layout, err := n.port.ParseLayout(document)
	if err != nil {
		return err
	}
	result, err := n.log.Propose(ctx, state.PutLayout{Number: layout.Number, Document: document})
	if err != nil {
		return n.redirect(err)
	}
	if result.Err != nil {
		event.Log(n.logger, event.ChangeRefused, numberAttr(layout.Number), errorAttr(result.Err))
		return result.Err
	}
	event.Log(n.logger, event.ChangeAccepted, numberAttr(layout.Number), slog.Bool("repeat", result.Repeat))
	return nil
}

func numberAttr(number uint64) slog.Attr {
	return slog.Uint64("number", number)
}

// Announce takes a target's word about itself to the leader.
func (d desk) Announce(ctx context.Context, a sardine.Announcement) (string, error) {
	request := &wire.AnnounceRequest{Target: follow.StatusToWire(follow.TargetStatus{
		Target:  state.TargetOf(a),
		Holding: a.Holding,
		Load:    a.Load,
		Staged:  a.Staged,
		Serial:  a.Serial,
	})}
	return d.announce(ctx, request)
}

// Leave takes a target's last word to the leader.
func (d desk) Leave(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	_, err := d.announce(ctx, &wire.AnnounceRequest{
		Target: follow.StatusToWire(follow.TargetStatus{Target: state.Target{VM: vm, Incarnation: i}}),
		Leave:  true,
	})
	return err
}

func (d desk) announce(ctx context.Context, request *wire.AnnounceRequest) (string, error) {
	n := d.node
	ctx, cancel := context.WithTimeout(ctx, deskCall.Duration())
	defer cancel()
	info := n.log.Leader()
	if info.Leading {
		return n.control.Address(), n.announced(ctx, request)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return "", err
	}
	answer, err := stub.Announce(ctx, request)
	if err != nil {
		return "", codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return answer.GetAddress(), ctlapi.ErrorOf(answer.GetFault())
}

// Announce takes a target's announcement from another control node.
func (n *Node) Announce(ctx context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if n.control == nil {
		return &wire.AnnounceReply{Fault: ctlapi.FaultOf(codes.New(codes.BadRequest, "this control node takes no announcements"))}, nil
	}
	err := n.announced(ctx, r)
	return &wire.AnnounceReply{Address: n.control.Address(), Fault: ctlapi.FaultOf(err)}, nil
}

// announced records an announcement at the leader. That a target leaves is
// durable before it is acknowledged, because it stops serving soon afterwards.
func (n *Node) announced(ctx context.Context, r *wire.AnnounceRequest) error {
	status := follow.StatusFromWire(r.GetTarget())
	if r.GetLeave() {
		return n.leaves(ctx, status.Target.VM, status.Target.Incarnation)
	}
	a := announcementOf(status)
	models, used := n.layouts.usable(a.Service)
	if !used && !a.Leaving {
		return nil // no route leads there, so that there is nothing to record
	}
	a.Loadable = models
	known, news, err := n.leadership.heard(n.clock.Now(), a)
	if err != nil {
		return n.redirect(err)
	}
	if a.Leaving && !known {
		return n.leaves(ctx, a.VM, a.Incarnation)
	}
	if news {
		n.wakeLeader()
	}
	return nil
}

// leaves records that a target takes no new work. An unknown one takes none
// anyway.
func (n *Node) leaves(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	var known state.Target
	var listed bool
	n.log.View(func(m *state.Machine) { known, listed = m.Target(vm) })
	if listed && known.Leaving && (i == 0 || known.Incarnation == i) {
		return nil
	}
	if i == 0 {
		i = known.Incarnation
	}
	result, err := n.log.Propose(ctx, state.TargetLeaving{VM: vm, Incarnation: i})
	if err != nil {
		return n.redirect(err)
	}
	if result.Err != nil && !codes.Is(result.Err, codes.UnknownMember) {
		return result.Err
	}
	event.Log(n.logger, event.TargetLeaving, vmAttr(vm))
	n.wakeLeader()
	return nil
}

// homeIncarnation is that of the leader's own table of targets, which begins
// anew with each term.
const homeIncarnation = 1

// newHome returns the leader's own table of the targets that announce themselves
// to control nodes.
func newHome(self sardine.NodeID, lease sardine.Millis) *fleet.Home {
	return fleet.NewHome(self, homeIncarnation, fleet.WithLease(lease))
}

// heard records an announcement in the leader's own table. known tells that the
// target has said before that it leaves, news that more than a load has changed.
func (l *leadership) heard(now sardine.Millis, a sardine.Announcement) (known, news bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return false, false, codes.New(codes.NotLeader, "this control node does not lead")
	}
	before, listed := l.home.Target(now, a.VM)
	if err := l.home.Announce(now, a); err != nil {
		if codes.Is(err, codes.Superseded) {
			return true, false, nil // a late one, which a newer one has overtaken
		}
		return false, false, err
	}
	news = l.home.HasNews(now)
	l.report(now)
	l.fleet.Beat(now, a.VM, a.Incarnation)
	return listed && before.Leaving && before.Incarnation == a.Incarnation, news, nil
}

// report moves the own table's news to the fleet. The lock is held.
func (l *leadership) report(now sardine.Millis) {
	r, news := l.home.Report(now)
	if !news {
		l.fleet.Heard(now, l.self, homeIncarnation)
		return
	}
	l.home.Acked(l.fleet.Take(now, r))
}

// tickHome drops the targets that are silent. The lock is held.
func (l *leadership) tickHome(now sardine.Millis) {
	l.home.Tick(now)
	l.report(now)
}
