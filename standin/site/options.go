package site

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/standin/engine"
)

type settings struct {
	seed     uint64
	controls int
	entries  int
	domains  int // fabric domains, spread over the data centres
	vms      int // engines in each domain
	plains   int
	load     sardine.Millis // time to load one member's weights
	token    sardine.Millis
	fenced   bool
	engine   []engine.Option // besides the site's own
	logger   *slog.Logger
	timing   entry.Timing
	control  ctrl.Timing
	keys     string // folder, empty for plain HTTP
}

// Option sets a property of a Site.
type Option func(*settings)

// WithSeed sets the seed of all random sources.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithNodes sets the numbers of control and entry nodes.
func WithNodes(controls, entries int) Option {
	return func(s *settings) {
		s.controls = controls
		s.entries = entries
	}
}

// WithEngines sets the number of fabric domains and of engines in each.
func WithEngines(domains, vms int) Option {
	return func(s *settings) {
		s.domains = domains
		s.vms = vms
	}
}

// WithPlains sets the number of plain service VMs.
func WithPlains(n int) Option {
	return func(s *settings) { s.plains = n }
}

// WithFencing sets whether engines refuse old epochs.
func WithFencing(on bool) Option {
	return func(s *settings) { s.fenced = on }
}

// WithEngineOptions adds options to every engine.
func WithEngineOptions(options ...engine.Option) Option {
	return func(s *settings) { s.engine = options }
}

// WithLogger sets where the nodes write their events.
func WithLogger(l *slog.Logger) Option {
	return func(s *settings) { s.logger = l }
}

// WithEntryTiming changes the entry nodes' times.
func WithEntryTiming(change func(*entry.Timing)) Option {
	return func(s *settings) { change(&s.timing) }
}

// WithControlTiming changes the control nodes' times.
func WithControlTiming(change func(*ctrl.Timing)) Option {
	return func(s *settings) { change(&s.control) }
}

// WithKeys lets the site's own processes and operators speak TLS, with an
// authority, certificates and a first operator's token made in the folder.
func WithKeys(folder string) Option {
	return func(s *settings) { s.keys = folder }
}

// Names of what the site deploys.
const (
	Model   = sardine.ModelName("twi-surtitles")
	Service = sardine.ServiceName("box-office")
)
