// Package detour decides where an entry node that may have lost its links to the
// targets sends a request.
package detour

import "sardineswitch.dev/sardine/uplink"

// Route is where a request is sent next.
type Route int

// The routes of a request.
const (
	Serve  Route = iota // to a target
	Pass                // to another entry node
	Refuse              // nowhere
)

// maxPasses is the number of entry nodes to which one request may be passed.
const maxPasses = 3

// Request is what the decision needs to know of a request.
type Request struct {
	Links  uplink.State
	Passed bool // another entry node has passed it to this one
	Unsent bool // the last attempt ended before anything was sent to a target
	Passes int  // entry nodes to which it was passed in vain
	Peer   bool // there is an entry node that can take it over
}

// Decide returns where a request is sent. A request is passed once at most, so that
// nodes that have lost their links at the same time don't pass it in a circle.
func Decide(q Request) Route {
	mayPass := !q.Passed && q.Peer && q.Passes < maxPasses
	switch {
	case q.Links == uplink.Isolated && mayPass:
		return Pass
	case q.Links == uplink.Isolated:
		return Refuse
	case q.Links == uplink.Suspected && q.Unsent && mayPass:
		return Pass
	default:
		return Serve
	}
}
