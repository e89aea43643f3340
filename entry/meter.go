package entry

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/meter"
)

// firstTokenBounds are the upper bounds of the first-token histogram in seconds.
var firstTokenBounds = []float64{0.025, 0.05, 0.1, 0.2, 0.46, 1, 2, 5, 10, 30}

// instruments are the node's metrics.
type instruments struct {
	meter    *meter.Meter
	requests *meter.Counter
	first    *meter.Durations
}

func newInstruments(n *Node) (*instruments, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	requests, err := m.Counter("sardine_requests", "callers' requests by stage and result code")
	if err != nil {
		return nil, err
	}
	first, err := m.Durations("sardine_first_token", "time from a request's arrival to its first token", firstTokenBounds...)
	if err != nil {
		return nil, err
	}
	err = m.Gauge("sardine_in_flight", "dispatches under way", func() float64 { return float64(n.flights.count()) })
	if err != nil {
		return nil, err
	}
	err = m.Gauge("sardine_ready", "1 if the node takes callers' requests", func() float64 {
		if n.mayAccept() != nil {
			return 0
		}
		return 1
	})
	return &instruments{meter: m, requests: requests, first: first}, err
}

func (i *instruments) count(stage string, err error) {
	i.requests.With(meter.NewLabel("stage", stage), meter.NewLabel("code", codes.Of(err).Name())).Add(1)
}

func (i *instruments) admitted(err error) {
	i.count("admission", err)
}

func (i *instruments) refused(err error) {
	i.count("refused", err)
}

func (i *instruments) failed(err error) {
	i.count("failed", err)
}

func (i *instruments) served() {
	i.count("served", nil)
}

// attempted counts what a target did with a request.
func (i *instruments) attempted(err error) {
	i.count("attempt", err)
}

func (i *instruments) stalled() {
	i.count("stalled", codes.New(codes.TargetFailed, "the target has gone silent"))
}

func (i *instruments) firstToken(d sardine.Millis) {
	i.first.Record(d)
}
