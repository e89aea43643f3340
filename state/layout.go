package state

import (
	"bytes"
	"compress/flate"
	"io"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// maxLayoutBytes bounds the size of a decompressed layout document, so that a damaged
// one can't exhaust the memory.
const maxLayoutBytes = 64 << 20

// PutLayout replaces the site's layout if Number is higher than the current one. The
// leader has validated the document. It is stored compressed because it is sent to
// every entry node and its routes are repetitive.
type PutLayout struct {
	Number uint64
	Packed []byte
}

// NewPutLayout compresses a document in the operators' format.
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
		return PutLayout{}, codes.Wrap(codes.Internal, err, "can't compress the layout")
	}
	return PutLayout{Number: number, Packed: packed.Bytes()}, nil
}

// Document returns the decompressed document in the operators' format.
func (c PutLayout) Document() ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), maxLayoutBytes+1))
	if err != nil {
		return nil, codes.Wrap(codes.BadSettings, err, "can't decompress the layout")
	}
	if len(document) > maxLayoutBytes {
		return nil, codes.New(codes.BadSettings, "the layout has more than %d bytes", maxLayoutBytes)
	}
	return document, nil
}

func (PutLayout) command() {}

// putLayout stores the layout with the highest number. A document with a lower or
// equal number changes nothing but is not an error, so that its sender stops
// resending it.
func (m *Machine) putLayout(c PutLayout) Result {
	if c.Number <= m.layout.Number {
		return Result{Repeat: true}
	}
	m.layout = c
	return Result{}
}

// Layout returns the current layout; its number is 0 if there is none yet.
func (m *Machine) Layout() PutLayout {
	return m.layout
}

func layoutToWire(c PutLayout) *wire.PutLayout {
	return &wire.PutLayout{Number: c.Number, Packed: c.Packed}
}

func layoutFromWire(w *wire.PutLayout) PutLayout {
	return PutLayout{Number: w.GetNumber(), Packed: w.GetPacked()}
}
