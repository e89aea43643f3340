// Package lease is the leading control node's ledger of serving leases. It records
// until when each entry node may serve, and derives from that whether a log index is
// in force on every entry node. It is a state machine without I/O; the caller passes
// the instants of its own clock.
//
// An entry node counts its lease from the instant at which it sent the request that
// the grant answers. The ledger counts from a later instant, after the quorum round
// that confirmed its leadership, and adds an allowance for clock drift. So a lease
// never ends in the ledger before it ends on the entry node.
package lease
