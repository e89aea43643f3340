package state

// OpenTraffic records that callers' requests have begun. Until then loads from
// the weight store delay nobody.
type OpenTraffic struct{}

func (OpenTraffic) command() {}

// TrafficOpen reports whether callers' requests have begun.
func (m *Machine) TrafficOpen() bool {
	return m.trafficOpen
}
