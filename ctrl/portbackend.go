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

// forwardTimeout bounds a call that is forwarded to the leader. Targets and operators
// wait one second for a control node's answer.
const forwardTimeout = 900 * sardine.Millis(1)

// portBackend handles the requests that operators and targets send to any control
// node: the leader handles them itself, other nodes forward them to the leader. It
// implements sardine.ControlBackend.
type portBackend struct {
	node *Node
}

// PutLayout returns once the document, or one with a higher number, is durable.
func (d portBackend) PutLayout(ctx context.Context, document []byte) error {
	n := d.node
	if _, err := n.decodeLayout(document); err != nil {
		event.Log(n.logger, event.ChangeRefused, errorAttr(err))
		return err
	}
	_, err := n.layout(ctx, document)
	return err
}

// Layout returns the newest document after a quorum has confirmed the leader.
func (d portBackend) Layout(ctx context.Context) ([]byte, error) {
	return d.node.layout(ctx, nil)
}

// layout replaces the layout, or reads it if document is empty. A node that does not
// lead forwards the call to the leader.
func (n *Node) layout(ctx context.Context, document []byte) ([]byte, error) {
	info := n.log.Leader()
	if info.IsLeader {
		return n.localLayout(ctx, document)
	}
	stub, err := n.leaderStub(info.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout.Duration())
	defer cancel()
	answer, err := stub.Layout(ctx, &wire.LayoutRequest{Document: document})
	if err != nil {
		return nil, codes.Wrap(codes.NoQuorum, err, "the leading control node does not answer")
	}
	return answer.GetDocument(), ctlapi.ErrorOf(answer.GetFault())
}

// leaderStub returns a client of the leader.
func (n *Node) leaderStub(address string) (wire.Control, error) {
	if address == "" {
		return nil, codes.New(codes.NoQuorum, "no control node leads")
	}
	return n.controlClient.Stub(address), nil
}

// Layout reads or replaces the site's layout for another control node.
func (n *Node) Layout(ctx context.Context, r *wire.LayoutRequest) (*wire.LayoutReply, error) {
	document, err := n.localLayout(ctx, r.GetDocument())
	return &wire.LayoutReply{Document: document, Fault: ctlapi.FaultOf(err)}, nil
}

func (n *Node) localLayout(ctx context.Context, document []byte) ([]byte, error) {
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

// proposeLayout validates and proposes a document, even a superseded or repeated one:
// only the commit proves that this node still leads, and that the state with which the
// document's number is compared is current.
func (n *Node) proposeLayout(ctx context.Context, document []byte) error {
	layout, err := n.decodeLayout(document)
	if err != nil {
		return err
	}
	put, err := state.NewPutLayout(layout.Number, document)
	if err != nil {
		return err
	}
	arrived := n.clock.Now()
	result, err := n.propose(ctx, put)
	if err != nil {
		return n.redirect(err)
	}
	if result.Err != nil {
		event.Log(n.logger, event.ChangeRefused, numberAttr(layout.Number), errorAttr(result.Err))
		return result.Err
	}
	event.Log(n.logger, event.ChangeAccepted, numberAttr(layout.Number), slog.Bool("repeat", result.Repeat))
	n.awaitEntries(ctx, arrived, result.Index)
	return nil
}

func numberAttr(number uint64) slog.Attr {
	return slog.Uint64("number", number)
}

// Announce records a target's announcement. If the target leaves, that is made durable
// before it is acknowledged, because the target stops serving soon afterwards.
func (d portBackend) Announce(ctx context.Context, a sardine.Announcement) (string, error) {
	n := d.node
	if a.Leaving {
		if err := n.recordLeaving(ctx, a.VM, a.Incarnation); err != nil {
			return "", err
		}
	}
	n.layoutSettings()
	models, used := n.layoutCache.usable(a.Service)
	if !used {
		return n.portServer.Address(), nil // no route uses the service, so there is nothing to record
	}
	a.Loadable = models
	address, err := n.collector.announce(n.clock.Now(), a, n.isRecorded(a.VM, a.Incarnation))
	n.instruments.load.count(taskAnnouncement, err)
	return address, err
}

// isRecorded reports whether the log contains the target's incarnation.
func (n *Node) isRecorded(vm sardine.VMID, i sardine.Incarnation) bool {
	known, listed := n.target(vm)
	return listed && known.Incarnation == i
}

// target returns a target as the log records it.
func (n *Node) target(vm sardine.VMID) (t state.Target, listed bool) {
	n.log.View(func(m *state.Machine) { t, listed = m.Target(vm) })
	return t, listed
}

// Leave records that a target leaves.
func (d portBackend) Leave(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	return d.node.recordLeaving(ctx, vm, i)
}

// recordLeaving records that a target accepts no new work. A node that does not lead
// forwards the call to the leader.
func (n *Node) recordLeaving(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	if n.hasLeft(vm, i) {
		return nil
	}
	info := n.log.Leader()
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout.Duration())
	defer cancel()
	if info.IsLeader {
		return n.proposeLeaving(ctx, vm, i)
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

// Leaving handles a call that another control node forwards: a target leaves.
func (n *Node) Leaving(ctx context.Context, r *wire.LeavingRequest) (*wire.LeavingReply, error) {
	err := n.proposeLeaving(ctx, sardine.VMID(r.GetVm()), sardine.Incarnation(r.GetIncarnation()))
	return &wire.LeavingReply{Fault: ctlapi.FaultOf(err)}, nil
}

// hasLeft reports whether the log already records that the incarnation leaves, any
// incarnation if i is 0. The log never reverts that.
func (n *Node) hasLeft(vm sardine.VMID, i sardine.Incarnation) bool {
	known, listed := n.target(vm)
	return listed && known.Leaving && (i == 0 || known.Incarnation == i)
}

// proposeLeaving proposes that a target accepts no new work. Without an incarnation, the
// state machine finds the one that leaves. An unknown target is not an error: the log
// records its departure for reports that arrive later.
func (n *Node) proposeLeaving(ctx context.Context, vm sardine.VMID, i sardine.Incarnation) error {
	if n.hasLeft(vm, i) {
		return nil
	}
	arrived := n.clock.Now()
	result, err := n.propose(ctx, state.TargetLeaving{VM: vm, Incarnation: i})
	if err != nil {
		return n.redirect(err)
	}
	if result.Err != nil && !codes.Is(result.Err, codes.UnknownMember) {
		return result.Err
	}
	event.Log(n.logger, event.TargetLeaving, vmAttr(vm))
	n.wakeLeader()
	n.awaitEntries(ctx, arrived, result.Index)
	return nil
}
