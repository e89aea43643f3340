package fake

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// Times of the modelled network and nodes.
const (
	heartbeatInterval = sardine.Second
	targetLease       = 3 * sardine.Second
	roundInterval     = 100 * sardine.Millis(1)
	commitDelay       = 5 * sardine.Millis(1)
	hopDelay          = 2 * sardine.Millis(1)
	orderTimeout      = 2 * sardine.Second
)

// NetworkFaults holds the probabilities of network faults.
type NetworkFaults struct {
	LoseReply  float64 // the order arrives, its reply does not
	LoseOrder  float64
	Duplicate  float64 // the order arrives a second time, later
	Delay      float64 // the order arrives late
	LoseReport float64 // of a home node
}

// Option configures a World.
type Option func(*World)

// WithNetworkFaults makes the network unreliable.
func WithNetworkFaults(c NetworkFaults) Option {
	return func(w *World) { w.networkFaults = c }
}

// WithHomes makes every engine announce itself each second to one of a number
// of home nodes. Without it only changes are announced, which makes runs
// faster.
func WithHomes(count int) Option {
	return func(w *World) { w.homeCount = count }
}

// WithPlanner sets the options of each leader's planner.
func WithPlanner(options ...plan.Option) Option {
	return func(w *World) { w.plannerOptions = options }
}

// WithStore sets the capacity of the weight store: the number of loads that it
// serves at the full rate, and a load's duration at that rate.
func WithStore(atOnce int, loadTime sardine.Millis) Option {
	return func(w *World) { w.store = store{atOnce: atOnce, loadTime: loadTime} }
}

// WithReportedStore sets the capacity of the weight store and reports it to the
// planner, so that it plans by demand.
func WithReportedStore(s plan.WeightStore) Option {
	return func(w *World) {
		w.plannerStore = &s
		w.store = store{atOnce: s.AtOnce, loadTime: s.Load}
	}
}

// WithHostTime sets how long an engine takes to read the weights from its host;
// the default is 0.
func WithHostTime(d sardine.Millis) Option {
	return func(w *World) { w.hostTime = d }
}

// WithStopwatch sets the clock, in milliseconds, that measures the planning
// rounds.
func WithStopwatch(read func() float64) Option {
	return func(w *World) { w.stopwatch = read }
}

// logEntry is one committed command.
type logEntry struct {
	index   uint64
	command state.Command
}

// World is a fleet of engines and one control leader.
type World struct {
	now            sardine.Millis
	random         *rand.Rand
	queue          eventQueue
	engines        []*Engine
	byVM           map[sardine.VMID]*Engine
	store          store
	networkFaults  NetworkFaults
	homeCount      int
	plannerOptions []plan.Option
	reporter       reporter
	teams          []sardine.TeamSettings
	log            []logEntry
	index          uint64
	term           uint64
	leader         *leader // nil if there is none
	deposed        *leader // still acts for a time, nil if there is none
	committed      *state.Machine
	meter          Meter
	checker        checker
	err            error
	rounds         int
	hostTime       sardine.Millis
	plannerStore   *plan.WeightStore // weight store as reported to the planner, nil for the limits of the planner
	stopwatch      func() float64
	roundSum       float64 // milliseconds
	roundMax       float64
}

// NewWorld returns a world whose engines all start at its first instant.
func NewWorld(seed uint64, engines []*Engine, teams []sardine.TeamSettings, options ...Option) *World {
	w := &World{
		now:       sardine.Second,
		random:    rand.New(rand.NewPCG(seed, seed^0x5eed)),
		engines:   engines,
		byVM:      make(map[sardine.VMID]*Engine, len(engines)),
		store:     store{atOnce: 8, loadTime: 40 * sardine.Second},
		teams:     teams,
		committed: state.NewMachine(),
		checker:   newChecker(),

		stopwatch: func() float64 { return 0 },
	}
	for _, option := range options {
		option(w)
	}
	w.reporter = newReporter(w)
	for _, e := range engines {
		w.byVM[e.VM] = e
		e.start()
		w.reporter.changed(e)
	}
	w.elect()
	return w
}

