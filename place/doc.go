// Package place decides whether a request may be sent to the engine that was
// chosen for it, and in which order the requests waiting there are served.
package place
