// Package chaos runs a site of real nodes under load while it injects faults
// in a seeded order, and continuously checks the guarantees to users from
// outside. The order of faults is seeded but their timing is not, so two runs
// of a seed differ.
package chaos

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/ctrl"
	"sardineswitch.dev/sardine/entry"
	"sardineswitch.dev/sardine/standin/pledge"
	"sardineswitch.dev/sardine/standin/site"
)

// Sizes of the site, and the time that it gets to start or to recover.
const (
	controls   = 3
	entries    = 3
	domains    = 3
	vms        = 4
	groups     = 3
	groupSize  = 3
	plains     = 2
	startLimit = 30 * time.Second
)

// Options are the settings of a run.
type Options struct {
	Seed        uint64
	Duration    time.Duration // time during which faults are injected; the site then gets time to recover
	EpochChecks bool          // engines reject requests and orders of older epochs
	Logger      *slog.Logger  // for the nodes' events
}

// Result holds the outcome of a run.
type Result struct {
	Seed             uint64         `json:"seed"`
	Seconds          float64        `json:"seconds"`
	Faults           map[string]int `json:"faults"`
	Chats            pledge.Counts  `json:"chats"`
	Bookings         pledge.Counts  `json:"bookings"`
	Changes          int            `json:"changes_accepted"`
	Checks           int            `json:"looks"`              // checks of a running entry node
	UnreadyGaps      int            `json:"unready"`            // times that an entry node became unready and ready again
	LongestUnreadyMS int64          `json:"longest_unready_ms"` // longest of these times
	RecoveryMS       int64          `json:"mended_ms"`          // from the last fault until all groups and services are routable
	Violations       []string       `json:"violations"`
}

// run is a run in progress.
type run struct {
	options Options
	site    *site.Site
	load    *pledge.Load

	mu     sync.Mutex
	result Result
	down   map[string]time.Time // since when a VM is crashed or paused, by name
}

// Run runs a site under load and faults for the given time and returns the
// outcome. It returns an error only if the site does not start.
func Run(o Options) (*Result, error) {
	s, err := site.Start(
		site.WithSeed(o.Seed),
		site.WithNodes(controls, entries),
		site.WithEngines(domains, vms),
		site.WithPlainServices(plains),
		site.WithEpochChecks(o.EpochChecks),
		site.WithLogger(o.Logger),
		site.WithControlTiming(func(t *ctrl.Timing) { t.TargetGrace = 2 * sardine.Second }),
		site.WithEntryTiming(func(t *entry.Timing) { t.BalancerDelay = 300 }),
	)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	r := &run{
		options: o,
		site:    s,
		result:  Result{Seed: o.Seed, Faults: make(map[string]int)},
		down:    make(map[string]time.Time),
	}
	if err := r.prepare(); err != nil {
		return nil, err
	}
	started := time.Now()
	r.runUnderFaults()
	r.result.Seconds = time.Since(started).Seconds()
	outcome := r.load.Result()
	r.result.Chats, r.result.Bookings, r.result.Changes, r.result.Violations = outcome.Chats, outcome.Bookings, outcome.Changes, outcome.Violations
	return &r.result, nil
}

// prepare stores the team's settings and waits until the site serves.
func (r *run) prepare() error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	answer, err := r.site.Set(ctx, 0, "begin", "/teams/"+string(site.Team), site.Document(groups, groupSize))
	if err != nil {
		return err
	}
	r.load = pledge.NewLoad(loadSite{r.site}, answer.Version)
	_, err = r.site.AwaitServing(startLimit, groups, plains)
	return err
}

// runUnderFaults runs the load, the checks and the faults, and then waits
// until the site has recovered.
func (r *run) runUnderFaults() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.load.Run(ctx) })
	group.Go(func() { r.watch(ctx) })
	r.injectFaults()
	recovery, err := r.site.AwaitServing(startLimit, groups, plains)
	if err != nil {
		r.violate("the site has not recovered: %v; %s", err, r.describe())
	}
	r.mu.Lock()
	r.result.RecoveryMS = recovery.Milliseconds()
	r.mu.Unlock()
	cancel()
	group.Wait()
}

// describe returns the state of the entry nodes, groups and targets, for the
// violation of a site that has not recovered.
func (r *run) describe() string {
	var text strings.Builder
	for _, e := range r.site.Entries() {
		if e.Node() != nil {
			d := e.Node().Dump()
			fmt.Fprintf(&text, "%s ready %v %s routes to %d; ", d.Node, d.Ready, d.Reason, len(d.Candidates))
		}
	}
	if i := r.site.LeaderIndex(); i >= 0 {
		d := r.site.Controls()[i].Node().Dump()
		for _, g := range d.Groups {
			fmt.Fprintf(&text, "%s@%d %s of %v; ", g.Group, g.Epoch, g.State, g.Members)
		}
		for _, w := range d.Waits {
			fmt.Fprintf(&text, "%s %s: %s; ", w.Service, w.Group, w.Reason)
		}
		fmt.Fprintf(&text, "%d targets, owners %v", len(d.Targets), d.Owners)
	}
	return text.String()
}

// violate records a violation.
func (r *run) violate(format string, args ...any) {
	r.load.RecordViolation(format, args...)
}

// loadSite is the site as the load uses it.
type loadSite struct {
	site *site.Site
}

// Balancer returns the address of the load balancer, which callers use.
func (s loadSite) Balancer() string {
	return s.site.Balancer()
}

// Runs returns how often the plain services ran the booking of a seat.
func (s loadSite) Runs(seat string) int {
	runs := 0
	for _, p := range s.site.PlainServices() {
		runs += p.Runs(seat)
	}
	return runs
}

// Set stores a settings document at path on top of version base and returns the
// new version.
func (s loadSite) Set(ctx context.Context, base uint64, changeID, path, document string) (uint64, error) {
	answer, err := s.site.Set(ctx, base, changeID, path, document)
	return answer.GetVersion(), err
}

func (r *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}
