package state

import (
	"bytes"
	"compress/flate"
	"io"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// maxLayout bounds a layout's document in bytes, so that a damaged one can't use
// up the memory when it is unpacked.
const maxLayout = 64 << 20

// PutLayout replaces the site's layout if Number is higher than the one in
// force. The leader has checked the document. It is kept packed, as it goes to
// every entry node: routes are much alike.
type PutLayout struct {
	Number uint64
	Packed []byte
}

// NewPutLayout packs a document in the operators' own format.
func NewPutLayout(number uint64, document []byte) (PutLayout, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return PutLayout{}, codes.Wrap(codes.Internal, err, "the layout can't be packed")
	}
	return PutLayout{Number: number, Packed: packed.Bytes()}, nil
}

// Document returns the document in the operators' own format.
func (c PutLayout) Document() ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), maxLayout+1))
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "the layout can't be unpacked")
	}
	if len(document) > maxLayout {
		return nil, codes.New(codes.BadSettings, "the layout has more than %d bytes", maxLayout)
	}
	return document, nil
}

func (PutLayout) command() {}

// putLayout takes the highest number. An overtaken document changes nothing,
// which is not an error: its operator must not send it for ever.
func (m *Machine) putLayout(c PutLayout) Result {
	if c.Number <= m.layout.Number {
		return Result{Repeat: true}
	}
	m.layout = c
	return Result{}
}

// Layout returns the layout in force, with number 0 before the first.
func (m *Machine) Layout() PutLayout {
	return m.layout
}

func layoutToWire(c PutLayout) *wire.PutLayout {
	return &wire.PutLayout{Number: c.Number, Packed: c.Packed}
}

func layoutFromWire(w *wire.PutLayout) PutLayout {
	return PutLayout{Number: w.GetNumber(), Packed: w.GetPacked()}
}
