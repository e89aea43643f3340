package entry

import (
	"context"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/event"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/vital"
	"sardineswitch.dev/sardine/wire"
)

const (
	// healthInterval is the time between two reports of target health.
	healthInterval = 500 * sardine.Millis(1)
	// healthTimeout bounds one report. It is shorter than the interval, so
	// reports never accumulate.
	healthTimeout = 400 * sardine.Millis(1)
)

// reportHealth is the loop that reports to the control leader which targets
// answer this node's requests, which have stalled and which limit their requests.
func (n *Node) reportHealth() error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-n.stallNotice:
		case <-n.clock.After(healthInterval):
		}
		n.reportHealthOnce()
	}
}

func (n *Node) reportHealthOnce() {
	observations, limits := n.trusted(n.health.observations(), n.gate.limitReport())
	if len(observations) == 0 && limits.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(n.baseCtx, healthTimeout.Duration())
	defer cancel()
	request := &wire.WitnessRequest{Node: string(n.id), Quota: quotaReportToWire(limits)}
	for _, s := range observations {
		request.Signs = append(request.Signs, observationToWire(s))
	}
	askedAt := n.clock.Now()
	reply, err := n.control.Witness(ctx, request)
	n.logHealthReports(err)
	if err != nil {
		return // the next report repeats everything
	}
	n.gate.setInFlight(reply.GetCrowds())
	n.logLimits(n.gate.applyShares(askedAt, quotaSharesFromWire(reply.GetShares())))
}

// trusted returns what may be reported of targets. Without links to them their silence shows
// nothing, and callers' requests go to them by way of other nodes.
func (n *Node) trusted(observations []vital.Observation, limits quota.Report) ([]vital.Observation, quota.Report) {
	if n.linksTrusted() {
		return observations, limits
	}
	for i := range observations {
		observations[i].Stalled = false
	}
	if n.isolated() {
		limits.Demands = nil
	}
	return observations, limits
}

// logHealthReports logs when the leader stops accepting health reports, and
// when it accepts them again.
func (n *Node) logHealthReports(err error) {
	switch lost := err != nil; {
	case lost && !n.healthReportsLost:
		event.Log(n.log, event.WitnessLost, codeAttr(err))
	case !lost && n.healthReportsLost:
		event.Log(n.log, event.WitnessRegained)
	}
	n.healthReportsLost = err != nil
}

func observationToWire(s vital.Observation) *wire.Sign {
	return &wire.Sign{
		Group:       string(s.Ref.Group),
		Epoch:       uint64(s.Ref.Epoch),
		Vm:          string(s.Ref.VM),
		Incarnation: uint64(s.Ref.Incarnation),
		Flights:     uint32(max(s.InFlight, 0)),
		Alive:       s.ProgressAge >= 0,
		AliveMillis: uint32(max(s.ProgressAge, 0)),
		Stalled:     s.Stalled,
	}
}
