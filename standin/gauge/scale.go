package gauge

import (
	"fmt"
	"io"
	"math"
	"runtime"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/spread"
	"sardineswitch.dev/sardine/state"
)

const (
	// spendTime is the time over which costs are averaged.
	spendTime = 300 * sardine.Second
	// packetBytes is the size of the headers of one TCP packet over IPv4 with
	// timestamps. The packets of a call are counted as its writes and one
	// acknowledgement.
	packetBytes = 52
	// The budget of control for one node.
	budgetBytes   = 3000.0 // per second
	budgetPercent = 2.6    // of a processor core
	budgetMemory  = 64 << 20
	targetNodes   = 350
	groupSize     = 8
	copies        = 8 // of a state, for the measurement of its memory
)

// size is one point of the measurement.
type size struct {
	nodes, workers int
}

var scaleSizes = []size{{9, 53}, {40, 120}, {100, 250}, {200, 500}, {350, 840}}

// Point is what was measured at one size.
type Point struct {
	Nodes        int     `json:"nodes"`
	Targets      int     `json:"workers"`
	Roles        []Spent `json:"roles"`
	EntryState   int     `json:"entry_state_bytes"`   // of the heap, one machine that follows
	ControlState int     `json:"control_state_bytes"` // of the heap, one whole machine
	Snapshot     int     `json:"spread_snapshot_bytes"`
}

// Slope is a cost as a straight line over the number of entry nodes.
type Slope struct {
	Role          string  `json:"role"`
	Cost          string  `json:"cost"`
	Sizes         int     `json:"sizes"`
	Base          float64 `json:"base"`
	PerNode       float64 `json:"per_node"`
	Residual      float64 `json:"residual"` // root of the mean square
	AtPlannedSize float64 `json:"at_350_nodes"`
	Budget        float64 `json:"budget"`
	Within        bool    `json:"within_budget"`
}

// ScaleResult is what the measurement prints.
type ScaleResult struct {
	Seed     uint64   `json:"seed"`
	Overhead Overhead `json:"overhead"`
	Points   []Point  `json:"points"`
	Slopes   []Slope  `json:"slopes"`
}

func scaleMeasure() Measure {
	return Measure{
		Name:    "scale",
		Short:   "Cost of control by role over the size of the site, and its slopes",
		Example: "  standin measure scale --seed 1",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			seed := c.Flags().Uint64("seed", 1, "seed of the runs")
			p := &pace{}
			p.flags(c)
			return func(out io.Writer) (any, error) { return measureScale(out, *seed, *p) }
		},
	}
}

func measureScale(out io.Writer, seed uint64, pace pace) (any, error) {
	overhead, err := measureOverhead()
	if err != nil {
		return nil, err
	}
	r := ScaleResult{Seed: seed, Overhead: overhead}
	for _, s := range scaleSizes {
		p, err := measurePoint(s, seed, pace, overhead)
		if err != nil {
			return nil, err
		}
		r.Points = append(r.Points, p)
		printPoint(out, p)
	}
	for _, role := range []spread.Role{spread.RoleLeader, spread.RoleControl, spread.RoleRoot, spread.RoleRelay, spread.RoleEntry} {
		r.Slopes = append(r.Slopes,
			r.slope(role, "http2_bytes_per_s", budgetBytes, func(_ Point, s Spent) float64 { return s.HTTP2Bytes }),
			r.slope(role, "http2_tcp_bytes_per_s", budgetBytes, func(_ Point, s Spent) float64 { return s.TCPBytes }),
			r.slope(role, "core_share_percent", budgetPercent, func(_ Point, s Spent) float64 { return s.CorePercent }),
			r.slope(role, "state_bytes", budgetMemory, stateBytes),
		)
	}
	for _, s := range r.Slopes {
		fmt.Fprintf(out, "%-16s %-28s %12.4g + %10.4g a node, residual %.3g, at 350 nodes %.4g of %.4g\n",
			s.Role, s.Cost, s.Base, s.PerNode, s.Residual, s.AtPlannedSize, s.Budget)
	}
	return r, nil
}

func stateBytes(p Point, s Spent) float64 {
	if s.Role == string(spread.RoleLeader) || s.Role == string(spread.RoleControl) {
		return float64(p.ControlState)
	}
	return float64(p.EntryState)
}

func measurePoint(s size, seed uint64, pace pace, overhead Overhead) (Point, error) {
	o := spreadSite(s.nodes, seed, pace)
	o.Targets = s.workers
	w := spread.New(o)
	w.RunFor(warmUp)
	w.Populate(groupSize)
	if _, err := w.Change(); err != nil {
		return Point{}, err
	}
	w.RunFor(warmUp)
	mean, _ := w.MeasureCosts(spendTime)
	p := Point{Nodes: s.nodes, Targets: s.workers, Roles: spent(mean, overhead)}
	whole, followed, err := w.Snapshots()
	if err != nil {
		return Point{}, err
	}
	p.Snapshot = len(followed)
	if p.ControlState, err = heapOf(whole); err != nil {
		return Point{}, err
	}
	p.EntryState, err = heapOf(followed)
	return p, err
}

// heapOf returns the heap that one machine restored from a snapshot takes.
func heapOf(snapshot []byte) (int, error) {
	machines := make([]*state.Machine, copies)
	before := heapBytes()
	for i := range machines {
		m, err := state.RestoreMachine(snapshot)
		if err != nil {
			return 0, err
		}
		machines[i] = m
	}
	after := heapBytes()
	runtime.KeepAlive(machines)
	return int(after-before) / copies, nil
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func printPoint(out io.Writer, p Point) {
	for _, s := range p.Roles {
		fmt.Fprintf(out, "%3d nodes, %3d workers, %-16s %3d of them: %6.1f messages/s, %7.0f B/s over HTTP/2, %7.0f with TCP, %7.0f over HTTP/1, %.3f %% of a core\n",
			p.Nodes, p.Targets, s.Role, s.Nodes, s.Messages, s.HTTP2Bytes, s.TCPBytes, s.HTTP1Bytes, s.CorePercent)
	}
}

// slope fits a straight line by least squares over the sizes that have the role.
func (r *ScaleResult) slope(role spread.Role, cost string, budget float64, value func(Point, Spent) float64) Slope {
	var xs, ys []float64
	for _, p := range r.Points {
		for _, s := range p.Roles {
			if s.Role == string(role) {
				xs = append(xs, float64(p.Nodes))
				ys = append(ys, value(p, s))
			}
		}
	}
	base, perNode, residual := leastSquares(xs, ys)
	at := base + perNode*targetNodes
	return Slope{
		Role: string(role), Cost: cost, Sizes: len(xs), Base: base, PerNode: perNode, Residual: residual,
		AtPlannedSize: at, Budget: budget, Within: at <= budget,
	}
}

func leastSquares(xs, ys []float64) (base, slope, residual float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	if n < 2 {
		return sy, 0, 0
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	var squares float64
	for i, x := range xs {
		squares += math.Pow(ys[i]-base-slope*x, 2)
	}
	return base, slope, math.Sqrt(squares / n)
}
