// Package annc is the codec of targets' announcements: what a target posts to
// an entry node about once a second, and the entry node's answer.
package annc

import (
	"encoding/json"
	"math"
	"net"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Path is where entry nodes take announcements, by POST.
const Path = "/sardine/v1/announce"

// Limits of one announcement.
const (
	MaxBytes        = 64 * 1024 // of the JSON text
	MaxNameBytes    = 200       // of each name
	MaxLoadable     = 1000      // models
	MaxAccelerators = 1024      // of one VM
	MaxWhole        = 1 << 53   // of epochs and serials: what every JSON reader holds exactly
	maxCount        = 1_000_000 // running or queued requests
	maxTokens       = 1e9       // tokens per second
	maxStepMillis   = 600000    // of one token
)

// message is the JSON form of an announcement.
type message struct {
	VM           string   `json:"vm"`
	Incarnation  uint64   `json:"incarnation"`
	Kind         string   `json:"kind"`
	Address      string   `json:"address"`
	DataCentre   string   `json:"data_centre"`
	Domain       string   `json:"domain"`
	Accelerators int      `json:"accelerators"`
	Service      string   `json:"service"`
	Loadable     []string `json:"loadable"`
	ChecksEpoch  bool     `json:"checks_epoch"`
	Leaving      bool     `json:"leaving"`
	Holding      holding  `json:"holding"`
	Load         load     `json:"load"`
	Serial       uint64   `json:"serial,omitempty"`
}

type holding struct {
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	Model   string `json:"model"`
	Version string `json:"version"`
	State   string `json:"state"`
}

type load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	StepMillis      float64 `json:"step_ms"`
}

func encodeLoad(l sardine.Load) load {
	return load{
		Running:         l.Running,
		Queued:          l.Queued,
		TokensPerSecond: finite(l.TokensPerSecond),
		StepMillis:      finite(l.StepMillis),
	}
}

func (l load) decode() sardine.Load {
	return sardine.Load{
		Running:         l.Running,
		Queued:          l.Queued,
		TokensPerSecond: l.TokensPerSecond,
		StepMillis:      l.StepMillis,
	}
}

// Encode returns the JSON form of a. A rate that is not a finite number is sent
// as 0.
func Encode(a sardine.Announcement) []byte {
	m := message{
		VM:           string(a.VM),
		Incarnation:  uint64(a.Incarnation),
		Kind:         a.Kind.String(),
		Address:      a.Address,
		DataCentre:   string(a.DataCentre),
		Domain:       string(a.Domain),
		Accelerators: a.Accelerators,
		Service:      string(a.Service),
		Loadable:     make([]string, 0, len(a.Loadable)),
		ChecksEpoch:  a.ChecksEpoch,
		Leaving:      a.Leaving,
		Holding:      encodeHolding(a.Holding),
		Load:         encodeLoad(a.Load),
		Serial:       a.Serial,
	}
	for _, name := range a.Loadable {
		m.Loadable = append(m.Loadable, string(name))
	}
	return mustMarshal(m)
}

// Decode reads an announcement and checks every field. Fields that it does not
// know are ignored, so that targets may be upgraded first. Errors carry
// codes.BadRequest and name the field, what was found and what was expected.
func Decode(text []byte) (sardine.Announcement, error) {
	if len(text) > MaxBytes {
		return sardine.Announcement{}, codes.New(codes.TooLarge, "announcement: %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return sardine.Announcement{}, codes.Wrap(codes.BadRequest, err, "announcement")
	}
	a := m.domain()
	if err := checkIdentity(a); err != nil {
		return sardine.Announcement{}, err
	}
	if err := m.checkWords(); err != nil {
		return sardine.Announcement{}, err
	}
	if err := Check(a); err != nil {
		return sardine.Announcement{}, err
	}
	return a, m.checkLoad()
}

// checkWords refuses what domain could not translate.
func (m message) checkWords() error {
	if kinds(m.Kind) == 0 {
		return refuse("kind", m.Kind, "engine or plain")
	}
	if _, known := states(m.Holding.State); !known {
		return refuse("holding.state", m.Holding.State, "idle, loading, ready or failed")
	}
	return nil
}

func encodeHolding(h sardine.Holding) holding {
	return holding{
		Group:   string(h.Group),
		Epoch:   uint64(h.Epoch),
		Rank:    h.Rank,
		Model:   string(h.Model),
		Version: h.Version,
		State:   h.State.String(),
	}
}

func (m message) domain() sardine.Announcement {
	a := sardine.Announcement{
		VM:           sardine.VMID(m.VM),
		Incarnation:  sardine.Incarnation(m.Incarnation),
		Kind:         kinds(m.Kind),
		Address:      m.Address,
		DataCentre:   sardine.DataCentre(m.DataCentre),
		Domain:       sardine.FabricDomain(m.Domain),
		Accelerators: m.Accelerators,
		Service:      sardine.ServiceName(m.Service),
		ChecksEpoch:  m.ChecksEpoch,
		Leaving:      m.Leaving,
		Holding: sardine.Holding{
			Group:   sardine.GroupID(m.Holding.Group),
			Epoch:   sardine.Epoch(m.Holding.Epoch),
			Rank:    m.Holding.Rank,
			Model:   sardine.ModelName(m.Holding.Model),
			Version: m.Holding.Version,
		},
		Load:   m.Load.decode(),
		Serial: m.Serial,
	}
	a.Holding.State, _ = states(m.Holding.State)
	for _, name := range m.Loadable {
		a.Loadable = append(a.Loadable, sardine.ModelName(name))
	}
	return a
}

func kinds(name string) sardine.TargetKind {
	switch name {
	case sardine.KindEngine.String():
		return sardine.KindEngine
	case sardine.KindPlain.String():
		return sardine.KindPlain
	default:
		return 0
	}
}

func states(name string) (sardine.MemberState, bool) {
	for s := sardine.MemberIdle; s <= sardine.MemberFailed; s++ {
		if s.String() == name {
			return s, true
		}
	}
	return sardine.MemberIdle, name == ""
}

func finite(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

// validAddress reports whether text is host:port with an IP number.
func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// mustMarshal encodes types of this package, none of which can fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
