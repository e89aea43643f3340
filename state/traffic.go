package state

// OpenTraffic records that callers have sent their first requests. Until then,
// loads from the weight store delay no request.
type OpenTraffic struct{}

func (OpenTraffic) command() {}

// TrafficOpen reports whether callers have sent their first requests.
func (m *Machine) TrafficOpen() bool {
	return m.trafficOpen
}
