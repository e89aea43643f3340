package site

import (
	"log/slog"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/standin/engine"
)

type settings struct {
	seed          uint64
	controls      int
	entries       int
	domains       int // fabric domains, spread over the data centres
	vms           int // engines in each domain
	plains        int
	loadTime      sardine.Millis  // time to load one member's weights
	tokenTime     sardine.Millis  // time between tokens of an engine
	epochChecks   bool            // engines reject older epochs
	engineOptions []engine.Option // added to the site's own
	logger        *slog.Logger
	entryTiming   entry.Timing
	controlTiming ctrl.Timing
	keysFolder    string // folder of certificates; empty for plain HTTP
}

// Option sets a property of a Site.
type Option func(*settings)

// WithSeed sets the seed of all random sources.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithNodes sets the number of control nodes and of entry nodes.
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

// WithPlainServices sets the number of plain service VMs.
func WithPlainServices(n int) Option {
	return func(s *settings) { s.plains = n }
}

// WithEpochChecks sets whether engines reject requests and orders of older epochs.
func WithEpochChecks(on bool) Option {
	return func(s *settings) { s.epochChecks = on }
}

// WithEngineOptions sets options that are added to those of every engine.
func WithEngineOptions(options ...engine.Option) Option {
	return func(s *settings) { s.engineOptions = options }
}

// WithLogger sets the logger of the nodes' events.
func WithLogger(l *slog.Logger) Option {
	return func(s *settings) { s.logger = l }
}

// WithEntryTiming changes the intervals and timeouts of the entry nodes.
func WithEntryTiming(change func(*entry.Timing)) Option {
	return func(s *settings) { change(&s.entryTiming) }
}

// WithControlTiming changes the intervals and timeouts of the control nodes.
func WithControlTiming(change func(*ctrl.Timing)) Option {
	return func(s *settings) { change(&s.controlTiming) }
}

// WithTLS makes the nodes and operators use TLS. The certificate authority and
// the certificates are written to the folder; a first operator token is created
// too.
func WithTLS(folder string) Option {
	return func(s *settings) { s.keysFolder = folder }
}

// Names of the model and the plain service that the site deploys.
const (
	Model   = sardine.ModelName("twi-surtitles")
	Service = sardine.ServiceName("box-office")
)
