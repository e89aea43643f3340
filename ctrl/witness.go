package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/wire"
)

// Witness takes what an entry node sees of targets through its requests.
func (n *Node) Witness(_ context.Context, r *wire.WitnessRequest) (*wire.WitnessReply, error) {
	stalled, crowds, err := n.leadership.witness(n.clock.Now(), sardine.NodeID(r.GetNode()), signsOf(r.GetSigns()))
	if err != nil {
		return &wire.WitnessReply{Fault: ctlapi.FaultOf(n.redirect(err))}, nil
	}
	if stalled {
		n.wakeLeader()
	}
	return &wire.WitnessReply{Crowds: crowdsToWire(crowds)}, nil
}

func signsOf(all []*wire.Sign) []fleet.Sign {
	signs := make([]fleet.Sign, 0, len(all))
	for _, w := range all {
		s := fleet.Sign{
			Group:       sardine.GroupID(w.GetGroup()),
			Epoch:       sardine.Epoch(w.GetEpoch()),
			VM:          sardine.VMID(w.GetVm()),
			Incarnation: sardine.Incarnation(w.GetIncarnation()),
			Flights:     int(w.GetFlights()),
			Alive:       -1,
			Stalled:     w.GetStalled(),
		}
		if w.GetAlive() {
			s.Alive = sardine.Millis(w.GetAliveMillis())
		}
		signs = append(signs, s)
	}
	return signs
}

func crowdsToWire(all []fleet.Crowd) []*wire.Crowd {
	crowds := make([]*wire.Crowd, 0, len(all))
	for _, c := range all {
		crowds = append(crowds, &wire.Crowd{
			Group:       string(c.Group),
			Epoch:       uint64(c.Epoch),
			Vm:          string(c.VM),
			Incarnation: uint64(c.Incarnation),
			Flights:     uint32(c.Flights),
		})
	}
	return crowds
}

// witness hands an entry node's signs to the fleet and reports whether one of
// them tells of a standstill, and what all nodes have in flight.
func (l *leadership) witness(now sardine.Millis, node sardine.NodeID, signs []fleet.Sign) (stalled bool, crowds []fleet.Crowd, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return false, nil, codes.New(codes.NotLeader, "this control node does not lead")
	}
	l.fleet.Witness(now, node, signs)
	for _, s := range signs {
		stalled = stalled || s.Stalled
	}
	return stalled, l.fleet.Crowds(), nil
}
