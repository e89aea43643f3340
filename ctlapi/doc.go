// Package ctlapi is the client side of the control nodes' service. It finds the
// leader among the known control nodes and keeps apart what was surely not
// proposed from what may have been.
package ctlapi
