package ctlapi

import (
	"errors"
	"net"
)

// NeverSent reports whether a call failed before anything was sent, because the
// connection could not be established.
func NeverSent(err error) bool {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return true
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var dns *net.DNSError
	return errors.As(err, &dns)
}
