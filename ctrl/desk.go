package ctrl

import (
	"context"
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/event"
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
	if current.Number == 0 {
		return nil, nil
	}
	return current.Document()
}

// proposeLayout answers an overtaken or repeated document only after a quorum
// has proved that this node still leads: what it compares with may be outdated.
func (n *Node) proposeLayout(ctx context.Context, document []byte) error {
	layout, err := n.port.ParseLayout(document)
	if err != nil {
		return err
	}
	put, err := state.NewPutLayout(layout.Number, document)
	if err != nil {
		return err
	}
	result, err := n.propose(ctx, put)
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

// Announce takes a target's word about itself. That it leaves is durable before
// it is acknowledged, because it stops serving soon afterwards.
func (d desk) Announce(ctx context.Context, a sardine.Announcement) (string, error) {
	n := d.node
	if a.Leaving {
		if err := n.leave(ctx, a.VM, a.Incarnation); err != nil {
			return "", err
		}
	}
	n.layoutSettings()
	models, used := n.layouts.usable(a.Service)
	if !used {
		return n.control.Address(), nil // no route leads there, so that there is nothing to record
	}
	a.Loadable = models
	if err := n.collector.announce(n.clock.Now(), a); err != nil {
		return "", err
	}
	return n.control.Address(), nil
}

// Leave notes a target's last word.
func (d desk) Leave(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	return d.node.leave(ctx, vm, i)
}

// leave records here or at the leader that a target takes no new work.
func (n *Node) leave(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	if n.hasLeft(vm, i) {
		return nil
	}
	info := n.log.Leader()
	ctx, cancel := context.WithTimeout(ctx, deskCall.Duration())
	defer cancel()
	if info.Leading {
		return n.leaves(ctx, vm, i)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return err
	}
	answer, err := stub.Leaving(ctx, &wire.LeavingRequest{Vm: string(vm), Incarnation: uint64(i)})
	if err != nil {
		return codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return ctlapi.ErrorOf(answer.GetFault())
}

// Leaving records that a target takes no new work, for another control node.
func (n *Node) Leaving(ctx context.Context, r *wire.LeavingRequest) (*wire.LeavingReply, error) {
	err := n.leaves(ctx, sardine.VMID(r.GetVm()), sardine.Incarnation(r.GetIncarnation()))
	return &wire.LeavingReply{Fault: ctlapi.FaultOf(err)}, nil
}

// hasLeft reports whether the log says so already. It never takes that back.
func (n *Node) hasLeft(vm sardine.VMID, i sardine.Incarnation) bool {
	var known state.Target
	var listed bool
	n.log.View(func(m *state.Machine) { known, listed = m.Target(vm) })
	return listed && known.Leaving && (i == 0 || known.Incarnation == i)
}

// leaves records that a target takes no new work. An unknown one takes none
// anyway.
func (n *Node) leaves(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	if n.hasLeft(vm, i) {
		return nil
	}
	if i == 0 {
		n.log.View(func(m *state.Machine) {
			known, _ := m.Target(vm)
			i = known.Incarnation
		})
	}
	result, err := n.propose(ctx, state.TargetLeaving{VM: vm, Incarnation: i})
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
