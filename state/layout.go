package state

import (
	"sardineswitch.dev/sardine/wire"
)

// PutLayout replaces the site's layout if Number is higher than the one in
// force. The leader has checked Document.
type PutLayout struct {
	Number   uint64
	Document []byte // in the operators' own format
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
	return &wire.PutLayout{Number: c.Number, Document: c.Document}
}

func layoutFromWire(w *wire.PutLayout) PutLayout {
	return PutLayout{Number: w.GetNumber(), Document: w.GetDocument()}
}
