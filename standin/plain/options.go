package plain

import sardine "sardineswitch.dev/sardine"

type settings struct {
	vm          sardine.VMID
	incarnation sardine.Incarnation
	dataCentre  sardine.DataCentre
	service     sardine.ServiceName
	listen      string
	balancer    string
	interval    sardine.Millis
}

func defaults() settings {
	return settings{
		vm:         "app-1",
		dataCentre: "osu",
		service:    "box_office",
		listen:     "127.0.0.1:0",
		interval:   sardine.Second,
	}
}

// Option sets a property of a Service.
type Option func(*settings)

// WithVM sets the VM's name.
func WithVM(vm sardine.VMID) Option {
	return func(s *settings) { s.vm = vm }
}

// WithIncarnation sets the incarnation before the first start; each start
// increments it.
func WithIncarnation(i sardine.Incarnation) Option {
	return func(s *settings) { s.incarnation = i }
}

// WithDataCentre sets the data centre.
func WithDataCentre(d sardine.DataCentre) Option {
	return func(s *settings) { s.dataCentre = d }
}

// WithService sets the name of the service.
func WithService(n sardine.ServiceName) Option {
	return func(s *settings) { s.service = n }
}

// WithListen sets the address to listen on, host:port.
func WithListen(address string) Option {
	return func(s *settings) { s.listen = address }
}

// WithBalancer sets the load balancer address at which the service announces
// itself first, host:port. With an empty address it does not announce itself.
func WithBalancer(address string) Option {
	return func(s *settings) { s.balancer = address }
}

// WithInterval sets the interval of announcements until an entry node requests
// another one.
func WithInterval(d sardine.Millis) Option {
	return func(s *settings) { s.interval = d }
}
