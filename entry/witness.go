package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/vital"
	"sardineswitch.dev/sardine/wire"
)

const (
	// witnessEvery is the time between two reports of what this node sees of
	// targets.
	witnessEvery = 500 * sardine.Millis(1)
	// witnessCall bounds one report. It is shorter than the interval, so that
	// reports never pile up.
	witnessCall = 400 * sardine.Millis(1)
)

// witness is a duty: it tells the control leader which targets answer this
// node's requests and which stand still.
func (n *Node) witness() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.stalls:
		case <-n.clock.After(witnessEvery):
		}
		n.witnessOnce()
	}
}

func (n *Node) witnessOnce() {
	signs := n.vitals.signs()
	if len(signs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.life, witnessCall.Duration())
	defer cancel()
	request := &wire.WitnessRequest{Node: string(n.id)}
	for _, s := range signs {
		request.Signs = append(request.Signs, signToWire(s))
	}
	crowds, err := n.control.Witness(ctx, request)
	n.noteWitness(err)
	if err != nil {
		return // the next report says it all anew
	}
	n.gate.crowds(crowds)
}

// noteWitness logs when the leader ceases to take reports, and when it does again.
func (n *Node) noteWitness(err error) {
	switch lost := err != nil; {
	case lost && !n.witnessLost:
		event.Log(n.log, event.WitnessLost, codeAttr(err))
	case !lost && n.witnessLost:
		event.Log(n.log, event.WitnessRegained)
	}
	n.witnessLost = err != nil
}

func signToWire(s vital.Sign) *wire.Sign {
	return &wire.Sign{
		Group:       string(s.Ref.Group),
		Epoch:       uint64(s.Ref.Epoch),
		Vm:          string(s.Ref.VM),
		Incarnation: uint64(s.Ref.Incarnation),
		Flights:     uint32(max(s.Flights, 0)),
		Alive:       s.Alive >= 0,
		AliveMillis: uint32(max(s.Alive, 0)),
		Stalled:     s.Stalled,
	}
}
