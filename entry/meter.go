package entry

import (
	"math/bits"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/meter"
	"sardineswitch.dev/sardine/uplink"
)

// Upper bounds of the histogram buckets, in seconds. They include the
// objectives of present routes, 0.1 to 0.4 s, and those planned for two years
// ahead, 0.46 s and 26 ms.
var (
	firstTokenBounds = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.46, 1, 2, 5, 10, 30}
	waitBounds       = []float64{0.001, 0.01, 0.05, 0.1, 0.2, 0.46, 1, 2, 5}
	gapBounds        = []float64{0.01, 0.026, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2}
)

// instruments are the node's metrics.
type instruments struct {
	meter    *meter.Meter
	requests *meter.Counter
	sizes    *meter.Counter
	first    *meter.Durations
	waits    *meter.Durations
	gaps     *meter.Durations
	rounds   *meter.Counter
}

func newInstruments(n *Node) (*instruments, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	i := &instruments{meter: m}
	if i.requests, err = m.Counter("sardine_requests", "callers' requests by stage and result code"); err != nil {
		return nil, err
	}
	if i.sizes, err = m.Counter("sardine_sizes", "callers' requests to engines by size and outcome"); err != nil {
		return nil, err
	}
	if i.first, err = m.Durations("sardine_first_token", "time from a request's arrival to its first token", firstTokenBounds...); err != nil {
		return nil, err
	}
	if i.waits, err = m.Durations("sardine_wait", "time from a request's arrival to its first dispatch", waitBounds...); err != nil {
		return nil, err
	}
	if i.gaps, err = m.Durations("sardine_event_gap", "pause between two events of a stream", gapBounds...); err != nil {
		return nil, err
	}
	if i.rounds, err = m.Counter("sardine_link_rounds", "rounds of probes of the node's links to the targets, by result"); err != nil {
		return nil, err
	}
	return i, m.Gauges(n.gauges())
}

// gauges returns the metrics that are computed on each scrape.
func (n *Node) gauges() []meter.Gauge {
	return []meter.Gauge{
		{Name: "sardine_in_flight", Description: "dispatches under way that may be moved", Read: func() float64 { return float64(n.inFlight.count()) }},
		{Name: "sardine_ready", Description: "1 if the node takes callers' requests", Read: func() float64 { return meter.Bool(n.mayAccept() == nil) }},
		{Name: "sardine_isolated", Description: "1 if the node reaches no target", Read: func() float64 { return meter.Bool(n.isolated()) }},
		{Name: "sardine_lease", Description: "1 if the node holds a serving lease", Read: func() float64 { return meter.Bool(n.published.Load().lease.Serving(n.clock.Now())) }},
		{Name: "sardine_routable", Description: "groups and plain targets that requests may go to", Read: func() float64 { return float64(n.view().routable()) }},
		{Name: "sardine_layout_number", Description: "number of the layout in force, 0 without one", Read: func() float64 { return float64(n.view().layoutNumber()) }},
		{Name: "sardine_applied_index", Description: "index of the last entry of the log that was followed", Read: func() float64 { return float64(n.view().index) }},
		{Name: "sardine_settings_age_seconds", Description: "time since a leader last vouched for what the node serves by, -1 before the first time", Read: n.settingsAge},
		{Name: "sardine_repeats_left", Description: "repeats that the bound leaves to the service that has fewest", Read: n.retriesLeft},
		{Name: "sardine_passed", Description: "requests in flight that this node has passed to others, because it has lost its links to the targets", Read: func() float64 { _, passed := n.peers.counts(); return float64(passed) }},
		{Name: "sardine_taken", Description: "requests in flight that other entry nodes have passed to this one", Read: func() float64 { return float64(n.taken.inFlight()) }},
		{Name: "sardine_limited_targets", Description: "targets whose limit on requests per second is known", Read: func() float64 { return float64(n.limitedTargets()) }},
		{Name: "sardine_poison_requests", Description: "requests that are refused since they ended their targets", Read: func() float64 { return float64(n.view().poisons()) }},
		{Name: "sardine_upload_bytes", Description: "memory that request bodies and long headers take or have reserved", Read: func() float64 { return float64(n.uploads.Used()) }},
		{Name: "sardine_headers_refused", Description: "headers of requests for which there was no memory, since the start", Read: func() float64 { return float64(n.uploads.RefusedHeads()) }},
		{Name: "sardine_uploads_waiting", Description: "requests that wait for the memory of their body", Read: func() float64 { return float64(n.uploads.Waiting()) }},
		{Name: "sardine_log_lines_dropped", Description: "log lines that were dropped since the start", Read: func() float64 { return float64(n.linesDropped()) }},
	}
}