// Add starts a new engine.
func (w *World) Add(e *Engine) {
	w.engines = append(w.engines, e)
	w.byVM[e.VM] = e
	e.start()
	w.engineChanged(e)
}

// OpenTraffic commits the command that marks the beginning of callers'
// requests.
func (w *World) OpenTraffic() {
	if w.leader != nil {
		w.propose(w.leader, []state.Command{state.OpenTraffic{}})
	}
}

// Serving returns the number of groups of a deployment that serve.
func (w *World) Serving(service sardine.ServiceName) int {
	count := 0
	for _, g := range w.committed.Groups() {
		if g.Service == service && g.State == sardine.GroupServing && w.brokenReason(g) == "" {
			count++
		}
	}
	return count
}

// Now returns the present instant of the virtual clock.
func (w *World) Now() sardine.Millis {
	return w.now
}

// Engines returns all engines.
func (w *World) Engines() []*Engine {
	return w.engines
}

// Machine returns the replicated state.
func (w *World) Machine() *state.Machine {
	return w.committed
}

// Rounds returns the number of planning rounds so far.
func (w *World) Rounds() int {
	return w.rounds
}

// RoundTimes returns the mean and the longest time of a planning round in
// milliseconds, 0 without a stopwatch.
func (w *World) RoundTimes() (mean, worst float64) {
	return w.roundSum / float64(max(w.rounds, 1)), w.roundMax
}

// Engine returns a VM's engine.
func (w *World) Engine(vm sardine.VMID) *Engine {
	return w.byVM[vm]
}

// Planner returns the leader's planner, nil if there is no leader.
func (w *World) Planner() *plan.Planner {
	if w.leader == nil {
		return nil
	}
	return w.leader.planner
}

// SetTeams replaces the settings of all teams.
func (w *World) SetTeams(teams []sardine.TeamSettings) {
	w.teams = teams
	w.requestRound()
}

// After schedules a function to run after a time.
func (w *World) After(d sardine.Millis, run func()) {
	w.queue.add(w.now+d, run)
}

// Run advances the virtual clock to an instant. It returns the first invariant
// violation, if any.
func (w *World) Run(until sardine.Millis) error {
	for w.now < until && w.err == nil {
		next := w.queue.next(until)
		if w.leader != nil {
			next = min(next, max(w.leader.dueAt(w), w.now+1))
		}
		if w.deposed != nil {
			next = min(next, max(w.deposed.dueAt(w), w.now+1))
		}
		if load := w.store.untilLoadEnds(); load > 0 {
			next = min(next, w.now+load)
		}
		w.advance(max(next, w.now))
	}
	return w.err
}

func (w *World) advance(next sardine.Millis) {
	d := next - w.now
	w.meter.add(w, d)
	w.now = next
	for _, e := range w.store.advance(w.now, d) {
		w.engineChanged(e)
	}
	w.queue.runDue(w.now)
	w.runRound(w.deposed)
	w.runRound(w.leader)
	w.fail(w.checker.check(w))
}

func (w *World) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// requestRound makes the leader run a planning round soon.
func (w *World) requestRound() {
	w.markDirty()
	if w.leader != nil {
		w.leader.roundNeeded = true
	}
}

// markDirty makes the meter and the checker evaluate the engines again.
func (w *World) markDirty() {
	w.meter.dirty = true
	w.checker.dirty = true
}

// engineChanged reports an engine's change to the home nodes.
func (w *World) engineChanged(e *Engine) {
	w.markDirty()
	w.reporter.changed(e)
}

// chance returns true with a probability.
func (w *World) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

// between returns a random time between two bounds, both included.
func (w *World) between(low, high sardine.Millis) sardine.Millis {
	return low + sardine.Millis(w.random.IntN(int(high-low)+1))
}
