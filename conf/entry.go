package conf

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/tomlr"
)

// maxControls is the most control nodes that a site sets aside.
const maxControls = 7

// Entry is the settings file of one entry node.
type Entry struct {
	node              sardine.NodeID
	site              string
	dataCentre        sardine.DataCentre
	dataFolder        string
	listen            string
	listenTargets     string
	listenInternal    string
	advertiseTargets  string
	advertiseInternal string
	listenReady       string
	listenMetrics     string
	speaks            string
	controls          []Peer
	discovery         Discovery
	repeats           Repeats
	memory            int64
	timings           EntryTimings
	limits            Limits
	log               Log
	tls               TLS
	operatorHash      []byte
	targetTokens      bool
}

// LoadEntry reads and checks the file of an entry node. Errors carry
// codes.BadSettings and list all problems, see tomlr.Problems.
func LoadEntry(path string) (*Entry, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(baseName(path), text)
}

// ParseEntry checks the text of an entry node's file; name stands in errors.
func ParseEntry(name string, text []byte) (*Entry, error) {
	d, err := tomlr.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := d.Root()
	speaks := t.Choice("interface", InterfaceOwn, InterfaceOwn, InterfacePlatform)
	e := &Entry{
		node:           sardine.NodeID(t.Name("node")),
		site:           t.Name("site"),
		dataCentre:     sardine.DataCentre(t.Name("data_centre")),
		dataFolder:     t.Text("data_folder", ""),
		listen:         t.Address("listen", true, true),
		listenTargets:  t.Address("listen_targets", speaks == InterfaceOwn, true),
		listenInternal: t.Address("listen_internal", true, true),
		listenReady:    t.Address("listen_ready", false, true),
		listenMetrics:  t.Address("listen_metrics", false, true),
		speaks:         speaks,
		discovery:      readDiscovery(t.Table("discovery")),
		repeats:        readRepeats(t.Table("repeats")),
		memory:         readMemory(t),
		timings:        readEntryTimings(t.Table("timings")),
		limits:         readLimits(t.Table("limits")),
		log:            readLog(t.Table("log")),
		tls:            readTLS(t.Table("tls"), true),
	}
	if !e.discovery.Enabled() {
		e.controls = readPeers(t, "controls", 1, maxControls)
	}
	if e.speaks == InterfacePlatform && e.listenReady == "" {
		t.Refuse("listen_ready", "the address for the balancer, which the interface platform needs")
	}
	e.operatorHash = readHash(t, "operator_hash")
	e.targetTokens = t.Bool("target_tokens", false)
	requireHash(t, e.tls, e.operatorHash)
	e.advertiseTargets = advertised(t, "advertise_targets", e.listenTargets)
	e.advertiseInternal = advertised(t, "advertise_internal", e.listenInternal)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

// ListenMetrics returns host:port for the metrics alone, empty for none. The
// internal server has them as well.
func (e *Entry) ListenMetrics() string {
	return e.listenMetrics
}

// Node returns the node's name, unique in the site.
func (e *Entry) Node() sardine.NodeID {
	return e.node
}

// Site returns the name of the installation.
func (e *Entry) Site() string {
	return e.site
}

// DataCentre returns where the node runs.
func (e *Entry) DataCentre() sardine.DataCentre {
	return e.dataCentre
}

// DataFolder returns the folder for files, empty for none.
func (e *Entry) DataFolder() string {
	return e.dataFolder
}

// Listen returns host:port for callers.
func (e *Entry) Listen() string {
	return e.listen
}

// ListenTargets returns host:port for targets' announcements.
func (e *Entry) ListenTargets() string {
	return e.listenTargets
}

// ListenInternal returns host:port for the system's own processes.
func (e *Entry) ListenInternal() string {
	return e.listenInternal
}

// AdvertiseTargets returns host:port that targets use, empty for the address
// that was bound.
func (e *Entry) AdvertiseTargets() string {
	return e.advertiseTargets
}

// AdvertiseInternal returns host:port that other nodes use, empty for the
// address that was bound.
func (e *Entry) AdvertiseInternal() string {
	return e.advertiseInternal
}

// OperatorHash returns the SHA-256 hash of the operator's first token, empty
// without one. It is the same as in the control nodes' files.
func (e *Entry) OperatorHash() []byte {
	return e.operatorHash
}

// TargetTokens reports whether targets must show a token of the scope target when
// they announce themselves.
func (e *Entry) TargetTokens() bool {
	return e.targetTokens
}

// Controls returns the control nodes to ask first.
func (e *Entry) Controls() []Peer {
	if e.discovery.Enabled() {
		return e.discovery.Seeds()
	}
	return append([]Peer(nil), e.controls...)
}

// Repeats returns the bound on requests that are sent again.
func (e *Entry) Repeats() Repeats {
	return e.repeats
}

// Memory returns the machine's memory for the process in bytes, 0 if not told.
func (e *Entry) Memory() int64 {
	return e.memory
}

// ListenReady returns host:port where the balancer asks whether the node takes
// callers, empty where it asks the address for callers.
func (e *Entry) ListenReady() string {
	return e.listenReady
}

// Interface returns what the node speaks to callers and targets.
func (e *Entry) Interface() string {
	return e.speaks
}

// Timings returns the node's periods.
func (e *Entry) Timings() EntryTimings {
	return e.timings
}

// Limits returns the bounds on callers' requests.
func (e *Entry) Limits() Limits {
	return e.limits
}

// Log returns how the node logs.
func (e *Entry) Log() Log {
	return e.log
}

// TLS returns the files of certificates and keys.
func (e *Entry) TLS() TLS {
	return e.tls
}

// EntryTimings are the periods of an entry node.
type EntryTimings struct {
	lease       sardine.Millis
	poll        sardine.Millis
	targetLease sardine.Millis
	announce    sardine.Millis
	unready     sardine.Millis
	drain       sardine.Millis
}

func readEntryTimings(t *tomlr.Table) EntryTimings {
	s := EntryTimings{
		lease:       millis(t, "lease_ms", lease.Serving, 200, 60*sardine.Second),
		poll:        millis(t, "poll_ms", follow.Hold, 20, 20*sardine.Second),
		targetLease: millis(t, "target_lease_ms", 3*sardine.Second, 200, 60*sardine.Second),
		announce:    millis(t, "announce_ms", sardine.Second, 50, 20*sardine.Second),
		unready:     millis(t, "unready_ms", 2*sardine.Second, 0, 60*sardine.Second),
		drain:       millis(t, "drain_ms", 600*sardine.Second, 0, 24*3600*sardine.Second),
	}
	if s.poll*2 > s.lease {
		t.Refuse("poll_ms", fmt.Sprintf("at most half of lease_ms, %d", s.lease/2))
	}
	if s.announce*2 > s.targetLease {
		t.Refuse("announce_ms", fmt.Sprintf("at most half of target_lease_ms, %d", s.targetLease/2))
	}
	return s
}

// Lease returns how long the serving lease lasts without a renewal.
func (t EntryTimings) Lease() sardine.Millis {
	return t.lease
}

// Poll returns how long a request for news may be held open.
func (t EntryTimings) Poll() sardine.Millis {
	return t.poll
}

// TargetLease returns how long a target is routable after an announcement.
func (t EntryTimings) TargetLease() sardine.Millis {
	return t.targetLease
}

// Announce returns the interval that targets are asked to keep.
func (t EntryTimings) Announce() sardine.Millis {
	return t.announce
}

// Unready returns how long a node that shuts down still listens after it turned
// unready, so that the balancer moves on first.
func (t EntryTimings) Unready() sardine.Millis {
	return t.unready
}

// Drain returns how long a shutdown waits for requests in flight.
func (t EntryTimings) Drain() sardine.Millis {
	return t.drain
}
