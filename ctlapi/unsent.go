package ctlapi

import (
	"errors"
	"net"
)

// surelyUnsent reports whether a call failed before anything was sent: the
// connection could not be made.
func surelyUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
