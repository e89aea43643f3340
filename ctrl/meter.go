package ctrl

import (
	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/meter"
	"sardineswitch.dev/sardine/state"
)

// Upper bounds of the histograms' buckets in seconds.
var (
	acceptBounds = []float64{0.01, 0.05, 0.1, 0.5, 1, 2, 5, 11}           // 11 s: the bound for a change to be in force everywhere
	commitBounds = []float64{0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 2, 5} // from disks that sync in 0.5 ms or 5 ms to elections
	syncBounds   = []float64{0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5}    // from a fast disk to one that stalls
)

// instruments are the node's metrics.
type instruments struct {
	meter          *meter.Meter
	changesInForce *meter.Durations
	commits        *meter.Durations
	syncs          *meter.Durations
	orders         *meter.Counter
	leaders        *meter.Counter
	load           *load
}

// newInstruments creates the instruments. The gauges are added later, once what they
// read exists.
func newInstruments() (*instruments, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	i := &instruments{meter: m}
	if i.changesInForce, err = m.Durations("sardine_change_accepted", "time from a settings change's arrival until it is in force on every entry node", acceptBounds...); err != nil {
		return nil, err
	}
	if i.commits, err = m.Durations("sardine_commit", "time from a proposal at the leader until it is applied", commitBounds...); err != nil {
		return nil, err
	}
	if i.syncs, err = m.Durations("sardine_sync", "time of a disk's sync", syncBounds...); err != nil {
		return nil, err
	}
	if i.orders, err = m.Counter("sardine_orders", "orders to engines by what they ask for and result code"); err != nil {
		return nil, err
	}
	if i.load, err = newLoad(m); err != nil {
		return nil, err
	}
	i.leaders, err = m.Counter("sardine_terms_led", "terms that this node has led since its start")
	return i, err
}

// countOrder counts an order by its kind and result.
func (i *instruments) countOrder(o sardine.Order, err error) {
	asks := "join"
	switch {
	case o.Stage:
		asks = "stage"
	case o.Release:
		asks = "release"
	case o.Open:
		asks = "open"
	}
	i.orders.With(meter.NewLabel("asks", asks), meter.NewLabel("code", codes.Of(err).Name())).Add(1)
}

// gauges returns the metrics whose values are read on each scrape.
func (n *Node) gauges() []meter.Gauge {
	gauges := []meter.Gauge{
		{Name: "sardine_leading", Description: "1 if this control node leads", Read: func() float64 { return meter.Bool(n.log.Leader().IsLeader) }},
		{Name: "sardine_term", Description: "term of the log", Read: func() float64 { return float64(n.log.Leader().Term) }},
		{Name: "sardine_applied_index", Description: "index of the last applied entry", Read: func() float64 { return float64(n.log.Applied()) }},
		{Name: "sardine_log_bytes", Description: "size of the log's files", Read: func() float64 { return float64(n.log.Status().LogBytes) }},
		{Name: "sardine_planning_stopped", Description: "1 after an internal check of the planner failed", Read: func() float64 { return meter.Bool(n.leadership.planningStopped()) }},
		{Name: "sardine_loads_begun", Description: "loads from the weight store that this node began while it led", Read: func() float64 { return float64(n.leadership.loads()) }},
		{Name: "sardine_targets", Description: "targets in the log", Read: n.countTargets},
		{Name: "sardine_upload_bytes", Description: "memory that request bodies take or have reserved", Read: func() float64 { return float64(n.uploads.Used()) }},
		{Name: "sardine_uploads_waiting", Description: "requests that wait for the memory of their body", Read: func() float64 { return float64(n.uploads.Waiting()) }},
		{Name: "sardine_log_lines_dropped", Description: "log lines that were dropped since the start", Read: func() float64 { return float64(n.linesDropped()) }},
	}
	if n.collector != nil {
		gauges = append(gauges, meter.Gauge{
			Name: "sardine_leader_ack_age_seconds", Description: "time since the leader last acknowledged this node's report on targets, since the start if it never has",
			Read: func() float64 { return n.collector.ackAge(n.clock.Now()).Duration().Seconds() },
		})
	}
	for s := sardine.GroupAssigned; s <= sardine.GroupReleased; s++ {
		gauges = append(gauges, meter.Gauge{
			Name: "sardine_groups", Description: "groups in the log by state", Labels: []meter.Label{meter.NewLabel("state", s.String())},
			Read: func() float64 { return n.countGroups(s) },
		})
	}
	return gauges
}

func (n *Node) countTargets() float64 {
	count := 0
	n.log.View(func(m *state.Machine) { count = len(m.Targets()) })
	return float64(count)
}

func (n *Node) countGroups(s sardine.GroupState) float64 {
	count := 0
	n.log.View(func(m *state.Machine) {
		for _, g := range m.Groups() {
			if g.State == s {
				count++
			}
		}
	})
	return float64(count)
}

// planningStopped reports whether a failed internal check has stopped planning.
func (l *leadership) planningStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planError != nil
}

// loads returns the number of loads from the weight store that were begun.
func (l *leadership) loads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.Loads()
}

// timedDisk measures the syncs of a disk.
type timedDisk struct {
	sardine.Disk
	clock sardine.Clock
	syncs *meter.Durations
}

// Create makes or truncates a file for writing.
func (d timedDisk) Create(name string) (sardine.File, error) {
	f, err := d.Disk.Create(name)
	return d.timed(f, err)
}

// Append opens a file for writing at its end.
func (d timedDisk) Append(name string) (sardine.File, error) {
	f, err := d.Disk.Append(name)
	return d.timed(f, err)
}

func (d timedDisk) timed(f sardine.File, err error) (sardine.File, error) {
	if err != nil {
		return nil, err
	}
	return timedFile{File: f, disk: d}, nil
}

// timedFile is a file of a timedDisk.
type timedFile struct {
	sardine.File
	disk timedDisk
}

// Sync makes what was written durable.
func (f timedFile) Sync() error {
	started := f.disk.clock.Now()
	err := f.File.Sync()
	f.disk.syncs.Record(f.disk.clock.Now() - started)
	return err
}
