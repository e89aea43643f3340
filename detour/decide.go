// Package detour decides where an entry node that may have lost its links to the
// targets sends a request.
package detour

// Links is what an entry node knows of its own links to the targets.
type Links int

// The states of the links.
const (
	Connected Links = iota
	Suspected       // they may be lost, which probes find out
	Isolated        // no target can be reached
)

// String returns the word used in dumps.
func (l Links) String() string {
	switch l {
	case Suspected:
		return "suspected"
	case Isolated:
		return "isolated"
	default:
		return "connected"
	}
}

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
	Links  Links
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
	case q.Links == Isolated && mayPass:
		return Pass
	case q.Links == Isolated:
		return Refuse
	case q.Links == Suspected && q.Unsent && mayPass:
		return Pass
	default:
		return Serve
	}
}
