// Package order has the codec of the orders that engines receive, the HTTP client
// that sends them, and the headers of a dispatched request and its response.
package order

import (
	"encoding/json"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Path is the URL path at which engines accept orders, by POST.
const Path = "/sardine/v1/order"

// MaxBytes is the largest accepted size of an order's JSON text.
const MaxBytes = 16 * 1024

// Headers of a request dispatched to a target and of its response.
const (
	HeaderGroup  = "X-Sardine-Group"       // group that the request is dispatched to
	HeaderEpoch  = "X-Sardine-Epoch"       // epoch of that group
	HeaderResume = "X-Sardine-Resume-From" // number of the first token wanted
)

// message is the JSON form of an order.
type message struct {
	Group   string `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	Size    int    `json:"size"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Release bool   `json:"release"`
}

// Encode returns the JSON form of o. It has no fields for VM, Members, Stage
// and Open.
func Encode(o sardine.Order) []byte {
	text, err := json.Marshal(message{
		Group:   string(o.Group),
		Epoch:   uint64(o.Epoch),
		Rank:    o.Rank,
		Size:    o.Size,
		Model:   string(o.Model),
		Version: o.Version,
		Release: o.Release,
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return text
}

// Decode parses and validates an order. Errors have codes.BadRequest, or
// codes.TooLarge for a text above MaxBytes.
func Decode(text []byte) (sardine.Order, error) {
	if len(text) > MaxBytes {
		return sardine.Order{}, codes.New(codes.TooLarge, "order: %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return sardine.Order{}, codes.Wrap(codes.BadRequest, err, "order")
	}
	if m.Group == "" || m.Epoch == 0 {
		return sardine.Order{}, codes.New(codes.BadRequest, "order: found group %q epoch %d, expected a name and 1 or more", m.Group, m.Epoch)
	}
	if !m.Release && (m.Model == "" || m.Size < 1 || m.Rank < 0 || m.Rank >= m.Size) {
		return sardine.Order{}, codes.New(codes.BadRequest, "order: found model %q rank %d size %d, expected a model and a rank below the size", m.Model, m.Rank, m.Size)
	}
	return sardine.Order{
		Group:   sardine.GroupID(m.Group),
		Epoch:   sardine.Epoch(m.Epoch),
		Rank:    m.Rank,
		Size:    m.Size,
		Model:   sardine.ModelName(m.Model),
		Version: m.Version,
		Release: m.Release,
	}, nil
}
