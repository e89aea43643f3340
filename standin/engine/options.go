package engine

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/weight"
)

type settings struct {
	vm           sardine.VMID
	incarnation  sardine.Incarnation
	dataCentre   sardine.DataCentre
	domain       sardine.FabricDomain
	accelerators int
	loadable     []sardine.ModelName
	checksEpoch  bool
	listen       string
	balancer     string
	interval     sardine.Millis
	loader       Loader
	fabric       *Fabric
	prefill      sardine.Millis
	tokenTime    sardine.Millis
	batch        int
}

func defaults() settings {
	return settings{
		vm:           "vm-1",
		dataCentre:   "osu",
		domain:       "osu-rack-1",
		accelerators: 4,
		loadable:     []sardine.ModelName{"surtitle"},
		checksEpoch:  true,
		listen:       "127.0.0.1:0",
		interval:     sardine.Second,
		loader:       weight.New(),
		fabric:       NewFabric(),
		prefill:      5,
		tokenTime:    2,
		batch:        32,
	}
}

// Option sets a property of an Engine.
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

// WithLocation sets the data centre and the fabric domain.
func WithLocation(d sardine.DataCentre, f sardine.FabricDomain) Option {
	return func(s *settings) { s.dataCentre, s.domain = d, f }
}

// WithAccelerators sets the number of accelerators of the VM.
func WithAccelerators(n int) Option {
	return func(s *settings) { s.accelerators = n }
}

// WithLoadable sets the models that the engine can load.
func WithLoadable(models ...sardine.ModelName) Option {
	return func(s *settings) { s.loadable = models }
}

// WithEpochChecks sets whether the engine rejects orders of older epochs and
// requests for another group or epoch. Otherwise it accepts all orders and
// requests.
func WithEpochChecks(on bool) Option {
	return func(s *settings) { s.checksEpoch = on }
}

// WithListen sets the address to listen on, host:port.
func WithListen(address string) Option {
	return func(s *settings) { s.listen = address }
}

// WithBalancer sets the load balancer address at which the engine announces
// itself first, host:port. With an empty address it does not announce itself.
func WithBalancer(address string) Option {
	return func(s *settings) { s.balancer = address }
}

// WithInterval sets the interval of announcements until an entry node requests
// another one.
func WithInterval(d sardine.Millis) Option {
	return func(s *settings) { s.interval = d }
}

// WithLoader sets the source of the weights.
func WithLoader(l Loader) Option {
	return func(s *settings) { s.loader = l }
}

// WithFabric sets the interconnect that the members of groups share.
func WithFabric(f *Fabric) Option {
	return func(s *settings) { s.fabric = f }
}

// WithSpeed sets the time to the first token and the time between tokens.
func WithSpeed(prefill, tokenTime sardine.Millis) Option {
	return func(s *settings) { s.prefill, s.tokenTime = prefill, tokenTime }
}

// WithBatch sets how many requests run concurrently; further ones are queued.
func WithBatch(n int) Option {
	return func(s *settings) { s.batch = n }
}