func (n *Node) settingsAge() float64 {
	freshAt := n.published.Load().freshAt
	if freshAt == 0 {
		return -1
	}
	return float64(n.clock.Now()-freshAt) / float64(sardine.Second)
}

func (n *Node) retriesLeft() float64 {
	if n.retries == nil {
		return 0
	}
	return n.retries.left(n.clock.Now())
}

// routable returns the number of groups and plain targets of all services.
func (v *view) routable() int {
	count := 0
	for _, all := range v.candidates {
		count += len(all)
	}
	return count
}

// poisons returns the number of request fingerprints that are refused.
func (v *view) poisons() int {
	count := 0
	for _, p := range v.strikes {
		if p.Refused() {
			count++
		}
	}
	return count
}

func (v *view) layoutNumber() uint64 {
	if v.table == nil {
		return 0
	}
	return v.table.Layout().Number
}

func (i *instruments) count(stage string, err error) {
	i.requests.With(meter.NewLabel("stage", stage), meter.NewLabel("code", codes.Of(err).Name())).Add(1)
}

func (i *instruments) admitted(err error) {
	i.count("admission", err)
}

func (i *instruments) refused(err error) {
	i.count("refused", err)
}

func (i *instruments) failed(err error) {
	i.count("failed", err)
}

func (i *instruments) served() {
	i.count("served", nil)
}

// sizeClasses is the number of size classes of requests. Each class starts at
// twice the size of the one before; the last one is unbounded.
const sizeClasses = 16

// sized counts the outcome of a request to engines by route and by the lower
// bound of its size class.
func (i *instruments) sized(q *routedRun, outcome string) {
	size := q.call.Size()
	if q.route == nil || size == 0 {
		return
	}
	least := 1 << min(bits.Len(uint(size))-1, sizeClasses-1)
	i.sizes.With(meter.NewLabel("route", q.route.Name), meter.NewLabel("size", strconv.Itoa(least)), meter.NewLabel("outcome", outcome)).Add(1)
}

// attempted counts a failed attempt by its error.
func (i *instruments) attempted(err error) {
	i.count("attempt", err)
}

// passed counts a request that was passed to another entry node, by its error.
func (i *instruments) passed(err error) {
	i.count("passed", err)
}

// taken counts a request that another entry node has passed to this one.
func (i *instruments) taken() {
	i.count("taken", nil)
}

// delayed counts a request that waits because its targets limit their requests.
func (i *instruments) delayed() {
	i.count("delayed", codes.New(codes.TargetLimited, "the request waits for its turn"))
}

func (i *instruments) stalled() {
	i.count("stalled", codes.New(codes.TargetFailed, "the target stopped responding"))
}

// targetExited counts a target whose process exited while it ran requests.
func (i *instruments) targetExited() {
	i.count("ended", codes.New(codes.TargetFailed, "the target's process ended"))
}

func (i *instruments) firstToken(d sardine.Millis) {
	i.first.Record(d)
}

func (i *instruments) waited(d sardine.Millis) {
	i.waits.Record(d)
}

func (i *instruments) gap(d sardine.Millis) {
	i.gaps.Record(d)
}

// linkRound counts a round of probes of the node's own links.
func (i *instruments) linkRound(r uplink.Round) {
	result := "unanswered"
	switch {
	case r.Reached > 0:
		result = "reached"
	case r.Targets > 0 && r.Refused == r.Targets:
		result = "refused"
	}
	i.rounds.With(meter.NewLabel("result", result)).Add(1)
}
