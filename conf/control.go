package conf

import (
	"fmt"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/lease"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/tomlr"
)

// Control is the settings file of one control node.
type Control struct {
	node              sardine.NodeID
	site              string
	dataCentre        sardine.DataCentre
	dataFolder        string
	listenInternal    string
	listenOperators   string
	advertiseInternal string
	listenControl     string
	listenMetrics     string
	interfaceName     string
	members           []Peer
	discovery         Discovery
	memory            int64
	uploadBytes       int64 // 0: by the machine's memory
	timings           ControlTimings
	weights           WeightStore
	log               Log
	tls               TLS
	operatorHash      []byte
}

// LoadControl reads and checks the file of a control node. Errors carry
// codes.BadSettings and list all problems, see tomlr.Problems.
func LoadControl(path string) (*Control, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseControl(baseName(path), text)
}

// ParseControl parses and checks the text of a control node's file. Errors
// contain the name.
func ParseControl(name string, text []byte) (*Control, error) {
	d, err := tomlr.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := d.Root()
	c := &Control{
		node:            sardine.NodeID(t.Name("node")),
		site:            t.Name("site"),
		dataCentre:      sardine.DataCentre(t.Name("data_centre")),
		dataFolder:      t.Text("data_folder", ""),
		listenInternal:  t.Address("listen_internal", true, true),
		listenOperators: t.Address("listen_operators", true, true),
		listenControl:   t.Address("listen_control", false, true),
		listenMetrics:   t.Address("listen_metrics", false, true),
		interfaceName:   t.Choice("interface", InterfaceOwn, InterfaceOwn, InterfacePlatform),
		discovery:       readDiscovery(t.Table("discovery")),
		memory:          readMemory(t),
		uploadBytes:     t.Int("uploads_mb", 0, 0, 1<<20) << 20,
		timings:         readControlTimings(t.Table("timings")),
		weights:         readWeightStore(t.Table("weight_store")),
		log:             readLog(t.Table("log")),
		tls:             readTLS(t.Table("tls"), false),
	}
	if !c.discovery.Enabled() {
		c.members = readPeers(t, "members", 1, maxControls)
	}
	if c.interfaceName == InterfacePlatform && c.listenControl == "" {
		t.ReportProblem("listen_control", "the address for operators and targets, which the interface platform needs")
	}
	c.operatorHash = readHash(t, "operator_hash")
	requireHash(t, c.tls, c.operatorHash)
	c.advertiseInternal = readAdvertised(t, "advertise_internal", c.listenInternal)
	if c.dataFolder == "" {
		t.ReportProblem("data_folder", "a folder on a disk that outlives a restart")
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// ListenMetrics returns host:port of a server for the metrics only, empty for
// none. The internal server has the metrics, too.
func (c *Control) ListenMetrics() string {
	return c.listenMetrics
}

// Node returns the node's name, unique in the site.
func (c *Control) Node() sardine.NodeID {
	return c.node
}

// Site returns the name of the installation.
func (c *Control) Site() string {
	return c.site
}

// DataCentre returns the data centre in which the node runs.
func (c *Control) DataCentre() sardine.DataCentre {
	return c.dataCentre
}

// DataFolder returns the folder for the replicated log and snapshots.
func (c *Control) DataFolder() string {
	return c.dataFolder
}

// ListenInternal returns host:port for requests of the site's nodes.
func (c *Control) ListenInternal() string {
	return c.listenInternal
}

// ListenOperators returns host:port for sardctl.
func (c *Control) ListenOperators() string {
	return c.listenOperators
}

// AdvertiseInternal returns host:port at which other nodes reach this node,
// empty for the address to which the listener is bound.
func (c *Control) AdvertiseInternal() string {
	return c.advertiseInternal
}

// Members returns the initial members of the quorum. They are used only while
// the data folder is empty; later changes are in the replicated log.
func (c *Control) Members() []Peer {
	return append([]Peer(nil), c.members...)
}

// Memory returns the memory that the machine has for the process, in bytes, 0 if
// not set.
func (c *Control) Memory() int64 {
	return c.memory
}

// UploadBytes returns the memory for all request bodies together, in bytes.
func (c *Control) UploadBytes() int64 {
	switch {
	case c.uploadBytes > 0:
		return c.uploadBytes
	case c.memory > 0:
		return c.memory / controlUploadShare
	default:
		return controlUploadDefault
	}
}

// ListenControl returns host:port for operators and targets under
// InterfacePlatform, empty for none.
func (c *Control) ListenControl() string {
	return c.listenControl
}

// Interface returns the interface for operators and targets, InterfaceOwn or
// InterfacePlatform.
func (c *Control) Interface() string {
	return c.interfaceName
}

// Discovery returns how the node finds the other control nodes if it has no list
// of members.
func (c *Control) Discovery() Discovery {
	return c.discovery
}

// Timings returns the node's intervals and timeouts.
func (c *Control) Timings() ControlTimings {
	return c.timings
}

// WeightStore returns the capacity of the weight store.
func (c *Control) WeightStore() WeightStore {
	return c.weights
}

// Log returns the format and level of the node's log.
func (c *Control) Log() Log {
	return c.log
}

// TLS returns the files of certificates and keys.
func (c *Control) TLS() TLS {
	return c.tls
}

// OperatorHash returns the SHA-256 hash of the operator's first token, empty if
// not set; see sardctl keys init. Tokens added later are in the replicated
// state.
func (c *Control) OperatorHash() []byte {
	return c.operatorHash
}

// ControlTimings holds the intervals and timeouts of a control node.
type ControlTimings struct {
	heartbeat sardine.Millis
	election  sardine.Millis
	lease     sardine.Millis
	drain     sardine.Millis
	announce  sardine.Millis
}

func readControlTimings(t *tomlr.Table) ControlTimings {
	s := ControlTimings{
		heartbeat: millis(t, "heartbeat_ms", quorum.DefaultTiming().Heartbeat, 5, 5*sardine.Second),
		election:  millis(t, "election_ms", quorum.DefaultTiming().ElectionMin, 50, 60*sardine.Second),
		lease:     millis(t, "lease_ms", lease.DefaultServing, 200, 60*sardine.Second),
		drain:     millis(t, "drain_ms", 5*sardine.Second, 0, 600*sardine.Second),
		announce:  millis(t, "announce_ms", sardine.Second, 50, 60*sardine.Second),
	}
	if s.heartbeat*2 > s.election {
		t.ReportProblem("heartbeat_ms", fmt.Sprintf("at most half of election_ms, %d", s.election/2))
	}
	return s
}

// Heartbeat returns the interval of the leader's messages to idle members.
func (t ControlTimings) Heartbeat() sardine.Millis {
	return t.heartbeat
}

// Election returns how long a member waits for a message of a leader before it
// starts an election.
func (t ControlTimings) Election() sardine.Millis {
	return t.election
}

// ServingLease returns the length of the serving leases granted to entry nodes.
func (t ControlTimings) ServingLease() sardine.Millis {
	return t.lease
}

// AnnounceInterval returns the interval at which targets announce themselves.
func (t ControlTimings) AnnounceInterval() sardine.Millis {
	return t.announce
}

// Drain returns how long a shutdown waits for the transfer of leadership.
func (t ControlTimings) Drain() sardine.Millis {
	return t.drain
}

// WeightStore is the capacity of the weight store.
type WeightStore struct {
	loadsAtOnce int
	load        sardine.Millis
	startWindow sardine.Millis
}

// maxLoadsAtOnce bounds the concurrent loads that a weight store serves at full
// rate.
const maxLoadsAtOnce = 10000

func readWeightStore(t *tomlr.Table) WeightStore {
	return WeightStore{
		loadsAtOnce: int(t.Int("loads_at_once", int64(plan.DefaultLimits().LoadsAtOnce), 1, maxLoadsAtOnce)),
		load:        millis(t, "load_ms", plan.DefaultLimits().LoadTime, 10, 3600*sardine.Second),
		startWindow: sardine.Millis(t.Int("start_window_s", int64(plan.DefaultLimits().StartWindow/sardine.Second), 1, 600)) * sardine.Second,
	}
}

// LoadsAtOnce returns the number of VMs that can load concurrently at full rate.
func (w WeightStore) LoadsAtOnce() int {
	return w.loadsAtOnce
}

// LoadTime returns the time of one VM's load at full rate.
func (w WeightStore) LoadTime() sardine.Millis {
	return w.load
}

// StartWindow returns the window in which the store counts loads that start.
func (w WeightStore) StartWindow() sardine.Millis {
	return w.startWindow
}
