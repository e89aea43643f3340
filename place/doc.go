// Package place decides what becomes of a request at the engine that was chosen for
// it: whether it may go there, and which of the requests that wait there go first.
package place
