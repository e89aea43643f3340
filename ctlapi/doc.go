// Package ctlapi is the client of the control nodes' RPC service. It finds the
// leader among the known control nodes and distinguishes a request that was
// certainly not proposed from one that may have been.
package ctlapi
