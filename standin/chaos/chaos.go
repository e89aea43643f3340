// Package chaos runs a site of real nodes under load while it breaks them in a
// seeded order, and checks the users' promises from outside all the time. What
// happens in which order is seeded; how long things take is not, so two runs of
// a seed differ.
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

// Sizes of the site and of the load.
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

// Options are a run's settings.
type Options struct {
	Seed   uint64
	Length time.Duration // of the faults; the site then gets time to mend
	Fenced bool          // engines refuse old epochs
	Logger *slog.Logger  // of the nodes
}

// Result is what a run saw.
type Result struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Faults     map[string]int `json:"faults"`
	Chats      pledge.Counts  `json:"chats"`
	Bookings   pledge.Counts  `json:"bookings"`
	Changes    int            `json:"changes_accepted"`
	Looks      int            `json:"looks"`              // of the watchers at entry nodes
	Unready    int            `json:"unready"`            // times that a serving entry node lost its lease and got it again
	LongestMS  int64          `json:"longest_unready_ms"` // of these
	MendedMS   int64          `json:"mended_ms"`          // from the last fault until all groups serve
	Violations []string       `json:"violations"`
}

// run is one run under way.
type run struct {
	options Options
	site    *site.Site
	load    *pledge.Load

	mu     sync.Mutex
	result Result
	down   map[string]time.Time
}

// Run runs a site for the given time and returns what it saw. The error concerns
// the start of the site only.
func Run(o Options) (*Result, error) {
	s, err := site.Start(
		site.WithSeed(o.Seed),
		site.WithNodes(controls, entries),
		site.WithEngines(domains, vms),
		site.WithPlains(plains),
		site.WithFencing(o.Fenced),
		site.WithLogger(o.Logger),
		site.WithControlTiming(func(t *ctrl.Timing) { t.Grace = 2 * sardine.Second }),
		site.WithEntryTiming(func(t *entry.Timing) { t.BalancerMove = 300 }),
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
	if err := r.begin(); err != nil {
		return nil, err
	}
	started := time.Now()
	r.breakThings()
	r.result.Seconds = time.Since(started).Seconds()
	seen := r.load.Result()
	r.result.Chats, r.result.Bookings, r.result.Changes, r.result.Violations = seen.Chats, seen.Bookings, seen.Changes, seen.Violations
	return &r.result, nil
}

// begin sets the team's settings and waits until the site serves.
func (r *run) begin() error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	answer, err := r.site.Set(ctx, 0, "begin", "/teams/"+string(site.Team), site.Document(groups, groupSize))
	if err != nil {
		return err
	}
	r.load = pledge.NewLoad(scene{r.site}, answer.Version)
	_, err = r.site.AwaitServing(startLimit, groups, plains)
	return err
}

// breakThings runs the load, the watchers and the faults, and then waits until
// the site has mended.
func (r *run) breakThings() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.load.Run(ctx) })
	group.Go(func() { r.watch(ctx) })
	r.faults()
	mended, err := r.site.AwaitServing(startLimit, groups, plains)
	if err != nil {
		r.violate("the site has not mended: %v; %s", err, r.describe())
	}
	r.mu.Lock()
	r.result.MendedMS = mended.Milliseconds()
	r.mu.Unlock()
	cancel()
	group.Wait()
}

// describe tells what keeps the site from serving.
func (r *run) describe() string {
	var text strings.Builder
	for _, e := range r.site.Entries() {
		if e.Node() != nil {
			d := e.Node().Dump()
			fmt.Fprintf(&text, "%s ready %v %s routes to %d; ", d.Node, d.Ready, d.Reason, len(d.Candidates))
		}
	}
	if i := r.site.Leader(); i >= 0 {
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

// violate notes a broken promise.
func (r *run) violate(format string, args ...any) {
	r.load.Violate(format, args...)
}

// scene is the site as the load sees it.
type scene struct {
	site *site.Site
}

// Balancer returns the address for callers.
func (s scene) Balancer() string {
	return s.site.Balancer()
}

// Runs returns how often the plain services ran a booking.
func (s scene) Runs(seat string) int {
	runs := 0
	for _, p := range s.site.Plains() {
		runs += p.Runs(seat)
	}
	return runs
}

// Set changes the demo team's settings.
func (s scene) Set(ctx context.Context, base uint64, changeID, path, document string) (uint64, error) {
	answer, err := s.site.Set(ctx, base, changeID, path, document)
	return answer.GetVersion(), err
}

func (r *run) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}
