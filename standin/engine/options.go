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

// WithIncarnation sets the incarnation before the first start, which is one
// higher.
func WithIncarnation(i sardine.Incarnation) Option {
	return func(s *settings) { s.incarnation = i }
}

// WithPlace sets the data centre and the fabric domain.
func WithPlace(d sardine.DataCentre, f sardine.FabricDomain) Option {
	return func(s *settings) { s.dataCentre, s.domain = d, f }
}

// WithAccelerators sets the VM's accelerators.
func WithAccelerators(n int) Option {
	return func(s *settings) { s.accelerators = n }
}

// WithLoadable sets the models that the engine can load.
func WithLoadable(models ...sardine.ModelName) Option {
	return func(s *settings) { s.loadable = models }
}

// WithChecksEpoch sets whether the engine refuses old epochs; without it, it
// takes any order and any request.
func WithChecksEpoch(on bool) Option {
	return func(s *settings) { s.checksEpoch = on }
}

// WithListen sets the address to listen on, host:port.
func WithListen(address string) Option {
	return func(s *settings) { s.listen = address }
}

// WithBalancer sets where the engine announces itself at first, host:port. An
// empty address announces nothing.
func WithBalancer(address string) Option {
	return func(s *settings) { s.balancer = address }
}

// WithInterval sets the time between announcements until an entry node asks for
// another.
func WithInterval(d sardine.Millis) Option {
	return func(s *settings) { s.interval = d }
}

// WithLoader sets where weights come from.
func WithLoader(l Loader) Option {
	return func(s *settings) { s.loader = l }
}

// WithFabric sets the link that the members of groups share.
func WithFabric(f *Fabric) Option {
	return func(s *settings) { s.fabric = f }
}

// WithSpeed sets the time to the first token and between tokens.
func WithSpeed(prefill, tokenTime sardine.Millis) Option {
	return func(s *settings) { s.prefill, s.tokenTime = prefill, tokenTime }
}

// WithBatch sets how many requests run at once; others queue.
func WithBatch(n int) Option {
	return func(s *settings) { s.batch = n }
}
