// Package annc encodes and decodes the announcement that a target posts to an
// entry node about once a second, and the entry node's answer.
package annc

import (
	"encoding/json"
	"math"
	"net"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Path is the path to which targets post announcements at an entry node.
const Path = "/sardine/v1/announce"

// Limits of one announcement.
const (
	MaxBytes        = 64 * 1024 // size of the JSON text
	MaxNameBytes    = 200       // length of each name
	MaxLoadable     = 1000      // number of models
	MaxAccelerators = 1024      // accelerators of one VM
	MaxExactInteger = 1 << 53   // epochs and sequence numbers; every JSON decoder represents integers up to it exactly
	maxCount        = 1_000_000 // running or queued requests
	maxTokens       = 1e9       // tokens per second
	maxStepMillis   = 600000    // milliseconds for one token
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
		TokensPerSecond: finiteOrZero(l.TokensPerSecond),
		StepMillis:      finiteOrZero(l.StepMillis),
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

// Encode returns the JSON form of a. A rate or time that is not a finite number is
// encoded as 0.
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
		Holding:      encodeHolding(a.CurrentOrder),
		Load:         encodeLoad(a.Load),
		Serial:       a.Sequence,
	}
	for _, name := range a.Loadable {
		m.Loadable = append(m.Loadable, string(name))
	}
	return mustMarshal(m)
}

// Decode decodes an announcement and checks every field. It ignores unknown fields,
// so that targets may be upgraded before entry nodes. Errors have the code
// codes.BadRequest, or codes.TooLarge above MaxBytes. An error of a field names
// it, the value found and the one expected.
func Decode(text []byte) (sardine.Announcement, error) {
	if len(text) > MaxBytes {
		return sardine.Announcement{}, codes.New(codes.TooLarge, "announcement: %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return sardine.Announcement{}, codes.Wrap(codes.BadRequest, err, "announcement")
	}
	a := m.announcement()
	if err := checkIdentity(a); err != nil {
		return sardine.Announcement{}, err
	}
	if err := m.checkEnums(); err != nil {
		return sardine.Announcement{}, err
	}
	if err := Check(a); err != nil {
		return sardine.Announcement{}, err
	}
	return a, m.checkLoad()
}

// checkEnums rejects an unknown kind or member state.
func (m message) checkEnums() error {
	if parseKind(m.Kind) == 0 {
		return fieldError("kind", m.Kind, "engine or plain")
	}
	if _, known := parseState(m.Holding.State); !known {
		return fieldError("holding.state", m.Holding.State, "idle, loading, ready or failed")
	}
	return nil
}

func encodeHolding(h sardine.CurrentOrder) holding {
	return holding{
		Group:   string(h.Group),
		Epoch:   uint64(h.Epoch),
		Rank:    h.Rank,
		Model:   string(h.Model),
		Version: h.Version,
		State:   h.State.String(),
	}
}

func (m message) announcement() sardine.Announcement {
	a := sardine.Announcement{
		VM:           sardine.VMID(m.VM),
		Incarnation:  sardine.Incarnation(m.Incarnation),
		Kind:         parseKind(m.Kind),
		Address:      m.Address,
		DataCentre:   sardine.DataCentre(m.DataCentre),
		Domain:       sardine.FabricDomain(m.Domain),
		Accelerators: m.Accelerators,
		Service:      sardine.ServiceName(m.Service),
		ChecksEpoch:  m.ChecksEpoch,
		Leaving:      m.Leaving,
		CurrentOrder: sardine.CurrentOrder{
			Group:   sardine.GroupID(m.Holding.Group),
			Epoch:   sardine.Epoch(m.Holding.Epoch),
			Rank:    m.Holding.Rank,
			Model:   sardine.ModelName(m.Holding.Model),
			Version: m.Holding.Version,
		},
		Load:     m.Load.decode(),
		Sequence: m.Serial,
	}
	a.CurrentOrder.State, _ = parseState(m.Holding.State)
	for _, name := range m.Loadable {
		a.Loadable = append(a.Loadable, sardine.ModelName(name))
	}
	return a
}

func parseKind(name string) sardine.TargetKind {
	switch name {
	case sardine.KindEngine.String():
		return sardine.KindEngine
	case sardine.KindPlain.String():
		return sardine.KindPlain
	default:
		return 0
	}
}

func parseState(name string) (sardine.MemberState, bool) {
	for s := sardine.MemberIdle; s <= sardine.MemberFailed; s++ {
		if s.String() == name {
			return s, true
		}
	}
	return sardine.MemberIdle, name == ""
}

func finiteOrZero(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

// validAddress reports whether text is host:port with an IP address as the host.
func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// mustMarshal encodes the types of this package, for which json.Marshal can't fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
