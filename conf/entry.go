package conf

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/follow"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/tomlr"
)

// maxControls is the maximum number of control nodes of a site.
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
	interfaceName     string
	controls          []Peer
	discovery         Discovery
	retries           RetryLimit
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

// ParseEntry parses and checks the text of an entry node's file. Errors contain
// the name.
func ParseEntry(name string, text []byte) (*Entry, error) {
	d, err := tomlr.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := d.Root()
	interfaceName := t.Choice("interface", InterfaceOwn, InterfaceOwn, InterfacePlatform)
	e := &Entry{
		node:           sardine.NodeID(t.Name("node")),
		site:           t.Name("site"),
		dataCentre:     sardine.DataCentre(t.Name("data_centre")),
		dataFolder:     t.Text("data_folder", ""),
		listen:         t.Address("listen", true, true),
		listenTargets:  t.Address("listen_targets", interfaceName == InterfaceOwn, true),
		listenInternal: t.Address("listen_internal", true, true),
		listenReady:    t.Address("listen_ready", false, true),
		listenMetrics:  t.Address("listen_metrics", false, true),
		interfaceName:  interfaceName,
		discovery:      readDiscovery(t.Table("discovery")),
		retries:        readRetries(t.Table("repeats")),
		memory:         readMemory(t),
		timings:        readEntryTimings(t.Table("timings")),
		limits:         readLimits(t.Table("limits")),
		log:            readLog(t.Table("log")),
		tls:            readTLS(t.Table("tls"), true),
	}
	if !e.discovery.Enabled() {
		e.controls = readPeers(t, "controls", 1, maxControls)
	}
	if e.interfaceName == InterfacePlatform && e.listenReady == "" {
		t.ReportProblem("listen_ready", "the address for the balancer, which the interface platform needs")
	}
	e.operatorHash = readHash(t, "operator_hash")
	e.targetTokens = t.Bool("target_tokens", false)
	requireHash(t, e.tls, e.operatorHash)
	e.advertiseTargets = readAdvertised(t, "advertise_targets", e.listenTargets)
	e.advertiseInternal = readAdvertised(t, "advertise_internal", e.listenInternal)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

// ListenMetrics returns host:port of a server for the metrics only, empty for
// none. The internal server has the metrics, too.
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

// DataCentre returns the data centre in which the node runs.
func (e *Entry) DataCentre() sardine.DataCentre {
	return e.dataCentre
}

// DataFolder returns the node's data folder, empty for none.
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

// ListenInternal returns host:port for requests of the site's nodes.
func (e *Entry) ListenInternal() string {
	return e.listenInternal
}

// AdvertiseTargets returns host:port at which targets reach this node, empty for
// the address to which the listener is bound.
func (e *Entry) AdvertiseTargets() string {
	return e.advertiseTargets
}

// AdvertiseInternal returns host:port at which other nodes reach this node,
// empty for the address to which the listener is bound.
func (e *Entry) AdvertiseInternal() string {
	return e.advertiseInternal
}

// OperatorHash returns the SHA-256 hash of the operator's first token, empty if
// not set. It is the same as in the control nodes' files.
func (e *Entry) OperatorHash() []byte {
	return e.operatorHash
}

// TargetTokens reports whether targets must send a token with the scope target
// in their announcements.
func (e *Entry) TargetTokens() bool {
	return e.targetTokens
}

// Controls returns the control nodes to contact first.
func (e *Entry) Controls() []Peer {
	if e.discovery.Enabled() {
		return e.discovery.Seeds()
	}
	return append([]Peer(nil), e.controls...)
}

// RetryLimit returns the limit on retries.
func (e *Entry) RetryLimit() RetryLimit {
	return e.retries
}

// UploadBytes returns the memory for all request bodies together, in bytes.
func (e *Entry) UploadBytes() int64 {
	switch {
	case e.limits.uploadBytes > 0:
		return e.limits.uploadBytes
	case e.memory > 0:
		return e.memory / entryUploadShare
	default:
		return entryUploadDefault
	}
}

// Memory returns the memory that the machine has for the process, in bytes, 0 if
// not set.
func (e *Entry) Memory() int64 {
	return e.memory
}

// ListenReady returns host:port for the load balancer's readiness checks, empty
// if it uses the address for callers.
func (e *Entry) ListenReady() string {
	return e.listenReady
}

// Interface returns the interface for callers and targets, InterfaceOwn or
// InterfacePlatform.
func (e *Entry) Interface() string {
	return e.interfaceName
}

// Timings returns the node's intervals and timeouts.
func (e *Entry) Timings() EntryTimings {
	return e.timings
}

// Limits returns the limits on callers' requests.
func (e *Entry) Limits() Limits {
	return e.limits
}

// Log returns the format and level of the node's log.
func (e *Entry) Log() Log {
	return e.log
}

// TLS returns the files of certificates and keys.
func (e *Entry) TLS() TLS {
	return e.tls
}

// Parts of the time that a node has from a signal to stop until it is killed.
const (
	// maxUnreadyShare leaves half of the time for requests in flight.
	maxUnreadyShare = 2
	// finalShare leaves the last sixteenth for the answers of requests that the drain
	// ends, and for the exit.
	finalShare  = 16
	longestStop = 24 * 3600 // seconds
)

// defaultFinal is how long the last answers of a shutdown without a limit may take.
const defaultFinal = 10 * sardine.Second

// EntryTimings holds the intervals and timeouts of an entry node.
type EntryTimings struct {
	lease       sardine.Millis
	poll        sardine.Millis
	targetLease sardine.Millis
	announce    sardine.Millis
	unready     sardine.Millis
	drain       sardine.Millis
	final       sardine.Millis
}

func readEntryTimings(t *tomlr.Table) EntryTimings {
	s := EntryTimings{
		lease:       millis(t, "lease_ms", lease.DefaultServing, 200, 60*sardine.Second),
		poll:        millis(t, "poll_ms", follow.DefaultPollHold, 20, 20*sardine.Second),
		targetLease: millis(t, "target_lease_ms", 3*sardine.Second, 200, 60*sardine.Second),
		announce:    millis(t, "announce_ms", sardine.Second, 50, 20*sardine.Second),
		unready:     millis(t, "unready_ms", 2*sardine.Second, 0, 60*sardine.Second),
		drain:       millis(t, "drain_ms", 600*sardine.Second, 0, 24*3600*sardine.Second),
		final:       defaultFinal,
	}
	s = readStop(t, s)
	if s.poll*2 > s.lease {
		t.ReportProblem("poll_ms", fmt.Sprintf("at most half of lease_ms, %d", s.lease/2))
	}
	if s.announce*2 > s.targetLease {
		t.ReportProblem("announce_ms", fmt.Sprintf("at most half of target_lease_ms, %d", s.targetLease/2))
	}
	return s
}

// readStop derives the times of a shutdown from the time that the node has to stop, if
// that is limited.
func readStop(t *tomlr.Table, s EntryTimings) EntryTimings {
	stop := sardine.Millis(t.Float("stop_s", 0, 0, longestStop) * float64(sardine.Second))
	if stop == 0 {
		return s
	}
	if t.Has("drain_ms") {
		t.ReportProblem("drain_ms", "no value beside stop_s, from which it follows")
	}
	s.final = stop / finalShare
	s.unready = min(s.unready, stop/maxUnreadyShare)
	s.drain = stop - s.unready - s.final
	return s
}

// ServingLease returns how long the serving lease lasts without a renewal.
func (t EntryTimings) ServingLease() sardine.Millis {
	return t.lease
}

// PollHold returns how long a control node may hold a poll for updates open.
func (t EntryTimings) PollHold() sardine.Millis {
	return t.poll
}

// TargetLease returns how long a target gets requests after an announcement.
func (t EntryTimings) TargetLease() sardine.Millis {
	return t.targetLease
}

// AnnounceInterval returns the announcement interval that targets are asked to use.
func (t EntryTimings) AnnounceInterval() sardine.Millis {
	return t.announce
}

// BalancerDelay returns how long a node that shuts down keeps listening after it has
// reported that it is not ready, so that the load balancer stops sending callers
// before the listener closes.
func (t EntryTimings) BalancerDelay() sardine.Millis {
	return t.unready
}

// Drain returns how long a shutdown waits for requests in flight.
func (t EntryTimings) Drain() sardine.Millis {
	return t.drain
}

// Final returns how long a shutdown waits for the last answers of requests that its
// drain has ended.
func (t EntryTimings) Final() sardine.Millis {
	return t.final
}
