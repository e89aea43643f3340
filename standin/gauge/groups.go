package gauge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/standin/fake"
)

// detection is the time in which a silent member is noticed.
const detection = 3 * sardine.Second

// groupsFlags are the options of the groups measurement.
type groupsFlags struct {
	policy    string
	objective string
	schedule  string
	seed      uint64
	seeds     int
	compare   bool
	workers   int
	only      string
	large     bool
}

// GroupsResult is one run.
type GroupsResult struct {
	Policy     string  `json:"policy"`
	Objective  string  `json:"objective"`
	Schedule   string  `json:"schedule"`
	Seed       uint64  `json:"seed"`
	Downtime   float64 `json:"downtime_group_s"`
	Stranded   float64 `json:"stranded_accelerator_s"`
	Incomplete float64 `json:"incomplete_accelerator_s"`
	Weighted   float64 `json:"weighted"`
	Hits       int     `json:"groups_hit"`
	FloorSpare float64 `json:"floor_spare_group_s"`
	FloorLoad  float64 `json:"floor_load_group_s"`
	Rounds     int     `json:"rounds"`
	MeanRound  float64 `json:"round_mean_cpu_ms"`
	WorstRound float64 `json:"round_worst_cpu_ms"`
	usage      fake.Usage
}

func groupsMeasure() Measure {
	return Measure{
		Name:    "groups",
		Short:   "Group downtime and stranded accelerators of a repair policy",
		Example: "standin measure groups --policy cheapest --objective adinkra --schedule single --seed 1",
		Build:   buildGroups,
	}
}

func buildGroups(c *cobra.Command) func(io.Writer) (any, error) {
	f := &groupsFlags{}
	c.Flags().StringVar(&f.policy, "policy", "cheapest", "repair policy: cheapest, spare, reform, take, wait or dissolve")
	c.Flags().StringVar(&f.objective, "objective", "adinkra", "objective: adinkra or dobra")
	c.Flags().StringVar(&f.schedule, "schedule", "single", "failures: single, second, dark, flapping, straggler or ordinary_day")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&f.seeds, "seeds", 20, "number of seeds with --compare")
	c.Flags().BoolVar(&f.compare, "compare", false, "run all policies, objectives, schedules and seeds")
	c.Flags().IntVar(&f.workers, "workers", 4, "runs at once with --compare")
	c.Flags().StringVar(&f.only, "only", "", "the one schedule to run with --compare")
	c.Flags().BoolVar(&f.large, "large", false, "run the schedule at 840 workers")
	return func(out io.Writer) (any, error) {
		if f.compare {
			return compareGroups(out, f)
		}
		return runGroups(f.policy, f.objective, f.schedule, f.seed, f.large)
	}
}

// runGroups runs one schedule under one policy, at the target size if large.
func runGroups(policy, objective, name string, seed uint64, large bool) (GroupsResult, error) {
	p, ok := plan.PolicyByName(policy)
	if !ok {
		return GroupsResult{}, fmt.Errorf("unknown policy %q", policy)
	}
	o, ok := objectiveNamed(objective)
	if !ok {
		return GroupsResult{}, fmt.Errorf("unknown objective %q", objective)
	}
	s, ok := scheduleNamed(name)
	if !ok {
		return GroupsResult{}, fmt.Errorf("unknown schedule %q", name)
	}
	s.large = s.large || large
	site, err := siteFor(s, seed, o)
	if err != nil {
		return GroupsResult{}, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	w := site.world(seed, p)
	x := &faults{w: w, random: rand.New(rand.NewPCG(seed, 2)), length: s.length}
	if err := w.Run(site.warmUp); err != nil {
		return GroupsResult{}, err
	}
	before := w.Usage()
	s.plan(x)
	if err := w.Run(site.warmUp + s.length); err != nil {
		return GroupsResult{}, err
	}
	used := w.Usage().Minus(before)
	mean, worst := w.RoundTimes()
	return GroupsResult{
		Policy:     policy,
		Objective:  objective,
		Schedule:   name,
		Seed:       seed,
		Downtime:   used.Down,
		Stranded:   used.Stranded,
		Incomplete: used.Incomplete,
		Weighted:   used.Weighted(o),
		Hits:       x.hits,
		FloorSpare: float64(x.hits) * detection.Duration().Seconds(),
		FloorLoad:  float64(x.hits) * (detection + site.loadTime).Duration().Seconds(),
		Rounds:     w.Rounds(),
		MeanRound:  mean,
		WorstRound: worst,
		usage:      used,
	}, nil
}

func siteFor(s schedule, seed uint64, o sardine.Objective) (groupSite, error) {
	if s.large {
		return largeSite(o), nil
	}
	return smallSite(seed, o)
}

// world returns the site's fleet under a policy, before anything has formed.
func (s groupSite) world(seed uint64, p plan.Policy) *fake.World {
	limits := plan.DefaultLimits()
	limits.LoadsAtOnce = s.atOnce
	limits.LoadTime = s.loadTime
	return fake.NewWorld(seed, s.engines, s.teams,
		fake.WithStore(s.atOnce, s.loadTime),
		fake.WithPlanner(plan.WithPolicy(p), plan.WithLimits(limits)),
		fake.WithStopwatch(threadMillis),
	)
}

// rusageThread asks getrusage for the calling thread alone.
const rusageThread = 1

// threadMillis reads the processor time of the calling thread in milliseconds,
// so that a busy machine does not count. The run keeps to one thread.
func threadMillis() float64 {
	var used syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &used); err != nil {
		return 0
	}
	nanos := used.Utime.Nano() + used.Stime.Nano()
	return float64(nanos) / float64(time.Millisecond)
}
