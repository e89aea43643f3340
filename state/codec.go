package state

import (
	"google.golang.org/protobuf/proto"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// EncodeCommand returns the bytes of a log entry that holds c with timestamp at.
func EncodeCommand(at WallTime, c Command) ([]byte, error) {
	w, err := toWire(at, c)
	if err != nil {
		return nil, err
	}
	return marshal(w)
}

// DecodeCommand is the inverse of EncodeCommand. It fails with codes.FormatVersion
// if a later version wrote the entry, and with codes.LogDamaged if the bytes are
// damaged.
func DecodeCommand(b []byte) (WallTime, Command, error) {
	var w wire.Command
	if err := proto.Unmarshal(b, &w); err != nil {
		return 0, nil, codes.Wrap(codes.LogDamaged, err, "decode a log entry")
	}
	return FromWire(&w)
}

// ToWire converts a command to its message. A command of an unknown type, which is a
// programming error, gives an empty message that FromWire rejects.
func ToWire(at WallTime, c Command) *wire.Command {
	w, err := toWire(at, c)
	if err != nil {
		return &wire.Command{At: int64(at)}
	}
	return w
}

// FromWire converts a message to its timestamp and command.
func FromWire(w *wire.Command) (WallTime, Command, error) {
	c := settingsFromWire(w)
	if c == nil {
		c = targetFromWire(w)
	}
	if c == nil {
		c = requestFromWire(w)
	}
	if c == nil {
		return 0, nil, codes.New(codes.FormatVersion, "this version does not support the type of the command")
	}
	return WallTime(w.GetAt()), c, nil
}

func toWire(at WallTime, c Command) (*wire.Command, error) {
	w := &wire.Command{At: int64(at)}
	if settingsToWire(w, c) || targetToWire(w, c) || requestToWire(w, c) {
		return w, nil
	}
	return nil, codes.New(codes.Internal, "unknown command %T", c)
}

func marshal(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b, codes.Wrap(codes.Internal, err, "encode")
}
