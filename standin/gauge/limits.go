package gauge

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/limit"
)

// LimitsResult is the limits measurement's last line.
type LimitsResult struct {
	Seed  uint64             `json:"seed"`
	Cases []LimitsCaseResult `json:"cases"`
}

// LimitsCaseResult compares what a workspace got with its limit of requests a
// second. Shares are relative to the limit.
type LimitsCaseResult struct {
	Name          string  `json:"name"`
	Nodes         int     `json:"nodes"`
	Limit         float64 `json:"limit"`
	Offered       float64 `json:"offered_share"`
	Admitted      float64 `json:"got_share"`               // over the counted time
	Highest       float64 `json:"highest_10s_share"`       // of any ten seconds
	EvenlyDivided float64 `json:"evenly_divided_share"`    // the same load with fixed even shares
	BytesPerSec   float64 `json:"report_bytes_per_second"` // of one node, 24 bytes a number and name
}

type limitsFlags struct {
	seed uint64
}

func limits() Measure {
	return Measure{
		Name:    "limits",
		Short:   "How well a workspace's limit holds over all entry nodes, in virtual time",
		Example: "  standin measure limits --seed 1",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			f := &limitsFlags{}
			c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of arrivals, losses and delays")
			return func(out io.Writer) (any, error) { return measureLimits(out, f) }
		},
	}
}

// limitCase is one pattern of arrivals.
type limitCase struct {
	name    string
	nodes   int
	limit   float64 // requests a second
	offered float64 // over the limit
	skew    bool    // nine tenths arrive at a tenth of the nodes, others every 20 s
	lossy   bool    // a fifth of the reports are lost
	cutOff  bool    // the lender can't be reached from 30 s on
}

func limitCases() []limitCase {
	var cases []limitCase
	for _, n := range []int{9, 350} {
		for _, l := range []float64{20, 1000} {
			cases = append(cases,
				limitCase{name: "even", nodes: n, limit: l, offered: 2},
				limitCase{name: "below", nodes: n, limit: l, offered: 0.8},
				limitCase{name: "skewed", nodes: n, limit: l, offered: 2, skew: true},
				limitCase{name: "skewed below", nodes: n, limit: l, offered: 0.8, skew: true},
				limitCase{name: "skewed lossy", nodes: n, limit: l, offered: 2, skew: true, lossy: true},
				limitCase{name: "cut off", nodes: n, limit: l, offered: 2, cutOff: true},
			)
		}
	}
	return cases
}

// limitRun is one case's run.
type limitRun struct {
	timeline
	limitCase
	random   *rand.Rand
	limiters []*limit.Limiter
	lender   *limit.Allocator
	lent     bool // false: fixed even shares
	bySecond map[int]int
	offers   int
	bytes    int
	failure  error
}

// Times of the limits measurement, in milliseconds.
const (
	limitSpan  = 90000.0
	limitWarm  = 30000.0
	limitDelay = 20.0 // between a node and the lender one way, at most
)

func newLimitRun(seed uint64, c limitCase, lent bool) *limitRun {
	r := &limitRun{limitCase: c, random: newRandom(seed, 4), lent: lent, bySecond: make(map[int]int), lender: limit.NewAllocator(-limit.GrantTerm, 1)}
	rates := map[sardine.Workspace]limit.Rate{"w": {Requests: c.limit}}
	r.lender.Configure(rates)
	for i := range c.nodes {
		var opts []limit.Option
		if !lent {
			opts = append(opts, limit.WithEvenShares())
		}
		l := limit.NewLimiter(sardine.NodeID(fmt.Sprint("e", i)), newRandom(seed, uint64(100+i)), opts...)
		l.Configure(0, c.nodes, rates)
		r.limiters = append(r.limiters, l)
		if lent {
			r.after(r.random.Float64()*float64(limit.ReportInterval), func() { r.report(l) })
		}
	}
	return r
}

func (r *limitRun) run() {
	r.after(0, r.arrive)
	r.runUntil(limitSpan)
}

func (r *limitRun) arrive() {
	r.after(r.random.ExpFloat64()/(r.limit*r.offered)*1000, r.arrive)
	node := r.random.IntN(r.nodes)
	if r.skew && r.random.IntN(10) > 0 {
		hot := max(r.nodes/10, 1)
		node = (int(r.now/20000)*hot + r.random.IntN(hot)) % r.nodes
	}
	r.offers++
	if r.limiters[node].Take(sardine.Millis(r.now), "w", 100).Allowed {
		r.bySecond[int(r.now/1000)]++
	}
}

func (r *limitRun) report(l *limit.Limiter) {
	r.after(float64(limit.ReportInterval), func() { r.report(l) })
	asked := sardine.Millis(r.now)
	report := l.Report(asked)
	r.bytes += 16 + 24*len(report.Demands)
	if (r.lossy && r.random.IntN(5) == 0) || (r.cutOff && r.now > limitWarm) {
		return
	}
	r.after(r.random.Float64()*limitDelay, func() {
		g := r.lender.Report(sardine.Millis(r.now), report)
		if err := r.lender.Check(sardine.Millis(r.now)); err != nil {
			r.failure = err
		}
		r.bytes += 24 + 24*len(g.Shares)
		r.after(r.random.Float64()*limitDelay, func() { l.ApplyGrant(sardine.Millis(r.now), asked, g) })
	})
}

func (r *limitRun) got() float64 {
	sum := 0
	for s := int(limitWarm / 1000); s < int(limitSpan/1000); s++ {
		sum += r.bySecond[s]
	}
	return float64(sum) / ((limitSpan - limitWarm) / 1000) / r.limit
}

func (r *limitRun) highest() float64 {
	most := 0
	for from := 0; from+10 <= int(limitSpan/1000); from++ {
		sum := 0
		for s := from; s < from+10; s++ {
			sum += r.bySecond[s]
		}
		most = max(most, sum)
	}
	return float64(most) / 10 / r.limit
}

func measureLimits(out io.Writer, f *limitsFlags) (any, error) {
	result := LimitsResult{Seed: f.seed}
	fmt.Fprintf(out, "%-14s %5s %7s %8s %6s %8s %6s %8s\n", "case", "nodes", "limit", "offered", "got", "highest", "even", "bytes/s")
	for _, c := range limitCases() {
		lent := newLimitRun(f.seed, c, true)
		lent.run()
		if lent.failure != nil {
			return nil, lent.failure
		}
		even := newLimitRun(f.seed, c, false)
		even.run()
		row := LimitsCaseResult{
			Name: c.name, Nodes: c.nodes, Limit: c.limit, Offered: c.offered,
			Admitted: round(lent.got()), Highest: round(lent.highest()), EvenlyDivided: round(even.got()),
			BytesPerSec: round(float64(lent.bytes) / (limitSpan / 1000) / float64(c.nodes)),
		}
		fmt.Fprintf(out, "%-14s %5d %7.0f %8.2f %6.3f %8.3f %6.3f %8.1f\n", row.Name, row.Nodes, row.Limit, row.Offered, row.Admitted, row.Highest, row.EvenlyDivided, row.BytesPerSec)
		result.Cases = append(result.Cases, row)
	}
	return result, nil
}
