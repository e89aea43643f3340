// Package lease keeps, at the leading control node, which entry node may hold a
// serving lease until when, and tells from that whether a log index is in force
// on every entry node. It is a pure state machine; the caller passes the
// instants of its own clock.
//
// An entry node counts its lease from the instant at which it sent the request
// that the grant answers. The ledger counts from a later instant, after the
// quorum round that confirmed its leadership, and adds an allowance for drift.
// So the ledger's end of a lease is never before the entry node's.
package lease
