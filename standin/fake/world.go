package fake

import (
	"math/rand/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/state"
)

// Times of the modelled network and nodes.
const (
	beatEvery   = sardine.Second
	lease       = 3 * sardine.Second
	roundEvery  = 100 * sardine.Millis(1)
	commitDelay = 5 * sardine.Millis(1)
	hopDelay    = 2 * sardine.Millis(1)
	orderGiveUp = 2 * sardine.Second
)

// NetworkFaults says how unreliable the network is, as probabilities.
type NetworkFaults struct {
	LoseReply  float64 // the order arrives, its answer does not
	LoseOrder  float64
	Duplicate  float64 // the order arrives a second time, later
	Delay      float64 // the order arrives late
	LoseReport float64 // of a home node
}

// Option changes a World at its construction.
type Option func(*World)

// WithNetworkFaults makes the network unreliable.
func WithNetworkFaults(c NetworkFaults) Option {
	return func(w *World) { w.chaos = c }
}

// WithHomes lets every engine announce itself each second to one of a number of
// home nodes. Without it only changes are announced, which is quicker to run.
func WithHomes(count int) Option {
	return func(w *World) { w.homeCount = count }
}

// WithPlanner sets the options of each leader's planner.
func WithPlanner(options ...plan.Option) Option {
	return func(w *World) { w.planning = options }
}

// WithStore sets the weight store's rate.
func WithStore(atOnce int, loadTime sardine.Millis) Option {
	return func(w *World) { w.store = store{atOnce: atOnce, loadTime: loadTime} }
}

// WithReportedStore tells the planner what the weight store can do, so that it plans by
// demand.
func WithReportedStore(s plan.WeightStore) Option {
	return func(w *World) {
		w.stock = &s
		w.store = store{atOnce: s.AtOnce, loadTime: s.Load}
	}
}

// WithHostTime sets how long an engine takes to read the weights from its host, 0
// for no time.
func WithHostTime(d sardine.Millis) Option {
	return func(w *World) { w.hostTime = d }
}

// WithStopwatch measures the rounds with a clock that tells milliseconds.
func WithStopwatch(read func() float64) Option {
	return func(w *World) { w.stopwatch = read }
}

// entry is one committed command.
type entry struct {
	index   uint64
	command state.Command
}

// World is a fleet of engines before one control leader.
type World struct {
	now       sardine.Millis
	random    *rand.Rand
	agenda    agenda
	engines   []*Engine
	byVM      map[sardine.VMID]*Engine
	store     store
	chaos     NetworkFaults
	homeCount int
	planning  []plan.Option
	reporter  reporter
	teams     []sardine.TeamSettings
	log       []entry
	index     uint64
	term      uint64
	leader    *leader // nil while there is none
	deposed   *leader // goes on acting for a while
	truth     *state.Machine
	meter     Meter
	checker   checker
	err       error
	rounds    int
	hostTime  sardine.Millis
	stock     *plan.WeightStore // what the planner knows of the weight store, nil for its limits
	stopwatch func() float64
	roundSum  float64 // milliseconds
	roundMost float64
}

// NewWorld returns a world whose engines all start at its first instant.
func NewWorld(seed uint64, engines []*Engine, teams []sardine.TeamSettings, options ...Option) *World {
	w := &World{
		now:     sardine.Second,
		random:  rand.New(rand.NewPCG(seed, seed^0x5eed)),
		engines: engines,
		byVM:    make(map[sardine.VMID]*Engine, len(engines)),
		store:   store{atOnce: 8, loadTime: 40 * sardine.Second},
		teams:   teams,
		truth:   state.NewMachine(),
		checker: newChecker(),

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

// Add starts an engine that the world did not have.
func (w *World) Add(e *Engine) {
	w.engines = append(w.engines, e)
	w.byVM[e.VM] = e
	e.start()
	w.changed(e)
}

// OpenTraffic commits that callers' requests have begun.
func (w *World) OpenTraffic() {
	if w.leader != nil {
		w.propose(w.leader, []state.Command{state.OpenTraffic{}})
	}
}

// Serving counts the groups of a deployment that serve.
func (w *World) Serving(service sardine.ServiceName) int {
	count := 0
	for _, g := range w.truth.Groups() {
		if g.Service == service && g.State == sardine.GroupServing && w.broken(g) == "" {
			count++
		}
	}
	return count
}

// Now returns the world's instant.
func (w *World) Now() sardine.Millis {
	return w.now
}

// Engines returns all engines.
func (w *World) Engines() []*Engine {
	return w.engines
}

// Machine returns the replicated state.
func (w *World) Machine() *state.Machine {
	return w.truth
}

// Rounds returns how many rounds were planned.
func (w *World) Rounds() int {
	return w.rounds
}

// RoundTimes returns the mean and the worst time of a round in milliseconds, 0
// without a stopwatch.
func (w *World) RoundTimes() (mean, worst float64) {
	return w.roundSum / float64(max(w.rounds, 1)), w.roundMost
}

// Engine returns a VM's engine.
func (w *World) Engine(vm sardine.VMID) *Engine {
	return w.byVM[vm]
}

// Planner returns the leader's planner, nil while there is no leader.
func (w *World) Planner() *plan.Planner {
	if w.leader == nil {
		return nil
	}
	return w.leader.planner
}

// SetTeams changes the settings.
func (w *World) SetTeams(teams []sardine.TeamSettings) {
	w.teams = teams
	w.wake()
}

// After schedules something.
func (w *World) After(d sardine.Millis, run func()) {
	w.agenda.add(w.now+d, run)
}

// Run lets time pass until an instant. It returns the first broken promise.
func (w *World) Run(until sardine.Millis) error {
	for w.now < until && w.err == nil {
		next := w.agenda.next(until)
		if w.leader != nil {
			next = min(next, max(w.leader.dueAt(w), w.now+1))
		}
		if w.deposed != nil {
			next = min(next, max(w.deposed.dueAt(w), w.now+1))
		}
		if load := w.store.next(); load > 0 {
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
		w.changed(e)
	}
	w.agenda.due(w.now)
	w.lead(w.deposed)
	w.lead(w.leader)
	w.fail(w.checker.check(w))
}

func (w *World) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// wake makes the leader plan soon.
func (w *World) wake() {
	w.touch()
	if w.leader != nil {
		w.leader.news = true
	}
}

// touch has costs and promises looked at anew.
func (w *World) touch() {
	w.meter.dirty = true
	w.checker.dirty = true
}

// changed tells the home nodes that an engine has news.
func (w *World) changed(e *Engine) {
	w.touch()
	w.reporter.changed(e)
}

func (w *World) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

func (w *World) between(low, high sardine.Millis) sardine.Millis {
	return low + sardine.Millis(w.random.IntN(int(high-low)+1))
}
