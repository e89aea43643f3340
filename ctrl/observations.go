package ctrl

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/ctlapi"
	"sardineswitch.dev/sardine/fleet"
	"sardineswitch.dev/sardine/wire"
)

// Witness records what an entry node observes of targets through its requests.
func (n *Node) Witness(_ context.Context, r *wire.WitnessRequest) (*wire.WitnessReply, error) {
	if n.collector == nil {
		return &wire.WitnessReply{Fault: ctlapi.FaultOf(codes.New(codes.BadRequest, "this control node does not collect reports on targets"))}, nil
	}
	crowds, err := n.collector.observe(n.clock.Now(), sardine.NodeID(r.GetNode()), observationsFromWire(r.GetSigns()))
	n.instruments.load.count(taskHealthReport, err)
	reply := &wire.WitnessReply{Fault: ctlapi.FaultOf(err), Crowds: inFlightToWire(crowds)}
	if err == nil && r.GetQuota() != nil {
		reply.Shares = sharesToWire(n.collector.exchangeQuota(n.clock.Now(), sardine.NodeID(r.GetNode()), quotaReportFromWire(r.GetQuota())))
	}
	return reply, nil
}

func observationToWire(s fleet.Observation) *wire.Sign {
	return &wire.Sign{
		Group:       string(s.Group),
		Epoch:       uint64(s.Epoch),
		Vm:          string(s.VM),
		Incarnation: uint64(s.Incarnation),
		Flights:     uint32(max(s.InFlight, 0)),
		Alive:       s.ProgressAge >= 0,
		AliveMillis: uint32(max(s.ProgressAge, 0)),
		Stalled:     s.Stalled,
	}
}

func observationsFromWire(all []*wire.Sign) []fleet.Observation {
	signs := make([]fleet.Observation, 0, len(all))
	for _, w := range all {
		s := fleet.Observation{
			Group:       sardine.GroupID(w.GetGroup()),
			Epoch:       sardine.Epoch(w.GetEpoch()),
			VM:          sardine.VMID(w.GetVm()),
			Incarnation: sardine.Incarnation(w.GetIncarnation()),
			InFlight:    int(w.GetFlights()),
			ProgressAge: -1,
			Stalled:     w.GetStalled(),
		}
		if w.GetAlive() {
			s.ProgressAge = sardine.Millis(w.GetAliveMillis())
		}
		signs = append(signs, s)
	}
	return signs
}

func inFlightToWire(all []fleet.InFlightCount) []*wire.Crowd {
	crowds := make([]*wire.Crowd, 0, len(all))
	for _, c := range all {
		crowds = append(crowds, &wire.Crowd{
			Group:       string(c.Group),
			Epoch:       uint64(c.Epoch),
			Vm:          string(c.VM),
			Incarnation: uint64(c.Incarnation),
			Flights:     uint32(c.Count),
		})
	}
	return crowds
}

func inFlightFromWire(all []*wire.Crowd) []fleet.InFlightCount {
	crowds := make([]fleet.InFlightCount, 0, len(all))
	for _, c := range all {
		crowds = append(crowds, fleet.InFlightCount{
			Group:       sardine.GroupID(c.GetGroup()),
			Epoch:       sardine.Epoch(c.GetEpoch()),
			VM:          sardine.VMID(c.GetVm()),
			Incarnation: sardine.Incarnation(c.GetIncarnation()),
			Count:       int(c.GetFlights()),
		})
	}
	return crowds
}
